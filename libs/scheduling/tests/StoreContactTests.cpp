#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/StoreContact.h>

using namespace cowslipdoor;
using std::chrono::milliseconds;

TEST_CASE("store contact: a series of failures is logged once, and its end states its length and last reason", "[jobs]")
{
    const TimePoint start { std::chrono::seconds(100) };
    StoreContact contact("leader row");
    CHECK_FALSE(contact.answered(start));
    const std::optional<RecordEvent> lost = contact.failed("timed out", start);
    REQUIRE(lost);
    CHECK(lost->event == EventId::StoreLost);
    CHECK(lost->detail == "leader row: timed out");
    CHECK_FALSE(contact.failed("status 503", start + milliseconds(900)));
    const std::optional<RecordEvent> regained = contact.answered(start + milliseconds(1000));
    REQUIRE(regained);
    CHECK(regained->event == EventId::StoreRegained);
    CHECK(regained->detail == "leader row: after 2 failed calls in 1000 ms, the last one: status 503");
    CHECK_FALSE(contact.answered(start + milliseconds(1100)));
}
