#pragma once

/// @file
/// @brief Which running tasks are better stopped and started on another worker.

#include "Placement.h"

namespace cowslipdoor {

/// @brief Settings of relocation.
struct RelocationConfig {
    /// Pace in percent under which a filling run starves.
    std::uint32_t starvingPace = 50;
    /// How long a run starves before it is moved: about what a move costs (a stop, a start and the restoring of a checkpoint).
    Duration starvationTime = std::chrono::milliseconds(1000);
    /// Pace that it must be expected to get elsewhere.
    double minimumExpectedPace = 0.9;
    /// Progress in percent that a run without checkpoints may lose by a move.
    std::uint32_t maximumLostProgress = 15;

    /// How long a run of an expected time of nothing may show no progress; a list comes every half second.
    Duration minimumStallTime = std::chrono::milliseconds(1200);
    /// Pause between two lists of a worker after which they prove no standstill: this process, the agent or their link may
    /// have stood still instead. Two lists that follow each other are half a second apart.
    Duration maximumListGap = std::chrono::milliseconds(900);
    /// Share of its expected time that a run may show no progress beyond that: one percent of a run that takes ten times as
    /// long, twice over.
    double stallTimeShare = 0.2;
    /// Slack under which a serving run counts as standing still: a tail of fifty times its target.
    double stallSlack = 0.02;
    /// How long a worker on which all runs stand still gets no start.
    Duration stallExclusion = std::chrono::milliseconds(3000);

    bool operator==(const RelocationConfig&) const = default;
};

/// @param step the step of a running task that does not serve
/// @param task the task
/// @param config settings
/// @param now the present
/// @return whether the run has shown no progress for so long that its worker is in doubt
[[nodiscard]] bool isStalled(const StepSpec& step, const TaskState& task, const RelocationConfig& config, TimePoint now);

/// @param task a running task that does not serve
/// @param config settings
/// @param now the present
/// @return whether the run has shown progress lately
[[nodiscard]] bool progressedRecently(const TaskState& task, const RelocationConfig& config, TimePoint now);

/// @brief Chooses a better worker for a filling run that starves.
///
/// Pattern it answers: a filling run lands beside serving runs whose load swings up, or that turn out to mind it, and is
/// paced down to nothing for many seconds while other workers could run it at full pace. A stop gives a checkpoint, so a
/// move costs little more than the patience.
/// @param job its job
/// @param id the task
/// @param here the worker that runs it
/// @param workers all workers
/// @param interference what filling tasks do to serving ones
/// @param config settings
/// @param now the present
/// @return the better worker, or nothing when the run should stay
[[nodiscard]] const TrackedWorker* betterWorker(const TrackedJob& job, const TaskId& id, const TrackedWorker& here, const Workers& workers, const InterferenceModel& interference, const RelocationConfig& config, TimePoint now);

}
