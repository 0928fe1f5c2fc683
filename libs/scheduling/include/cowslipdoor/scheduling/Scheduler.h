#pragma once

/// @file
/// @brief Scheduling decisions of an entry: leadership, stored progress and placement of runs.

#include "EvacuationMoves.h"
#include "Evacuations.h"
#include "ExplainPlacement.h"
#include "InterferenceModel.h"
#include "JobMessages.h"
#include "JobRegistry.h"
#include "LeaderLease.h"
#include "PlaceOutlook.h"
#include "PlaceWaits.h"
#include "Relocation.h"
#include "Workers.h"
#include <cowslipdoor/core/BurnTracker.h>
#include <cowslipdoor/core/EventCatalogue.h>
#include <cowslipdoor/core/Ids.h>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the scheduler.
struct SchedulerConfig {
    LeaseConfig lease {};
    WorkerHealthConfig health {};
    RelocationConfig relocation {};
    EvacuationConfig evacuation {};
    EvacuationMoveConfig evacuationMoves {};
    PlacementConfig placement {};
    /// How long after the last renewal grant runs may still be active: the validity of a grant at the agent, the lease of the
    /// worker with 2% for its clock, and the time that a call may take to arrive.
    Duration silenceLimit = std::chrono::milliseconds(4900);
    /// How long an agent with runs may be without a grant before the leader's row names it, so that a next leader counts on from
    /// there: two pings of its agent, and a margin.
    Duration silenceNoteTime = std::chrono::milliseconds(1000);
    /// Maximum number of silent agents that the row names.
    std::size_t silentAgentsPerRow = 100;
    /// How long a leader may read the tables without progress before it releases leadership: ten attempts of a call that
    /// has no answer.
    Duration tablesReadTimeout = std::chrono::seconds(8);
    /// Maximum interval between checks for silent agents; known deadlines are checked exactly when they are due.
    Duration silenceCheckInterval = std::chrono::seconds(1);
    /// How long changes are collected for one write. A write takes about 4 ms, so collecting as long halves the number of
    /// writes.
    Duration gatherTime = std::chrono::milliseconds(5);
    /// Minimum interval between writes of the pending counts: a quarter of their permitted age of 2 s.
    Duration pendingInterval = std::chrono::milliseconds(500);
    /// Minimum interval between writes of the interference model; it is added to writes that are due anyway.
    Duration modelInterval = std::chrono::seconds(2);
    /// Maximum number of pairs of images in the row of the interference model: about 50 bytes each, and a row holds 64 KiB.
    std::size_t pairsPerRow = 1000;
    /// Maximum age of the knowledge of jobs and cancellations with which tasks are placed and orders are sent: the 3 s within
    /// which the platform requires a cancellation to prevent starts, less 1 s for the order to be carried out.
    Duration maximumKnowledgeAge = std::chrono::seconds(2);
    /// Age of that knowledge from which each answer of the feed is logged.
    Duration loggedKnowledgeAge = std::chrono::seconds(1);
    /// Delay before a refused run is placed again.
    Duration rejectionDelay = std::chrono::milliseconds(100);
    /// How long a new leader places no long-running or best-effort tasks while agents with long-running tasks have not reported
    /// their runs. After a loss of power of all VMs those tasks have to start again: placed at once they would crowd on the
    /// workers that report first, and best-effort tasks that are placed before them start beside them at full pace.
    Duration settleTime = std::chrono::milliseconds(200);
    /// Time from the assignment of a serving run to the first report of its slack: 0.5 s to start, a poll and a progress report.
    Duration servingStartTime = std::chrono::milliseconds(1500);
    /// Delay before a run is placed again whose assignment the store refuses for its content.
    Duration unstorableDelay = std::chrono::seconds(1);
    /// How long an ended job can be queried: the 120 s that the platform requires, and time for late duplicates of its request.
    Duration retention = std::chrono::seconds(180);
    /// How long no worker may list a long-running task before this is logged: a third of the 6 s that the platform permits.
    Duration idleLimit = std::chrono::seconds(2);
    /// Interval of the check for long-running tasks that no worker lists; a check logs at most one line.
    Duration idleCheckInterval = std::chrono::seconds(1);
    /// Interval at which expired jobs are removed.
    Duration sweepInterval = std::chrono::seconds(5);
    /// Maximum number of jobs that expire at once.
    std::size_t removedAtOnce = 20;
    /// Maximum number of tasks that one placement pass assigns, as the renewal of the lease waits for the end of the pass. At the
    /// target of 390 starts a second a pass assigns a few tasks.
    std::size_t assignmentsPerPass = 512;
    /// Maximum number of rows removed in one write, in a transaction over several parts.
    std::size_t removalsPerWrite = 60;
    /// Maximum number of progress rows in one write; the rest of the store's limit is left to rows of the leader.
    std::size_t rowsPerWrite = maximumTransactionEntries - 4;
    /// Size of progress rows from which a write takes no further one; base64 adds a third, and names, the last row and rows of the
    /// leader come on top.
    std::size_t bytesPerWrite = maximumTransactionBytes / 2;

