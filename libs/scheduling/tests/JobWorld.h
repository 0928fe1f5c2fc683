#pragma once

/// @file
/// @brief Schedulers, agents' machines, a store and workers joined in virtual time, with faults and an oracle.

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
#include <vector>

namespace cowslipdoor::tests {

/// @brief Faults beside the agents, which a world draws on request.
enum class WorkerFault : unsigned char {
    /// The time of day of a VM is off for a while, and with it the start that its worker states.
    ClockStep,
    /// A worker goes down and up by turns.
    Flapping,
    /// A worker refuses all starts.
    Refusal,
    /// Nothing passes between a worker and its agent.
    Cut,
    /// A worker is replaced by one with another identifier.
    Replacement,
    /// A report of another writer comes to an agent.
    ForeignHeartbeat,
    /// A sign-off of an earlier life comes late, or one of another writer.
    LateSignOff,
    /// Agent and worker are gone together.
    PowerLoss,
    /// Agent, worker and the leading entry are gone together and stay away longer than tasks that last may.
    LossWithLeader,
};

/// @brief Sizes of a world, and which guards the machines work with.
struct JobSimulationConfig {
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    std::size_t jobs = 30;
    /// Mean time between two faults; zero means none.
    Duration faultInterval = std::chrono::milliseconds(700);
    Duration faultPeriod = std::chrono::seconds(25);
    /// How long a new leader reads the tables.
    Duration tableReadTime = std::chrono::milliseconds(10);
    /// Faults beside the agents that are drawn for every second fault; some jobs that last stay until the faults are over then.
    std::vector<WorkerFault> workerFaults {};
    /// Whether no other faults are drawn.
    bool onlyWorkerFaults = false;
    SchedulerConfig scheduler {};
    WorkerMachineConfig agent {};
};

/// @brief Plays one world; every broken promise becomes a text in violations().
class JobSimulation {
public:
    explicit JobSimulation(JobSimulationConfig config);

    /// @brief Hands in jobs under faults, heals everything, and lets time pass until every job has ended.
    void simulate();

    /// @return promises that were broken
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return this->recordedViolations; }

    /// @return runs that workers have begun
    [[nodiscard]] std::size_t starts() const noexcept { return this->startCount; }

    /// @return jobs that are stored
    [[nodiscard]] std::size_t accepted() const noexcept { return this->jobs.size(); }

    /// @return changes of leadership
    [[nodiscard]] std::size_t takeovers() const noexcept { return this->takeoverCount; }

    /// @return what happened, one line each
    [[nodiscard]] const std::vector<std::string>& history() const noexcept { return this->historyLines; }

private:
    struct EntryNode {
        std::string name {};
        std::unique_ptr<Scheduler> machine {};
        std::uint64_t incarnation = 0;
        bool up = false;
        bool storeCut = false;
        TimePoint frozenUntil {};
        /// What came while it was frozen, in the order in which it came.
        std::deque<SchedulerEvent> backlog {};
        std::uint64_t timer = 0;
        /// Address of each agent that is to be linked.
        std::set<std::string> agentsToLink {};
        /// Feed of jobs: versions after this one are told.
        bool following = false;
        RowVersion feedVersion = 0;
    };

    struct AgentNode {
        std::string name {};
        std::unique_ptr<WorkerMachine> machine {};
        std::uint64_t incarnation = 0;
        bool up = false;
        TimePoint frozenUntil {};
        /// What came while it was frozen, in the order in which it came.
        std::deque<WorkerEvent> backlog {};
        std::uint64_t timer = 0;
    };

    /// What the oracle knows of one task that lasts.
    struct OracleLongRunningTask {
        /// When a run of it was last seen, or its job was taken in.
        TimePoint lastRun {};
        /// Since when it could run, has not been running, and nothing excuses that.
        std::optional<TimePoint> missingSince {};
        bool reported = false;
    };

    struct Run {
        std::string payload {};
        TimePoint began {};
        bool stopping = false;
    };

