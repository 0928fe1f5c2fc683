#include "cowslipdoor/scheduling/Workers.h"
#include <algorithm>
#include <numeric>

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

std::string_view toString(Unfit reason) noexcept
{
    switch (reason) {
    case Unfit::NotLinked:
        return "not linked";
    case Unfit::NoWorker:
        return "without worker";
    case Unfit::NotSettled:
        return "not settled";
    case Unfit::Draining:
        return "draining";
    case Unfit::Excluded:
        return "excluded after failures";
    case Unfit::RefusesStarts:
        return "pausing after refused starts";
    case Unfit::StandsStill:
        return "excluded after a standstill";
    case Unfit::OldWord:
        return "out of touch";
    case Unfit::OtherService:
        return "of another service";
    case Unfit::LacksLabel:
        return "without the label";
    case Unfit::LacksRoom:
        return "without room";
    case Unfit::HoldsEnoughOfStep:
        return "with as many of the step as allowed";
    }
    return "";
}

std::optional<Unfit> TrackedWorker::unfit(TimePoint now) const noexcept
{
    if (!this->link)
        return Unfit::NotLinked;
    if (!this->info)
        return Unfit::NoWorker;
    if (!this->settled)
        return Unfit::NotSettled;
    if (this->info->draining)
        return Unfit::Draining;
    if (now < this->excludedUntil)
        return Unfit::Excluded;
    if (now < this->refusingUntil)
        return Unfit::RefusesStarts;
    if (this->standsStill(now))
        return Unfit::StandsStill;
    if (!this->inTouch(now))
        return Unfit::OldWord;
    return std::nullopt;
}

std::uint32_t TrackedWorker::fillingMilliCores() const noexcept
{
    const auto add = [](std::uint32_t sum, const std::map<std::string, ImageLoad>::value_type& item) { return sum + item.second.milliCores; };
    return std::accumulate(this->fillingByImage.begin(), this->fillingByImage.end(), 0U, add);
}

void TrackedWorker::take(const TaskId& id, const StepSpec& step, const WorkerIdentity& worker)
{
    if (!this->tasks.emplace(id, worker).second)
        return;
    this->used = this->used.plus(step.countedDemand());
    this->lastingMilliCores += step.longRunning ? step.demand.milliCores : 0;
    if (step.bestEffort)
        addTask(this->fillingByImage, step);
    else if (step.target > Duration {})
        addTask(this->servingByImage, step);
}

void TrackedWorker::giveBack(const TaskId& id, const StepSpec& step)
{
    if (this->tasks.erase(id) == 0)
        return;
    this->used = this->used.minus(step.countedDemand());
    this->lastingMilliCores -= step.longRunning ? step.demand.milliCores : 0;
    if (step.bestEffort)
        removeTask(this->fillingByImage, step);
    else if (step.target > Duration {})
        removeTask(this->servingByImage, step);
}

std::uint32_t TrackedWorker::countOf(const JobId& job, std::uint32_t step) const
{
    const std::map<TaskId, WorkerIdentity>::const_iterator first = this->tasks.lower_bound({ job, step, 0 });
    const std::map<TaskId, WorkerIdentity>::const_iterator last = this->tasks.lower_bound({ job, step + 1, 0 });
    return static_cast<std::uint32_t>(std::distance(first, last));
}

bool TrackedWorker::judge(const JobId& job, bool failed, const WorkerHealthConfig& config, TimePoint now)
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
    this->refusals = now < this->refusedAt + config.setbackMemory ? this->refusals + 1 : 1;
    this->refusedAt = now;
    // An agent voids an order that came late; that says nothing of the worker unless it goes on.
    if (this->refusals == 1 && now > assignedAt + config.lateOrder)
        return;
    this->refusingUntil = now + doubled(config.refusalPause, this->refusals - 1, config.longestRefusalPause);
    this->lastChoiceUntil = now + config.setbackMemory;
}

void TrackedWorker::noteAcceptance(TimePoint assignedAt) noexcept
{
    if (assignedAt <= this->refusedAt)
        return;
    this->refusals = 0;
    this->refusingUntil = {};
    this->lastChoiceUntil = {};
}

void TrackedWorker::clearJudgement()
{
    this->failedJobs.clear();
    this->excludedUntil = {};
    this->refusals = 0;
    this->refusingUntil = {};
    this->lastChoiceUntil = {};
    this->lastChoiceForLastingUntil = {};
    this->standstillUntil = {};
}

}
