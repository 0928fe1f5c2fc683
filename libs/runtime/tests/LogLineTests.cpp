#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/LogLine.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

namespace {

const LogLine refused { "2026-12-04T18:18:02.926Z", "entry-0", EventId::RequestRefused, "661d2e5728a1e3d7 queue_full: 4096 requests wait" };

}

TEST_CASE("log line: both formats are parsed", "[log]")
{
    CHECK(parseLogLine("2026-12-04T18:18:02.926Z info E500 request_refused [entry-0] 661d2e5728a1e3d7 queue_full: 4096 requests wait") == refused);
    CHECK(parseLogLine(R"({"time":"2026-12-04T18:18:02.926Z","event":500,"name":"request_refused","level":"info","process":"entry-0","detail":"661d2e5728a1e3d7 queue_full: 4096 requests wait"})") == refused);
}

TEST_CASE("log line: lines of other programs and unknown events are ignored", "[log]")
{
    CHECK_FALSE(parseLogLine("").has_value());
    CHECK_FALSE(parseLogLine("cowslipdoor: rules.txt:2:57: the comment does not name who asked").has_value());
    CHECK_FALSE(parseLogLine("2026-12-04T18:18:02.926Z info E99999 later_event [entry-0] detail").has_value());
    CHECK_FALSE(parseLogLine("{\"event\":\"text\"}").has_value());
    CHECK_FALSE(parseLogLine("{broken").has_value());
}

TEST_CASE("log line: an identifier matches whole words and the runs and tasks of a job", "[log]")
{
    const auto about = [](const std::string& detail, const std::string& id) { return isAbout({ "", "", EventId::RunAssigned, detail }, id); };
    CHECK(about("0000000000000007/0/3#2 to agent-1", "0000000000000007"));
    CHECK(about("job 0000000000000007", "0000000000000007"));
    CHECK_FALSE(about("00000000000000071/0/3#2", "0000000000000007"));
    CHECK_FALSE(about("a-0000000000000007", "0000000000000007"));
    CHECK(about("10000000000000007 and 0000000000000007", "0000000000000007"));
}