    bool operator==(const SchedulerConfig&) const = default;
};

/// @brief The leader's row was read.
struct LeaderRowRead {
    const std::optional<LeaderRecord> record {};
    const RowVersion version = 0;
};

/// @brief The leader's row could not be read.
struct LeaderRowReadFailed { };

/// @brief A write has finished.
struct CommitFinished {
    const TransactionResult result {};
};

/// @brief Agent as held by the store.
struct KnownAgent {
    std::string name;
    AgentRecord record;
};

/// @brief The tables were read; each is consistent as of one moment.
struct TablesRead {
    const std::uint64_t epoch = 0;
    const std::vector<JobSpecHandle> jobs {};
    const std::map<JobId, ProgressRecord> progress {};
    const std::vector<JobId> cancelled {};
    const std::vector<KnownAgent> agents {};
    /// Losses that an earlier leader learnt.
    const std::vector<LearntLoss> losses {};
    /// Wall-clock time of the read, in milliseconds since 1970; zero if unknown.
    const std::int64_t readAtMs = 0;
    /// Version of the store up to which the jobs are known.
    const RowVersion version = 0;
    /// When the read of the jobs began; the time of the event if zero.
    const TimePoint asOf {};
};

/// @brief Another part of the tables has been read.
struct TablesProgress {
    const std::uint64_t epoch = 0;
};

/// @brief A job was stored.
struct JobStored {
    const JobSpecHandle spec {};
    /// Wall-clock time at which the feed delivered it, in milliseconds since 1970; zero if unknown.
    const std::int64_t readAtMs = 0;
    /// Version of its row; zero if unknown.
    const RowVersion version = 0;
};

/// @brief The cancellation of a job was stored.
struct JobCancelStored {
    const JobId job {};
};

/// @brief All jobs and cancellations up to a version of the store have been delivered as events.
struct JobsFollowed {
    const std::uint64_t epoch = 0;
    const RowVersion version = 0;
    /// Time at which the store certainly had no later ones.
    const TimePoint asOf {};
};

/// @brief The evacuated failure domains are known as of a time. Entries that do not lead follow them too, so a new leader knows them.
struct EvacuationsFollowed {
    const std::set<std::string> failureDomains {};
    /// Time at which the store certainly had no other rows.
    const TimePoint asOf {};
};

/// @brief An agent registered.
struct AgentStored {
    const KnownAgent agent {};
};

/// @brief A link to an agent was opened.
struct AgentLinked {
    const std::string agent {};
    const LinkId link {};
};

/// @brief A link to an agent was closed.
struct AgentUnlinked {
    const std::string agent {};
    const LinkId link {};
};

/// @brief A report of an agent was received on a link.
struct AgentReportReceived {
    const std::string agent {};
    const LinkId link {};
    const AgentReport report {};
};

/// @brief The process is about to stop; leadership must be released at once.
struct ReleaseRequested { };

