#pragma once

/// @file
/// @brief Deterministic simulation of schedulers, agents, a store and workers in virtual time, with injected faults and an oracle.

#include <cowslipdoor/scheduling/Scheduler.h>
#include <cowslipdoor/scheduling/WorkerMachine.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cowslipdoor::tests {

/// @brief Faults of workers and VMs; a simulation draws only those that its settings list.
enum class WorkerFault : unsigned char {
    /// The wall clock of a VM is 2 s off for a while, and so is the start time that its worker reports.
    ClockStep,
    /// A worker crashes and restarts repeatedly.
    Flapping,
    /// A worker refuses every start.
    Refusal,
    /// Calls and heartbeats between a worker and its agent are lost.
    Cut,
    /// A worker is replaced by one with another identifier.
    Replacement,
    /// An agent receives a heartbeat that its worker did not send.
    ForeignHeartbeat,
    /// An agent receives a sign-off that an earlier incarnation of its worker or another writer sent.
    LateSignOff,
    /// An agent and its worker fail together.
    PowerLoss,
    /// An agent, its worker and the leading entry fail together, for longer than a long-running task may be without a run.
    LossWithLeader,
    /// The runs on a worker stand still, and the tail latencies that it lists are far above their targets.
    StandStill,
    /// All workers list tail latencies far above their targets for a while; no process or link is disturbed.
    Overload,
    /// All processes and workers lose power; the leading entry and one agent with its worker stay down.
    TotalPowerLoss,
    /// An entry or an agent is stopped in an orderly way and started again.
    PlannedStop,
    /// An agent and its worker are replaced by others with other names.
    AgentReplacement,
    /// A process takes long to handle each event.
    SlowProcess,
    /// Packets between an entry and an agent pass one way only.
    OneWayCut,
    /// The open links of an agent go silent in one direction or both, for good; new links work.
    SilentLinks,
    /// The store answers nobody for some seconds; no process or link is disturbed otherwise.
    SilentStore,
    /// Answers of feeds take seconds; all other calls to the store are quick.
    LaggingFeed,
    /// The operator evacuates a failure domain for some seconds.
    Evacuation,
};

/// @brief Size of a simulation, its faults, and the settings of the simulated processes.
struct JobSimulationConfig {
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    std::size_t jobs = 30;
    /// Mean time between two faults; zero means none.
    Duration faultInterval = std::chrono::milliseconds(700);
    Duration faultPeriod = std::chrono::seconds(25);
    /// How long a new leader takes to read the tables.
    Duration tableReadTime = std::chrono::milliseconds(10);
    /// How much longer than usual the store takes for each transaction.
    Duration extraWriteTime {};
    /// Number of steps of 1,000 small tasks that each tenth job has; zero means that all jobs are small.
    std::size_t largeJobSteps = 0;
    /// Cores and memory of each worker.
    ResourceVector workerCapacity { 8000, 16000, 0 };
    /// Unless empty, half of the faults are drawn from these, and some long-running jobs run until all faults are over.
    std::vector<WorkerFault> workerFaults {};
    /// Whether all faults are drawn from workerFaults.
    bool onlyWorkerFaults = false;
    SchedulerConfig scheduler {};
    WorkerMachineConfig agent {};
};

/// @brief Runs one simulation; each violation of a guarantee becomes a text in violations().
class JobSimulation {
public:
    explicit JobSimulation(JobSimulationConfig config);

    /// @brief Submits jobs while faults are injected, ends all faults, and checks 60 s or 90 s later that every job has ended.
    void simulate();

    /// @return violations of guarantees, in the order in which they were found
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return this->recordedViolations; }

    /// @return number of runs that workers have started
    [[nodiscard]] std::size_t starts() const noexcept { return this->startCount; }

    /// @return number of jobs that were stored
    [[nodiscard]] std::size_t accepted() const noexcept { return this->jobs.size(); }

    /// @return number of evacuations of failure domains
    [[nodiscard]] std::size_t evacuations() const noexcept { return this->evacuationCount; }

    /// @return number of changes of leadership
    [[nodiscard]] std::size_t takeovers() const noexcept { return this->takeoverCount; }

    /// @return log of the simulation, one text for each event
    [[nodiscard]] const std::vector<std::string>& history() const noexcept { return this->historyLines; }

