#include "cowslipdoor/scheduling/Limits.h"
#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Whether losses have changed enough to be sent to the agent again: by more than a fifth and a small constant.
    bool differ(const std::vector<SlackLoss>& sent, const std::vector<SlackLoss>& current)
    {
        constexpr double share = 0.2;
        constexpr double least = 0.03;
        return !std::equal(sent.begin(), sent.end(), current.begin(), current.end(), [](const SlackLoss& left, const SlackLoss& right) {
            return left.image == right.image && std::abs(left.loss - right.loss) <= share * left.loss + least;
        });
    }

}

void Scheduler::onReport(TrackedWorker& worker, const WorkerSnapshot& report, TimePoint now, Effects& effects)
{
    if (report.agent != worker.agent) {
        // Another agent has this address now; its reports do not concern this agent.
        effects.emplace_back(RecordEvent { EventId::LinkRefused, "agent " + report.agent + " answers at the address of " + worker.agent });
        worker.link.reset();
        return;
    }
    worker.generation = std::max(worker.generation, report.generation);
    const bool sameIncarnation = worker.info && report.worker && worker.info->identity == report.worker->identity;
    if (!sameIncarnation)
        worker.resetHealth();
    if (!worker.settled && report.settled)
        effects.emplace_back(RecordEvent { EventId::WorkerSettled, worker.agent + ": " + (report.worker ? report.worker->identity.id : "no worker") + ", " + std::to_string(report.running.size()) + " runs" });
    worker.info = report.worker;
    worker.settled = report.settled;
    if (report.worker) {
        worker.coldUntil = now + std::clamp<Duration>(report.worker->coldRemaining, Duration {}, maximumDuration);
        this->noteFailureDomain(worker, report.worker->failureDomain, now, effects);
    }
    if (report.settled) {
        if (report.worker) {
            this->adoptRuns(worker, report);
            this->applyRunEnds(worker, report.worker->identity, report.ended, now, effects);
            this->applyRunStatus(worker, report.running, now, effects);
        }
        this->dropUnlistedRuns(worker, report, now, effects);
    }
    this->schedulePass(now);
}

void Scheduler::onReport(TrackedWorker& worker, const RunsEnded& report, TimePoint now, Effects& effects)
{
    this->applyRunEnds(worker, report.worker, report.ends, now, effects);
    this->sendWaitingStops(worker, report.ends, effects);
}

void Scheduler::onReport(TrackedWorker& worker, const RunRejected& report, TimePoint now, Effects& effects)
{
    TaskState* const state = this->jobRegistry.openRun(report.run);
    if (!state || state->record.assignment->agent != worker.agent)
        return;
    state->avoidedAgent = worker.agent;
    // The agent itself voids a start that was stopped or was meant for another incarnation; the worker has not refused it.
    if (!state->stopping && worker.info && worker.info->identity == state->record.assignment->worker)
        worker.noteRefusal(state->startedAt, this->config.health, now);
    effects.emplace_back(RecordEvent { EventId::RunRejectedByWorker, describe(report.run) + " at " + worker.agent + ": " + report.reason });
    this->markRunLost(worker, report.run.task, "rejected", now + this->config.rejectionDelay, now, effects);
}

void Scheduler::onReport(TrackedWorker& worker, const RunProgress& report, TimePoint now, Effects& effects)
{
    if (!worker.info || worker.info->identity != report.worker)
        return;
    const std::vector<ListedRun> listed = this->openRuns(report.running);
    this->learnInterference(worker, listed, now);
    this->describeRuns(worker, effects);
    this->sendChangedTraits(worker, effects);
    this->applyRunStatus(worker, report.running, now, effects);
    this->notePace(worker, listed, now);
    this->leaveStalledWorker(worker, listed, now, effects);
    this->relocateOneStarvingRun(worker, now, effects);
    if (!this->jobRegistry.waiting().empty())
        this->schedulePass(now);
}

void Scheduler::applyRunEnds(TrackedWorker& worker, const WorkerIdentity& incarnation, const std::vector<RunEnd>& ends, TimePoint now, Effects& effects)
{
    if (ends.empty())
        return;
    std::uint64_t last = 0;
    for (const RunEnd& end : ends) {
        this->applyRunEnd(worker, end, now, effects);
        last = std::max(last, end.number);
    }
    AcknowledgeEnds& acknowledge = this->acknowledgeNext[worker.agent];
    acknowledge = { incarnation, acknowledge.worker == incarnation ? std::max(acknowledge.upTo, last) : last };
    this->schedulePass(now);
}

