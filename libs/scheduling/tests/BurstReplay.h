#pragma once

/// @file
/// @brief Replay of a load of best-effort jobs beside serving tasks against one scheduler, with small fakes of store and workers.

#include <cowslipdoor/scheduling/PaceControl.h>
#include <cowslipdoor/scheduling/Scheduler.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cowslipdoor::tests {

/// @brief Job that arrives during a replay.
struct ReplayJob {
    Duration at {};
    JobSpecHandle spec {};
    /// Actual run time of a task as a multiple of its estimate.
    double timeFactor = 1;
};

/// @brief How a job of a replay was served.
struct ReplayOutcome {
    /// Time from its arrival to its end, or zero.
    Duration latency {};
    /// Its objective.
    Duration objective {};
    /// Time from its arrival until two of its tasks ran.
    Duration beganAfter {};
    /// Longest time with nothing running.
    Duration idle {};

    /// @return whether it ended by its objective
    [[nodiscard]] bool inTime() const { return this->latency > Duration {} && this->latency <= this->objective; }

    /// @return 1, 0.15 or 0, as callers value its end
    [[nodiscard]] double worth() const;
};

/// @brief Scheduler with workers of 16 cores, each of which runs one serving task of one of four images that lose differently.
class BurstReplay {
public:
    /// @param workerCount number of workers
    /// @param admission settings of admission
    BurstReplay(std::size_t workerCount, AdmissionConfig admission);

    /// @brief Runs the load and goes on until all jobs have ended, for at most two minutes.
    void play(const std::vector<ReplayJob>& load);

    /// @brief Replaces the scheduler by one that knows only what is stored, at a time of the replay.
    void takeOverAt(Duration time) { this->takeOvers.insert(time); }

    /// @brief Ends a worker and its agent at a time of the replay.
    void loseWorkerAt(Duration time, std::size_t worker) { this->losses.emplace(time, worker); }

    /// @brief Memory that other tasks reserve on each worker, of 64,000 MB.
    std::uint32_t reservedMemoryMb = 1000;

    /// @return the outcomes by job
    [[nodiscard]] const std::map<JobId, ReplayOutcome>& outcomes() const { return this->served; }

    /// @return the share of all jobs, or of those that match, that ended in time
    [[nodiscard]] double inTimeShare(const std::string& prefix = "") const;

    /// @return mean worth of all jobs, or of those that match
    [[nodiscard]] double meanWorth(const std::string& prefix = "") const;

    /// @return lines "job/step/index#run to agent at time" of all assignments
    [[nodiscard]] const std::vector<std::string>& assignments() const { return this->assigned; }

    /// @return the number of events of a kind
    [[nodiscard]] std::size_t count(EventId event) const;

private:
    struct Run {
        StepSpec step {};
        double done = 0;
        double pace = 1;
        double timeFactor = 1;
    };

    struct Node {
        std::string agent {};
        LinkId link {};
        bool up = true;
        PaceControl control { PaceConfig {} };
        std::map<RunId, Run> runs {};
        std::uint64_t ends = 0;
        double idleSlack = 2.5;
    };

    void lead();
    void step(const SchedulerEvent& event);
    void carryOut(const SchedulerEffect& effect);
    void receive(Node& node, const LeaderMessage& message);
    void tick();
    void runTasks(Node& node);
    void report(Node& node);
    void end(Node& node, const RunId& run, RunEndKind kind, const std::string& checkpoint);
    void setPaces(Node& node, const std::vector<PaceOrder>& orders);
    [[nodiscard]] double slackOf(const Node& node) const;
    void observeJobs();
    [[nodiscard]] SchedulerEvent tablesRead() const;

    SchedulerConfig config;
    std::unique_ptr<Scheduler> machine;
    TimePoint now { std::chrono::seconds(1000) };
    std::map<RowKey, Row> rows;
    RowVersion version = 1;
    std::optional<std::pair<TimePoint, Transaction>> write;
    std::vector<std::pair<std::string, LeaderMessage>> messages;
    std::vector<Node> nodes;
    std::map<JobId, ReplayJob> jobs;
    std::map<JobId, ReplayOutcome> served;
    std::map<JobId, TimePoint> arrivals;
    std::map<JobId, TimePoint> idleSince;
    std::set<Duration> takeOvers;
    std::multimap<Duration, std::size_t> losses;
    std::vector<std::string> assigned;
    std::map<EventId, std::size_t> events;
};

/// @brief A job of two steps of 20 tasks of 3.5 cores, as the largest of a site have.
/// @param id its identifier
/// @param estimate estimate of a task
/// @param count number of tasks of a step
[[nodiscard]] std::shared_ptr<JobSpec> largeJob(const std::string& id, Duration estimate, std::uint32_t count = 20);

/// @brief Large jobs at a usual rate, with a burst of 6 s at 2.3 times that rate from the tenth second on.
/// @param usualInterval mean interval of jobs at the usual rate
/// @param burst whether there is a burst
/// @param seed of the random times
[[nodiscard]] std::vector<ReplayJob> burstLoad(Duration usualInterval, bool burst, unsigned seed);

}
