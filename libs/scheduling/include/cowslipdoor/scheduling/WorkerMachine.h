#pragma once

/// @file
/// @brief The agent's decisions: what its worker is asked to do, and when the leases of its runs are renewed.

#include "JobMessages.h"
#include "PaceControl.h"
#include <cowslipdoor/core/EventCatalogue.h>
#include <cowslipdoor/core/Ids.h>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the agent's machine.
struct WorkerMachineConfig {
    std::string agent {};
    PaceConfig pace {};
    /// Lease that each renewal gives the runs. Outlives a restart of the agent, which takes about a second.
    Duration lease = std::chrono::milliseconds(3000);
    /// Longest lease that a worker gives, whatever it is asked for: max-hold-ms of the users' settings, 2% for its slow clock.
    Duration maximumLease = std::chrono::milliseconds(6120);
    /// How much longer the worker's slow clock may make a lease last: 2% by contract, and the time a call takes.
    Duration leaseMargin = std::chrono::milliseconds(150);
    /// How long a word of the leader allows renewals. Outlives the loss of three words.
    Duration grantValidity = std::chrono::milliseconds(1500);
    /// How long a worker that does not answer still gets renewals.
    Duration contactValidity = std::chrono::milliseconds(1000);
    /// How often the leader is asked for a word.
    Duration pingInterval = std::chrono::milliseconds(400);
    /// How long a look waits for an end; tails are read as often.
    Duration pollWait = std::chrono::milliseconds(500);
    /// Longest pause between looks while ends wait for the leader.
    Duration acknowledgeWait = std::chrono::milliseconds(300);
    /// Pause before an unanswered look is repeated.
    Duration retryDelay = std::chrono::milliseconds(100);
    /// How often progress is reported: as often as tails are read.
    Duration progressInterval = std::chrono::milliseconds(500);
    /// How often the leader is told everything: a third of the 6 s in which users expect a task that lasts to run again.
    Duration snapshotInterval = std::chrono::seconds(2);
    /// How long after its sign-off a worker that really leaves may still answer.
    Duration signOffMargin = std::chrono::milliseconds(300);
    /// Ends that a worker lists at most in one answer.
    std::size_t maximumListedEnds = 500;

    bool operator==(const WorkerMachineConfig&) const = default;
};

/// @brief Number of a call to the worker; grows with each call.
enum class CallNumber : std::uint64_t {};

/// @brief The store granted this run of the agent its generation.
struct GenerationGranted {
    const std::uint64_t generation = 0;
};

/// @brief The worker reported itself.
struct WorkerHeartbeat {
    const WorkerInfo info {};
};

/// @brief The worker signed off.
struct WorkerSignedOff {
    const std::string id {};
};

/// @brief A look was answered.
struct PollAnswered {
    const CallNumber call {};
    /// Start of the life that answered, or zero when it did not say.
    const std::int64_t startedAtMs = 0;
    const std::int64_t clockMs = 0;
    const std::vector<RunStatus> running {};
    const std::vector<RunEnd> ended {};
};

/// @brief An order was answered.
struct OrderAnswered {
    const CallNumber call {};
    const bool accepted = false;
    const std::string reason {};
};

/// @brief A call got no answer; an order may be carried out seconds later.
struct CallUnanswered {
    const CallNumber call {};
};

/// @brief The worker has seen a greater fencing token than the call's; nothing was done.
struct CallFenced {
    const CallNumber call {};
};

/// @brief Another life of the worker answered than the one that was meant; nothing was done.
struct CallMisdirected {
    const CallNumber call {};
};

/// @brief A link from an entry was opened.
struct LeaderAttached {
    const LinkId link {};
};

/// @brief A link from an entry is gone.
struct LeaderDetached {
    const LinkId link {};
};

/// @brief An entry said something.
struct LeaderMessageReceived {
    const LinkId link {};
    const LeaderMessage message;
};

/// @brief What the agent's machine reacts to.
using WorkerEvent = std::variant<TimePassed, GenerationGranted, WorkerHeartbeat, WorkerSignedOff, PollAnswered, OrderAnswered, CallUnanswered, CallFenced, CallMisdirected, LeaderAttached, LeaderDetached, LeaderMessageReceived>;

/// @brief Look at the worker, acknowledge ends and renew leases.
struct CallPoll {
    const CallNumber call {};
    const std::string worker {};
    const std::uint64_t token = 0;
    const std::uint64_t acknowledgeUpTo = 0;
    /// End of the leases by the worker's clock, or nothing to leave them as they are.
    const std::optional<std::int64_t> leaseUntilMs {};
    const Duration wait {};
};

/// @brief Start a run.
struct CallStart {
    const CallNumber call {};
    const std::string worker {};
    const std::uint64_t token = 0;
    const RunId run {};
    const std::string payload {};
    const std::string checkpoint {};
    const std::int64_t leaseUntilMs = 0;
};

