#pragma once

/// @file
/// @brief Order in which jobs are placed, and choice of a worker for each task.

#include "InterferenceModel.h"
#include "JobRegistry.h"
#include "Workers.h"
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Orders jobs for placement.
///
/// The order decides which jobs meet their objectives when the load peaks and not all can. Higher priority comes first;
/// within a priority first the jobs that can still meet their objective, by due time, then those that are late in any case,
/// as they lose little by waiting. Jobs older than three times their objective come last of all, since finishing them
/// sooner has no value; they still run.
/// @param jobs the jobs to order
/// @param jobRegistry registry that holds the jobs
/// @param now current time
/// @return the jobs in the order of placement
[[nodiscard]] std::vector<const TrackedJob*> placementOrder(const std::set<JobId>& jobs, const JobRegistry& jobRegistry, TimePoint now);

/// @brief Whether best-effort tasks that a worker already has are taken into account.
enum class BesideBestEffort : unsigned char {
    Counted,
    Ignored,
};

/// @param worker a worker with known capacity
/// @return the milli-cores that further best-effort tasks can use there; negative if those there need more than exist
[[nodiscard]] double unusedCores(const TrackedWorker& worker);

/// @param worker a worker with known capacity
/// @param step step of a best-effort task
/// @param interference effect of best-effort tasks on serving ones
/// @param others whether the best-effort tasks that the worker has take their part
/// @return how many such tasks serving tasks on the worker would let run at full pace; infinite if none of them is affected
[[nodiscard]] double tasksAtFullPace(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference, BesideBestEffort others);

/// @param worker a worker with known capacity
/// @param step step of a best-effort task
/// @param interference effect of best-effort tasks on serving ones
/// @return the pace, from zero to one, that serving tasks on the worker would leave to one more such task
[[nodiscard]] double expectedPace(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference);

/// @brief Tells whether a best-effort task has waited so long that it goes to any worker with headroom.
///
/// A finite job only has to make progress, so its tasks wait while one of them is assigned. Each long-running task has to run.
/// @param job the job
/// @param step number of the step
/// @param task state of a task without assignment
/// @param now current time
[[nodiscard]] bool waitedTooLong(const TrackedJob& job, std::uint32_t step, const TaskState& task, TimePoint now);

/// @brief Chooses a worker for one task.
///
/// Long-running tasks go beside serving images that best-effort images affect in the same way, so that each best-effort
/// image finds workers where it slows down no serving run; among these to the worker with the fewest free cores. Short tasks
/// go to the worker with the fewest free cores as well, so that large free blocks remain for large tasks. Best-effort tasks
/// go where serving tasks let them run fastest, then where most cores are unused.
/// @param job the job
/// @param step number of the step
/// @param task state of the task
/// @param workers all workers
/// @param interference effect of best-effort tasks on serving ones
/// @param now current time
/// @return the chosen worker, or nullptr if no worker can take the task
[[nodiscard]] const TrackedWorker* chooseWorker(const TrackedJob& job, std::uint32_t step, const TaskState& task, const Workers& workers, const InterferenceModel& interference, TimePoint now);

/// @param job the job
/// @param step number of the step
/// @param workers all workers
/// @param now current time
/// @return for logs: how many workers can take a task of the step, and how many cannot, by reason
[[nodiscard]] std::string describeUnfit(const TrackedJob& job, std::uint32_t step, const Workers& workers, TimePoint now);

}
