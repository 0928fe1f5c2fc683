#pragma once

/// @file
/// @brief Messages between the leading entry and the agents.

#include "Worker.h"
#include <optional>
#include <type_traits>
#include <variant>

namespace cowslipdoor {

/// @brief First message of a leader on a link.
struct LeaderHello {
    std::uint64_t epoch = 0;
    std::string leader;
    /// Greatest generation of the agent that the leader knows.
    std::uint64_t knownGeneration = 0;
    /// Agent that the leader means, as an address may have gone to another; empty from a leader that does not say.
    std::string agent {};

    bool operator==(const LeaderHello&) const = default;
};

/// @brief Tells what the runs are that the agent may find on its worker.
struct DescribeRun {
    RunId run;
    PaceTraits traits;

    bool operator==(const DescribeRun&) const = default;
};

/// @brief Orders a start that is stored already.
struct StartRun {
    RunId run;
    WorkerIdentity worker;
    std::string payload;
    std::string checkpoint;
    PaceTraits traits;
    /// Number of the order, growing over all orders of the leader.
    std::uint64_t order = 0;
    /// Time of the agent's newest ping that the leader had answered; an order with an old one came late and is void.
    std::int64_t answeredPingAt = 0;

    bool operator==(const StartRun&) const = default;
};

/// @brief Orders a stop.
struct StopRun {
    RunId run;

    bool operator==(const StopRun&) const = default;
};

/// @brief Tells that ends up to a number are stored.
struct AcknowledgeEnds {
    WorkerIdentity worker;
    std::uint64_t upTo = 0;

    bool operator==(const AcknowledgeEnds&) const = default;
};

/// @brief Answers a Ping while the leader's lease is valid.
struct Pong {
    std::int64_t sentAt = 0;

    bool operator==(const Pong&) const = default;
};

/// @brief Asks the leader for a word; the time is the agent's own.
struct Ping {
    std::int64_t sentAt = 0;

    bool operator==(const Ping&) const = default;
};

/// @brief Everything that an agent knows of its worker.
struct WorkerSnapshot {
    std::string agent;
    std::uint64_t generation = 0;
    /// The worker, or nothing while none is known.
    std::optional<WorkerInfo> worker;
    /// Whether every run that is not named here is over or never began.
    bool settled = false;
    std::vector<RunStatus> running;
    std::vector<RunEnd> ended;
    /// Orders that are not carried out yet.
    std::vector<RunId> pending;
    /// Greatest number of an order that came on this link; later ones are still under way.
    std::uint64_t lastOrder = 0;

    bool operator==(const WorkerSnapshot&) const = default;
};

/// @brief Runs ended.
struct RunsEnded {
    WorkerIdentity worker;
    std::vector<RunEnd> ends;

    bool operator==(const RunsEnded&) const = default;
};

/// @brief A run was refused and never began.
struct RunRejected {
    RunId run;
    std::string reason;

    bool operator==(const RunRejected&) const = default;
};

/// @brief Periodic state of the runs.
struct RunProgress {
    WorkerIdentity worker;
    std::vector<RunStatus> running;

    bool operator==(const RunProgress&) const = default;
};

/// @brief Message from a leader to an agent.
using LeaderMessage = std::variant<LeaderHello, DescribeRun, StartRun, StopRun, AcknowledgeEnds, Pong>;

/// @brief Message from an agent to a leader.
using AgentReport = std::variant<Ping, WorkerSnapshot, RunsEnded, RunRejected, RunProgress>;

/// @brief Any message on a link of jobs.
using JobMessage = std::variant<LeaderHello, DescribeRun, StartRun, StopRun, AcknowledgeEnds, Pong, Ping, WorkerSnapshot, RunsEnded, RunRejected, RunProgress>;

/// @brief Widens a message of one side to one of the link.
/// @param message a LeaderMessage or an AgentReport
/// @return the same message
template <typename SideMessage>
[[nodiscard]] JobMessage toJobMessage(const SideMessage& message)
{
    return std::visit([](const auto& alternative) { return JobMessage(alternative); }, message);
}

/// @brief Narrows a message of the link to one of a side.
/// @param message any message
/// @return the same message as a LeaderMessage or an AgentReport, or nothing if that side does not send it
template <typename SideMessage>
[[nodiscard]] std::optional<SideMessage> fromJobMessage(const JobMessage& message)
{
    const auto narrow = [](const auto& alternative) -> std::optional<SideMessage> {
        if constexpr (std::is_constructible_v<SideMessage, decltype(alternative)>)
            return SideMessage(alternative);
        else
            return std::nullopt;
    };
    return std::visit(narrow, message);
}

}