/// @brief Stop a run.
struct CallStop {
    const CallNumber call {};
    const std::string worker {};
    const std::uint64_t token = 0;
    const RunId run {};
};

/// @brief Change the pace of a run.
struct CallPace {
    const CallNumber call {};
    const std::string worker {};
    const std::uint64_t token = 0;
    const RunId run {};
    const std::uint32_t percent = 100;
};

/// @brief Send a report to the leader.
struct SendToLeader {
    const LinkId link {};
    const AgentReport report;
};

/// @brief Close a link of an entry that does not lead.
struct CloseLeaderLink {
    const LinkId link {};
};

/// @brief What the agent's machine wants done.
using WorkerEffect = std::variant<CallPoll, CallStart, CallStop, CallPace, SendToLeader, CloseLeaderLink, RecordEvent>;

/// @brief Pure state machine of one agent and its worker.
///
/// The agent is the only caller of its worker. It sends one order after another. An order without an answer may be carried
/// out seconds later, so the agent raises its fencing token and looks: once a look is answered under the new token, no
/// older order can act, and the lists tell what is true. Orders carry only tokens that the worker has accepted before. So a
/// new run of the agent, whose token may be one of its predecessor's, raises the first one that is accepted once more.
///
/// Reports are hints: one that names another life than the present one causes a look, and the answer decides which lives.
/// @code
/// WorkerMachine machine(config);
/// for (const WorkerEffect& effect : machine.step(WorkerHeartbeat { info }, now))
///     carryOut(effect);
/// @endcode
class WorkerMachine {
public:
    using Effects = std::vector<WorkerEffect>;

    /// @param config settings
    /// @param now the present; leases that a predecessor gave may last from here
    WorkerMachine(WorkerMachineConfig config, TimePoint now);

    /// @brief Takes an event.
    /// @param event the event
    /// @param now the present, by a clock that also counts suspension
    /// @return what to do, in order
    [[nodiscard]] Effects step(const WorkerEvent& event, TimePoint now);

    /// @return when TimePassed is due next, or nothing
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /// @return the worker, or nothing while none is known
    [[nodiscard]] std::optional<WorkerInfo> worker() const;

    /// @return the share of the spare slack of serving runs that filling ones may take
    [[nodiscard]] double spareSlackShare() const noexcept { return this->paceControl.spareSlackShare(); }

    /// @return whether all runs on the worker are known
    [[nodiscard]] bool settled() const noexcept;

private:
    struct StartOrder {
        StartRun order;
    };
    struct StopOrder {
        RunId run;
    };
    struct ChangePace {
        RunId run;
        std::uint32_t percent;
    };
    using Order = std::variant<StartOrder, StopOrder, ChangePace>;

    struct OrderInFlight {
        CallNumber call;
        Order order;
    };

    struct PollInFlight {
        CallNumber call;
        std::uint64_t token = 0;
        Duration wait {};
        TimePoint sentAt {};
        bool renews = false;
    };

    /// Another life than the present one that the newest such report names.
    struct Candidate {
        WorkerInfo info;
        /// First look that was sent after the report.
        CallNumber firstPoll {};
    };

    /// One life of the worker as the agent sees it.
    struct WorkerIncarnation {
        WorkerInfo info;
        std::int64_t clockMs = 0;
        TimePoint clockReadAt {};
        TimePoint lastContact {};
        /// Whether the worker has answered as this life.
        bool answered = false;
        /// Whether no report of this life has stated its capacity, labels and service.
        bool attributesAssumed = false;
        /// Whether its last report said that it is leaving.
        bool drainingReported = false;
        /// Reports in a row that did not say so.
        std::uint32_t readyReports = 0;
        /// What one report stated otherwise; it counts once the next one says the same.
        std::optional<WorkerInfo> unconfirmedInfo {};
        /// Whether the worker has accepted a token of this run of the agent.
        bool tokenAccepted = false;
        std::uint64_t settledToken = 0;
        CallNumber newestPoll {};
        std::uint64_t acknowledged = 0;
        std::uint64_t reported = 0;
        std::vector<RunStatus> running {};
        std::vector<RunEnd> ended {};
        /// Whether the newest look listed all ends.
        bool allEndsListed = false;
        /// Runs whose start was answered, with the first look that must list them.
        std::map<RunId, CallNumber> started {};
        std::set<RunId> unconfirmedStarts {};
        std::set<RunId> toStop {};
    };

