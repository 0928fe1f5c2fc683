#include "cowslipdoor/scheduling/Workers.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    void addCores(std::map<std::string, std::uint32_t>& byImage, const StepSpec& step)
    {
        byImage[step.image] += step.demand.milliCores;
    }

    void removeCores(std::map<std::string, std::uint32_t>& byImage, const StepSpec& step)
    {
        const std::map<std::string, std::uint32_t>::iterator it = byImage.find(step.image);
        it->second -= step.demand.milliCores;
        if (it->second == 0)
            byImage.erase(it);
    }

}

void WorkerEntry::take(const TaskId& id, const StepSpec& step, const WorkerIdentity& worker)
{
    if (!this->tasks.emplace(id, worker).second)
        return;
    this->used = this->used.plus(step.countedDemand());
    this->fillingMilliCores += step.fills ? step.demand.milliCores : 0;
    this->lastingMilliCores += step.longRunning ? step.demand.milliCores : 0;
    if (step.fills)
        addCores(this->fillingByImage, step);
    else if (step.target > Duration {})
        addCores(this->servingByImage, step);
}

void WorkerEntry::giveBack(const TaskId& id, const StepSpec& step)
{
    if (this->tasks.erase(id) == 0)
        return;
    this->used = this->used.minus(step.countedDemand());
    this->fillingMilliCores -= step.fills ? step.demand.milliCores : 0;
    this->lastingMilliCores -= step.longRunning ? step.demand.milliCores : 0;
    if (step.fills)
        removeCores(this->fillingByImage, step);
    else if (step.target > Duration {})
        removeCores(this->servingByImage, step);
}

std::uint32_t WorkerEntry::countOf(const JobId& job, std::uint32_t step) const
{
    const std::map<TaskId, WorkerIdentity>::const_iterator first = this->tasks.lower_bound({ job, step, 0 });
    const std::map<TaskId, WorkerIdentity>::const_iterator last = this->tasks.lower_bound({ job, step + 1, 0 });
    return static_cast<std::uint32_t>(std::distance(first, last));
}

bool WorkerEntry::judge(const JobId& job, bool failed, const WorkerHealthConfig& config, TimePoint now)
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

}