/// @brief Events that the scheduler handles.
using SchedulerEvent = std::variant<TimePassed, LeaderRowRead, LeaderRowReadFailed, CommitFinished, TablesProgress, TablesRead, JobStored, JobCancelStored, JobsFollowed, EvacuationsFollowed, AgentStored, AgentLinked, AgentUnlinked, AgentReportReceived, ReleaseRequested>;

/// @brief Read the leader's row.
struct ReadLeaderRow { };

/// @brief Submit a transaction and report its result as CommitFinished.
struct SubmitCommit {
    const Transaction transaction {};
};

/// @brief Read all tables, then follow their changes.
struct ReadTables {
    const std::uint64_t epoch = 0;
};

/// @brief Stop following tables and close all links to agents.
struct StopLeading { };

/// @brief Keep a link to an agent open.
struct KeepAgentLinked {
    const std::string agent {};
    const std::string address {};
};

/// @brief Send a message to an agent.
struct SendToAgent {
    const LinkId link {};
    const LeaderMessage message;
};

/// @brief Record the end of a job in the metrics.
struct ObserveJob {
    const std::string queue {};
    const JobState state {};
    const Duration latency {};
};

/// @brief Tell this entry's intake what the leader knows; requested only on fresh evidence of a leader.
struct ReportLearned {
    const RowVersion upTo = 0;
};

/// @brief Effects that the scheduler requests.
using SchedulerEffect = std::variant<ReadLeaderRow, SubmitCommit, ReadTables, StopLeading, KeepAgentLinked, SendToAgent, ObserveJob, ReportLearned, RecordEvent>;

/// @brief Evacuated failure domain and what is left there.
struct EvacuatedDomain {
    std::string name {};
    /// Workers whose agents state the failure domain, and tasks assigned to them; zero while this process does not lead.
    std::size_t workers = 0;
    std::size_t runs = 0;

    bool operator==(const EvacuatedDomain&) const = default;
};

/// @brief Pure state machine of scheduling in an entry, as standby or leader.
///
/// An assignment is stored before its order is sent, and an end is stored before it is acknowledged, so the stored state is
/// correct whenever a leader fails. After a takeover, every stored assignment counts as possibly running until its agent
/// reports otherwise, or until the leases of that agent's worker have certainly expired.
/// @code
/// Scheduler scheduler(config);
/// for (const SchedulerEffect& effect : scheduler.step(TimePassed {}, now))
///     carryOut(effect);
/// @endcode
class Scheduler {
public:
    using Effects = std::vector<SchedulerEffect>;

    /// @param config settings
    explicit Scheduler(SchedulerConfig config);

    /// @brief Handles an event.
    /// @param event the event
    /// @param now current time, by a clock that also counts suspension
    /// @return effects to carry out, in order
    [[nodiscard]] Effects step(const SchedulerEvent& event, TimePoint now);

    /// @return when TimePassed is due next, or std::nullopt
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /// @return the lease, for status pages
    [[nodiscard]] const LeaderLease& lease() const noexcept { return this->leaderLease; }

    /// @return the jobs, for status pages; empty while another process leads
    [[nodiscard]] const JobRegistry& jobs() const noexcept { return this->jobRegistry; }

    /// @return the workers, for status pages; empty while another process leads
    [[nodiscard]] const Workers& workers() const noexcept { return this->knownWorkers; }

    /// @return ends of jobs against their objectives, counted while this process leads
    [[nodiscard]] const BurnTracker& burn() const noexcept { return this->burnTracker; }

    /// @return the number of long-running tasks that no worker has listed for a while, as of the last check
    [[nodiscard]] std::size_t idleLongRunningTasks() const noexcept { return this->idleTasks; }

    /// @return the number of tasks that wait for a better place than the available one
    [[nodiscard]] std::size_t tasksAwaitingPlace() const noexcept;

    /// @param spec a job that need not be known
    /// @param now current time
    /// @return where its tasks would go now; nothing is placed
    [[nodiscard]] std::vector<StepPlacement> explain(const JobSpecHandle& spec, TimePoint now) const;

