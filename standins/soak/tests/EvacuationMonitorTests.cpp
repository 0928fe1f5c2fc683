#include "EvacuationMonitor.h"
#include <catch2/catch.hpp>

using namespace cowslipdoor;
using namespace cowslipdoor::soak;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };
constexpr Duration step = std::chrono::milliseconds(100);

}

TEST_CASE("evacuation monitor: starts after the bound and before the end of an evacuation are violations", "[soak]")
{
    EvacuationMonitor monitor;
    monitor.observe("zone-0", 0, 1, start);
    monitor.evacuate("zone-0", start, start + evacuationBound * 2);
    monitor.observe("zone-0", 0, 2, start + evacuationBound - step);
    // The first count after the bound includes starts before it.
    monitor.observe("zone-0", 0, 3, start + evacuationBound);
    monitor.observe("zone-1", 1, 9, start + evacuationBound + step);
    CHECK(monitor.violations().empty());
    monitor.observe("zone-0", 0, 4, start + evacuationBound + step);
    monitor.observe("zone-0", 0, 4, start + evacuationBound + step * 2);
    CHECK(monitor.violations().size() == 1);
    CHECK(monitor.takeEnded(start + evacuationBound * 2 - step).empty());
    CHECK(monitor.takeEnded(start + evacuationBound * 2) == std::vector<std::string> { "zone-0" });
    CHECK_FALSE(monitor.evacuated("zone-0"));
    monitor.observe("zone-0", 0, 5, start + evacuationBound * 3);
    CHECK(monitor.violations().size() == 1);
}
