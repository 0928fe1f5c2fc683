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
    RecentInsertions insertions;
    CHECK_FALSE(insertions.find(keyOf("a"), start));
    insertions.note(keyOf("a"), InsertionOutcome::Unsettled, start);
    CHECK(insertions.find(keyOf("a"), start) == InsertionOutcome::Unsettled);
    insertions.note(keyOf("a"), InsertionOutcome::Stored, start);
    insertions.note(keyOf("a"), InsertionOutcome::Unsettled, start);
    CHECK(insertions.find(keyOf("a"), start) == InsertionOutcome::Stored);
}

TEST_CASE("insertions: remembered insertions are bounded in age and number", "[jobs]")
{
    RecentInsertions insertions { { .keepFor = std::chrono::seconds(1), .most = 2 } };
    insertions.note(keyOf("a"), InsertionOutcome::Stored, start);
    CHECK(insertions.find(keyOf("a"), start + std::chrono::seconds(1)));
    CHECK_FALSE(insertions.find(keyOf("a"), start + milliseconds(1001)));
    insertions.note(keyOf("b"), InsertionOutcome::Stored, start);
    insertions.note(keyOf("c"), InsertionOutcome::Stored, start);
    CHECK_FALSE(insertions.find(keyOf("a"), start));
    CHECK(insertions.find(keyOf("b"), start));
    CHECK(insertions.find(keyOf("c"), start));
}
