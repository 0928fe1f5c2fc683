#pragma once

/// @file
/// @brief Workers that the leader knows through their agents, and the room that is taken on each.

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

/// @brief Settings of the judgement of workers.
struct WorkerHealthConfig {
    /// Failures in a row, of different jobs, that take a worker out of placement. One job that always fails must not.
    std::uint32_t failuresToExclude = 3;
    /// How long an excluded worker gets no start; then one failure excludes it again.
    Duration exclusion = std::chrono::milliseconds(2500);
    /// How long a worker gets no start after a refusal, doubling with each in a row. A task that was refused is placed
    /// again after 100 ms and a write, so this lets it ask one or two others.
    Duration refusalBackoff = std::chrono::milliseconds(250);
    /// Bound of that pause: a third of the 3 s for which a lasting task may not run with room for it.
    Duration maximumRefusalBackoff = std::chrono::milliseconds(1000);
    /// How old the assignment of a refused order is when it may have come late: an agent heeds an order for 1.5 s after its
    /// word, and the word is at most 1 s old at the assignment.
    Duration lateOrder = std::chrono::milliseconds(500);
    /// How long a worker comes after all others for a refusal, or for a lasting task that failed there: the 6 s and 3 s in
    /// which a lasting task must run again, and a little.
    Duration lastChoiceTime = std::chrono::seconds(10);

    bool operator==(const WorkerHealthConfig&) const = default;
};

/// How old the newest answered ping of an agent may be for a run to be sent there: an agent refuses orders after 1.5 s, and
/// storing and sending one takes less than half a second.
constexpr Duration maximumGrantAge = std::chrono::milliseconds(1000);

/// @brief Why a worker may not be given a task.
enum class UnfitReason : unsigned char {
    NotLinked,
    NoWorker,
    NotSettled,
    Draining,
    Excluded,
    RefusesStarts,
    Stalled,
    StaleGrant,
    OtherService,
    LacksLabel,
    LacksResources,
    HoldsEnoughOfStep,
};

/// @param reason the reason
/// @return it in words, for logs
[[nodiscard]] std::string_view toString(UnfitReason reason) noexcept;

/// @brief Tasks of one image on a worker.
struct ImageLoad {
    std::uint32_t tasks = 0;
    std::uint32_t milliCores = 0;

    bool operator==(const ImageLoad&) const = default;
};

/// @brief One agent and its worker.
struct TrackedWorker {
    std::string agent {};
    std::string address {};
    /// Greatest generation of the agent that is known.
    std::uint64_t generation = 0;
    std::optional<LinkId> link {};
    /// Number of the last order before the link was opened; it went to an earlier link.
    std::uint64_t ordersBeforeLink = 0;
    /// The worker in its present life, as the agent told.
    std::optional<WorkerInfo> info {};
    /// Whether the agent has told all that runs there.
    bool settled = false;
    /// When the agent was last allowed to renew the leases of its worker.
    TimePoint lastGrantAt {};
    /// Time of the ping that it answered, by the agent's clock.
    std::int64_t lastPing = 0;
    ResourceVector used {};
    std::uint32_t longRunningMilliCores = 0;
    /// Filling tasks here by image, and tasks with a target.
    std::map<std::string, ImageLoad> bestEffortByImage {};
    std::map<std::string, ImageLoad> servingByImage {};
    /// Least slack that runs of a serving image would have here without filling ones, as of the last list.
    std::map<std::string, double> baselineSlack {};
    /// When its runs were listed last.
    TimePoint listedAt {};
    /// Cores that filling runs here leave unused by their pace, as of the last list.
    std::uint32_t pacedDownMilliCores = 0;
    /// Losses of filling runs as the agent was told them last.
    std::map<RunId, std::vector<SlackLoss>> sentLosses {};
    /// Tasks with a run here, with the life of the worker that they were sent to.
    std::map<TaskId, WorkerIdentity> tasks {};
    /// Jobs that failed here since the last success.
    std::set<JobId> failedJobs {};
    TimePoint excludedUntil {};
    /// Rounds of refusals in a row; orders that left before a refusal belong to its round.
    std::uint32_t refusals = 0;
    TimePoint refusedAt {};
    /// Until when it gets no start, as it refused some.
    TimePoint refusingUntil {};
    /// Until when it comes after all others, as it refused starts.
    TimePoint lastChoiceUntil {};
    /// Until when it comes after all others for lasting tasks, as such a task failed here.
    TimePoint lastChoiceForLongRunningUntil {};
    /// Until when it gets no start, as runs there stand still.
    TimePoint stalledUntil {};

    /// @param now the present
    /// @return whether the agent would still heed an order
    [[nodiscard]] bool hasFreshGrant(TimePoint now) const noexcept { return now < this->lastGrantAt + maximumGrantAge; }

    /// @param now the present
    /// @return whether all runs here stood still lately
    [[nodiscard]] bool isStalled(TimePoint now) const noexcept { return now < this->stalledUntil; }

    /// @param now the present
    /// @return why no run may be sent here, or nothing when one may
    [[nodiscard]] std::optional<UnfitReason> unfitReason(TimePoint now) const noexcept;

    /// @param now the present
    /// @return whether new runs may be sent here
    [[nodiscard]] bool usable(TimePoint now) const noexcept { return !this->unfitReason(now); }

    /// @return what is free, by what has been assigned
    [[nodiscard]] ResourceVector free() const noexcept { return this->info ? this->info->capacity.minus(this->used) : ResourceVector {}; }

    /// @return cores of all filling tasks here
    [[nodiscard]] std::uint32_t bestEffortMilliCores() const noexcept;

    /// @param id the task
    /// @param step its step
    /// @param worker the life of the worker
    void allocate(const TaskId& id, const StepSpec& step, const WorkerIdentity& worker);

    /// @param id a task that was taken
    /// @param step its step
    void deallocate(const TaskId& id, const StepSpec& step);

    /// @param job the job
    /// @param step number of the step
    /// @return tasks of the step that are here
    [[nodiscard]] std::uint32_t countOf(const JobId& job, std::uint32_t step) const;

    /// @brief Takes in the end of a run for the judgement of the worker.
    /// @param job the job
    /// @param failed whether the run failed
    /// @param config settings
    /// @param now the present
    /// @return whether the worker is excluded from now on
    bool noteRunEnd(const JobId& job, bool failed, const WorkerHealthConfig& config, TimePoint now);

    /// @brief Takes in a refused start for the judgement of the worker.
    /// @param assignedAt when the run was assigned
    /// @param config settings
    /// @param now the present
    void noteRefusal(TimePoint assignedAt, const WorkerHealthConfig& config, TimePoint now);

    /// @brief Takes in that a start was accepted, which clears earlier refusals.
    /// @param assignedAt when the run was assigned
    void noteAcceptance(TimePoint assignedAt) noexcept;

    /// @brief Forgets what speaks against the worker, as it begins a new life.
    void resetHealth();

    /// @param longRunning whether the task lasts
    /// @param now the present
    /// @return whether others come before it for such a task
    [[nodiscard]] bool lastChoice(bool longRunning, TimePoint now) const noexcept { return now < this->lastChoiceUntil || (longRunning && now < this->lastChoiceForLongRunningUntil); }
};

/// @brief All workers by the name of their agents.
using Workers = std::map<std::string, TrackedWorker>;

}
