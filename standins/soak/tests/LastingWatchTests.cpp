#include "LastingWatch.h"
#include <catch2/catch.hpp>

using namespace cowslipdoor;
using namespace cowslipdoor::soak;

namespace {

constexpr const char* task = "0000000000000001.0.0.0";
constexpr TimePoint start { std::chrono::hours(1) };
constexpr Duration step = std::chrono::milliseconds(100);
const LastingView idle { .room = true };

/// Passes the same observation to the monitor from one time to another, every 100 ms.
void show(LastingWatch& watch, const LastingView& view, TimePoint from, TimePoint to)
{
    for (TimePoint now = from; now <= to; now += step)
        watch.see(view, now);
}

}

TEST_CASE("long-running task monitor: a task that does not run for the restart time and the window is reported once", "[soak]")
{
    LastingWatch watch;
    watch.expect(task, start);
    watch.see({ .running = { task }, .room = true }, start);
    show(watch, idle, start, start + lastingRestart + lastingWindow - step);
    CHECK(watch.broken().empty());
    show(watch, idle, start + lastingRestart + lastingWindow, start + std::chrono::minutes(1));
    CHECK(watch.broken().size() == 1);
}

TEST_CASE("long-running task monitor: a run, an active fault or a lack of headroom postpones the violation", "[soak]")
{
    const TimePoint late = start + lastingRestart + std::chrono::seconds(2);
    LastingView view = idle;
    Duration allowed {};
    SECTION("a run")
    {
        view.running = { task };
        allowed = lastingRestart + lastingWindow;
    }
    SECTION("an active fault")
    {
        view.disturbed = true;
        allowed = lastingCalm + lastingWindow;
    }
    SECTION("no headroom")
    {
        view.room = false;
        allowed = lastingWindow;
    }
    LastingWatch watch;
    watch.expect(task, start);
    show(watch, idle, start, late - step);
    watch.see(view, late);
    show(watch, idle, late + step, late + allowed - step);
    CHECK(watch.broken().empty());
    watch.see(idle, late + allowed);
    CHECK(watch.broken().size() == 1);
}
