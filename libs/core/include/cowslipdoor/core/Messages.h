#pragma once

/// @file
/// @brief Messages between entries and agents, as immutable values independent of their encoding.

#include "Bytes.h"
#include "Ids.h"
#include "Request.h"
#include "Resources.h"
#include "Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief State of an agent and its VM. The copy at an entry may be stale; the agent decides on admission.
struct Load {
    Capacity total;
    Capacity free;
    /// Whether the agent knows what is running on its VM and may admit requests.
    bool ready = false;
    /// Whether the agent or its upstream is shutting down.
    bool draining = false;
    /// Whether the agent knows every non-idempotent request that ran on its VM within the repeat window.
    bool ledgerComplete = false;

    bool operator==(const Load&) const = default;
};

/// @brief First message of an agent on a link.
struct Hello {
    const std::string agent {};
    const Incarnation incarnation {};
    const std::string failureDomain {};
    const std::uint64_t rulesVersion = 0;
    const Load load {};
    /// Number of agents according to the entries' latest messages to this agent.
    const std::uint32_t agentsKnown = 0;

    bool operator==(const Hello&) const = default;
};

/// @brief First message of an entry on a link.
struct Welcome {
    const std::string entry {};
    const Incarnation incarnation {};
    const std::uint64_t rulesVersion = 0;
    /// Interval of the agent's load reports, which the entry sets from its number of links.
    const Duration heartbeatInterval {};
    /// Number of agents that the entry knows.
    const std::uint32_t agentsKnown = 0;

    bool operator==(const Welcome&) const = default;
};

/// @brief Asks an agent to run a request.
struct DispatchRequest {
    const RequestId id {};
    const AttemptId attempt {};
    const TrafficClass trafficClass = TrafficClass::Quick;
    /// Time left until the caller's deadline.
    const Duration budget {};
    const Capacity demand {};
    /// Slots that must stay free after this request is admitted.
    const std::uint32_t reserveSlots = 0;
    const RequestHead head {};
    const Bytes body {};

    bool operator==(const DispatchRequest&) const = default;
};

/// @brief Result of an attempt.
struct Answer {
    const RequestId id {};
    const AttemptId attempt {};
    const Completion completion {};
    const Load load {};

    bool operator==(const Answer&) const = default;
};

/// @brief Tells an agent that the entry no longer waits for an attempt.
struct Cancel {
    const RequestId id {};
    const AttemptId attempt {};

    bool operator==(const Cancel&) const = default;
};

/// @brief Asks an agent for the state of a request. If the request has not run there, the agent will never run the named attempt.
struct Inquiry {
    const RequestId id {};
    const AttemptId attempt {};
    /// Whether the agent must also set a fence, which refuses attempts of every other claim on the request.
    const bool fence = false;

    bool operator==(const Inquiry&) const = default;
};

/// @brief State of a request at an agent.
enum class RequestState : unsigned char {
    NotRun,
    Running,
    Finished,
    /// The request has not run at this agent, and another claim has a fence on it.
    FencedByOther,
    /// The agent cannot tell whether the request ran.
    Forgotten,
};

/// @brief Answers an Inquiry.
struct Report {
    const RequestId id {};
    const AttemptId attempt {};
    const RequestState state = RequestState::Forgotten;
    /// Recorded result, if the state is Finished and the agent still has it.
    const std::optional<Completion> completion {};

    bool operator==(const Report&) const = default;
};

/// @brief Releases a fence, because the request did not run under it and will not.
struct Release {
    const RequestId id {};
    /// Attempt whose inquiry set the fence.
    const AttemptId attempt {};

    bool operator==(const Release&) const = default;
};

/// @brief Periodic report of an agent, also sent immediately after a change that affects routing.
struct LoadReport {
    const Load load {};
    const std::uint64_t rulesVersion = 0;

    bool operator==(const LoadReport&) const = default;
};

/// @brief Periodic message of an entry that keeps the link alive.
struct Heartbeat {
    const std::uint64_t rulesVersion = 0;
    /// Number of agents that the entry knows.
    const std::uint32_t agentsKnown = 0;

    bool operator==(const Heartbeat&) const = default;
};

/// @brief Sends a rules file to a process that has an older version.
struct RulesUpdate {
    const std::uint64_t version = 0;
    const std::string text {};

    bool operator==(const RulesUpdate&) const = default;
};

/// @brief Any message on a link.
using LinkMessage = std::variant<Hello, Welcome, DispatchRequest, Answer, Cancel, Inquiry, Report, LoadReport, Heartbeat, RulesUpdate, Release>;

}
