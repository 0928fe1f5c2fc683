#pragma once

/// @file
/// @brief Plays a plan of faults by the clock.

#include "Fault.h"
#include <chrono>
#include <cowslipdoor/runtime/Clock.h>
#include <fstream>
#include <string>
#include <thread>

namespace cowslipdoor::soak {

/// @brief How often due faults are looked for.
constexpr std::chrono::milliseconds timelineInterval { 20 };

/// @brief Injects each fault at its time, and ticks between them.
/// @param plan the faults in the order of their times
/// @param length how long to go on
/// @param faultLogPath file in which each fault is written as it comes
/// @param inject takes the present and a fault
/// @param tick takes the present
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
