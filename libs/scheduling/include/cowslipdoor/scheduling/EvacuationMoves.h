#pragma once

/// @file
/// @brief Decision which runs of evacuated failure domains are moved to other workers, and when.

#include "Placement.h"
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of moves out of evacuated failure domains.
struct EvacuationMoveConfig {
    /// Minimum expected remaining time of a finite run that is moved; a move costs about a second (a stop, a start and the restore
    /// of a checkpoint).
    Duration minimumRemaining = std::chrono::milliseconds(2000);
    /// Maximum number of moves under way, so that the other workers are not flooded with starts.
    std::size_t movesAtOnce = 4;
    /// How long a move counts as under way if the task does not run again.
    Duration moveTimeout = std::chrono::seconds(10);
    /// Interval at which moves are decided.
    Duration interval = std::chrono::milliseconds(500);
    /// Maximum number of steps for which a place is sought at once; each takes a look at every worker.
    std::size_t stepsAtOnce = 30;
    /// Minimum interval between log lines about the runs that are left.
    Duration reportInterval = std::chrono::seconds(1);

    bool operator==(const EvacuationMoveConfig&) const = default;
};

/// @brief Nothing is done about the run: it is finite and saves no checkpoints, or little of it is left, or it is being stopped, or no worker has
/// listed it yet.
struct RunsToEnd {
    bool operator==(const RunsToEnd&) const = default;
};

/// @brief The run waits until other tasks of its step have moved, or run again.
struct AwaitsTurn {
    bool operator==(const AwaitsTurn&) const = default;
};

/// @brief The run waits until another worker can take the task.
struct AwaitsPlace {
    bool operator==(const AwaitsPlace&) const = default;
};

/// @brief The run is stopped, as another worker can take the task.
struct MovesTo {
    std::string agent;

    bool operator==(const MovesTo&) const = default;
};

/// @brief What happens to a run in an evacuated failure domain.
using EvacuationVerdict = std::variant<RunsToEnd, AwaitsTurn, AwaitsPlace, MovesTo>;

/// @brief Move of a task from one worker to another.
struct EvacuationMove {
    TaskId task;
    /// Agents of the two workers.
    std::string from;
    std::string to;

    bool operator==(const EvacuationMove&) const = default;
};

/// @brief Moves under way, with the time at which each stop was ordered.
using OngoingMoves = std::map<TaskId, std::pair<EvacuationMove, TimePoint>>;

/// @brief Moves to order now, and what else is left in the evacuated failure domains.
struct EvacuationPlan {
    /// Moves, first those of finite tasks whose job can still meet its objective, then those of long-running tasks.
    std::vector<EvacuationMove> moves {};
    std::size_t finiteRuns = 0;
    std::size_t longRunningRuns = 0;
    /// Tasks that should move and have to wait, in the same order.
    std::vector<TaskId> waiting {};

    bool operator==(const EvacuationPlan&) const = default;
};

/// @brief Decides about one run in an evacuated failure domain.
/// @param job its job
/// @param id the task
/// @param ongoing moves under way
/// @param workers all workers, with the resources reserved that moves under way will need
/// @param interference effect of best-effort tasks on serving ones
/// @param config settings
/// @param now current time
/// @return the decision
[[nodiscard]] EvacuationVerdict judgeEvacuatedRun(const TrackedJob& job, const TaskId& id, const OngoingMoves& ongoing, const Workers& workers, const InterferenceModel& interference, const EvacuationMoveConfig& config, TimePoint now);

/// @brief Removes moves that have ended: the task runs elsewhere, its job has ended, or the move takes too long.
/// @param ongoing moves under way
/// @param jobs all jobs
/// @param config settings
/// @param now current time
/// @return the moves that are still under way
[[nodiscard]] OngoingMoves withoutEndedMoves(const OngoingMoves& ongoing, const JobRegistry& jobs, const EvacuationMoveConfig& config, TimePoint now);

/// @brief Decides about all runs in evacuated failure domains.
/// @param jobs all jobs
/// @param workers all workers
/// @param ongoing moves under way
/// @param interference effect of best-effort tasks on serving ones
/// @param config settings
/// @param now current time
/// @return the moves to order now, and what is left
[[nodiscard]] EvacuationPlan planEvacuation(const JobRegistry& jobs, const Workers& workers, const OngoingMoves& ongoing, const InterferenceModel& interference, const EvacuationMoveConfig& config, TimePoint now);

}
