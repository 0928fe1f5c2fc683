#pragma once

/// @file
/// @brief Workers as their agents know them, and the runs on them.

#include "Job.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief One life of a worker; a worker may come back under its identifier with nothing of before.
struct WorkerIdentity {
    std::string id;
    /// Start of this life, in milliseconds since 1970 by the worker's clock.
    std::int64_t startedAtMs = 0;

    std::strong_ordering operator<=>(const WorkerIdentity&) const = default;
};

/// @brief What a worker says of itself.
struct WorkerInfo {
    WorkerIdentity identity;
    std::string service;
    ResourceVector capacity;
    std::vector<std::string> labels;
    bool draining = false;
    /// Least time until a draining worker leaves.
    Duration remaining {};

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

/// @brief End of a run as its worker lists it until it is acknowledged.
struct RunEnd {
    /// Number of the end within the worker's life.
    std::uint64_t number = 0;
    RunId run;
    RunEndKind kind = RunEndKind::Done;
    /// Checkpoint to resume from, or empty.
    std::string checkpoint;

    bool operator==(const RunEnd&) const = default;
};

/// @brief Run as its worker lists it.
struct RunStatus {
    RunId run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Tail latency in milliseconds of a serving task, or milli-cores in use of another.
    std::uint32_t measurement = 0;
    /// Pace that the agent gave it, in percent.
    std::uint32_t pace = 100;

    bool operator==(const RunStatus&) const = default;
};

/// @brief Progress in percent of a serving run that is at work; before, its tail says nothing.
constexpr std::uint32_t readyPercent = 100;

/// @brief Pace in percent of a run that nothing slows.
constexpr std::uint32_t fullPace = 100;

/// @param tailMs tail latency of a serving run in milliseconds; one that is too short to be measured counts as one
/// @param target its target
/// @return the slack: target over tail, one at the target
[[nodiscard]] double slackOf(std::uint32_t tailMs, Duration target) noexcept;

/// @brief Slack that a filling run at full pace takes from serving runs of one image beside it.
struct SlackLoss {
    std::string image;
    double loss = 0;

    bool operator==(const SlackLoss&) const = default;
};

/// @brief What an agent must know of a run to regulate its pace.
struct PaceTraits {
    bool bestEffort = false;
    std::string image {};
    /// Cores that a filling run uses at full pace.
    std::uint32_t milliCores = 0;
    /// Response time that a serving run must stay below; zero for others.
    Duration target {};
    /// What a filling run does to the serving images of its worker.
    std::vector<SlackLoss> losses {};

    bool operator==(const PaceTraits&) const = default;

    /// @param serving image of a serving run
    /// @return the slack that it loses; the worst that is known where the image is not
    [[nodiscard]] double lossFor(const std::string& serving) const;
};

}
