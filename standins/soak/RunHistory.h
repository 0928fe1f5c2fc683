#pragma once

/// @file
/// @brief Check of the runs of all workers of a soak.

#include "WorkerStandin.h"

namespace cowslipdoor::soak {

/// Required by the platform: no task starts later than this after the cancellation of its job was acknowledged.
constexpr Duration cancellationBound = std::chrono::seconds(3);

/// @param runs runs of all workers
/// @param cancellations when the cancellations of jobs were acknowledged
/// @return one line for each run that began before another run of its task had ended, or too late after a cancellation
[[nodiscard]] std::vector<std::string> findRunViolations(std::vector<platform::TaskRun> runs, const std::map<std::string, TimePoint>& cancellations);

}
