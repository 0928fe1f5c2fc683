#pragma once

/// @file
/// @brief Workers as reported by their agents, and the runs on them.

#include "Job.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief One incarnation of a worker; a worker that restarts keeps its identifier, but none of its runs.
struct WorkerIdentity {
    std::string id;
    /// Start of the incarnation, in milliseconds since 1970 by the worker's clock.
    std::int64_t startedAtMs = 0;

    std::strong_ordering operator<=>(const WorkerIdentity&) const = default;
};

/// @brief Attributes that a worker reports.
struct WorkerInfo {
    WorkerIdentity identity;
    std::string service;
    ResourceVector capacity;
    std::vector<std::string> labels;
    bool draining = false;
    /// Minimum time until a draining worker leaves.
    Duration remaining {};
    /// Whether the worker may hold a lease that outlives the time after which the leader releases the runs of a silent agent.
    bool longLease = false;
    /// Failure domain of the agent and its worker; empty if the agent does not state it.
    std::string failureDomain {};
    /// How long the worker will still be slow after its start.
    Duration coldRemaining {};

    bool operator==(const WorkerInfo&) const = default;
};

/// @brief How a run ended.
enum class RunEndKind : unsigned char {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// Its gang did not assemble in time.
    GangIncomplete,
};

/// @param kind the kind
/// @return its name for logs
[[nodiscard]] std::string_view toString(RunEndKind kind) noexcept;

/// @brief End of a run; the worker lists it until it is acknowledged.
struct RunEnd {
    /// Sequence number of the end within the incarnation of the worker.
    std::uint64_t number = 0;
    RunId run;
    RunEndKind kind = RunEndKind::Done;
    /// Checkpoint to resume from, or empty.
    std::string checkpoint;

    bool operator==(const RunEnd&) const = default;
};

/// @brief State of a run as listed by its worker.
struct RunStatus {
    RunId run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Tail latency of a serving task in milliseconds, or milli-cores that any other task uses.
    std::uint32_t measurement = 0;
    /// Pace that the agent has set, in percent.
    std::uint32_t pace = 100;

    bool operator==(const RunStatus&) const = default;
};

/// @brief Progress in percent of a serving run that handles requests; below it, the tail latency has no meaning.
constexpr std::uint32_t readyPercent = 100;

/// @brief Progress in percent of a finite run that has done all its work.
constexpr std::uint32_t completePercent = 100;

/// @brief Pace in percent of a run that is not slowed down.
constexpr std::uint32_t fullPace = 100;

/// @param tailMs tail latency of a serving run in milliseconds; zero, which is too short to be measured, counts as one
/// @param target response time target of the run
/// @return the latency slack: the target divided by the tail latency; the run misses its target below one
[[nodiscard]] double slackOf(std::uint32_t tailMs, Duration target) noexcept;

/// @brief Latency slack that a best-effort run at full pace takes from serving runs of one image on its worker.
struct SlackLoss {
    std::string image;
    double loss = 0;

    bool operator==(const SlackLoss&) const = default;
};

/// @brief Properties of a run that the agent needs to control paces.
struct PaceTraits {
    bool bestEffort = false;
    std::string image {};
    /// Milli-cores that a best-effort run uses at full pace.
    std::uint32_t milliCores = 0;
    /// Response time target of a serving run; zero for other runs.
    Duration target {};
    /// Slack that a best-effort run takes from each serving image on its worker.
    std::vector<SlackLoss> losses {};

    bool operator==(const PaceTraits&) const = default;

    /// @param serving image of a serving run
    /// @return the slack that the serving run loses; the greatest known loss if none is known for the image
    [[nodiscard]] double lossFor(const std::string& serving) const;
};

}
