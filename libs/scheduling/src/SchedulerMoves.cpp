#include "cowslipdoor/scheduling/Scheduler.h"

namespace cowslipdoor {

void Scheduler::noteStarving(const RunProgress& report, TimePoint now)
{
    for (const RunStatus& status : report.running) {
        TaskState* const task = this->book.openRun(status.run);
        if (!task)
            continue;
        if (status.pace >= this->config.relocation.starvingPace)
            task->starvingSince.reset();
        else if (!task->starvingSince)
            task->starvingSince = now;
    }
}

void Scheduler::moveOneStarving(const WorkerEntry& worker, TimePoint now, Effects& effects)
{
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : worker.tasks) {
        const JobEntry& job = *this->book.find(item.first.job);
        const TaskState& task = *this->book.task(item.first);
        if (task.stopping || !task.ordered || isTerminal(job.state))
            continue;
        const WorkerEntry* const better = betterWorker(job, item.first, worker, this->knownWorkers, this->interference, this->config.relocation, now);
        if (!better)
            continue;
        this->book.task(item.first)->avoidedAgent = worker.agent;
        this->orderStop(worker, item.first, "it starves there and could run at " + better->agent, effects);
        return;
    }
}

void Scheduler::orderStop(const WorkerEntry& worker, const TaskId& id, const std::string& reason, Effects& effects)
{
    TaskState& task = *this->book.task(id);
    task.stopping = true;
    const RunId run { id, task.record.run };
    this->send(worker, StopRun { run }, effects);
    effects.emplace_back(RecordEvent { EventId::RunStopOrdered, describe(run) + " at " + worker.agent + ": " + reason });
}

}