void Scheduler::applyRunEnd(TrackedWorker& worker, const RunEnd& end, TimePoint now, Effects& effects)
{
    const TaskState* const open = this->jobRegistry.openRun(end.run);
    TrackedWorker* const holder = this->holderOf(end.run);
    if (holder)
        holder->noteAcceptance(open->startedAt);
    const RunVerdict verdict = this->jobRegistry.end(end.run, end.kind, end.checkpoint, now);
    const TrackedJob* const job = this->jobRegistry.find(end.run.task.job);
    if (verdict == RunVerdict::Unknown || !job)
        return;
    if (holder)
        holder->deallocate(end.run.task, job->spec->steps[end.run.task.step]);
    effects.emplace_back(RecordEvent { EventId::RunEndTaken, describe(end.run) + " at " + worker.agent + ": " + std::string(toString(end.kind)) + (end.checkpoint.empty() ? "" : ", checkpoint kept") });
    const bool failed = end.kind == RunEndKind::Failed;
    if (failed && holder == &worker && job->spec->steps[end.run.task.step].longRunning)
        worker.lastChoiceForLongRunningUntil = now + this->config.health.lastChoiceTime;
    // A long-running task may fail at any time; one that has run for a while shows that the worker can run tasks.
    const bool ranForAWhile = job->spec->steps[end.run.task.step].longRunning && this->jobRegistry.task(end.run.task)->quickFailures == 0;
    if ((failed || end.kind == RunEndKind::Done) && worker.noteRunEnd(end.run.task.job, failed && !ranForAWhile, this->config.health, now))
        effects.emplace_back(RecordEvent { EventId::WorkerExcluded, worker.agent + ": runs of " + std::to_string(worker.failedJobs.size()) + " jobs failed in a row" });
    if (verdict == RunVerdict::JobEnded) {
        this->observeEnd(end.run.task.job, now, effects);
        this->stopRemainingRuns(end.run.task.job, now, effects);
    }
    // An abandoned run has finished after all, so its successor is stopped.
    const TaskState& successor = *this->jobRegistry.task(end.run.task);
    if (verdict == RunVerdict::TaskDone && successor.record.assignment && !successor.stopping)
        this->orderStop(this->knownWorkers[successor.record.assignment->agent], end.run.task, "an earlier run of the task is done", effects);
}

void Scheduler::applyRunStatus(TrackedWorker& worker, const std::vector<RunStatus>& running, TimePoint now, Effects& effects)
{
    worker.forgetStops();
    for (const RunStatus& status : running) {
        this->jobRegistry.noteBegun(status.run, now);
        TaskState* const task = this->jobRegistry.openRun(status.run);
        const bool open = task && task->record.assignment->agent == worker.agent && task->record.assignment->worker == worker.info->identity;
        if (!open || task->stopping || isTerminal(this->jobRegistry.find(status.run.task.job)->state))
            this->sendStop(worker, status.run, effects);
        if (!open)
            continue;
        task->listedAt = now;
        worker.unconfirmedStarts.erase(status.run.task);
        worker.noteAcceptance(task->startedAt);
        if (!status.checkpoint.empty())
            task->record.checkpoint = status.checkpoint;
        if (status.percent > task->percent)
            task->progressedAt = now;
        task->percent = status.percent;
    }
}

std::vector<Scheduler::ListedRun> Scheduler::openRuns(const std::vector<RunStatus>& running)
{
    std::vector<ListedRun> listed;
    listed.reserve(running.size());
    for (const RunStatus& status : running) {
        TaskState* const task = this->jobRegistry.openRun(status.run);
        if (!task)
            continue;
        const TrackedJob& job = *this->jobRegistry.find(status.run.task.job);
        listed.push_back({ status, job, job.spec->steps[status.run.task.step], *task });
    }
    return listed;
}

void Scheduler::learnInterference(TrackedWorker& worker, const std::vector<ListedRun>& listed, TimePoint now)
{
    const double cores = std::max(1U, worker.info->capacity.milliCores);
    std::vector<ServingSample> serving;
    std::map<std::string, double> shares;
    worker.pacedDownMilliCores = 0;
    for (const ListedRun& run : listed) {
        if (run.step.bestEffort) {
            shares[run.step.image] += run.status.measurement / cores;
            worker.pacedDownMilliCores += run.step.demand.milliCores * (fullPace - std::min(fullPace, run.status.pace)) / fullPace;
        }
        if (run.step.target > Duration {} && run.status.percent == readyPercent)
            serving.push_back({ run.job.spec->id, run.step.image, slackOf(run.status.measurement, run.step.target) });
    }
    std::vector<BestEffortSample> bestEffort;
    bestEffort.reserve(shares.size());
    for (const std::map<std::string, double>::value_type& item : shares)
        bestEffort.push_back({ item.first, item.second });
    this->interference.observe(serving, bestEffort, now);
    worker.baselineSlack.clear();
    for (const ServingSample& sample : serving) {
        double alone = sample.slack;
        for (const BestEffortSample& item : bestEffort)
            alone += this->interference.lossOf(sample.image, item.image) * item.share;
        double& least = worker.baselineSlack.try_emplace(sample.image, alone).first->second;
        least = std::min(least, alone);
    }
}