    /// @param now current time
    /// @return the number of cancellations without a job
    [[nodiscard]] std::size_t unmatchedCancellationCount() const noexcept { return this->unmatchedCancellations.size(); }

    /// @return how long ago the leader's knowledge of jobs and cancellations was complete; zero while this process does not lead
    [[nodiscard]] Duration knowledgeAge(TimePoint now) const noexcept { return this->isActiveLeader() ? now - this->jobsKnownAsOf : Duration {}; }

    /// @return the evacuated failure domains, also while this process does not lead
    [[nodiscard]] const Evacuations& evacuations() const noexcept { return this->knownEvacuations; }

    /// @return the evacuated failure domains and what is left there, for status pages
    [[nodiscard]] std::vector<EvacuatedDomain> evacuatedDomains() const;

    /// @return whether this process leads and has read the tables
    [[nodiscard]] bool isActiveLeader() const noexcept { return this->tablesRead && this->leaderLease.leading(); }

private:
    /// Run that a worker listed, with the known state of its job and task.
    struct ListedRun {
        const RunStatus& status;
        const TrackedJob& job;
        const StepSpec& step;
        TaskState& task;
    };

    void on(const TimePassed& event, TimePoint now, Effects& effects);
    void on(const LeaderRowRead& event, TimePoint now, Effects& effects);
    void on(const LeaderRowReadFailed& event, TimePoint now, Effects& effects);
    void on(const CommitFinished& event, TimePoint now, Effects& effects);
    void on(const TablesProgress& event, TimePoint now, Effects& effects);
    void on(const TablesRead& event, TimePoint now, Effects& effects);
    void on(const JobStored& event, TimePoint now, Effects& effects);
    void on(const JobCancelStored& event, TimePoint now, Effects& effects);
    void on(const JobsFollowed& event, TimePoint now, Effects& effects);
    void on(const EvacuationsFollowed& event, TimePoint now, Effects& effects);
    void on(const AgentStored& event, TimePoint now, Effects& effects);
    void on(const AgentLinked& event, TimePoint now, Effects& effects);
    void on(const AgentUnlinked& event, TimePoint now, Effects& effects);
    void on(const AgentReportReceived& event, TimePoint now, Effects& effects);
    void on(const ReleaseRequested& event, TimePoint now, Effects& effects);

    void onReport(TrackedWorker& worker, const Ping& report, TimePoint now, Effects& effects);
    void onReport(TrackedWorker& worker, const WorkerSnapshot& report, TimePoint now, Effects& effects);
    void onReport(TrackedWorker& worker, const RunsEnded& report, TimePoint now, Effects& effects);
    void onReport(TrackedWorker& worker, const RunRejected& report, TimePoint now, Effects& effects);
    void onReport(TrackedWorker& worker, const RunProgress& report, TimePoint now, Effects& effects);

