#include "cowslipdoor/scheduling/Workers.h"
#include <algorithm>

namespace cowslipdoor {

void WorkerEntry::take(const TaskId& id, const StepSpec& step, const WorkerIdentity& worker)
{
    if (!this->tasks.emplace(id, worker).second)
        return;
    this->used = this->used.plus(step.countedDemand());
    this->fillingMilliCores += step.fills ? step.demand.milliCores : 0;
    this->lastingMilliCores += step.longRunning ? step.demand.milliCores : 0;
}

void WorkerEntry::giveBack(const TaskId& id, const StepSpec& step)
{
    if (this->tasks.erase(id) == 0)
        return;
    this->used = this->used.minus(step.countedDemand());
    this->fillingMilliCores -= step.fills ? step.demand.milliCores : 0;
    this->lastingMilliCores -= step.longRunning ? step.demand.milliCores : 0;
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
