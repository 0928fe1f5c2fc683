#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/AnnouncementJson.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

namespace {

const Announcement full {
    .instance = 5,
    .sequence = 6,
    .echo = { Incarnation { 7 }, 8 },
    .address = "[::1]:8100",
    .failureDomain = "kangar",
    .capacity = { 8, 64, 32000, 125000 },
    .classes = { TrafficClass::Quick, TrafficClass::Tally },
    .running = { { { 1, 2 }, { 2, 1, 500, 64 } } },
    .remembersFinished = true,
    .finished = { { 3, 4 } },
    .leaving = true,
};

}

TEST_CASE("announcement: formatting and parsing returns an equal value", "[announcement]")
{
    CHECK((parseAnnouncement(printAnnouncement(full)) == full));
    const AnnouncementReply reply { { Incarnation { 7 }, 9 }, std::chrono::milliseconds(50) };
    CHECK((parseReply(printReply(reply)) == reply));
}

TEST_CASE("announcement: malformed JSON and a missing or invalid field are refused", "[announcement]")
{
    const std::string body = GENERATE(
        R"([])", R"({"instance":1)", R"({"instance":-1})", R"({"instance":1,"sequence":1,"address":"localhost:1"})",
        R"({"instance":1,"sequence":1,"address":"127.0.0.1:1","failure_domain":"a","slots":5000000000,"connections":1,"milli_cores":1,"memory_mb":1})",
        R"({"instance":1,"sequence":1,"address":"127.0.0.1:1","failure_domain":"a","slots":1,"connections":1,"milli_cores":1,"memory_mb":1,"running":[{"id":"x"}]})",
        R"({"instance":1,"sequence":1,"address":"127.0.0.1:1","failure_domain":"a","slots":1,"connections":1,"milli_cores":1,"memory_mb":1,"classes":["slow"]})");
    CHECK_THROWS_AS(parseAnnouncement(body), Error);
}

TEST_CASE("announcement: a body that is nested too deeply is refused and does not crash the agent", "[announcement]")
{
    constexpr std::size_t depth = 200'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    CHECK_THROWS_AS(parseAnnouncement(R"({"instance":1,"sequence":1,"address":"127.0.0.1:1","failure_domain":"a","slots":1,"connections":1,"milli_cores":1,"memory_mb":1,"finished":)" + deep + "}"), Error);
}
