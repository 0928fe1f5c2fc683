#pragma once

/// @file
/// @brief Injects the faults of a plan at their times.

#include "Fault.h"
#include <chrono>
#include <cowslipdoor/runtime/Clock.h>
#include <fstream>
#include <string>
#include <thread>

namespace cowslipdoor::soak {

/// @brief Interval at which due faults are injected and tick is called.
constexpr std::chrono::milliseconds timelineInterval { 20 };

/// @brief Injects each fault at its time and calls a function at regular intervals; blocks for the whole length.
/// @param plan faults in order of time
/// @param length length of the soak
/// @param faultLogPath path of the log to which each injected fault is written
/// @param inject called with the current monotonic time and the alternative that the fault holds
/// @param tick called with the current monotonic time
template <typename Fault, typename Inject, typename Tick>
void runFaultPlan(const std::vector<Planned<Fault>>& plan, Duration length, const std::string& faultLogPath, Inject inject, Tick tick)
{
    std::ofstream faultLog(faultLogPath);
    const TimePoint begin = runtime::monotonicNow();
    std::size_t next = 0;
    for (TimePoint now = begin; now - begin < length; now = runtime::monotonicNow()) {
        for (; next < plan.size() && now - begin >= plan[next].at; ++next) {
            faultLog << toMilliseconds(now - begin) << " ms: " << describe(plan[next].fault) << std::endl;
            std::visit([&inject, now](const auto& alternative) { inject(now, alternative); }, plan[next].fault);
        }
        tick(now);
        std::this_thread::sleep_for(timelineInterval);
    }
}

}
