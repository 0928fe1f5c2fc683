#pragma once

/// @file
/// @brief The task that owns an entry's Scheduler.

#include "AgentDialer.h"
#include "Asio.h"
#include "BurnQuery.h"
#include "Log.h"
#include "Metrics.h"
#include "StorePort.h"
#include "TableFeed.h"
#include <cowslipdoor/scheduling/JobList.h>
#include <cowslipdoor/scheduling/Scheduler.h>
#include <memory>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief State of the scheduler for the status page.
struct SchedulerStatus {
    bool leading = false;
    std::uint64_t epoch = 0;
    std::string leader {};
    std::size_t jobs = 0;
    std::size_t waitingJobs = 0;
    /// How long ago the leader knew all jobs and cancellations.
    Duration knowledgeAge {};
    /// Number of cancellations whose jobs have not arrived.
    std::size_t unmatchedCancellations = 0;
    /// Long-running tasks that no worker has listed for longer than the idle limit of SchedulerConfig.
    std::size_t idleLongRunningTasks = 0;
    std::vector<EvacuatedDomain> evacuatedDomains {};
    /// How long ago this entry knew all evacuations; std::nullopt until it has read them.
    std::optional<Duration> evacuationKnowledgeAge {};
    /// Tasks that wait for a better place than the available one.
    std::size_t tasksAwaitingPlace = 0;
    struct WorkerLine {
        std::string agent;
        std::string worker;
        bool linked = false;
        bool usable = false;
        std::size_t runs = 0;
        ResourceVector free {};
        std::string failureDomain {};

        bool operator==(const WorkerLine&) const = default;
    };
    std::vector<WorkerLine> workers {};

    bool operator==(const SchedulerStatus&) const = default;
};

/// @brief Asks for the status.
struct SchedulerStatusQuery {
    Mailbox<SchedulerStatus> reply;
};

/// @brief Jobs that the leader knows.
struct JobList {
    /// Whether this entry leads; if not, `lines` is empty.
    bool leading = false;
    /// Name of the leading entry, as far as this entry knows.
    std::string leader {};
    std::vector<JobSummary> lines {};

    bool operator==(const JobList&) const = default;
};

/// @brief Asks for the jobs.
struct JobListQuery {
    Mailbox<JobList> reply;
};

/// @brief Where the tasks of a job would go now.
struct PlacementExplanation {
    /// Whether this entry leads; if not, `steps` is empty.
    bool leading = false;
    /// Name of the leading entry, as far as this entry knows.
    std::string leader {};
    std::vector<StepPlacement> steps {};

    bool operator==(const PlacementExplanation&) const = default;
};

/// @brief Asks where the tasks of a job would go now; the job is neither stored nor placed.
struct ExplainQuery {
    JobSpecHandle spec;
    Mailbox<PlacementExplanation> reply;
};

/// @brief Any message to the scheduler's task.
using SchedulerInput = std::variant<SchedulerEvent, SchedulerStatusQuery, JobListQuery, BurnQuery, ExplainQuery>;

/// @brief Runs a Scheduler: passes it the messages and applies its effects.
/// @code
/// SchedulerTask task(executor, config, store, log, metrics);
/// task.start();
/// @endcode
class SchedulerTask {
public:
    using LearnedHandler = std::function<void(RowVersion)>;

    /// @param executor runs the tasks
    /// @param onLearned called with the version up to which the leader knows all jobs, on fresh evidence of a leader
    /// @param log receives the events
    /// @param metrics receives the counts
    SchedulerTask(asio::any_io_executor executor, SchedulerConfig config, StorePort store, LearnedHandler onLearned, const Log& log, Metrics& metrics);

    /// @brief Starts the task, which must outlive the run of the executor.
    void start();

    /// @return the mailbox for messages to the task
    [[nodiscard]] const Mailbox<SchedulerInput>& inbox() const noexcept { return this->messages; }

private:
    /// Reading of all tables in one epoch, and the feeds of their changes.
    struct TableFollower {
        std::uint64_t epoch = 0;
        std::vector<std::unique_ptr<TableFeed>> feeds {};
        bool stopped = false;
    };

    asio::awaitable<void> run();
    void on(const SchedulerEvent& event);
    void on(const SchedulerStatusQuery& query);
    void on(const JobListQuery& query);
    void on(const BurnQuery& query);
    void on(const ExplainQuery& query);
    void carryOut(const ReadLeaderRow& effect);
    void carryOut(const SubmitCommit& effect);
    void carryOut(const ReadTables& effect);
    void carryOut(const StopLeading& effect);
    void carryOut(const KeepAgentLinked& effect);
    void carryOut(const SendToAgent& effect);
    void carryOut(const ObserveJob& effect);
    void carryOut(const ReportLearned& effect);
    void carryOut(const RecordEvent& effect);
    asio::awaitable<void> readLeaderRow();
    asio::awaitable<void> submit(Transaction transaction);
    asio::awaitable<void> readTables(std::shared_ptr<TableFollower> follower);
    /// Reads the table of agents and posts its rows.
    asio::awaitable<RowPage> readAgents(std::shared_ptr<TableFollower> follower);
    asio::awaitable<RowPage> readTableUntilDone(std::shared_ptr<TableFollower> follower, std::string table);
    asio::awaitable<TableParts> listPartsUntilDone(std::shared_ptr<TableFollower> follower, std::string table);
    asio::awaitable<void> readPartInto(std::shared_ptr<TableFollower> follower, RowRange part, Mailbox<RowPage> pages);
    asio::awaitable<RowPage> readPartUntilDone(std::shared_ptr<TableFollower> follower, RowRange part);
    void followJobs(const std::shared_ptr<TableFollower>& follower, RowVersion after);
    void followTable(const std::shared_ptr<TableFollower>& follower, const TableFeedConfig& table, RowVersion after, TableFeed::CaughtUpHandler caughtUp);
    asio::awaitable<void> post(SchedulerEvent event);
    asio::awaitable<void> postRow(Row row);
    asio::awaitable<void> ignoreRow();
    void noteWrite(const TransactionResult& result);
    void recordAllIgnored(const std::vector<RowKey>& keys);
    void stopFollowing();
    void armTimer();

    asio::any_io_executor executor;
    Scheduler machine;
    StorePort store;
    LearnedHandler onLearned;
    const Log& log;
    Metrics& metrics;
    Mailbox<SchedulerInput> messages;
    asio::steady_timer timer;
    AgentDialer dialer;
    std::shared_ptr<TableFollower> follower;
    StoreContact rowReads { "reads of the leader's row" };
    StoreContact writes { "writes of the leader's row" };
};

}
