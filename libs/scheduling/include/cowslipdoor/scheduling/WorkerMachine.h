#pragma once

/// @file
/// @brief Decisions of an agent: calls to its worker, and renewals of the leases of its runs.

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

/// @brief Settings of the state machine.
struct WorkerMachineConfig {
    std::string agent {};
    /// Failure domain of the agent and its worker.
    std::string failureDomain {};
    PaceConfig pace {};
    /// Lease that each renewal gives to the runs; longer than a restart of the agent, which takes about a second.
    Duration lease = std::chrono::milliseconds(3000);
    /// Maximum lease that a worker gives, whatever is requested: max-hold-ms of the deployment, 6 s, and 2% for its slow clock.
    Duration maximumLease = std::chrono::milliseconds(6120);
    /// How much longer than requested a lease may last: the 2% by which the platform permits the worker's clock to be slow, and
    /// the duration of a call.
    Duration leaseMargin = std::chrono::milliseconds(150);
    /// How long a grant of the leader allows renewals; long enough for the loss of three grants.
    Duration grantValidity = std::chrono::milliseconds(1500);
    /// How long after its last answer a worker still gets renewals.
    Duration contactValidity = std::chrono::milliseconds(1000);
    /// Interval at which the leader is asked for a renewal grant.
    Duration pingInterval = std::chrono::milliseconds(400);
    /// How long a poll waits for the end of a run, and so the interval at which tail latencies are read.
    Duration pollWait = std::chrono::milliseconds(500);
    /// The same while best-effort runs wait for the first measurement of a serving run.
    Duration measurementPollWait = std::chrono::milliseconds(100);
    /// Maximum delay between polls while ends wait for the leader's acknowledgement.
    Duration acknowledgeWait = std::chrono::milliseconds(300);
    /// Delay before an unanswered poll is repeated.
    Duration retryDelay = std::chrono::milliseconds(100);
    /// Interval of progress reports, equal to that at which tail latencies are read.
    Duration progressInterval = std::chrono::milliseconds(500);
    /// Interval of snapshots to the leader: a third of the 6 s within which the platform requires a long-running task to run
    /// again.
    Duration snapshotInterval = std::chrono::seconds(2);
    /// How long after its sign-off a worker that does leave may still answer.
    Duration signOffMargin = std::chrono::milliseconds(300);
    /// How much slower than true time a worker's clock may run, in percent, as the platform permits.
    int clockSlownessPercent = 2;
    /// Maximum number of ends that a worker lists in one answer.
    std::size_t maximumListedEnds = 500;

    bool operator==(const WorkerMachineConfig&) const = default;
};

/// @brief Number of a call to the worker; increases with each call.
enum class CallNumber : std::uint64_t {};

/// @brief The store has assigned this incarnation of the agent its generation.
struct GenerationGranted {
    const std::uint64_t generation = 0;
};

/// @brief A heartbeat of the worker was received.
struct WorkerHeartbeat {
    const WorkerInfo info {};
};

/// @brief The worker signed off.
struct WorkerSignedOff {
    const std::string id {};
};

/// @brief A poll was answered.
struct PollAnswered {
    const CallNumber call {};
    /// Start of the incarnation that answered, or zero if not stated.
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
    /// Start of the incarnation that answered, or zero if not stated.
    const std::int64_t startedAtMs = 0;
    /// Clock of the incarnation that answered, or std::nullopt if not stated.
    const std::optional<std::int64_t> clockMs {};
};

/// @brief A call had no answer; an order may still be carried out seconds later.
struct CallUnanswered {
    const CallNumber call {};
};

/// @brief The worker refused the call, as it has seen a greater fencing token; nothing was done.
struct CallFenced {
    const CallNumber call {};
};

/// @brief Another incarnation than the intended one answered; nothing was done.
struct CallMisdirected {
    const CallNumber call {};
};

/// @brief A link from an entry was opened.
struct LeaderAttached {
    const LinkId link {};
};

/// @brief A link from an entry was closed.
struct LeaderDetached {
    const LinkId link {};
};

/// @brief A message of an entry was received.
struct LeaderMessageReceived {
    const LinkId link {};
    const LeaderMessage message;
};

