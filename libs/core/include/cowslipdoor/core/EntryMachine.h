#pragma once

/// @file
/// @brief Decision logic of the entry, as a state machine without input or output.

#include "AgentMachine.h"
#include "BurnTracker.h"
#include "EventCatalogue.h"
#include "Ids.h"
#include "Messages.h"
#include "RetryBudget.h"
#include "Router.h"
#include "Rule.h"
#include "Time.h"
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of an EntryMachine.
struct EntryConfig {
    std::string name;
    Incarnation incarnation {};
    std::uint64_t randomSeed = 0;
    RouterConfig router;
    RetryBudgetLimits retryBudget;
    /// Maximum number of queued requests, over all classes.
    std::size_t maximumQueued = 4096;
    /// Number of agents that fence a keyed request against other entries before its home agent runs it.
    std::uint32_t keyWitnesses = 2;
    /// Time after the first agent connects in which keyed requests wait for further agents: the choice of the home agent depends on
    /// all agents.
    Duration keySettleTime = std::chrono::seconds(2);
    /// How long an agent still counts as known after its link has closed.
    Duration repeatWindow = std::chrono::seconds(30);
    /// Limit for the load reports of all agents to this entry, in bytes per second.
    std::uint32_t reportBytesPerSecond = 5000;
    Duration minimumHeartbeatInterval = std::chrono::seconds(1);
    Duration maximumHeartbeatInterval = std::chrono::seconds(30);

    bool operator==(const EntryConfig&) const = default;
};

/// @brief A caller sent a request.
struct RequestArrived {
    const CallerId caller {};
    const RequestHead head {};
    const Bytes body {};
};

/// @brief A caller disconnected.
struct CallerGone {
    const CallerId caller {};
};

/// @brief An agent opened a link.
struct AgentLinkOpened {
    const LinkId link {};
    const Hello hello {};
};

/// @brief A message of an agent arrived.
struct AgentMessage {
    const LinkId link {};
    const LinkMessage message {};
};

/// @brief A link to an agent has closed.
struct AgentLinkClosed {
    const LinkId link {};
};

/// @brief An operator loaded a rules file, which was checked to have no errors.
struct RulesLoaded {
    const RuleSet rules {};
};

/// @brief Any event that the entry processes.
using EntryEvent = std::variant<RequestArrived, CallerGone, AgentLinkOpened, AgentMessage, AgentLinkClosed, RulesLoaded, StopRequested, TimePassed>;

/// @brief Effect: send the result of a request to its caller.
struct ReplyToCaller {
    const CallerId caller {};
    const RequestId id {};
    const Completion completion {};

    bool operator==(const ReplyToCaller&) const = default;
};

/// @brief Effect: close a link that a newer link of the same agent replaces.
struct CloseLink {
    const LinkId link {};

    bool operator==(const CloseLink&) const = default;
};

/// @brief Effect: record the outcome and latency of a request in the metrics.
struct ObserveRequest {
    const std::string rule {};
    const TrafficClass trafficClass = TrafficClass::Quick;
    const Outcome outcome = Outcome::NotRun;
    const Duration latency {};

    bool operator==(const ObserveRequest&) const = default;
};

/// @brief Any effect that the entry asks its adapter to carry out.
using EntryEffect = std::variant<SendToLink, CloseLink, ReplyToCaller, ObserveRequest, RecordEvent>;

/// @brief Counters of an entry since its start.
struct EntryCounters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t retried = 0;
    std::uint64_t refusedByAgents = 0;
    std::uint64_t lateAnswersDropped = 0;
    std::uint64_t inquiries = 0;
    std::uint64_t cancelled = 0;

    bool operator==(const EntryCounters&) const = default;
};

/// @brief Decision logic of the entry: rules, queues, routing, retries, matching of answers to requests, and outcomes.
/// @code
/// EntryMachine entry(config);
/// for (const EntryEffect& effect : entry.step(event, now))
///     std::visit(adapter, effect);
/// @endcode
class EntryMachine {
public:
    /// @param config settings of the entry
    explicit EntryMachine(EntryConfig config);

    /// @brief Processes one event.
    /// @param event event to process
    /// @param now current time, never earlier than in the previous call
    /// @return the effects to carry out, in order
    [[nodiscard]] std::vector<EntryEffect> step(const EntryEvent& event, TimePoint now);

