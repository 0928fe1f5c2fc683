#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/RecentInsertions.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

RowKey keyOf(const std::string& name)
{
    return { "table", "part", name };
}

}

TEST_CASE("insertions: a stored row stays stored, and an unsettled one may become stored", "[jobs]")
{
    RecentInsertions memory;
    CHECK_FALSE(memory.find(keyOf("a"), start));
    memory.note(keyOf("a"), InsertionOutcome::Unsettled, start);
    CHECK(memory.find(keyOf("a"), start) == InsertionOutcome::Unsettled);
    memory.note(keyOf("a"), InsertionOutcome::Stored, start);
    memory.note(keyOf("a"), InsertionOutcome::Unsettled, start);
    CHECK(memory.find(keyOf("a"), start) == InsertionOutcome::Stored);
}

TEST_CASE("insertions: remembered insertions are bounded in age and number", "[jobs]")
{
    RecentInsertions memory { { .keepFor = std::chrono::seconds(1), .most = 2 } };
    memory.note(keyOf("a"), InsertionOutcome::Stored, start);
    CHECK(memory.find(keyOf("a"), start + std::chrono::seconds(1)));
    CHECK_FALSE(memory.find(keyOf("a"), start + milliseconds(1001)));
    memory.note(keyOf("b"), InsertionOutcome::Stored, start);
    memory.note(keyOf("c"), InsertionOutcome::Stored, start);
    CHECK_FALSE(memory.find(keyOf("a"), start));
    CHECK(memory.find(keyOf("b"), start));
    CHECK(memory.find(keyOf("c"), start));
}
