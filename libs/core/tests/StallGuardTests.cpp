#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/StallGuard.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("wakeups: a wakeup that is on time, or as late as on a busy VM, is not deferred", "[wakeups]")
{
    StallGuard stallGuard;
    CHECK(stallGuard.dueAt(origin, origin - std::chrono::seconds(1)) == origin);
    CHECK(stallGuard.dueAt(origin, origin) == origin);
    CHECK(stallGuard.dueAt(origin, origin + std::chrono::milliseconds(99)) == origin);
    CHECK_FALSE(stallGuard.deferring());
}

TEST_CASE("wakeups: after a stall a wakeup is deferred once, by the time to catch up", "[wakeups]")
{
    StallGuard stallGuard;
    const TimePoint resumedAt = origin + std::chrono::seconds(3);
    const TimePoint due = stallGuard.dueAt(origin, resumedAt);
    CHECK(due == resumedAt + std::chrono::milliseconds(100));
    CHECK(stallGuard.dueAt(origin, resumedAt + std::chrono::milliseconds(60)) == due);
    CHECK(stallGuard.dueAt(origin, due + std::chrono::milliseconds(1)) == due);
    CHECK(stallGuard.deferring());
    stallGuard.reset();
    CHECK(stallGuard.dueAt(due + std::chrono::seconds(1), due) == due + std::chrono::seconds(1));
    CHECK_FALSE(stallGuard.deferring());
}

TEST_CASE("wakeups: a wakeup that is due after the time to catch up is not delivered early", "[wakeups]")
{
    StallGuard stallGuard;
    const TimePoint resumedAt = origin + std::chrono::seconds(3);
    (void)stallGuard.dueAt(origin, resumedAt);
    CHECK(stallGuard.dueAt(resumedAt + std::chrono::seconds(9), resumedAt) == resumedAt + std::chrono::seconds(9));
}
