#include "LongRunningTaskMonitor.h"
#include <catch2/catch.hpp>

using namespace cowslipdoor;
using namespace cowslipdoor::soak;

namespace {

constexpr const char* task = "0000000000000001.0.0.0";
constexpr TimePoint start { std::chrono::hours(1) };
constexpr Duration step = std::chrono::milliseconds(100);
const LongRunningTaskObservation idle { .headroom = true };

/// Passes the same observation to the monitor from one time to another, every 100 ms.
void show(LongRunningTaskMonitor& monitor, const LongRunningTaskObservation& observation, TimePoint from, TimePoint to)
{
    for (TimePoint now = from; now <= to; now += step)
        monitor.observe(observation, now);
}

}

TEST_CASE("long-running task monitor: a task that does not run for the restart time and the window is reported once", "[soak]")
{
    LongRunningTaskMonitor monitor;
    monitor.track(task, start);
    monitor.observe({ .running = { task }, .headroom = true }, start);
    show(monitor, idle, start, start + longRunningRestartLimit + longRunningWindow - step);
    CHECK(monitor.violations().empty());
    show(monitor, idle, start + longRunningRestartLimit + longRunningWindow, start + std::chrono::minutes(1));
    CHECK(monitor.violations().size() == 1);
}

TEST_CASE("long-running task monitor: a run, an active fault or a lack of headroom postpones the violation", "[soak]")
{
    const TimePoint late = start + longRunningRestartLimit + std::chrono::seconds(2);
    LongRunningTaskObservation observation = idle;
    Duration allowed {};
    SECTION("a run")
    {
        observation.running = { task };
        allowed = longRunningRestartLimit + longRunningWindow;
    }
    SECTION("an active fault")
    {
        observation.faultActive = true;
        allowed = quietPeriod + longRunningWindow;
    }
    SECTION("no headroom")
    {
        observation.headroom = false;
        allowed = longRunningWindow;
    }
    LongRunningTaskMonitor monitor;
    monitor.track(task, start);
    show(monitor, idle, start, late - step);
    monitor.observe(observation, late);
    show(monitor, idle, late + step, late + allowed - step);
    CHECK(monitor.violations().empty());
    monitor.observe(idle, late + allowed);
    CHECK(monitor.violations().size() == 1);
}