private:
    struct EntryNode {
        std::string name {};
        std::unique_ptr<Scheduler> machine {};
        std::uint64_t incarnation = 0;
        bool up = false;
        bool storeCut = false;
        TimePoint stalledUntil {};
        /// Until when it takes long to handle each event.
        TimePoint slowUntil {};
        /// Events that arrived while it was stalled, in order of arrival.
        std::deque<SchedulerEvent> backlog {};
        std::uint64_t timer = 0;
        /// Names of the agents to which it keeps a link.
        std::set<std::string> agentsToLink {};
        /// Whether it follows the tables of jobs and agents, and the newest row version that it has received.
        bool following = false;
        RowVersion feedVersion = 0;
        /// Epoch whose feed it follows; answers to the feed of an earlier epoch are not delivered.
        std::uint64_t feedEpoch = 0;
    };

    struct AgentNode {
        std::string name {};
        std::unique_ptr<WorkerMachine> machine {};
        std::uint64_t incarnation = 0;
        bool up = false;
        TimePoint stalledUntil {};
        /// Until when it takes long to handle each event.
        TimePoint slowUntil {};
        /// Events that arrived while it was stalled, in order of arrival.
        std::deque<WorkerEvent> backlog {};
        std::uint64_t timer = 0;
    };

    /// What the oracle knows about one long-running task.
    struct OracleLongRunningTask {
        /// When its last run ended, or when its job was stored.
        TimePoint lastRun {};
        /// Since when it has had no run although nothing excuses that.
        std::optional<TimePoint> missingSince {};
        bool reported = false;
    };

    struct Run {
        std::string payload {};
        TimePoint began {};
        bool stopping = false;
    };

    /// Worker of the agent with the same index.
    struct WorkerNode {
        std::string id {};
        std::int64_t startedAtMs = 0;
        bool up = false;
        /// Until when its VM stays down; a shorter downtime does not end a longer one.
        TimePoint downUntil {};
        double clockRate = 1;
        /// Offset of the wall clock of its VM.
        Duration clockStep {};
        /// Until when it refuses every start.
        TimePoint refusesUntil {};
        /// Until when calls and heartbeats between it and its agent are lost.
        TimePoint cutUntil {};
        /// Until when its runs stand still.
        TimePoint standsStillUntil {};
        TimePoint incarnationStart {};
        std::uint64_t token = 0;
        std::int64_t leaseMs = 0;
        std::map<RunId, Run> running {};
        std::vector<RunEnd> ended {};
        std::map<TaskId, std::uint32_t> highestEnded {};
        std::uint64_t lastEnd = 0;
        std::uint64_t acknowledged = 0;
        /// Answer the polls that wait for the end of a run.
        std::vector<std::function<void()>> waiters {};
    };

    struct Link {
        std::size_t entry = 0;
        std::size_t agent = 0;
        bool entryOpen = false;
        bool agentOpen = false;
        /// Whether messages in a direction are lost for good.
        bool silentToAgent = false;
        bool silentToEntry = false;
        TimePoint lastToAgent {};
        TimePoint lastToEntry {};
        TimePoint lastReceivedAt {};
        std::vector<std::function<void()>> held {};
    };

    /// What the oracle knows about a job.
    struct OracleJob {
        JobSpecHandle spec {};
        std::optional<TimePoint> cancelledAt {};
        std::set<TaskId> done {};
        std::map<TaskId, std::uint32_t> failuresNoted {};
        std::map<TaskId, std::uint32_t> failures {};
        std::map<TaskId, OracleLongRunningTask> longRunningTasks {};
        TimePoint storedAt {};
        /// Whether a worker has begun a run of it.
        bool begun = false;
        /// Since when the job has had a run, or has been cancelled or stored as ended, without interruption.
        std::optional<TimePoint> notWaitingSince {};
    };

    using Action = std::function<void()>;

    void at(TimePoint time, Action action);
    void after(Duration delay, Action action) { this->at(this->now + delay, std::move(action)); }
    void runUntil(TimePoint time);
    [[nodiscard]] Duration jitter(Duration most);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] std::size_t pick(std::size_t count);
    void note(const std::string& line);
    void recordViolation(const std::string& line);

    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void startWorker(std::size_t index);
    void sendHeartbeat(std::size_t index, std::int64_t startedAtMs);
    /// Delivers an event to a process; a stalled process handles it when it runs again, in order of arrival.
    template <typename Nodes, typename Event>
    void deliver(Nodes& nodes, std::size_t index, std::uint64_t incarnation, Event event);
    template <typename Nodes>
    void deliverBacklog(Nodes& nodes, std::size_t index, std::uint64_t incarnation);
    template <typename Nodes>
    void deliverSlowly(Nodes& nodes, std::size_t index, std::uint64_t incarnation);
    void step(std::size_t index, const SchedulerEvent& event);
    void step(std::size_t index, const WorkerEvent& event);
    void deliverToEntry(std::size_t index, std::uint64_t incarnation, SchedulerEvent event);
    void deliverToAgent(std::size_t index, std::uint64_t incarnation, WorkerEvent event);
    void armEntry(std::size_t index);
    void armAgent(std::size_t index);
    void applyEffect(std::size_t entry, const SchedulerEffect& effect);
    void checkOutboxes(const Scheduler::Effects& effects);
    void applyEffect(std::size_t agent, const WorkerEffect& effect);

    void submit(std::size_t entry, Transaction transaction, std::function<void(TransactionResult)> done);
    [[nodiscard]] TransactionResult apply(const Transaction& transaction);
    void readTables(std::size_t entry, std::uint64_t epoch);
    void follow(std::size_t entry, std::uint64_t incarnation, std::uint64_t epoch);
    /// Delivers the operator's evacuations to an entry, whether it leads or not.
    void followOperator(std::size_t entry, std::uint64_t incarnation);
    void registerAgent(std::size_t agent);

    void dial(std::size_t entry, std::uint64_t incarnation, std::size_t agent);
    void sendOnLink(std::uint64_t link, bool toAgentSide, Action deliver);
    void closeLink(std::uint64_t link);
    void closeLinks(const std::function<bool(const Link&)>& which);
    void watchLink(std::uint64_t link);
    [[nodiscard]] bool cut(std::size_t entry, std::size_t agent) const;
    [[nodiscard]] bool cutInDirection(std::size_t entry, std::size_t agent, bool toAgentSide) const;
    void deliverHeldMessages(std::size_t entry, std::size_t agent);

    void callWorker(std::size_t agent, CallNumber call, std::function<std::optional<WorkerEvent>()> execute);
    void answerPoll(std::size_t agent, std::uint64_t incarnation, const CallPoll& call, bool mayWait);
    [[nodiscard]] std::optional<WorkerEvent> execute(std::size_t worker, const CallStart& call);
    [[nodiscard]] std::optional<WorkerEvent> execute(std::size_t worker, const CallStop& call);
    [[nodiscard]] std::int64_t clockMs(const WorkerNode& worker) const;
    void extendLease(std::size_t worker, std::int64_t untilMs);
    void checkLease(std::size_t worker, std::int64_t startedAtMs);
    void endRun(std::size_t worker, const RunId& run, RunEndKind kind);
    void acknowledge(WorkerNode& worker, std::uint64_t upTo);
    void checkStart(std::size_t worker, const RunId& run, const std::string& payload);
    void extendFaultPeriod(Duration length);
    void extendLeaderFaultPeriod(Duration length);
    void checkWaitingCounts();
    [[nodiscard]] std::uint32_t waitingCount() const;
    [[nodiscard]] bool isWaiting(const JobId& id, const OracleJob& oracleJob) const;
    void checkLongRunningTasks();
    void checkLongRunningTask(const TaskId& id, const StepSpec& step, OracleLongRunningTask& task);
    [[nodiscard]] bool running(const TaskId& id) const;
    [[nodiscard]] std::uint32_t headroomFor(const StepSpec& step) const;

    void submitJob(std::size_t number);
    void cancel(const JobId& job);
    void killEntry(std::size_t index, Duration downtime);
    void killAgent(std::size_t index, Duration downtime);
    void injectFault();
    void injectWorkerFault(WorkerFault fault);
    void sendForeignHeartbeat(std::size_t index);
    void replaceWorker(std::size_t index, Duration downtime);
    void evacuate(const std::string& failureDomain, Duration length);
    void restore(const std::string& failureDomain);
    void checkEvacuation(std::size_t worker, const RunId& run);
    void stepClock(std::size_t index, Duration length);
    void loseWithLeader(std::size_t index);
    void losePowerEverywhere(std::size_t index);
    void killLeader(Duration downtime);
    void stopAsPlanned(std::size_t agent);
    void replaceAgent(std::size_t index, Duration downtime);
    void slowDown(std::size_t agent, Duration length);
    void cutOneWay(std::size_t agent, Duration length);
    void silenceLinks(std::size_t agent);
    [[nodiscard]] bool draws(WorkerFault fault) const;
    [[nodiscard]] std::uint32_t measurementOf(const WorkerNode& worker, const RunId& run) const;
    void endRunInTime(std::size_t worker, std::int64_t startedAtMs, const RunId& run, RunEndKind kind);
    void killWorker(std::size_t index, Duration downtime);
    void flapWorker(std::size_t index, TimePoint end);
    void recover();
    void checkFinalState();

    JobSimulationConfig config;
    std::mt19937_64 random;
    TimePoint now { std::chrono::seconds(1000) };
    std::multimap<TimePoint, Action> actionQueue;
    std::map<RowKey, Row> rows;
    std::vector<Row> changes;
    RowVersion version = 0;
    TimePoint storeDownUntil {};
    TimePoint feedLagsUntil {};
    /// When the last of the faults so far ends.
    TimePoint faultsEndAt {};
    /// When the last of the faults so far of entries and the store ends.
    TimePoint leaderFaultsEndAt {};
    bool reportedWaitingCount = false;
    double answerLossProbability = 0;
    double lateOrderProbability = 0;
    /// Until when a worker may still carry out an order that was late.
    TimePoint lateOrdersUntil {};
    /// Evacuated failure domains, and when the store acknowledged the operator's request.
    std::map<std::string, TimePoint> evacuatedSince;
    std::vector<EntryNode> entries;
    std::vector<AgentNode> agents;
    std::vector<WorkerNode> workers;
    std::map<std::uint64_t, Link> links;
    std::uint64_t lastLink = 0;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    /// Entry, agent and direction (whether towards the agent) in which no message passes.
    std::set<std::tuple<std::size_t, std::size_t, bool>> oneWayCuts;
    TimePoint overloadUntil {};
    std::map<JobId, OracleJob> jobs;
    std::vector<std::string> recordedViolations;
    std::vector<std::string> historyLines;
    std::size_t startCount = 0;
    std::size_t takeoverCount = 0;
    std::size_t evacuationCount = 0;
};

}