    /// @return when the next TimePassed event is due, or nothing before the first event
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /// @return the counts of answers against the objectives of the rules
    [[nodiscard]] const BurnTracker& burn() const noexcept { return this->burnTracker; }

    /// @return the rules in force
    [[nodiscard]] const RuleSet& rules() const noexcept { return this->ruleSet; }

    /// @return the router, which holds the agents as seen by the entry
    [[nodiscard]] const Router& router() const noexcept { return this->routerState; }

    /// @return the counters since the start
    [[nodiscard]] const EntryCounters& counters() const noexcept { return this->counts; }

    /// @return the number of queued requests
    [[nodiscard]] std::size_t queued() const noexcept;

    /// @return the number of unanswered requests, queued ones included
    [[nodiscard]] std::size_t pending() const noexcept { return this->requests.size(); }

    /// @return whether a stop was requested
    [[nodiscard]] bool stopping() const noexcept { return this->stopRequested; }

    /// @param now current time
    /// @return whether the entry has rules and agents, the time to wait for further agents is over, and no stop was requested
    [[nodiscard]] bool ready(TimePoint now) const noexcept;

private:
    /// Waits in a queue for an agent with free capacity.
    struct Queued { };

    /// Waits until its delay is over, then queues again.
    struct Delayed {
        TimePoint until;
    };

    /// Waits for the reports of witnesses that were asked to set a fence.
    struct Fencing {
        std::string home;
        std::set<LinkId> awaited;
        bool conflict = false;
    };

    /// Sent to an agent, either as a dispatch or as an inquiry.
    struct Dispatched {
        LinkId link {};
        std::string agent;
        Incarnation incarnation {};
        TimePoint sentAt;
        TimePoint attemptDeadline;
        /// Whether the agent was only asked for the state of a copy that another entry sent.
        bool inquiryOnly = false;
    };

    /// Sent to an agent whose link was lost; the state is asked for when the agent reconnects.
    struct Inquiring {
        std::string agent;
        Incarnation incarnation {};
    };

    using Phase = std::variant<Queued, Delayed, Fencing, Dispatched, Inquiring>;

    struct Request {
        std::vector<CallerId> callers;
        RequestHead head;
        Bytes body;
        std::uint64_t fingerprint = 0;
        Rule rule;
        bool keyed = false;
        std::uint32_t claim = 0;
        TimePoint arrivedAt;
        TimePoint deadline;
        std::uint64_t attempt = 0;
        bool attempted = false;
        std::uint32_t retriesLeft = 0;
        std::uint32_t refusals = 0;
        std::set<std::string> failedOn;
        Phase phase;
        /// Attempt that set the fences, and links of the agents that hold them.
        AttemptId fenceAttempt;
        std::set<LinkId> fencedAt;
        /// Reason of the last failure that leaves open whether the request ran.
        std::shared_ptr<const FailureReason> uncertainFailure;
        /// Whether a home agent and its witnesses have reported that no copy of the keyed request ran.
        bool knownNotRun = false;
        /// Whether the last inquiry found another entry's claim on the key.
        bool conflict = false;
    };

    struct KnownAgent {
        Incarnation incarnation {};
        LinkId link {};
    };

    using Effects = std::vector<EntryEffect>;
    using Requests = std::unordered_map<RequestId, Request, RequestIdHash>;

    void on(const RequestArrived& event, TimePoint now, Effects& effects);
    void on(const CallerGone& event, TimePoint now, Effects& effects);
    void on(const AgentLinkOpened& event, TimePoint now, Effects& effects);
    void on(const AgentMessage& event, TimePoint now, Effects& effects);
    void on(const AgentLinkClosed& event, TimePoint now, Effects& effects);
    void on(const RulesLoaded& event, TimePoint now, Effects& effects);
    void on(const StopRequested& event, TimePoint now, Effects& effects);
    void on(const TimePassed& event, TimePoint now, Effects& effects);

    void onMessage(LinkId link, const Answer& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const Report& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const LoadReport& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const RulesUpdate& message, TimePoint now, Effects& effects);
    template <typename Other>
    void onMessage(LinkId link, const Other& message, TimePoint now, Effects& effects);

