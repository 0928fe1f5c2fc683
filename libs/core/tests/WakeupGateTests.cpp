#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/WakeupGate.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("wakeups: a wakeup that is on time, or as late as on a busy VM, is not deferred", "[wakeups]")
{
    WakeupGate gate;
    CHECK(gate.opensAt(origin, origin - std::chrono::seconds(1)) == origin);
    CHECK(gate.opensAt(origin, origin) == origin);
    CHECK(gate.opensAt(origin, origin + std::chrono::milliseconds(99)) == origin);
    CHECK_FALSE(gate.holds());
}

TEST_CASE("wakeups: after a stall a wakeup is deferred once, by the time to catch up", "[wakeups]")
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

TEST_CASE("wakeups: a wakeup that is due after the time to catch up is not delivered early", "[wakeups]")
{
    WakeupGate gate;
    const TimePoint thawed = origin + std::chrono::seconds(3);
    (void)gate.opensAt(origin, thawed);
    CHECK(gate.opensAt(thawed + std::chrono::seconds(9), thawed) == thawed + std::chrono::seconds(9));
}
