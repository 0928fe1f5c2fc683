#pragma once

/// @file
/// @brief Waits of tasks for better places.

#include "Job.h"
#include "PlaceOrWait.h"
#include <cowslipdoor/core/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace cowslipdoor {

/// @brief Wait of the tasks of one step, which share a decision.
struct PlaceWait {
    /// When the first of them began to wait; tasks that are placed later have waited since then.
    TimePoint since {};
    /// When the current wait began; std::nullopt if a task of the step has been placed since.
    std::optional<TimePoint> awaitedSince {};
    /// Slowdown of the available place, and of the awaited one.
    double slowdown = 1;
    double betterSlowdown = 1;
    /// Expected time of the current wait from its beginning; std::nullopt if it is not known.
    std::optional<Duration> expected {};
    /// Number of tasks that wait.
    std::size_t tasks = 0;

    bool operator==(const PlaceWait&) const = default;
};

/// @brief Waits by job and number of the step.
using PlaceWaits = std::map<std::pair<JobId, std::uint32_t>, PlaceWait>;

/// @param slowdown a slowdown
/// @return for logs: the slowdown with two decimals, or that there is no pace
[[nodiscard]] std::string describeSlowdown(double slowdown);

/// @param wait a wait
/// @return for logs: how long it is expected to last
[[nodiscard]] std::string describeExpected(const PlaceWait& wait);

}
