#include "cowslipdoor/scheduling/Workers.h"
#include <algorithm>
#include <numeric>
#include <utility>

namespace cowslipdoor {

namespace {

    void addTask(std::map<std::string, ImageLoad>& byImage, const StepSpec& step)
    {
        ImageLoad& load = byImage[step.image];
        ++load.tasks;
        load.milliCores += step.demand.milliCores;
    }

    void removeTask(std::map<std::string, ImageLoad>& byImage, const StepSpec& step)
    {
        const std::map<std::string, ImageLoad>::iterator it = byImage.find(step.image);
        it->second.milliCores -= step.demand.milliCores;
        if (--it->second.tasks == 0)
            byImage.erase(it);
    }

}

std::string_view toString(UnfitReason reason) noexcept
{
    switch (reason) {
    case UnfitReason::NotLinked:
        return "not linked";
    case UnfitReason::NoWorker:
        return "without worker";
    case UnfitReason::NotSettled:
        return "not settled";
    case UnfitReason::Draining:
        return "draining";
    case UnfitReason::LongLease:
        return "that may hold a long lease";
    case UnfitReason::Evacuated:
        return "in an evacuated failure domain, or in an unknown one during an evacuation";
    case UnfitReason::Excluded:
        return "excluded after failures";
    case UnfitReason::RefusesStarts:
        return "in backoff after refused starts";
    case UnfitReason::Stalled:
        return "excluded after a stall";
    case UnfitReason::StaleGrant:
        return "without a recent renewal grant";
    case UnfitReason::OtherService:
        return "of another service";
    case UnfitReason::LacksLabel:
        return "without the required label";
    case UnfitReason::LacksResources:
        return "without enough headroom";
    case UnfitReason::HoldsEnoughOfStep:
        return "at the task limit of the step";
    case UnfitReason::HoldsMaximumRuns:
        return "at the limit of runs";
    case UnfitReason::AwaitsStarts:
        return "at the limit of unconfirmed starts";
    }
    return "";
}

std::optional<UnfitReason> TrackedWorker::unfitReason(TimePoint now) const noexcept
{
    if (!this->link)
        return UnfitReason::NotLinked;
    if (!this->info)
        return UnfitReason::NoWorker;
    if (!this->settled)
        return UnfitReason::NotSettled;
    if (this->info->draining)
        return UnfitReason::Draining;
    if (this->info->longLease)
        return UnfitReason::LongLease;
    if (this->evacuated)
        return UnfitReason::Evacuated;
    if (now < this->refusingUntil)
        return UnfitReason::RefusesStarts;
    if (!this->hasFreshGrant(now))
        return UnfitReason::StaleGrant;
    return std::nullopt;
}

std::optional<UnfitReason> TrackedWorker::exclusionReason(TimePoint now) const noexcept
{
    if (now < this->excludedUntil)
        return UnfitReason::Excluded;
    if (this->isStalled(now))
        return UnfitReason::Stalled;
    return std::nullopt;
}

std::uint32_t TrackedWorker::bestEffortMilliCores() const noexcept
{
    const auto add = [](std::uint32_t sum, const std::map<std::string, ImageLoad>::value_type& item) { return sum + item.second.milliCores; };
    return std::accumulate(this->bestEffortByImage.begin(), this->bestEffortByImage.end(), 0U, add);
}

void TrackedWorker::allocate(const TaskId& id, const StepSpec& step, const WorkerIdentity& worker)
{
    if (!this->tasks.emplace(id, worker).second)
        return;
    this->used = this->used.plus(step.countedDemand());
    this->longRunningMilliCores += step.longRunning ? step.demand.milliCores : 0;
    if (step.bestEffort)
        addTask(this->bestEffortByImage, step);
    else if (step.target > Duration {})
        addTask(this->servingByImage, step);
}

void TrackedWorker::deallocate(const TaskId& id, const StepSpec& step)
{
    if (this->tasks.erase(id) == 0)
        return;
    this->unconfirmedStarts.erase(id);
    this->used = this->used.minus(step.countedDemand());
    this->longRunningMilliCores -= step.longRunning ? step.demand.milliCores : 0;
    if (step.bestEffort)
        removeTask(this->bestEffortByImage, step);
    else if (step.target > Duration {})
        removeTask(this->servingByImage, step);
}

std::uint32_t TrackedWorker::countOf(const JobId& job, std::uint32_t step) const
{
    const std::map<TaskId, WorkerIdentity>::const_iterator first = this->tasks.lower_bound({ job, step, 0 });
    const std::map<TaskId, WorkerIdentity>::const_iterator last = this->tasks.lower_bound({ job, step + 1, 0 });
    return static_cast<std::uint32_t>(std::distance(first, last));
}

bool TrackedWorker::noteRunEnd(const JobId& job, bool failed, const WorkerHealthConfig& config, TimePoint now)
{
    if (!failed) {
        this->failedJobs.clear();
        return false;
    }
    this->failedJobs.insert(job);
    if (this->failedJobs.size() < config.failuresToExclude)
        return false;
    this->excludedUntil = now + config.exclusion;
    return true;
}

void TrackedWorker::noteRefusal(TimePoint assignedAt, const WorkerHealthConfig& config, TimePoint now)
{
    if (this->refusals > 0 && assignedAt <= this->refusedAt)
        return;
    this->refusals = now < this->refusedAt + config.lastChoiceTime ? this->refusals + 1 : 1;
    this->refusedAt = now;
    // An agent voids an order that came late; that says nothing about the worker unless it happens again.
    if (this->refusals == 1 && now > assignedAt + config.lateOrder)
        return;
    this->refusingUntil = now + exponentialBackoff(config.refusalBackoff, this->refusals - 1, config.maximumRefusalBackoff);
    this->lastChoiceUntil = now + config.lastChoiceTime;
}

bool TrackedWorker::takeDescription(std::uint64_t turn) noexcept
{
    if (std::exchange(this->descriptionsTurn, turn) != turn)
        this->descriptionsInTurn = 0;
    if (this->descriptionsInTurn >= maximumDescriptionsPerTurn)
        return false;
    ++this->descriptionsInTurn;
    return true;
}

bool TrackedWorker::takeStop(const RunId& run)
{
    const bool now = this->stopsUnderWay.size() < maximumStopsUnderWay || this->stopsUnderWay.contains(run);
    (now ? this->stopsUnderWay : this->stopsWaiting).insert(run);
    return now;
}

void TrackedWorker::forgetStops() noexcept
{
    this->stopsUnderWay.clear();
    this->stopsWaiting.clear();
}

void TrackedWorker::noteAcceptance(TimePoint assignedAt) noexcept
{
    if (assignedAt <= this->refusedAt)
        return;
    this->refusals = 0;
    this->refusingUntil = {};
    this->lastChoiceUntil = {};
}

void TrackedWorker::resetHealth()
{
    this->failedJobs.clear();
    this->excludedUntil = {};
    this->refusals = 0;
    this->refusingUntil = {};
    this->lastChoiceUntil = {};
    this->lastChoiceForLongRunningUntil = {};
    this->stalledUntil = {};
}

}
