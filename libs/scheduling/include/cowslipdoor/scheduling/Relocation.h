#pragma once

/// @file
/// @brief Decides which running tasks are stopped and started again on another worker.

#include "Placement.h"

namespace cowslipdoor {

/// @brief Settings of relocation.
struct RelocationConfig {
    /// Pace in percent below which a best-effort run counts as starving.
    std::uint32_t starvingPace = 50;
    /// How long a run starves before it is moved; a move costs about as much (a stop, a start and the restore of a checkpoint).
    Duration starvationTime = std::chrono::milliseconds(1000);
    /// Minimum pace, as a share of full pace, that the run must be expected to get on the other worker.
    double minimumExpectedPace = 0.9;
    /// Maximum progress in percent that a run without checkpoints may lose by a move.
    std::uint32_t maximumLostProgress = 15;

    /// How long a run may show no progress, whatever its estimate; progress is reported every half second.
    Duration minimumStallTime = std::chrono::milliseconds(1200);
    /// Maximum time between two progress reports of a worker for which they can show a stall; after a longer gap this process,
    /// the agent or their link may have stalled instead. Consecutive reports are half a second apart.
    Duration maximumReportGap = std::chrono::milliseconds(900);
    /// Share of its estimate for which a run may show no progress in addition: twice the time for one percent of a run that
    /// takes ten times its estimate.
    double stallTimeShare = 0.2;
    /// Latency slack below which a serving run counts as stalled: a tail latency of fifty times the target.
    double stallSlack = 0.02;
    /// How long no run is started on a worker whose runs have all stalled.
    Duration stallExclusion = std::chrono::milliseconds(3000);

    bool operator==(const RelocationConfig&) const = default;
};

/// @param step the step of a running task that does not serve
/// @param task the task
/// @param config settings
/// @param now current time
/// @return whether the run has shown no progress for so long that its worker may have stalled
[[nodiscard]] bool isStalled(const StepSpec& step, const TaskState& task, const RelocationConfig& config, TimePoint now);

/// @param task a running task that does not serve
/// @param config settings
/// @param now current time
/// @return whether the run has shown progress recently
[[nodiscard]] bool progressedRecently(const TaskState& task, const RelocationConfig& config, TimePoint now);

/// @param job a job
/// @param step number of a step
/// @return whether a planned action may make one more task of the step unavailable, given its may-miss
[[nodiscard]] bool mayStopTask(const TrackedJob& job, std::uint32_t step);

/// @brief Chooses a better worker for a best-effort run that starves.
///
/// A best-effort run may start beside serving runs whose load then rises, or that turn out to be sensitive to it. It is
/// slowed down to almost nothing for many seconds, while other workers could run it at full pace. A stop yields a
/// checkpoint, so a move costs little more than the time for which the run has starved before.
/// @param job its job
/// @param id the task
/// @param here the worker that runs it
/// @param workers all workers
/// @param interference effect of best-effort tasks on serving ones
/// @param config settings
/// @param now current time
/// @return the better worker, or nullptr if the run should stay
[[nodiscard]] const TrackedWorker* betterWorker(const TrackedJob& job, const TaskId& id, const TrackedWorker& here, const Workers& workers, const InterferenceModel& interference, const RelocationConfig& config, TimePoint now);

}
