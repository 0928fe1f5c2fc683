#pragma once

/// @file
/// @brief When runs are expected to end, and when a worker is expected to have a place at full pace again.

#include "InterferenceModel.h"
#include "JobRegistry.h"
#include "Workers.h"
#include <vector>

namespace cowslipdoor {

/// @brief Expected end of a finite run on a worker.
struct ExpectedEnd {
    TimePoint at {};
    const StepSpec* step = nullptr;

    bool operator==(const ExpectedEnd&) const = default;
};

/// @brief Expects the end of a run from its progress and its estimate.
///
/// The estimate may be wrong by a factor of two, so progress goes before it, and a run that has outlived its expected end is
/// expected to last as long again as it has. The progress of a run that resumed from a checkpoint does not tell its rate; it is
/// taken to be no faster than estimated.
/// @param step step of a finite task
/// @param task the running task
/// @param now current time
/// @return the expected end, not before now
[[nodiscard]] TimePoint expectedRunEnd(const StepSpec& step, const TaskState& task, TimePoint now);

/// @param worker a worker
/// @param jobRegistry registry that holds the jobs of its runs
/// @param now current time
/// @return the expected ends of the finite runs there, in order of time
[[nodiscard]] std::vector<ExpectedEnd> expectedEnds(const TrackedWorker& worker, const JobRegistry& jobRegistry, TimePoint now);

/// @param worker a worker with known capacity
/// @param step step of a finite task
/// @param interference effect of best-effort tasks on serving ones
/// @return the number of tasks of the step that the worker can take now at a useful pace; a hundred stands for more
[[nodiscard]] std::size_t usefulPlaces(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference);

/// @param worker a worker with known capacity
/// @param step step of a finite task
/// @param ends expected ends of the runs there, in order of time
/// @param interference effect of best-effort tasks on serving ones
/// @return for each end after which the worker has a place for one more task of the step at a useful pace: its time
[[nodiscard]] std::vector<TimePoint> expectedReleases(const TrackedWorker& worker, const StepSpec& step, const std::vector<ExpectedEnd>& ends, const InterferenceModel& interference);

}