    void on(const TimePassed& event, TimePoint now, Effects& effects);
    void on(const GenerationGranted& event, TimePoint now, Effects& effects);
    void on(const WorkerHeartbeat& event, TimePoint now, Effects& effects);
    void on(const WorkerSignedOff& event, TimePoint now, Effects& effects);
    void on(const PollAnswered& event, TimePoint now, Effects& effects);
    void on(const OrderAnswered& event, TimePoint now, Effects& effects);
    void on(const CallUnanswered& event, TimePoint now, Effects& effects);
    void on(const CallFenced& event, TimePoint now, Effects& effects);
    void on(const CallMisdirected& event, TimePoint now, Effects& effects);
    void on(const LeaderAttached& event, TimePoint now, Effects& effects);
    void on(const LeaderDetached& event, TimePoint now, Effects& effects);
    void on(const LeaderMessageReceived& event, TimePoint now, Effects& effects);

    void onMessage(LinkId link, const LeaderHello& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const DescribeRun& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const StartRun& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const StopRun& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const AcknowledgeEnds& message, TimePoint now, Effects& effects);
    void onMessage(LinkId link, const Pong& message, TimePoint now, Effects& effects);

    void onOrderAnswered(const StartOrder& order, const OrderAnswered& event, Effects& effects);
    void onOrderAnswered(const StopOrder& order, const OrderAnswered& event, Effects& effects);
    void onOrderAnswered(const ChangePace& order, const OrderAnswered& event, Effects& effects);
    void onOrderUnanswered(const StartOrder& order);
    void onOrderUnanswered(const StopOrder& order);
    void onOrderUnanswered(const ChangePace& order);
    void sendCall(const StartOrder& order, TimePoint now, Effects& effects);
    void sendCall(const StopOrder& order, TimePoint now, Effects& effects);
    void sendCall(const ChangePace& order, TimePoint now, Effects& effects);

    void advance(TimePoint now, Effects& effects);
    void advanceIncarnation(TimePoint now, Effects& effects);
    void poll(TimePoint now, Duration wait, Effects& effects);
    void sendOrder(TimePoint now, Effects& effects);
    void considerIncarnation(const WorkerInfo& info, TimePoint now);
    void refreshIncarnation(const WorkerInfo& info, Effects& effects);
    void switchIncarnation(std::int64_t startedAtMs, bool renewed, TimePoint now, Effects& effects);
    void dropCandidate(const std::string& reason, Effects& effects);
    void pollSoon(TimePoint now);
    void voidSignOff(Effects& effects);
    [[nodiscard]] TimePoint nextPollTime(TimePoint now, bool raised) const;
    void beginIncarnation(const WorkerInfo& info, TimePoint now, Effects& effects);
    void endIncarnation(const std::string& reason, Effects& effects);
    void startNextIncarnation(TimePoint now, Effects& effects);
    [[nodiscard]] bool incarnationAnswered() const noexcept { return this->incarnation && this->incarnation->answered; }
    [[nodiscard]] bool raiseAcceptedToken(std::uint64_t token) noexcept;
    void resolveUnconfirmedStarts(Effects& effects);
    void repeatStops();
    void reportMissing(CallNumber poll, Effects& effects);
    void reportEnds(Effects& effects);
    void reportProgress(TimePoint now, Effects& effects);
    void regulatePace(TimePoint now, Effects& effects);
    void orderPaces(const std::vector<PaceOrder>& paces);
    void reject(const RunId& run, const std::string& reason, Effects& effects);
    void sendSnapshot(Effects& effects);
    void report(AgentReport report, Effects& effects) const;
    [[nodiscard]] std::uint64_t token() const noexcept;
    [[nodiscard]] CallNumber nextCall() noexcept;
    [[nodiscard]] bool isAnswerToPing(std::int64_t answeredPingAt) const;
    [[nodiscard]] bool mayRenew(TimePoint now) const;
    [[nodiscard]] std::int64_t leaseUntil(TimePoint now);
    [[nodiscard]] std::vector<RunId> pendingRuns() const;
    [[nodiscard]] bool lists(const RunId& run) const;

    WorkerMachineConfig config;
    PaceControl paceControl;
    std::optional<std::uint64_t> generation;
    std::uint64_t tokenRaises = 0;
    std::uint64_t lastCall = 0;
    std::optional<WorkerIncarnation> incarnation;
    std::optional<Candidate> candidate;
    /// Until when runs may hold a lease that this agent or its predecessor gave; no report moves it.
    TimePoint leaseEnd;
    /// When a sign-off of the present life came that no later answer has voided.
    std::optional<TimePoint> signedOffAt;
    std::optional<PollInFlight> pollInFlight;
    TimePoint nextPollAt {};
    std::deque<Order> orders;
    std::optional<OrderInFlight> orderInFlight;
    std::uint64_t epoch = 0;
    std::optional<LinkId> leader;
    std::uint64_t lastOrder = 0;
    std::optional<TimePoint> lastGrantAt;
    std::optional<TimePoint> lastPing;
    TimePoint pingAt {};
    TimePoint progressAt {};
    TimePoint snapshotAt {};
    /// Whether no life has answered since all leases expired.
    bool knownEmpty = false;
};

}
