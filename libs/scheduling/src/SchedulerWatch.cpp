#include "cowslipdoor/scheduling/Placement.h"
#include "cowslipdoor/scheduling/Scheduler.h"
#include <optional>

namespace cowslipdoor {

void Scheduler::watchLongRunningTasks(TimePoint now, Effects& effects)
{
    if (now < this->idleCheckedAt + this->config.idleCheckInterval)
        return;
    this->idleCheckedAt = now;
    this->idleTasks = 0;
    std::optional<std::string> first;
    for (const std::map<JobId, TrackedJob>::value_type& item : this->jobRegistry.jobs()) {
        const std::vector<TaskId> idle = this->idleTasksOf(item.second, now);
        this->idleTasks += idle.size();
        if (!idle.empty() && !first)
            first = this->describeIdle(item.second, idle.front(), now);
    }
    if (first)
        effects.emplace_back(RecordEvent { EventId::LastingTaskIdle, *first + "; " + std::to_string(this->idleTasks) + " such tasks" });
}

std::vector<TaskId> Scheduler::idleTasksOf(const TrackedJob& job, TimePoint now) const
{
    std::vector<TaskId> idle;
    if (isTerminal(job.state))
        return idle;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        if (!job.spec->steps[step].longRunning || !job.stepReady(step))
            continue;
        for (std::uint32_t index = 0; index < job.steps[step].size(); ++index) {
            if (now > job.steps[step][index].listedAt + this->config.idleLimit)
                idle.push_back({ job.spec->id, step, index });
        }
    }
    return idle;
}

std::string Scheduler::describeIdle(const TrackedJob& job, const TaskId& id, TimePoint now) const
{
    const TaskState& task = job.steps[id.step][id.index];
    std::string text = describe(id) + ": no worker has listed a run for " + std::to_string(toMilliseconds(now - task.listedAt)) + " ms; ";
    if (!task.record.assignment)
        return text + "it waits for placement, workers: " + describeUnfit(job, id.step, this->knownWorkers, now);
    return text + "run " + std::to_string(task.record.run) + " is " + (task.ordered ? "ordered" : "assigned") + (task.stopping ? " and being stopped" : "") + " at " + task.record.assignment->agent;
}

}
