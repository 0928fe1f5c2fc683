#pragma once

/// @file
/// @brief Where a task goes, and in which order jobs get places.

#include "JobBook.h"
#include "PressureModel.h"
#include "Workers.h"
#include <vector>

namespace cowslipdoor {

/// @brief Orders jobs for placement.
///
/// Pattern it answers: a crest at which not all jobs can be on time. Higher priority comes first; within it the job that
/// is due first; a job past hope (three times its objective) comes last, as nothing is gained by its being earlier, but
/// it is still done.
/// @param jobs the jobs to order
/// @param book the book that holds them
/// @param now the present
/// @return the jobs, first the one to place first
[[nodiscard]] std::vector<const JobEntry*> placementOrder(const std::set<JobId>& jobs, const JobBook& book, TimePoint now);

/// @brief Chooses a worker for one task.
///
/// Lasting tasks are spread over workers, so that the loss of one takes few of a step. Short tasks go to the fullest
/// worker that has room, so that wide holes stay for wide tasks. Filling tasks go where
/// nothing serves while there are cores; then beside serving tasks, as far as their image presses little.
/// @param job the job
/// @param step number of the step
/// @param task state of the task
/// @param workers all workers
/// @param pressures what filling tasks do to tails
/// @param now the present
/// @return the chosen worker, or nothing when none has room
[[nodiscard]] const WorkerEntry* chooseWorker(const JobEntry& job, std::uint32_t step, const TaskState& task, const Workers& workers, const PressureModel& pressures, TimePoint now);

}