    void admit(const RequestArrived& event, const RequestId& id, const Rule& rule, TimePoint now, Effects& effects);
    void joinRequest(const RequestArrived& event, const RequestId& id, Request& request, Effects& effects);
    void enqueue(const RequestId& id, Request& request);
    void dispatchQueued(TimePoint now, Effects& effects);
    void dispatchFromQueue(std::deque<RequestId>& queue, TimePoint now, Effects& effects);
    [[nodiscard]] bool tryDispatch(const RequestId& id, Request& request, TimePoint now, Effects& effects);
    [[nodiscard]] bool tryDispatchKeyed(const RequestId& id, Request& request, TimePoint now, Effects& effects);
    void send(const RequestId& id, Request& request, LinkId link, TimePoint now, Effects& effects);
    [[nodiscard]] std::vector<std::string> keyedCandidates() const;
    void handleWitnessReport(const RequestId& id, Request& request, const Report& message, LinkId link, TimePoint now, Effects& effects);
    void inquireWithoutFence(const RequestId& id, Request& request, LinkId link, TimePoint now, Effects& effects);
    void releaseFences(const RequestId& id, Request& request, Effects& effects);
    void delay(const RequestId& id, Request& request, Duration duration, TimePoint now);
    [[nodiscard]] std::uint32_t knownAgentCount(TimePoint now);
    [[nodiscard]] bool waitedForAgents(TimePoint now) const noexcept;

    void handleAnswer(const RequestId& id, Request& request, const Answer& message, TimePoint now, Effects& effects);
    void handleAttemptFailure(const RequestId& id, Request& request, const FailureReason& reason, TimePoint now, Effects& effects);
    void handleAttemptRefusal(const RequestId& id, Request& request, const FailureReason& reason, TimePoint now, Effects& effects);
    [[nodiscard]] bool scheduleRetry(const RequestId& id, Request& request, TimePoint now, Effects& effects);
    void handleLinkLoss(const RequestId& id, Request& request, LinkId link, TimePoint now, Effects& effects);
    void resumeInquiry(const RequestId& id, Request& request, LinkId link, const Hello& hello, TimePoint now, Effects& effects);
    void releaseAttempt(Request& request, AttemptHealth health, TimePoint now, Effects& effects);
    void cancelAttempt(const RequestId& id, const Request& request, Effects& effects);
    void handleWakeup(const RequestId& id, Request& request, TimePoint now, Effects& effects);
    void expire(const RequestId& id, Request& request, TimePoint now, Effects& effects);

    void answer(const RequestId& id, const Completion& completion, TimePoint now, Effects& effects);
    void fail(const RequestId& id, ErrorKind kind, const std::string& detail, TimePoint now, Effects& effects);
    void refuseCaller(const RequestArrived& event, const RequestId& id, ErrorKind kind, const std::string& detail, Effects& effects);
    void removeRequest(const RequestId& id);
    void sendHeartbeats(TimePoint now, Effects& effects);
    void applyRules(const RuleSet& rules, Effects& effects);
    void sendRulesIfOlder(LinkId link, std::uint64_t version, Effects& effects);
    [[nodiscard]] RequestId newRequestId() noexcept;
    [[nodiscard]] bool quotaExhausted(const Rule& rule) const;
    [[nodiscard]] AttemptId currentAttempt(const Request& request) const noexcept;
    [[nodiscard]] Duration heartbeatInterval() const noexcept;

    EntryConfig config;
    std::mt19937_64 random;
    Router routerState;
    RuleSet ruleSet;
    std::vector<RetryBudget> retryBudgets;
    std::array<std::deque<RequestId>, trafficClassCount> queues;
    Requests requests;
    std::map<CallerId, RequestId> requestOfCaller;
    std::map<std::string, KnownAgent> agents;
    std::map<std::string, TimePoint> lastSeenOfAgent;
    std::uint32_t reportedAgentCount = 0;
    TimePoint reportedAgentCountExpiry;
    std::optional<TimePoint> firstAgentAt;
    std::map<std::string, std::uint32_t> inFlightOfTeam;
    std::set<std::pair<TimePoint, RequestId>> wakeups;
    EntryCounters counts;
    BurnTracker burnTracker;
    std::optional<TimePoint> startedAt;
    std::uint64_t requestNumber = 0;
    std::uint32_t lastClaim = 0;
    std::uint64_t lastAttempt = 0;
    TimePoint nextHeartbeat;
    bool stopRequested = false;
};

}