/// @brief Events that the state machine of an agent handles.
using WorkerEvent = std::variant<TimePassed, GenerationGranted, WorkerHeartbeat, WorkerSignedOff, PollAnswered, OrderAnswered, CallUnanswered, CallFenced, CallMisdirected, LeaderAttached, LeaderDetached, LeaderMessageReceived>;

/// @brief Poll the worker: list its runs, acknowledge ends and renew leases.
struct CallPoll {
    const CallNumber call {};
    const std::string worker {};
    const std::uint64_t token = 0;
    const std::uint64_t acknowledgeUpTo = 0;
    /// End of the leases by the worker's clock, or std::nullopt to leave them unchanged.
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

/// @brief Effects that the state machine of an agent requests.
using WorkerEffect = std::variant<CallPoll, CallStart, CallStop, CallPace, SendToLeader, CloseLeaderLink, RecordEvent>;

/// @brief Pure state machine of one agent and its worker.
///
/// The agent is the only caller of its worker and has one order in flight at a time. An order without an answer may still be
/// carried out seconds later, so the agent raises its fencing token and polls the worker: once a poll with the new token is
/// answered, no older order can take effect, and the answer lists the true state. Orders carry only tokens that the worker
/// has accepted before. A new incarnation of the agent may have the same token as its predecessor, so it raises the first
/// token that is accepted once more.
///
/// A worker may restart under its identifier at any time, and the clock of its leases and the numbers of its ends start anew. Leases,
/// starts and acknowledgements are therefore sent only to a confirmed incarnation: one that has answered all calls since the last
/// answered poll, while no heartbeat names another one. An order that another incarnation answers, as its clock or start time show,
/// counts as unanswered. A new incarnation that may have received a lease by the clock of the earlier one gets no run until that
/// lease is no longer than usual.
///
/// Heartbeats are hints: one that names another incarnation of the worker than the current one causes a poll, and the answer
/// decides which incarnation is alive.
/// @code
/// WorkerMachine machine(config);
/// for (const WorkerEffect& effect : machine.step(WorkerHeartbeat { info }, now))
///     carryOut(effect);
/// @endcode
class WorkerMachine {
public:
    using Effects = std::vector<WorkerEffect>;

    /// @param config settings
    /// @param now current time; leases that an earlier incarnation of the agent granted may begin as late as this
    WorkerMachine(WorkerMachineConfig config, TimePoint now);

    /// @brief Handles an event.
    /// @param event the event
    /// @param now current time, by a clock that also counts suspension
    /// @return effects to carry out, in order
    [[nodiscard]] Effects step(const WorkerEvent& event, TimePoint now);

    /// @return when TimePassed is due next, or std::nullopt
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /// @return the worker, or std::nullopt while none is known
    [[nodiscard]] std::optional<WorkerInfo> worker() const;

    /// @return the share of the spare slack of serving runs that best-effort ones may take, from zero to one
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

    struct PointsToLess {
        bool operator()(const RunId* left, const RunId* right) const noexcept { return *left < *right; }
    };
    using RunLookup = std::set<const RunId*, PointsToLess>;

    struct OrderInFlight {
        CallNumber call;
        Order order;
        TimePoint sentAt {};
    };

    struct PollInFlight {
        CallNumber call;
        std::uint64_t token = 0;
        Duration wait {};
        TimePoint sentAt {};
        bool renews = false;
        std::uint64_t acknowledges = 0;
    };

    /// Incarnation named by the newest heartbeat that does not name the current one.
    struct Candidate {
        WorkerInfo info;
        /// First poll that was sent after the heartbeat.
        CallNumber firstPoll {};
    };

