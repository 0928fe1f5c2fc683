#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/core/EventCatalogue.h>
#include <cowslipdoor/core/Ids.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace cowslipdoor;

namespace {

std::string readPage(const std::string& name)
{
    std::ifstream file(std::string(COWSLIPDOOR_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

TEST_CASE("errors: the table has one row for each kind, in the order of the kinds", "[errors]")
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < errorTable().size(); ++index) {
        const ErrorDescription& row = errorTable()[index];
        CHECK(static_cast<std::size_t>(row.kind) == index);
        CHECK(names.insert(row.name).second);
        CHECK(row.httpStatus >= 400);
        CHECK_FALSE(row.meaning.empty());
    }
}

TEST_CASE("errors: the page lists every kind with status and outcome", "[errors]")
{
    const std::string text = readPage("ERRORS.md");
    for (const ErrorDescription& row : errorTable()) {
        const std::string start = "| `" + std::string(row.name) + "` | " + std::to_string(row.httpStatus) + " | " + std::string(toString(row.outcome)) + " |";
        INFO(start);
        CHECK(text.find(start) != std::string::npos);
    }
}

TEST_CASE("events: the catalogue is in order and the page lists every event", "[errors]")
{
    const std::string text = readPage("EVENTS.md");
    unsigned last = 0;
    for (const EventDescription& row : eventCatalogue()) {
        CHECK(static_cast<unsigned>(row.id) > last);
        last = static_cast<unsigned>(row.id);
        CHECK(describe(row.id).name == row.name);
        const std::string start = "| E" + std::to_string(last) + " | `" + std::string(row.name) + "` |";
        INFO(start);
        CHECK(text.find(start) != std::string::npos);
    }
}

TEST_CASE("ids: keyed identifiers depend on user and key alone, and are parsed back", "[errors]")
{
    const RequestId id = keyedRequestId("siti", "k");
    CHECK(id == keyedRequestId("siti", "k"));
    CHECK(id != keyedRequestId("sit", "ik"));
    CHECK(requestIdFromString(toString(id)) == id);
    CHECK_THROWS_AS(requestIdFromString("12"), Error);
    CHECK_THROWS_AS(requestIdFromString(std::string(32, 'g')), Error);
}
