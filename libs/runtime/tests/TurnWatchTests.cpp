#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/TurnWatch.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

// Guards against an event loop that is blocked beyond a lease without a trace in logs and metrics.
TEST_CASE("turn watch: only a long turn is counted", "[task]")
{
    const Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics;
    recordTurn("task", longTurn - Duration(1), 10, log, metrics);
    CHECK(metrics.expose().find("turn_took_long") == std::string::npos);
    recordTurn("task", longTurn, 10, log, metrics);
    CHECK(metrics.expose().find("event=\"turn_took_long\"} 1") != std::string::npos);
}
