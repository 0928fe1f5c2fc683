#pragma once

/// @file
/// @brief Workers that the leader knows through their agents, and the resources reserved on each.

#include "Job.h"
#include "Worker.h"
#include <cowslipdoor/core/Ids.h>
#include <cowslipdoor/core/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cowslipdoor {

/// @brief Settings of the exclusion of unhealthy workers.
struct WorkerHealthConfig {
    /// Number of different jobs with failures in a row that excludes a worker from placement; one job that always fails must
    /// not exclude it.
    std::uint32_t failuresToExclude = 3;
    /// How long no run is started on an excluded worker; after that, one failure excludes it again.
    Duration exclusion = std::chrono::milliseconds(2500);
    /// How long no run is started on a worker after a refused start; doubles with each refusal in a row. A refused task is
    /// placed again after 100 ms and a write, so it can try one or two other workers in this time.
    Duration refusalBackoff = std::chrono::milliseconds(250);
    /// Upper bound of the backoff after refused starts: a third of the 3 s that the platform permits until a long-running task runs again if there is headroom.
    Duration maximumRefusalBackoff = std::chrono::milliseconds(1000);
    /// Age of the assignment from which a refused order may have come late: an agent accepts an order until 1.5 s after its
    /// renewal grant, and the grant is at most 1 s old at the assignment.
    Duration lateOrder = std::chrono::milliseconds(500);
    /// How long a worker is the last choice after a refused start, or for long-running tasks after the failure of one there:
    /// the 6 s and 3 s that the platform permits until a long-running task runs again, and a margin.
    Duration lastChoiceTime = std::chrono::seconds(10);

    bool operator==(const WorkerHealthConfig&) const = default;
};

/// @brief Maximum age of an agent's renewal grant for runs to be sent there: an agent refuses orders after 1.5 s, and storing
/// and sending an order takes less than half a second.
constexpr Duration maximumGrantAge = std::chrono::milliseconds(1000);

/// @brief Maximum number of starts on a worker that it has not confirmed. Its agent sends it one order at a time, and refuses an
/// order after 1.5 s; a worker of 32 cores has room for about 100 tasks of the smallest size in use.
constexpr std::size_t maximumUnconfirmedStarts = 256;

/// @brief Maximum number of runs on a worker: its agent lists all of them in one message, which fits into a frame of 8 MiB also when each
/// run has a checkpoint of the largest size. A worker of 32 cores has room for about 100 tasks of the smallest size in use.
constexpr std::size_t maximumRunsOfWorker = 8192;

/// @brief Maximum number of stops that are under way to an agent: a quarter of the outbox of a link. Each end that the agent reports
/// causes the next one.
constexpr std::size_t maximumStopsUnderWay = 1024;

/// @brief Maximum number of descriptions of runs that one turn of the leader sends to an agent: a quarter of the outbox of a link. The
/// next reports of the agent cause those that were left out.
constexpr std::size_t maximumDescriptionsPerTurn = 1024;

/// @brief Reason why a task cannot be placed on a worker.
enum class UnfitReason : unsigned char {
    NotLinked,
    NoWorker,
    NotSettled,
    Draining,
    LongLease,
    Evacuated,
    Excluded,
    RefusesStarts,
    Stalled,
    StaleGrant,
    OtherService,
    LacksLabel,
    LacksResources,
    HoldsEnoughOfStep,
    HoldsMaximumRuns,
    AwaitsStarts,
};

/// @param reason the reason
/// @return its description for logs
[[nodiscard]] std::string_view toString(UnfitReason reason) noexcept;

/// @brief Tasks of one image on a worker.
struct ImageLoad {
    std::uint32_t tasks = 0;
    std::uint32_t milliCores = 0;

    bool operator==(const ImageLoad&) const = default;
};

/// Slack of a serving image without best-effort tasks, assumed until its worker has listed it: that at half the load.
constexpr double usualSlack = 2.5;

/// @brief State of an agent and its worker as known to the leader.
struct TrackedWorker {
    std::string agent {};
    std::string address {};
    /// Greatest generation of the agent that is known.
    std::uint64_t generation = 0;
    std::optional<LinkId> link {};
    /// Number of the last order before the link was opened; orders up to it were sent on earlier links.
    std::uint64_t ordersBeforeLink = 0;
    /// Current incarnation of the worker, as reported by the agent.
    std::optional<WorkerInfo> info {};
    /// Whether the agent has reported all runs on the worker.
    bool settled = false;
    /// Failure domain that the agent has stated last; empty if unknown.
    std::string failureDomain {};
    /// Whether nothing may start here because the operator evacuates the failure domain.
    bool evacuated = false;
    /// Until when the worker is slow after its start.
    TimePoint coldUntil {};
    /// When the leader last sent the agent a renewal grant.
    TimePoint lastGrantAt {};
    /// Time of the ping that the last renewal grant answered, by the agent's clock.
    std::int64_t lastPing = 0;
    ResourceVector used {};
    std::uint32_t longRunningMilliCores = 0;
    /// Best-effort tasks and serving tasks here, by image.
    std::map<std::string, ImageLoad> bestEffortByImage {};
    std::map<std::string, ImageLoad> servingByImage {};
    /// Least slack that runs of each serving image would have here without best-effort runs, as of the last progress report.
    std::map<std::string, double> baselineSlack {};
    /// Until when serving runs that were assigned last start and are measured.
    TimePoint servingStartsUntil {};
    /// Slack that is assumed for serving images that have not been measured.
    double assumedSlack = usualSlack;
    /// When the last progress report was received.
    TimePoint listedAt {};
    /// Milli-cores that best-effort runs here leave unused because of their pace, as of the last progress report.
    std::uint32_t pacedDownMilliCores = 0;
    /// Losses of best-effort runs as last sent to the agent.
    std::map<RunId, std::vector<SlackLoss>> sentLosses {};
    /// Runs here that have to be described to the agent again, as its link is new.
    std::set<RunId> undescribedRuns {};
    /// Last turn of the leader in which descriptions of runs were sent here, and their number in it.
    std::uint64_t descriptionsTurn = 0;
    std::size_t descriptionsInTurn = 0;
    /// Runs whose stop has been sent since the last list of all runs, and those whose stop waits for the end of another one.
    std::set<RunId> stopsUnderWay {};
    std::set<RunId> stopsWaiting {};
    /// Tasks with a run here, and the incarnation of the worker that each was assigned to.
    std::map<TaskId, WorkerIdentity> tasks {};
    /// Tasks that were assigned here and whose runs the agent has neither listed nor refused.
    std::set<TaskId> unconfirmedStarts {};
    /// Jobs with failed runs here since the last successful run.
    std::set<JobId> failedJobs {};
    TimePoint excludedUntil {};
    /// Rounds of refusals in a row; the refusal of a run that was assigned before the last refusal belongs to the same round.
    std::uint32_t refusals = 0;
    TimePoint refusedAt {};
    /// Until when no run is started here because of refused starts.
    TimePoint refusingUntil {};
    /// Until when the worker is the last choice because of refused starts.
    TimePoint lastChoiceUntil {};
    /// Until when the worker is the last choice for long-running tasks because of the failure of such a task.
    TimePoint lastChoiceForLongRunningUntil {};
    /// Until when no run is started here because the runs have stalled.
    TimePoint stalledUntil {};