    void grant(TrackedWorker& worker, std::int64_t sentAt, TimePoint now, Effects& effects);
    [[nodiscard]] bool namedSilent(const std::string& agent) const { return this->silentSince.contains(agent) || this->silentInWrite.contains(agent); }
    /// Returns the latest time at which a leader may have given an agent a grant.
    [[nodiscard]] TimePoint lastPossibleGrant(const TrackedWorker& worker) const;
    /// Sets which agents the next write names as silent.
    void nameSilentAgents(TimePoint now);
    void silenceWritten(TimePoint now, Effects& effects);
    [[nodiscard]] Transaction beginWrite(std::vector<RowWrite> rows, std::vector<RowKey> removals, TimePoint now);
    void advance(TimePoint now, Effects& effects);
    void advanceLease(TimePoint now, Effects& effects);
    void advanceWrites(TimePoint now, Effects& effects);
    void leadershipTaken(TimePoint now, Effects& effects);
    void leadershipLost(Effects& effects);
    void committed(TimePoint now, Effects& effects);
    void placeTasks(TimePoint now, Effects& effects);
    /// Updates what keeps tasks from being placed while agents report after a takeover, or while serving runs start.
    void updatePlacementHolds(TimePoint now, Effects& effects);
    void placeJob(const TrackedJob& job, TimePoint now, Effects& effects);
    void placeStep(const TrackedJob& job, std::uint32_t step, TimePoint now, Effects& effects);
    /// Returns whether the current placement pass may assign another task; if not, the next pass goes on.
    [[nodiscard]] bool mayAssignMore();
    [[nodiscard]] OutlookSources outlookSources() const noexcept { return { this->knownWorkers, this->jobRegistry, this->interference, this->config.placement }; }
    /// Forgets what held for the last placement pass, and waits that are over.
    void beginPlaces(TimePoint now, Effects& effects);
    void forgetPlaces();
    /// Places the tasks of a step that weigh a wait for better places.
    void placeWeighing(const TrackedJob& job, std::uint32_t step, TimePoint now, Effects& effects);
    /// Returns the rack on which tasks of a step run fastest, or an empty text if racks do not matter.
    [[nodiscard]] std::string nearRackOf(const TrackedJob& job, std::uint32_t step, TimePoint now);
    /// Whether a task that is moved loses at least as much by the rack of its new worker as it gains in pace.
    [[nodiscard]] bool losesByRack(const TrackedJob& job, std::uint32_t step, const TrackedWorker& from, const TrackedWorker& to, TimePoint now);
    [[nodiscard]] PlaceDecision decidePlace(const TrackedJob& job, std::uint32_t step, const TaskState& task, const std::string& nearRack, const Place& place, std::size_t tasks, TimePoint now, Effects& effects);
    void notePlaceWait(const PlaceWaits::key_type& key, const PlaceSituation& situation, std::size_t tasks, TimePoint now, Effects& effects);
    void endPlaceWait(PlaceWaits::iterator wait, const std::string& reason, TimePoint now, Effects& effects);
    void schedulePassAt(TimePoint time);
    void assignTask(const TrackedJob& job, const TaskId& id, const TrackedWorker& chosen, TimePoint now, Effects& effects);
    void writeRefused(const std::string& reason, TimePoint now, Effects& effects);
    void releaseUnstorable(const ProgressSegment& segment, TimePoint now, Effects& effects);
    [[nodiscard]] std::vector<RowWrite> takeWrites(TimePoint now);
    [[nodiscard]] std::vector<RowWrite> takeProgress(std::size_t most);
    void addPendingRow(std::vector<RowWrite>& rows, TimePoint now);
    [[nodiscard]] std::optional<PendingCounts> duePendingCounts(TimePoint now) const;
    void collectAcknowledgements();
    void releaseAcknowledgements();
    void withdrawAcknowledgements();
    /// Removes the rows of old cancellations whose jobs never arrived.
    void expireCancellations(TimePoint now, Effects& effects);
    void queueRemovals(const JobSpec& spec);
    void addModelRow(std::vector<RowWrite>& rows, TimePoint now);
    [[nodiscard]] std::vector<RowKey> takeRemovals(TimePoint now, Effects& effects);
    void orderStored(const ProgressSegment& segment, TimePoint now, Effects& effects);
    void stopRemainingRuns(const JobId& job, TimePoint now, Effects& effects);
    /// Cancels a job, or remembers the cancellation of one that is not known.
    void onCancellation(const JobId& job, TimePoint now, Effects& effects);
    void cancelJob(const JobId& job, TimePoint now, Effects& effects);
    void noteJobsKnown(RowVersion version, TimePoint asOf, TimePoint now, Effects& effects);
    [[nodiscard]] bool knowledgeCurrent(TimePoint now) const noexcept { return this->knowledgeAge(now) <= this->config.maximumKnowledgeAge && this->knownEvacuations.isCurrent(this->config.evacuation, now); }
    void recordEvacuations(const std::set<std::string>& before, Effects& effects) const;
    /// Orders the moves out of evacuated failure domains that are possible now, and logs what is left.
    void evacuateRuns(TimePoint now, Effects& effects);
    void reportEvacuation(const EvacuationPlan& plan, TimePoint now, Effects& effects);
    [[nodiscard]] bool evacuates() const noexcept { return this->isActiveLeader() && !this->knownEvacuations.failureDomains.empty(); }
    [[nodiscard]] EvacuatedDomain stateOf(const std::string& failureDomain) const;
    [[nodiscard]] std::string describeDomain(const std::string& failureDomain) const;
    /// Notes the failure domain of a worker, and whether nothing may start there.
    void noteFailureDomain(TrackedWorker& worker, const std::string& failureDomain, TimePoint now, Effects& effects);
    /// Releases the assignments to a worker whose orders have not been sent.
    void releaseUnordered(TrackedWorker& worker, TimePoint now, Effects& effects);
    void sendHeldOrders(TimePoint now, Effects& effects);
    void applyRunEnds(TrackedWorker& worker, const WorkerIdentity& incarnation, const std::vector<RunEnd>& ends, TimePoint now, Effects& effects);
    void applyRunEnd(TrackedWorker& worker, const RunEnd& end, TimePoint now, Effects& effects);
    [[nodiscard]] std::vector<ListedRun> openRuns(const std::vector<RunStatus>& running);
    void learnInterference(TrackedWorker& worker, const std::vector<ListedRun>& listed, TimePoint now);
    void sendChangedTraits(TrackedWorker& worker, Effects& effects);
    void notePace(TrackedWorker& worker, const std::vector<ListedRun>& listed, TimePoint now);
    void leaveStalledWorker(TrackedWorker& worker, const std::vector<ListedRun>& listed, TimePoint now, Effects& effects);
    /// Returns whether a worker that is not excluded can take the task of a run.
    [[nodiscard]] bool hasPlaceElsewhere(const TrackedWorker& worker, const ListedRun& run, TimePoint now) const;
    void relocateOneStarvingRun(TrackedWorker& worker, TimePoint now, Effects& effects);
    void orderStop(TrackedWorker& worker, const TaskId& id, const std::string& reason, Effects& effects);
    /// Sends a stop unless many are under way; each report that lists the run repeats it.
    void sendStop(TrackedWorker& worker, const RunId& run, Effects& effects) const;
    /// Sends stops that have waited for the ends of other runs.
    void sendWaitingStops(TrackedWorker& worker, const std::vector<RunEnd>& ends, Effects& effects) const;
    void applyRunStatus(TrackedWorker& worker, const std::vector<RunStatus>& running, TimePoint now, Effects& effects);
    void adoptRuns(TrackedWorker& worker, const WorkerSnapshot& snapshot);
    void dropUnlistedRuns(TrackedWorker& worker, const WorkerSnapshot& snapshot, TimePoint now, Effects& effects);
    [[nodiscard]] TrackedWorker* holderOf(const RunId& run);
    void markRunLost(TrackedWorker& worker, const TaskId& task, const std::string& reason, TimePoint notBefore, TimePoint now, Effects& effects);
    void markSilentWorkersLost(TimePoint now, Effects& effects);
    void sendHello(TrackedWorker& worker, Effects& effects);
    /// Describes the runs that the agent of a new link may find on its worker, as many as a turn may send.
    void describeRuns(TrackedWorker& worker, Effects& effects);
    /// Returns whether a description of the run may matter to an agent.
    [[nodiscard]] static bool needsDescription(const StepSpec& step) noexcept { return step.bestEffort || step.target > Duration {}; }
    void watchLongRunningTasks(TimePoint now, Effects& effects);
    [[nodiscard]] std::vector<TaskId> idleTasksOf(const TrackedJob& job, TimePoint now) const;
    [[nodiscard]] std::string describeIdle(const TrackedJob& job, const TaskId& id, TimePoint now) const;
    void learnAgent(const KnownAgent& agent, Effects& effects);
    void send(const TrackedWorker& worker, LeaderMessage message, Effects& effects) const;
    [[nodiscard]] PaceTraits traitsOf(const StepSpec& step, const TrackedWorker& worker) const;
    [[nodiscard]] PaceTraits traitsToSend(TrackedWorker& worker, const RunId& run, const StepSpec& step) const;
    void observeEnd(const JobId& job, TimePoint now, Effects& effects);
    void schedulePass(TimePoint now);

