#pragma once

/// @file
/// @brief Simulation of entries, agents and upstreams in virtual time, which checks the guarantees given to callers.

#include "Values.h"
#include <cowslipdoor/core/AgentMachine.h>
#include <cowslipdoor/core/EntryMachine.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslipdoor::tests {

/// @brief Settings of a simulation.
struct RequestSimulationConfig {
    std::size_t agents = 5;
    std::size_t entries = 2;
    std::uint32_t slots = 2;
    /// Whether announcements list the keyed requests that have finished.
    bool upstreamsRemember = true;
    /// Maximum number of agents that are restarted or lose a link within one repeat window.
    std::size_t maximumFaultyAgents = 2;

    bool operator==(const RequestSimulationConfig&) const = default;
};

/// @brief Connects entry and agent state machines by message queues; each violated guarantee is listed in violations().
class RequestSimulation {
public:
    explicit RequestSimulation(RequestSimulationConfig config);

    /// @brief A caller sends a request; copies of a keyed request have the same `key`.
    void sendRequest(std::size_t entry, const std::string& target, const std::string& key);

    /// @brief A waiting caller disconnects.
    /// @param which selects one of the waiting callers
    void disconnectCaller(std::size_t which);

    /// @brief Delivers the oldest message of a link in one direction, or closes the receiver's end if the sender's is closed and
    /// no message is left.
    void deliver(std::size_t link, bool toAgent);

    /// @brief Delivers a recorded message: a duplicate, or one that was lost with its link; it may arrive on a newer link.
    void redeliver(std::size_t which);

    /// @brief The upstream reads the calls that have arrived and starts them.
    void upstreamReads(std::size_t agent);

    /// @brief The upstream finishes a running call.
    void upstreamFinishes(std::size_t agent, std::size_t which);

    /// @brief The connection of a running call breaks, while the upstream continues to run it.
    void upstreamDisconnects(std::size_t agent, std::size_t which);

    /// @brief The upstream sends an announcement.
    void upstreamAnnounces(std::size_t agent);

    /// @brief Breaks a link at the entry's end.
    /// @param link index of the link
    /// @param kept number of messages in each direction that are still delivered
    void cutLink(std::size_t link, std::size_t kept);
    void openLink(std::size_t link);
    void restartAgent(std::size_t agent);
    void restartEntry(std::size_t entry);

    /// @brief Advances the time of all processes; a step of one second or more first opens the closed links of agents without a recent fault.
    void advance(Duration duration);

    /// @brief Opens all links and advances the time until every caller must have its answer.
    void settle();

    /// @return descriptions of violated guarantees
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return this->recordedViolations; }

    [[nodiscard]] std::size_t links() const noexcept { return this->linkStates.size(); }
    [[nodiscard]] const RequestSimulationConfig& size() const noexcept { return this->config; }
    [[nodiscard]] std::size_t answered() const noexcept { return this->answeredCallers; }
    [[nodiscard]] std::size_t ran() const noexcept { return this->runCount; }

private:
    struct Link {
        std::size_t entry = 0;
        std::size_t agent = 0;
        LinkId entryEnd {};
        LinkId agentEnd {};
        bool entryOpen = false;
        bool agentOpen = false;
        std::deque<LinkMessage> toAgent;
        std::deque<LinkMessage> toEntry;
    };

    struct Call {
        RequestId id;
        AttemptId attempt;
        Incarnation agent {};
        Capacity demand;
        std::string target;
        bool idempotent = true;
    };

    struct Upstream {
        std::uint64_t sequence = 0;
        AnnouncementToken echo;
        std::vector<Call> arriving;
        std::vector<Call> running;
        std::vector<RequestId> finishedKeyed;
        Capacity used;
    };

    struct Caller {
        std::size_t entry = 0;
        Incarnation entryIncarnation {};
        std::string target;
        std::optional<RequestId> keyed;
        std::uint64_t arrival = 0;
        bool answered = false;
        bool gone = false;
    };

    struct Delivered {
        std::size_t link = 0;
        bool toAgent = false;
        LinkMessage message;
    };

    void startAgent(std::size_t agent);
    void startEntry(std::size_t entry);
    void stepEntry(std::size_t entry, const EntryEvent& event);
    void stepAgent(std::size_t agent, const AgentEvent& event);
    void applyEffect(std::size_t entry, const EntryEffect& effect);
    void applyEffect(std::size_t agent, const AgentEffect& effect);
    void reply(const ReplyToCaller& effect);
    void begin(std::size_t agent, const Call& call);
    void recordDelivery(std::size_t link, bool toAgent, const LinkMessage& message);
    void reconnect();
    void closeEntryEnd(Link& link);
    void closeAgentEnd(Link& link);
    [[nodiscard]] bool mayInjectFault(std::size_t agent);
    [[nodiscard]] Link* byEntryEnd(std::size_t entry, LinkId end);
    [[nodiscard]] Link* byAgentEnd(std::size_t agent, LinkId end);
    [[nodiscard]] Completion completionOf(const Call& call) const;
    void recordViolation(const std::string& what);
    [[nodiscard]] bool copyOutstanding(const RequestId& id, std::uint64_t otherThan) const;

    RequestSimulationConfig config;
    TimePoint now = origin;
    std::uint64_t lastIncarnation = 0;
    std::uint64_t lastLink = 0;
    std::uint64_t lastCaller = 0;
    std::vector<std::unique_ptr<EntryMachine>> entries;
    std::vector<Incarnation> entryIncarnations;
    std::vector<std::unique_ptr<AgentMachine>> agents;
    std::vector<Incarnation> agentIncarnations;
    std::vector<Upstream> upstreams;
    std::vector<Link> linkStates;
    std::map<std::uint64_t, Caller> callers;
    std::map<std::size_t, TimePoint> faultUntil;
    std::map<RequestId, std::uint32_t> keyedRuns;
    std::map<std::string, std::uint32_t> targetRuns;
    std::set<std::string> reportedNotRun;
    std::map<RequestId, std::uint64_t> keyedReportedNotRun;
    std::deque<Delivered> delivered;
    std::vector<std::string> recordedViolations;
    std::size_t answeredCallers = 0;
    std::size_t runCount = 0;
};

}
