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
    /// Greatest generation of the agent known to the leader.
    std::uint64_t knownGeneration = 0;
    /// Name of the agent that the leader expects, as another agent may have the address now; empty if not stated.
    std::string agent {};

    bool operator==(const LeaderHello&) const = default;
};

/// @brief Describes a run that the agent may find on its worker.
struct DescribeRun {
    RunId run;
    PaceTraits traits;

    bool operator==(const DescribeRun&) const = default;
};

/// @brief Orders the start of a run whose assignment is stored.
struct StartRun {
    RunId run;
    WorkerIdentity worker;
    std::string payload;
    std::string checkpoint;
    PaceTraits traits;
    /// Number of the order; numbers increase over all orders of the leader.
    std::uint64_t order = 0;
    /// Time of the agent's newest ping that the leader had answered; an order with an old time came late and is void.
    std::int64_t answeredPingAt = 0;

    bool operator==(const StartRun&) const = default;
};

/// @brief Orders the stop of a run.
struct StopRun {
    RunId run;

    bool operator==(const StopRun&) const = default;
};

/// @brief Acknowledges that all ends up to a number are stored.
struct AcknowledgeEnds {
    WorkerIdentity worker;
    std::uint64_t upTo = 0;

    bool operator==(const AcknowledgeEnds&) const = default;
};

/// @brief Renewal grant: answers a Ping while the leader's lease is valid, and allows the agent to renew its worker's leases.
struct Pong {
    std::int64_t sentAt = 0;

    bool operator==(const Pong&) const = default;
};

/// @brief Asks the leader for a renewal grant; the time, by the agent's clock, is returned in the Pong.
struct Ping {
    std::int64_t sentAt = 0;

    bool operator==(const Ping&) const = default;
};

/// @brief Complete state of a worker as known to its agent.
struct WorkerSnapshot {
    std::string agent;
    std::uint64_t generation = 0;
    /// The worker, or std::nullopt while none is known.
    std::optional<WorkerInfo> worker;
    /// Whether every run that is not listed here has ended or never started.
    bool settled = false;
    std::vector<RunStatus> running;
    std::vector<RunEnd> ended;
    /// Runs whose start was ordered, but that the worker has not listed yet.
    std::vector<RunId> pending;
    /// Greatest number of an order received on this link; later orders are still in flight.
    std::uint64_t lastOrder = 0;

    bool operator==(const WorkerSnapshot&) const = default;
};

/// @brief Reports ends of runs.
struct RunsEnded {
    WorkerIdentity worker;
    std::vector<RunEnd> ends;

    bool operator==(const RunsEnded&) const = default;
};

/// @brief Reports that a run was refused and never started.
struct RunRejected {
    RunId run;
    std::string reason;

    bool operator==(const RunRejected&) const = default;
};

/// @brief Reports the state of all runs periodically.
struct RunProgress {
    WorkerIdentity worker;
    std::vector<RunStatus> running;

    bool operator==(const RunProgress&) const = default;
};

/// @brief Message from a leader to an agent.
using LeaderMessage = std::variant<LeaderHello, DescribeRun, StartRun, StopRun, AcknowledgeEnds, Pong>;

/// @brief Message from an agent to a leader.
using AgentReport = std::variant<Ping, WorkerSnapshot, RunsEnded, RunRejected, RunProgress>;

/// @brief Any message on a link between a leader and an agent.
using JobMessage = std::variant<LeaderHello, DescribeRun, StartRun, StopRun, AcknowledgeEnds, Pong, Ping, WorkerSnapshot, RunsEnded, RunRejected, RunProgress>;

/// @brief Converts a message of one side to a message of the link.
/// @param message a LeaderMessage or an AgentReport
/// @return the same message
template <typename SideMessage>
[[nodiscard]] JobMessage toJobMessage(const SideMessage& message)
{
    return std::visit([](const auto& alternative) { return JobMessage(alternative); }, message);
}

/// @brief Converts a message of the link to a message of one side.
/// @param message any message
/// @return the same message as a LeaderMessage or an AgentReport, or std::nullopt if that side does not send it
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