    /// Incarnation of the worker as known to the agent.
    struct WorkerIncarnation {
        WorkerInfo info;
        std::int64_t clockMs = 0;
        TimePoint clockReadAt {};
        TimePoint lastContact {};
        /// Whether the worker has answered as this incarnation.
        bool answered = false;
        /// Whether this incarnation has answered all calls since the last answer to a poll. If not, the worker may have restarted under
        /// its identifier.
        bool answersConfirmed = true;
        /// Whether an order, with a lease by the clock of this incarnation, was answered by another one.
        bool leaseReachedAnother = false;
        /// Whether no heartbeat of this incarnation has stated its capacity, labels and service.
        bool attributesAssumed = false;
        /// Whether heartbeats report that the worker is draining; two in a row that do not are needed to clear it.
        bool drainingReported = false;
        /// Consecutive heartbeats that do not report draining.
        std::uint32_t readyReports = 0;
        /// Changed attributes in the last heartbeat; they apply once the next one states the same.
        std::optional<WorkerInfo> unconfirmedInfo {};
        /// Whether the worker has accepted a token of this incarnation of the agent.
        bool tokenAccepted = false;
        std::uint64_t settledToken = 0;
        CallNumber newestPoll {};
        /// Number up to which the leader has acknowledged ends, and the one that the worker has received.
        std::uint64_t acknowledged = 0;
        std::uint64_t acknowledgedToWorker = 0;
        std::uint64_t reported = 0;
        std::vector<RunStatus> running {};
        std::vector<RunEnd> ended {};
        /// Whether the newest poll listed all ends.
        bool allEndsListed = false;
        /// Runs whose start was accepted, with the first poll that must list them.
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

    void onOrderAnswered(const StartOrder& order, const OrderAnswered& event, TimePoint now, Effects& effects);
    void onOrderAnswered(const StopOrder& order, const OrderAnswered& event, TimePoint now, Effects& effects);
    void onOrderAnswered(const ChangePace& order, const OrderAnswered& event, TimePoint now, Effects& effects);
    /// Makes the order in flight invalid by a higher token, and asks the worker for its state.
    void voidOrder(const std::string& reason, TimePoint now, Effects& effects);
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
    /// @param answer first answer of another incarnation
    /// @param renewed whether the answered poll had a lease
    void switchIncarnation(const PollAnswered& answer, bool renewed, TimePoint now, Effects& effects);
    void dropCandidate(const std::string& reason, Effects& effects);
    void pollSoon(TimePoint now);
    /// Returns whether the worker now counts as holding a long lease and did not before, or the other way round.
    [[nodiscard]] bool updateLongLease(TimePoint now, Effects& effects);
    void stopAll(const std::vector<RunStatus>& runs);
    void voidSignOff(Effects& effects);
    [[nodiscard]] TimePoint nextPollTime(TimePoint now, bool raised) const;
    void beginIncarnation(const WorkerInfo& info, TimePoint now, Effects& effects);
    void endIncarnation(const std::string& reason, Effects& effects);
    void startNextIncarnation(TimePoint now, Effects& effects);
    [[nodiscard]] bool incarnationAnswered() const noexcept { return this->incarnation && this->incarnation->answered; }
    [[nodiscard]] bool raiseAcceptedToken(std::uint64_t token) noexcept;
    /// Rejects the starts at the front of the queue whose renewal grant is too old.
    void rejectLateStarts(TimePoint now, Effects& effects);
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
    [[nodiscard]] bool answeredByAnother(const OrderAnswered& event, TimePoint sentAt) const;
    [[nodiscard]] bool incarnationConfirmed() const noexcept { return this->incarnation->answersConfirmed && !this->candidate; }
    [[nodiscard]] bool mayRenew(TimePoint now) const;
    [[nodiscard]] bool mayAcknowledge() const noexcept;
    /// Returns whether the worker has not received the last acknowledgement.
    [[nodiscard]] bool acknowledgementDue() const noexcept { return this->incarnation->acknowledgedToWorker < this->incarnation->acknowledged; }
    [[nodiscard]] std::int64_t leaseUntil(TimePoint now);
    [[nodiscard]] std::vector<RunId> pendingRuns() const;
    /// Returns the runs that the last answer to a poll lists as running or ended.
    [[nodiscard]] RunLookup listedRuns() const;

    WorkerMachineConfig config;
    PaceControl paceControl;
    std::optional<std::uint64_t> generation;
    std::uint64_t tokenRaises = 0;
    std::uint64_t lastCall = 0;
    std::optional<WorkerIncarnation> incarnation;
    std::optional<Candidate> candidate;
    /// Latest end of the leases that this or an earlier incarnation of the agent has granted; no heartbeat changes it.
    TimePoint leaseEnd;
    /// When the current incarnation signed off, unless a later answer has voided the sign-off.
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
    /// Whether nothing can run: all leases have expired, and no incarnation has answered since.
    bool knownEmpty = false;
};

}