void Scheduler::sendChangedTraits(TrackedWorker& worker, Effects& effects)
{
    for (std::map<RunId, std::vector<SlackLoss>>::iterator it = worker.sentLosses.begin(); it != worker.sentLosses.end();) {
        const TaskState* const task = this->jobRegistry.openRun(it->first);
        if (!task || task->record.assignment->agent != worker.agent) {
            it = worker.sentLosses.erase(it);
            continue;
        }
        const StepSpec& step = this->jobRegistry.find(it->first.task.job)->spec->steps[it->first.task.step];
        const PaceTraits traits = this->traitsOf(step, worker);
        // A change that is left out is found again with the next report.
        if (differ(it->second, traits.losses) && worker.takeDescription(this->turns)) {
            it->second = traits.losses;
            this->send(worker, DescribeRun { it->first, traits }, effects);
        }
        ++it;
    }
}

void Scheduler::adoptRuns(TrackedWorker& worker, const WorkerSnapshot& snapshot)
{
    // A restarted worker may have carried out an order that was meant for its earlier incarnation.
    for (const RunStatus& status : snapshot.running) {
        TaskState* const task = this->jobRegistry.openRun(status.run);
        if (!task || task->record.assignment->agent != worker.agent || task->record.assignment->worker == snapshot.worker->identity)
            continue;
        this->jobRegistry.moveToIncarnation(status.run, snapshot.worker->identity);
        worker.tasks[status.run.task] = snapshot.worker->identity;
    }
}

void Scheduler::dropUnlistedRuns(TrackedWorker& worker, const WorkerSnapshot& snapshot, TimePoint now, Effects& effects)
{
    std::set<RunId> named(snapshot.pending.begin(), snapshot.pending.end());
    for (const RunStatus& status : snapshot.running)
        named.insert(status.run);
    const std::map<TaskId, WorkerIdentity> tasks = worker.tasks;
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : tasks) {
        const TaskState* const task = this->jobRegistry.task(item.first);
        // The snapshot cannot list an order that had not been sent, or not been received, when the snapshot was made.
        if (!task->ordered || task->order > std::max(snapshot.lastOrder, worker.ordersBeforeLink))
            continue;
        const bool sameIncarnation = snapshot.worker && snapshot.worker->identity == item.second;
        const bool longRunning = this->jobRegistry.find(item.first.job)->spec->steps[item.first.step].longRunning;
        // While agents settle after a takeover, long-running tasks wait for that instead.
        const TimePoint notBefore = longRunning && !sameIncarnation && now < this->settleUntil ? now : now + this->config.rejectionDelay;
        if (longRunning && !sameIncarnation)
            this->bestEffortFrom = std::max(this->bestEffortFrom, notBefore);
        if (!sameIncarnation || !named.contains({ item.first, task->record.run }))
            this->markRunLost(worker, item.first, sameIncarnation ? "the worker does not list it" : "that incarnation of the worker has ended", notBefore, now, effects);
        else if (task->stopping || isTerminal(this->jobRegistry.find(item.first.job)->state))
            this->sendStop(worker, { item.first, task->record.run }, effects);
    }
    for (const RunId& run : snapshot.pending) {
        if (!this->jobRegistry.openRun(run))
            this->sendStop(worker, run, effects);
    }
}

TrackedWorker* Scheduler::holderOf(const RunId& run)
{
    const TaskState* const state = this->jobRegistry.openRun(run);
    return state ? &this->knownWorkers[state->record.assignment->agent] : nullptr;
}

void Scheduler::markRunLost(TrackedWorker& worker, const TaskId& task, const std::string& reason, TimePoint notBefore, TimePoint now, Effects& effects)
{
    const TaskState* const state = this->jobRegistry.task(task);
    const RunId run { task, state->record.run };
    worker.deallocate(task, this->jobRegistry.find(task.job)->spec->steps[task.step]);
    if (this->holderOf(run) != &worker || !this->jobRegistry.release(run, notBefore, now))
        return;
    effects.emplace_back(RecordEvent { EventId::RunLost, describe(run) + " at " + worker.agent + ": " + reason });
    this->schedulePass(now);
}

void Scheduler::sendHello(TrackedWorker& worker, Effects& effects)
{
    worker.ordersBeforeLink = this->orders;
    worker.settled = false;
    this->send(worker, LeaderHello { this->leaderLease.epoch(), this->config.lease.holder, worker.generation, worker.agent }, effects);
    worker.forgetStops();
    worker.undescribedRuns.clear();
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : worker.tasks) {
        const TrackedJob& job = *this->jobRegistry.find(item.first.job);
        if (needsDescription(job.spec->steps[item.first.step]))
            worker.undescribedRuns.insert({ item.first, job.steps[item.first.step][item.first.index].record.run });
    }
    this->describeRuns(worker, effects);
}

}
