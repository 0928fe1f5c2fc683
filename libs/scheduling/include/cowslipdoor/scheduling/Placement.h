#pragma once

/// @file
/// @brief Order in which jobs are placed, and choice of a worker for each task.

#include "BestEffortPace.h"
#include "InterferenceModel.h"
#include "JobRegistry.h"
#include "PlaceCache.h"
#include "Workers.h"
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the choice of places.
struct PlacementConfig {
    /// Whether finite tasks weigh a wait for a better place; if not, best-effort tasks go to any worker at half of full pace,
    /// or after 1 s without an assigned task of the job to any worker.
    bool waits = true;
    /// Time that a task takes off the rack of its data, or in a colocated step on several racks, as a multiple of its time
    /// otherwise; one if racks do not matter.
    double remoteFactor = 1;
    /// Factor by which a best-effort task beside serving runs that slow it down takes longer than expected, as the load of serving
    /// runs varies within seconds.
    double paceRisk = 1.5;

    bool operator==(const PlacementConfig&) const = default;
};

/// @param worker attributes of a worker
/// @param label a label, or empty
/// @return whether the worker has the label, or the label is empty
[[nodiscard]] bool hasLabel(const WorkerInfo& worker, const std::string& label);

/// @param worker a worker with known attributes
/// @param nearRack rack on which a task runs fastest, or empty
/// @param config settings
/// @return how many times as long the task takes on the worker because of its rack
[[nodiscard]] double locationSlowdown(const TrackedWorker& worker, const std::string& nearRack, const PlacementConfig& config);

/// @param worker a worker
/// @param job the job
/// @param step one of its steps
/// @param now current time
/// @return whether the worker may take tasks of the step once it has room
[[nodiscard]] bool isCandidate(const TrackedWorker& worker, const TrackedJob& job, const StepSpec& step, TimePoint now);

/// @param job the job
/// @param step number of the step
/// @param nearRack rack on which its tasks run fastest, or empty
/// @param takesStalled whether stalled workers count as well
/// @return the requirements of its tasks
[[nodiscard]] PlaceKey placeKeyOf(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, bool takesStalled);

/// @param job the job
/// @return the time after which its end has no value: three times its objective
[[nodiscard]] TimePoint valueEnd(const TrackedJob& job);

/// @brief Orders jobs for placement.
///
/// The order decides which jobs meet their objectives when the load peaks and not all can. Higher priority comes first;
/// within a priority first long-running jobs, as best-effort tasks are placed by what runs beside them, then the jobs that can
/// still meet their objective, by due time, then those that are late in any case, as they lose little by waiting. Jobs older
/// than three times their objective come last of all, since finishing them sooner has no value; they still run.
/// @param jobs the jobs to order
/// @param jobRegistry registry that holds the jobs
/// @param now current time
/// @return the jobs in the order of placement
[[nodiscard]] std::vector<const TrackedJob*> placementOrder(const std::set<JobId>& jobs, const JobRegistry& jobRegistry, TimePoint now);

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
/// go where serving tasks let them run fastest, then where most cores are unused. Workers that are still slow after their
/// start come after all others.
/// @param job the job
/// @param step number of the step
/// @param task state of the task
/// @param workers all workers
/// @param interference effect of best-effort tasks on serving ones
/// @param now current time
/// @return the chosen worker, or nullptr if no worker can take the task
[[nodiscard]] const TrackedWorker* chooseWorker(const TrackedJob& job, std::uint32_t step, const TaskState& task, const Workers& workers, const InterferenceModel& interference, TimePoint now);

/// @param step the step
/// @param config settings
/// @return whether its tasks weigh a wait for a better place
[[nodiscard]] bool weighsPlaces(const StepSpec& step, const PlacementConfig& config);

/// @brief Chooses the best available place for a task that weighs a wait for a better one.
///
/// Places on workers that should be spared, after refused starts or because the task failed there, come last among those on
/// which the task runs at half of full pace or more.
/// @param job the job
/// @param step number of the step
/// @param task state of the task
/// @param nearRack rack on which the task runs fastest, or empty
/// @param workers all workers
/// @param interference effect of best-effort tasks on serving ones
/// @param config settings
/// @param cache results of this pass
/// @param now current time
/// @return the best place, or std::nullopt if no worker can take the task
[[nodiscard]] std::optional<Place> bestPlace(const TrackedJob& job, std::uint32_t step, const TaskState& task, const std::string& nearRack, const Workers& workers, const InterferenceModel& interference, const PlacementConfig& config, PlaceCache& cache, TimePoint now);

/// @param job the job
/// @param step number of the step
/// @param workers all workers
/// @param now current time
/// @return for logs: how many workers can take a task of the step, and how many cannot, by reason
[[nodiscard]] std::string describeUnfit(const TrackedJob& job, std::uint32_t step, const Workers& workers, TimePoint now);

}
