#pragma once

/// @file
/// @brief Pace that one more best-effort task would have on a worker.

#include "InterferenceModel.h"
#include "Workers.h"
#include <map>
#include <string>

namespace cowslipdoor {

/// @brief Best-effort tasks on a worker.
struct BestEffortLoad {
    std::map<std::string, ImageLoad> byImage {};
    /// Milli-cores that they leave unused because of their pace.
    std::uint32_t pacedDownMilliCores = 0;

    bool operator==(const BestEffortLoad&) const = default;
};

/// @param worker a worker
/// @return the best-effort tasks there
[[nodiscard]] BestEffortLoad bestEffortLoadOf(const TrackedWorker& worker);

/// @param worker a worker with known capacity
/// @param step step of a best-effort task
/// @param interference effect of best-effort tasks on serving ones
/// @return the pace, from zero to one, that serving tasks on the worker would leave to one more such task
[[nodiscard]] double expectedPace(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference);

/// @param worker a worker
/// @return milli-cores that further best-effort tasks can use there; negative if those there exceed what is unused
[[nodiscard]] double unusedCores(const TrackedWorker& worker);

/// @brief Time that one more best-effort task takes, as a multiple of its time at full pace.
///
/// Where other best-effort tasks leave too few cores, all of them lose together as many cores as are lacking. The slowdown
/// counts this whole loss, so that it shows the effect on the others as well.
/// @param worker a worker with known capacity
/// @param load best-effort tasks on it
/// @param step step of the task
/// @param interference effect of best-effort tasks on serving ones
/// @return the slowdown, at least one; infinite if the task would not run at all
[[nodiscard]] double bestEffortSlowdown(const TrackedWorker& worker, const BestEffortLoad& load, const StepSpec& step, const InterferenceModel& interference);

}