    /// @param now current time
    /// @return whether the renewal grant is recent enough for the agent to accept an order
    [[nodiscard]] bool hasFreshGrant(TimePoint now) const noexcept { return now < this->lastGrantAt + maximumGrantAge; }

    /// @param now current time
    /// @return whether the worker is excluded because its runs have stalled
    [[nodiscard]] bool isStalled(TimePoint now) const noexcept { return now < this->stalledUntil; }

    /// @param now current time
    /// @return whether the worker is still slow after its start
    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return now < this->coldUntil; }

    /// @param now current time
    /// @return the reason why no run can be sent here, or std::nullopt if runs can be sent
    [[nodiscard]] std::optional<UnfitReason> unfitReason(TimePoint now) const noexcept;

    /// @param now current time
    /// @return why the worker is excluded because of its runs, or std::nullopt; for some tasks placement only ranks such a
    /// worker last
    [[nodiscard]] std::optional<UnfitReason> exclusionReason(TimePoint now) const noexcept;

    /// @param now current time
    /// @return whether runs can be sent here and the worker is not excluded
    [[nodiscard]] bool usable(TimePoint now) const noexcept { return !this->unfitReason(now) && !this->exclusionReason(now); }

    /// @return the capacity that is not reserved by assigned tasks; zero while no worker is known
    [[nodiscard]] ResourceVector free() const noexcept { return this->info ? this->info->capacity.minus(this->used) : ResourceVector {}; }

    /// @return the milli-cores that all best-effort tasks here require
    [[nodiscard]] std::uint32_t bestEffortMilliCores() const noexcept;

    /// @brief Reserves the resources of a task.
    /// @param id the task
    /// @param step its step
    /// @param worker incarnation of the worker that the task is assigned to
    void allocate(const TaskId& id, const StepSpec& step, const WorkerIdentity& worker);

    /// @brief Releases the resources of a task.
    /// @param id a task whose resources are reserved
    /// @param step its step
    void deallocate(const TaskId& id, const StepSpec& step);

    /// @param job the job
    /// @param step number of the step
    /// @return the number of tasks of the step here
    [[nodiscard]] std::uint32_t countOf(const JobId& job, std::uint32_t step) const;

    /// @brief Counts the end of a run towards the exclusion of the worker.
    /// @param job the job
    /// @param failed whether the run failed
    /// @param config settings
    /// @param now current time
    /// @return whether this end excludes the worker
    bool noteRunEnd(const JobId& job, bool failed, const WorkerHealthConfig& config, TimePoint now);

    /// @brief Counts a refused start towards the backoff of the worker.
    /// @param assignedAt when the run was assigned
    /// @param config settings
    /// @param now current time
    void noteRefusal(TimePoint assignedAt, const WorkerHealthConfig& config, TimePoint now);

    /// @brief Counts a description of a run.
    /// @param turn number of the current turn of the leader
    /// @return whether it may be sent in this turn
    [[nodiscard]] bool takeDescription(std::uint64_t turn) noexcept;

    /// @brief Notes a run that has to be stopped.
    /// @param run the run
    /// @return whether its stop may be sent now; if not, it waits
    [[nodiscard]] bool takeStop(const RunId& run);

    /// @brief Forgets all stops, as a list of all runs shows which ones are still needed.
    void forgetStops() noexcept;

    /// @brief Notes an accepted start, which clears earlier refusals.
    /// @param assignedAt when the run was assigned; only a run assigned after the last refusal clears it
    void noteAcceptance(TimePoint assignedAt) noexcept;

    /// @brief Clears failures, refusals and exclusions, as the worker begins a new incarnation.
    void resetHealth();

    /// @param longRunning whether the task is long-running
    /// @param now current time
    /// @return whether all other workers are preferred for such a task
    [[nodiscard]] bool lastChoice(bool longRunning, TimePoint now) const noexcept { return now < this->lastChoiceUntil || (longRunning && now < this->lastChoiceForLongRunningUntil); }
};

/// @brief All workers by the names of their agents.
using Workers = std::map<std::string, TrackedWorker>;

}