    /// The worker beside each agent.
    struct WorkerNode {
        std::string id {};
        std::int64_t startedAtMs = 0;
        bool up = false;
        double clockRate = 1;
        /// How far the time of day of its VM is off.
        Duration clockStep {};
        /// Until when it refuses every start.
        TimePoint refusesUntil {};
        /// Until when nothing passes between it and its agent.
        TimePoint cutUntil {};
        TimePoint incarnationStart {};
        std::uint64_t token = 0;
        std::int64_t leaseMs = 0;
        std::map<RunId, Run> running {};
        std::vector<RunEnd> ended {};
        std::map<TaskId, std::uint32_t> highestEnded {};
        std::uint64_t lastEnd = 0;
        std::uint64_t acknowledged = 0;
        /// Answers looks that wait for an end.
        std::vector<std::function<void()>> waiters {};
    };

    struct Link {
        std::size_t entry = 0;
        std::size_t agent = 0;
        bool entryOpen = false;
        bool agentOpen = false;
        TimePoint lastToAgent {};
        TimePoint lastToEntry {};
        TimePoint lastReceivedAt {};
        std::vector<std::function<void()>> held {};
    };

    /// What the oracle knows of a job.
    struct OracleJob {
        JobSpecHandle spec {};
        std::optional<TimePoint> cancelledAt {};
        std::set<TaskId> done {};
        std::map<TaskId, std::uint32_t> failuresNoted {};
        std::map<TaskId, std::uint32_t> failures {};
        std::map<TaskId, OracleLongRunningTask> longRunningTasks {};
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
    /// Gives an event to a process; one that is frozen takes it in later, in the order in which events came.
    template <typename Nodes, typename Event>
    void deliver(Nodes& nodes, std::size_t index, std::uint64_t incarnation, Event event);
    template <typename Nodes>
    void deliverBacklog(Nodes& nodes, std::size_t index, std::uint64_t incarnation);
    void step(std::size_t index, const SchedulerEvent& event);
    void step(std::size_t index, const WorkerEvent& event);
    void deliverToEntry(std::size_t index, std::uint64_t incarnation, SchedulerEvent event);
    void deliverToAgent(std::size_t index, std::uint64_t incarnation, WorkerEvent event);
    void armEntry(std::size_t index);
    void armAgent(std::size_t index);
    void applyEffect(std::size_t entry, const SchedulerEffect& effect);
    void applyEffect(std::size_t agent, const WorkerEffect& effect);

    void submit(std::size_t entry, Transaction transaction, std::function<void(TransactionResult)> done);
    [[nodiscard]] TransactionResult apply(const Transaction& transaction);
    void readTables(std::size_t entry, std::uint64_t epoch);
    void follow(std::size_t entry, std::uint64_t incarnation);
    void registerAgent(std::size_t agent);

    void dial(std::size_t entry, std::uint64_t incarnation, std::size_t agent);
    void sendOnLink(std::uint64_t link, bool toAgentSide, Action deliver);
    void closeLink(std::uint64_t link);
    void closeLinks(const std::function<bool(const Link&)>& which);
    void watchLink(std::uint64_t link);
    [[nodiscard]] bool cut(std::size_t entry, std::size_t agent) const;

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
    void stepClock(std::size_t index, Duration length);
    void loseWithLeader(std::size_t index);
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
    /// When the last of the faults so far is over.
    TimePoint faultsEndAt {};
    double answerLossProbability = 0;
    double lateOrderProbability = 0;
    std::vector<EntryNode> entries;
    std::vector<AgentNode> agents;
    std::vector<WorkerNode> workers;
    std::map<std::uint64_t, Link> links;
    std::uint64_t lastLink = 0;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::map<JobId, OracleJob> jobs;
    std::vector<std::string> recordedViolations;
    std::vector<std::string> historyLines;
    std::size_t startCount = 0;
    std::size_t takeoverCount = 0;
};

}
