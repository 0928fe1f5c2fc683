#pragma once

/// @file
/// @brief Decision logic of the agent, as a state machine without input or output.

#include "Admission.h"
#include "Announcement.h"
#include "EventCatalogue.h"
#include "Ids.h"
#include "Ledger.h"
#include "Messages.h"
#include "Rule.h"
#include "Time.h"
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of an AgentMachine.
struct AgentConfig {
    std::string name;
    std::string failureDomain;
    Incarnation incarnation {};
    LedgerLimits ledger;
    /// Interval of the upstream's announcements.
    Duration announceInterval = std::chrono::milliseconds(1000);
    /// Interval while the agent waits for announcements that show whether requests of an earlier incarnation or of abandoned calls
    /// are still running.
    Duration recoveryAnnounceInterval = std::chrono::milliseconds(50);
    /// Minimum timeout of a call for a non-idempotent request; such a call continues when its caller no longer waits.
    Duration nonIdempotentLimit = std::chrono::seconds(60);

    bool operator==(const AgentConfig&) const = default;
};

/// @brief The upstream sent an announcement; the reply goes to `caller`.
struct UpstreamAnnounced {
    const CallerId caller {};
    const Announcement announcement {};
};

/// @brief A link to an entry is open.
struct EntryLinkOpened {
    const LinkId link {};
    const Welcome welcome {};
};

/// @brief A message of an entry arrived.
struct EntryMessage {
    const LinkId link {};
    const LinkMessage message {};
};

/// @brief A link to an entry has closed.
struct EntryLinkClosed {
    const LinkId link {};
};

/// @brief A call to the upstream ended.
struct UpstreamCallEnded {
    const RequestId id {};
    const AttemptId attempt {};
    const Completion completion {};
};

/// @brief The process was asked to stop.
struct StopRequested { };

/// @brief Any event that the agent processes.
using AgentEvent = std::variant<UpstreamAnnounced, EntryLinkOpened, EntryMessage, EntryLinkClosed, UpstreamCallEnded, StopRequested, TimePassed>;

/// @brief Effect: send a message on a link.
struct SendToLink {
    const LinkId link {};
    const LinkMessage message {};

    bool operator==(const SendToLink&) const = default;
};

/// @brief Effect: call the upstream.
struct CallUpstream {
    const RequestId id {};
    const AttemptId attempt {};
    const std::string address {};
    const RequestHead head {};
    const Bytes body {};
    const Capacity demand {};
    const bool idempotent = true;
    const Duration timeout {};

    bool operator==(const CallUpstream&) const = default;
};

/// @brief Effect: close the connection of a call; the upstream may continue to run the request.
struct AbandonCall {
    const RequestId id {};
    const AttemptId attempt {};

    bool operator==(const AbandonCall&) const = default;
};

/// @brief Effect: reply to an announcement.
struct ReplyToAnnouncement {
    const CallerId caller {};
    const AnnouncementReply reply {};

    bool operator==(const ReplyToAnnouncement&) const = default;
};

/// @brief Effect: no call is in progress any more, so the process may exit.
struct Drained {
    bool operator==(const Drained&) const = default;
};

/// @brief Any effect that the agent asks its adapter to carry out.
using AgentEffect = std::variant<SendToLink, CallUpstream, AbandonCall, ReplyToAnnouncement, RecordEvent, Drained>;

/// @brief Decision logic of the agent: admission, the ledger, cancellation, draining and the forwarding of rules.
/// @code
/// AgentMachine agent(config);
/// for (const AgentEffect& effect : agent.step(event, now))
///     std::visit(adapter, effect);
/// @endcode
class AgentMachine {
public:
    /// @param config settings of the agent
    explicit AgentMachine(AgentConfig config);

    /// @brief Processes one event.
    /// @param event event to process
    /// @param now current time, never earlier than in the previous call
    /// @return the effects to carry out, in order
    [[nodiscard]] std::vector<AgentEffect> step(const AgentEvent& event, TimePoint now);