    SchedulerConfig config;
    /// Number of events that have been handled.
    std::uint64_t turns = 0;
    LeaderLease leaderLease;
    JobRegistry jobRegistry;
    BurnTracker burnTracker;
    Workers knownWorkers;
    Evacuations knownEvacuations;
    OngoingMoves ongoingMoves;
    /// When moves out of evacuated failure domains are decided next, and when what is left was logged last.
    TimePoint evacuationCheckAt {};
    TimePoint evacuationReportedAt {};
    InterferenceModel interference;
    PlaceCache placeCache;
    PlaceOutlook placeOutlook;
    PlaceWaits placeWaits;
    bool tablesRead = false;
    /// Whether placement waits until agents with long-running tasks have reported their runs, and how long at most.
    bool agentsSettle = false;
    TimePoint settleUntil {};
    /// Until when they wait for long-running tasks that have lost their runs.
    TimePoint bestEffortFrom {};
    /// Latest time at which an earlier leader may have given a renewal grant.
    TimePoint earlierGrantsEnd {};
    /// Agents that the stored row and the one in flight name as silent, and a time after which no leader has given them a grant.
    std::map<std::string, TimePoint> silentSince;
    std::map<std::string, TimePoint> silentInWrite;
    /// Pings of such agents; they are answered once the row no longer names them.
    std::map<std::string, std::int64_t> unansweredPings;
    /// When another part of the tables was read last.
    TimePoint tablesProgressAt {};
    /// When tasks are placed and changes are written next; std::nullopt if nothing requires it.
    std::optional<TimePoint> passAt;
    /// Number of writes that this leader has begun.
    std::uint64_t writes = 0;
    /// Number of start orders that this leader has sent.
    std::uint64_t orders = 0;
    std::vector<ProgressSegment> segmentsInWrite;
    /// Number of rows in the current write beside the leader's.
    std::size_t rowsInWrite = 0;
    /// Number of writes that hold a single row each, after the store has refused a write of several.
    std::size_t singleRowWrites = 0;
    /// Rows of expired jobs; those of one group are removed together.
    std::deque<std::vector<RowKey>> removalQueue;
    /// Number of the last write that has been stored.
    std::uint64_t storedWrites = 0;
    /// Segments whose stored assignments wait for current knowledge before their orders are sent.
    std::set<ProgressSegment> heldOrders;
    /// Version and time up to which all jobs and cancellations are known.
    RowVersion jobsKnownVersion = 0;
    /// Version of the leader's row at its last read.
    RowVersion leaderRowVersion = 0;
    TimePoint jobsKnownAsOf {};
    /// Cancellations without a job, with the time at which each was learned. Intake stores such a job no more.
    std::map<JobId, TimePoint> unmatchedCancellations;
    /// Whether the last placement left out tasks because it had assigned enough, because too many assignments wait to be written,
    /// or because the knowledge of jobs or evacuations was too old.
    bool placementHeldBack = false;
    /// Number of tasks that the current placement pass has assigned.
    std::size_t assignedInPass = 0;
    /// Acknowledgements by agent for ends that were processed since the last ones were collected.
    std::map<std::string, AcknowledgeEnds> acknowledgeNext;
    /// Collected acknowledgements, and the number of changed segments that must be written before they may be sent.
    std::map<std::string, AcknowledgeEnds> acknowledgeCollected;
    std::size_t changesBeforeAcknowledge = 0;
    std::map<std::string, AcknowledgeEnds> acknowledgeAfterWrite;
    /// Counts as last written by this leader; std::nullopt until its first write, as the row may hold those of an earlier leader.
    std::optional<PendingCounts> pendingWritten;
    TimePoint pendingWrittenAt {};
    std::string modelWritten;
    TimePoint modelWrittenAt {};
    TimePoint sweptAt {};
    TimePoint idleCheckedAt {};
    /// When the next check for silent agents is due.
    TimePoint silenceCheckAt {};
    std::size_t idleTasks = 0;
};

}
