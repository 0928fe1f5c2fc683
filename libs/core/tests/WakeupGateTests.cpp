#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/WakeupGate.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("wakeups: one that is in time, or late as on a busy VM, is told at once", "[wakeups]")
{
    WakeupGate gate;
    CHECK(gate.opensAt(origin, origin - std::chrono::seconds(1)) == origin);
    CHECK(gate.opensAt(origin, origin) == origin);
    CHECK(gate.opensAt(origin, origin + std::chrono::milliseconds(99)) == origin);
    CHECK_FALSE(gate.holds());
}

TEST_CASE("wakeups: after a standstill they wait once, until what came meanwhile is taken in", "[wakeups]")
{
    WakeupGate gate;
    const TimePoint thawed = origin + std::chrono::seconds(3);
    const TimePoint opens = gate.opensAt(origin, thawed);
    CHECK(opens == thawed + std::chrono::milliseconds(100));
    CHECK(gate.opensAt(origin, thawed + std::chrono::milliseconds(60)) == opens);
    CHECK(gate.opensAt(origin, opens + std::chrono::milliseconds(1)) == opens);
    CHECK(gate.holds());
    gate.told();
    CHECK(gate.opensAt(opens + std::chrono::seconds(1), opens) == opens + std::chrono::seconds(1));
    CHECK_FALSE(gate.holds());
}

TEST_CASE("wakeups: one that comes after the time to catch up is not told early", "[wakeups]")
{
    WakeupGate gate;
    const TimePoint thawed = origin + std::chrono::seconds(3);
    (void)gate.opensAt(origin, thawed);
    CHECK(gate.opensAt(thawed + std::chrono::seconds(9), thawed) == thawed + std::chrono::seconds(9));
}
