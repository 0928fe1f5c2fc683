#include "cowslipdoor/scheduling/Placement.h"
#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    /// Updates the time since which a condition has held.
    void noteSince(std::optional<TimePoint>& since, bool holds, TimePoint now)
    {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
    }

}

void Scheduler::notePace(TrackedWorker& worker, const std::vector<ListedRun>& listed, TimePoint now)
{
    const bool gap = now > worker.listedAt + this->config.relocation.maximumReportGap;
    worker.listedAt = now;
    const RelocationConfig& limits = this->config.relocation;
    for (const ListedRun& run : listed) {
        const bool serves = run.step.target > Duration {};
        noteSince(run.task.starvingSince, run.step.bestEffort && run.status.pace < limits.starvingPace, now);
        noteSince(run.task.stalledSince, serves && slackOf(run.status.measurement, run.step.target) < limits.stallSlack, now);
        // A run that was slowed down by its pace, or not listed for a while, gets the full time to show progress again.
        if (run.task.starvingSince || gap)
            run.task.progressedAt = now;
        if (gap)
            run.task.stalledSince.reset();
    }
}

void Scheduler::leaveStalledWorker(TrackedWorker& worker, const std::vector<ListedRun>& listed, TimePoint now, Effects& effects)
{
    const RelocationConfig& limits = this->config.relocation;
    std::vector<const ListedRun*> stalled;
    for (const ListedRun& run : listed) {
        if (run.task.stopping)
            continue;
        // A run with recent progress shows that the worker has not stalled.
        if (!run.step.longRunning && progressedRecently(run.task, limits, now))
            return;
        const bool stalledLongEnough = run.step.longRunning ? run.task.stalledSince && now > *run.task.stalledSince + limits.minimumStallTime : isStalled(run.step, run.task, limits, now);
        if (stalledLongEnough && !isTerminal(run.job.state))
            stalled.push_back(&run);
    }
    if (stalled.empty())
        return;
    if (!worker.isStalled(now))
        effects.emplace_back(RecordEvent { EventId::WorkerExcluded, worker.agent + ": " + std::to_string(stalled.size()) + " of " + std::to_string(listed.size()) + " runs stand still" });
    worker.stalledUntil = now + limits.stallExclusion;
    for (const ListedRun* const run : stalled) {
        const TaskId& id = run->status.run.task;
        if (!mayStopTask(run->job, id.step) || (run->step.longRunning && !this->hasPlaceElsewhere(worker, *run, now)))
            continue;
        run->task.avoidedAgent = worker.agent;
        this->orderStop(worker, id, "it stands still", effects);
    }
}

bool Scheduler::hasPlaceElsewhere(const TrackedWorker& worker, const ListedRun& run, TimePoint now) const
{
    const TrackedWorker* const chosen = chooseWorker(run.job, run.status.run.task.step, run.task, this->knownWorkers, this->interference, now);
    return chosen && chosen->agent != worker.agent && !chosen->exclusionReason(now);
}

void Scheduler::relocateOneStarvingRun(TrackedWorker& worker, TimePoint now, Effects& effects)
{
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : worker.tasks) {
        const TrackedJob& job = *this->jobRegistry.find(item.first.job);
        const TaskState& task = *this->jobRegistry.task(item.first);
        if (task.stopping || !task.ordered || isTerminal(job.state) || !mayStopTask(job, item.first.step))
            continue;
        const TrackedWorker* const better = betterWorker(job, item.first, worker, this->knownWorkers, this->interference, this->config.relocation, now);
        if (!better || this->losesByRack(job, item.first.step, worker, *better, now))
            continue;
        this->jobRegistry.task(item.first)->avoidedAgent = worker.agent;
        this->orderStop(worker, item.first, "it starves there and could run at " + better->agent, effects);
        return;
    }
}

void Scheduler::orderStop(TrackedWorker& worker, const TaskId& id, const std::string& reason, Effects& effects)
{
    TaskState& task = *this->jobRegistry.task(id);
    task.stopping = true;
    const RunId run { id, task.record.run };
    this->sendStop(worker, run, effects);
    effects.emplace_back(RecordEvent { EventId::RunStopOrdered, describe(run) + " at " + worker.agent + ": " + reason });
}

void Scheduler::sendStop(TrackedWorker& worker, const RunId& run, Effects& effects) const
{
    if (worker.takeStop(run))
        this->send(worker, StopRun { run }, effects);
}

void Scheduler::sendWaitingStops(TrackedWorker& worker, const std::vector<RunEnd>& ends, Effects& effects) const
{
    for (const RunEnd& end : ends) {
        worker.stopsUnderWay.erase(end.run);
        worker.stopsWaiting.erase(end.run);
    }
    while (!worker.stopsWaiting.empty() && worker.stopsUnderWay.size() < maximumStopsUnderWay)
        this->sendStop(worker, worker.stopsWaiting.extract(worker.stopsWaiting.begin()).value(), effects);
}

}
