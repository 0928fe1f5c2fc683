#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    /// Keeps since when a condition has held.
    void noteSince(std::optional<TimePoint>& since, bool holds, TimePoint now)
    {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
    }

}

void Scheduler::notePace(WorkerEntry& worker, const RunProgress& report, TimePoint now)
{
    const bool gap = now > worker.listedAt + this->config.relocation.longestListGap;
    worker.listedAt = now;
    for (const RunStatus& status : report.running) {
        TaskState* const task = this->book.openRun(status.run);
        if (!task)
            continue;
        const StepSpec& step = this->book.find(status.run.task.job)->spec->steps[status.run.task.step];
        noteSince(task->starvingSince, step.fills && status.pace < this->config.relocation.starvingPace, now);
        noteSince(task->stalledSince, step.target > Duration {} && slackOf(status.figure, step.target) < this->config.relocation.standstillSlack, now);
        // What was held back by its pace, or not seen for a while, has its full time again.
        if (task->starvingSince || gap)
            task->progressedAt = now;
        if (gap)
            task->stalledSince.reset();
    }
}

void Scheduler::leaveStalledWorker(WorkerEntry& worker, const RunProgress& report, TimePoint now, Effects& effects)
{
    std::vector<TaskId> stalled;
    for (const RunStatus& status : report.running) {
        const TaskState* const task = this->book.openRun(status.run);
        if (!task || task->stopping)
            continue;
        const JobEntry& job = *this->book.find(status.run.task.job);
        const StepSpec& step = job.spec->steps[status.run.task.step];
        const RelocationConfig& limits = this->config.relocation;
        const bool still = step.longRunning ? task->stalledSince && now > *task->stalledSince + limits.leastStandstill : standsStill(step, *task, limits, now);
        // One run that has moved on shows that the worker works.
        if (!step.longRunning && movesOn(*task, limits, now))
            return;
        if (still && !isTerminal(job.state))
            stalled.push_back(status.run.task);
    }
    if (stalled.empty())
        return;
    if (!worker.standsStill(now))
        effects.emplace_back(RecordEvent { EventId::WorkerExcluded, worker.agent + ": " + std::to_string(stalled.size()) + " of " + std::to_string(report.running.size()) + " runs stand still" });
    worker.standstillUntil = now + this->config.relocation.standstillExclusion;
    for (const TaskId& id : stalled) {
        if (!this->mayStop(*this->book.find(id.job), id.step))
            continue;
        this->book.task(id)->avoidedAgent = worker.agent;
        this->orderStop(worker, id, "it stands still", effects);
    }
}

bool Scheduler::mayStop(const JobEntry& job, std::uint32_t step) const
{
    const std::uint32_t mayMiss = job.spec->steps[step].mayMiss;
    if (mayMiss == 0)
        return true;
    const auto away = [](const TaskState& task) { return !task.record.assignment || task.stopping || task.percent < runAtWork; };
    return std::count_if(job.steps[step].begin(), job.steps[step].end(), away) < mayMiss;
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