    /// @return the load that the agent reports to entries
    [[nodiscard]] Load load() const noexcept;

    /// @return the agent's first message on a new link
    [[nodiscard]] Hello hello() const;

    /// @return the rules that the agent forwards to entries
    [[nodiscard]] const RuleSet& rules() const noexcept { return this->ruleSet; }

    /// @return the admission state, for status pages and tests
    [[nodiscard]] const Admission& admission() const noexcept { return this->admissionState; }

    /// @return the ledger, for status pages and tests
    [[nodiscard]] const Ledger& ledger() const noexcept { return this->ledgerState; }

    /// @return the number of calls in progress
    [[nodiscard]] std::size_t activeCalls() const noexcept { return this->calls.size(); }

private:
    struct Waiter {
        LinkId link {};
        AttemptId attempt;
    };

    struct Call {
        AttemptId attempt;
        bool idempotent = true;
        std::vector<Waiter> waiters;
    };

    struct EntryLink {
        std::string entry;
        std::uint64_t rulesVersion = 0;
        Duration heartbeatInterval {};
        TimePoint lastReport;
        Load reported;
    };

    using Effects = std::vector<AgentEffect>;
    using Calls = std::unordered_map<RequestId, Call, RequestIdHash>;

    void on(const UpstreamAnnounced& event, TimePoint now, Effects& effects);
    void on(const EntryLinkOpened& event, TimePoint now, Effects& effects);
    void on(const EntryMessage& event, TimePoint now, Effects& effects);
    void on(const EntryLinkClosed& event, TimePoint now, Effects& effects);
    void on(const UpstreamCallEnded& event, TimePoint now, Effects& effects);
    void on(const StopRequested& event, TimePoint now, Effects& effects);
    void on(const TimePassed& event, TimePoint now, Effects& effects);

    void onMessage(LinkId link, const DispatchRequest& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const Cancel& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const Inquiry& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const Heartbeat& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const RulesUpdate& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const Release& message, TimePoint now, Effects& effects);
    template <typename Other>
    void onMessage(LinkId link, const Other& message, TimePoint now, Effects& effects);

    [[nodiscard]] bool isStaleAttempt(const AttemptId& attempt);
    void startCall(LinkId link, const DispatchRequest& message, TimePoint now, Effects& effects);
    [[nodiscard]] std::optional<ErrorKind> admit(const DispatchRequest& message, LedgerVerdict verdict);
    [[nodiscard]] bool acceptsClass(TrafficClass trafficClass) const noexcept;
    void attach(LinkId link, const RequestId& id, const AttemptId& attempt);
    void replayAnswer(LinkId link, const RequestId& id, const AttemptId& attempt, TimePoint now, Effects& effects);
    void abandon(const RequestId& id, TimePoint now, Effects& effects);
    void sendAnswer(LinkId link, const RequestId& id, const AttemptId& attempt, const Completion& completion, TimePoint now, Effects& effects);
    void reportRoutingChanges(TimePoint now, Effects& effects);
    void sendLoadReport(LinkId link, EntryLink& entry, TimePoint now, Effects& effects);
    void forwardRules(Effects& effects);
    void finishDrain(Effects& effects);
    void restoreLedger(const Announcement& announcement, TimePoint now);
    void updateLedgerComplete(TimePoint now) noexcept;

    AgentConfig config;
    Admission admissionState;
    Ledger ledgerState;
    RuleSet ruleSet;
    Calls calls;
    std::map<LinkId, EntryLink> links;
    std::uint32_t knownAgentCount = 0;
    /// Number of the newest attempt received from each entry incarnation.
    std::map<Incarnation, std::uint64_t> newestAttempts;
    std::string upstreamAddress;
    std::vector<TrafficClass> classes;
    std::optional<TimePoint> ledgerCompleteFrom;
    bool ledgerRestored = false;
    bool ledgerComplete = false;
    bool stopping = false;
    bool drainedSent = false;
};

}
