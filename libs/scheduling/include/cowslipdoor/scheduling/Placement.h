#pragma once

/// @file
/// @brief Where a task goes, and in which order jobs get places.

#include "InterferenceModel.h"
#include "JobBook.h"
#include "Workers.h"
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Orders jobs for placement.
///
/// Pattern it answers: a crest at which not all jobs can be on time. Higher priority comes first; within it those that can
/// still be on time, first the one that is due first; then those that can be late only, as they lose little by waiting; a job past hope (three times its objective) comes last, as nothing is gained by its being earlier, but
/// it is still done.
/// @param jobs the jobs to order
/// @param jobRegistry the book that holds them
/// @param now the present
/// @return the jobs, first the one to place first
[[nodiscard]] std::vector<const TrackedJob*> placementOrder(const std::set<JobId>& jobs, const JobRegistry& jobRegistry, TimePoint now);

/// @param worker a worker with known capacity
/// @param step step of a filling task
/// @param interference what filling tasks do to serving ones
/// @return the pace that one more such task would be allowed by the serving tasks there, from zero to one
[[nodiscard]] double expectedPace(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference);

/// @brief Chooses a worker for one task.
///
/// Lasting tasks go beside those that filling images treat alike, so that each filling image finds workers where it harms
/// nobody; among these to the fullest, as short tasks do, so that wide holes stay for wide tasks. Filling tasks go where
/// serving tasks let them run fastest, then where most cores are unused.
/// @param job the job
/// @param step number of the step
/// @param task state of the task
/// @param workers all workers
/// @param interference what filling tasks do to serving ones
/// @param now the present
/// @return the chosen worker, or nothing when none has room
[[nodiscard]] const TrackedWorker* chooseWorker(const TrackedJob& job, std::uint32_t step, const TaskState& task, const Workers& workers, const InterferenceModel& interference, TimePoint now);

/// @param job the job
/// @param step number of the step
/// @param workers all workers
/// @param now the present
/// @return how many workers could be given a task of the step, and how many not for which reasons, for logs
[[nodiscard]] std::string describeUnfit(const TrackedJob& job, std::uint32_t step, const Workers& workers, TimePoint now);

}
