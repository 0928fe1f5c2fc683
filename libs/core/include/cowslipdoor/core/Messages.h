#pragma once

/// @file
/// @brief Messages between entries and agents, as immutable values apart from their encoding.

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

/// @brief What an agent last knew of its VM; to an entry it is only a hint.
struct Load {
    Capacity total;
    Capacity free;
    /// Whether the agent has learned what its VM holds and may admit work.
    bool ready = false;
    /// Whether the agent or its upstream is leaving.
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
    /// Number of agents that entries have lately told this agent of.
    const std::uint32_t agentsKnown = 0;

    bool operator==(const Hello&) const = default;
};

/// @brief First message of an entry on a link.
struct Welcome {
    const std::string entry {};
    const Incarnation incarnation {};
    const std::uint64_t rulesVersion = 0;
    /// How often the agent reports, chosen by the entry from its number of links.
    const Duration heartbeatInterval {};
    /// Number of agents that the entry knows of.
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

/// @brief How an attempt ended.
struct Answer {
    const RequestId id {};
    const AttemptId attempt {};
    const Completion completion {};
    const Load load {};

    bool operator==(const Answer&) const = default;
};

/// @brief Tells an agent that nobody waits for an attempt any more.
struct Cancel {
    const RequestId id {};
    const AttemptId attempt {};

    bool operator==(const Cancel&) const = default;
};

/// @brief Asks an agent what became of an attempt; one that it has not seen will never run there.
struct Inquiry {
    const RequestId id {};
    const AttemptId attempt {};
    /// Whether the agent must refuse the request to every other claim from now on.
    const bool fence = false;

    bool operator==(const Inquiry&) const = default;
};

/// @brief What an agent knows of a request.
enum class RequestState : unsigned char {
    NotRun,
    Running,
    Finished,
    /// It has not run here, and another claim has a fence here.
    FencedByOther,
    /// The agent cannot tell.
    Forgotten,
};

/// @brief Answers an Inquiry.
struct Report {
    const RequestId id {};
    const AttemptId attempt {};
    const RequestState state = RequestState::Forgotten;
    /// The recorded end, when the state is Finished and the agent still has it.
    const std::optional<Completion> completion {};

    bool operator==(const Report&) const = default;
};

/// @brief Takes back a fence, because the request that it was for did not run and will not.
struct Release {
    const RequestId id {};
    /// The attempt whose inquiry set the fence.
    const AttemptId attempt {};

    bool operator==(const Release&) const = default;
};

/// @brief Periodic report of an agent, also sent at once when what it says matters to routing.
struct LoadReport {
    const Load load {};
    const std::uint64_t rulesVersion = 0;

    bool operator==(const LoadReport&) const = default;
};

/// @brief Periodic sign of life of an entry.
struct Heartbeat {
    const std::uint64_t rulesVersion = 0;
    /// Number of agents that the entry knows of.
    const std::uint32_t agentsKnown = 0;

    bool operator==(const Heartbeat&) const = default;
};

/// @brief Carries a rules file to a process that has an older one.
struct RulesUpdate {
    const std::uint64_t version = 0;
    const std::string text {};

    bool operator==(const RulesUpdate&) const = default;
};

/// @brief Every message of a link.
using LinkMessage = std::variant<Hello, Welcome, DispatchRequest, Answer, Cancel, Inquiry, Report, LoadReport, Heartbeat, RulesUpdate, Release>;

}
