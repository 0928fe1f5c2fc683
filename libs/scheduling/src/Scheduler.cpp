#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Time since a job was accepted. Clocks of entries differ and jump, so the result is only good for ordering work.
    Duration ageOf(const JobSpec& spec, std::int64_t readAtMs)
    {
        if (spec.acceptedAtMs == 0 || readAtMs <= spec.acceptedAtMs)
            return {};
        return std::chrono::milliseconds(readAtMs - spec.acceptedAtMs);
    }

}

Scheduler::Scheduler(SchedulerConfig config)
    : config(std::move(config))
    , leaderLease(this->config.lease)
{
}

Scheduler::Effects Scheduler::step(const SchedulerEvent& event, TimePoint now)
{
    Effects effects;
    ++this->turns;
    std::visit([this, now, &effects](const auto& alternative) { this->on(alternative, now, effects); }, event);
    this->advance(now, effects);
    return effects;
}

std::optional<TimePoint> Scheduler::nextWakeup() const
{
    std::optional<TimePoint> next = this->leaderLease.nextWakeup();
    const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (this->passAt && this->leaderLease.idle())
        consider(*this->passAt);
    if (this->isActiveLeader())
        consider(this->silenceCheckAt);
    if (this->evacuates())
        consider(this->evacuationCheckAt);
    return next;
}

void Scheduler::on(const TimePassed&, TimePoint, Effects&)
{
}

void Scheduler::on(const LeaderRowRead& event, TimePoint now, Effects& effects)
{
    // A version seen before may be the last one of a leader that is gone.
    const bool alive = event.record && event.record->learnedVersion != 0 && event.version != this->leaderRowVersion;
    this->leaderRowVersion = event.version;
    this->leaderLease.rowRead(event.record, event.version, now);
    if (alive && !this->leaderLease.leading())
        effects.emplace_back(ReportLearned { event.record->learnedVersion });
}

void Scheduler::on(const LeaderRowReadFailed&, TimePoint now, Effects&)
{
    this->leaderLease.rowReadFailed(now);
}

void Scheduler::on(const CommitFinished& event, TimePoint now, Effects& effects)
{
    switch (this->leaderLease.finished(event.result, now)) {
    case CommitVerdict::Applied:
        this->silenceWritten(now, effects);
        this->committed(now, effects);
        break;
    case CommitVerdict::TookOver:
        this->leadershipTaken(now, effects);
        break;
    case CommitVerdict::Repeat:
        break;
    case CommitVerdict::Refused:
        this->writeRefused(std::get<StoreRefused>(event.result).reason, now, effects);
        break;
    case CommitVerdict::LostLeadership:
        this->leadershipLost(effects);
        break;
    }
}

void Scheduler::on(const TablesProgress& event, TimePoint now, Effects&)
{
    if (event.epoch == this->leaderLease.epoch())
        this->tablesProgressAt = now;
}

void Scheduler::on(const TablesRead& event, TimePoint now, Effects& effects)
{
    if (!this->leaderLease.leading() || event.epoch != this->leaderLease.epoch() || this->tablesRead)
        return;
    this->tablesRead = true;
    this->agentsSettle = false;
    this->settleUntil = now + this->config.settleTime;
    this->leaderLease.resume();
    this->noteJobsKnown(event.version, event.asOf == TimePoint {} ? now : event.asOf, now, effects);
    this->interference.restore(event.losses, now);
    for (const KnownAgent& agent : event.agents)
        this->learnAgent(agent, effects);
    for (const JobSpecHandle& spec : event.jobs) {
        const std::map<JobId, ProgressRecord>::const_iterator progress = event.progress.find(spec->id);
        if (progress == event.progress.end())
            this->jobRegistry.add(spec, now, ageOf(*spec, event.readAtMs));
        else
            this->jobRegistry.restore(spec, progress->second, now, ageOf(*spec, event.readAtMs));
    }
    for (const std::map<JobId, TrackedJob>::value_type& item : this->jobRegistry.jobs()) {
        for (const TaskId& id : this->jobRegistry.placedTasks(item.first)) {
            const Assignment& assignment = *this->jobRegistry.task(id)->record.assignment;
            TrackedWorker& worker = this->knownWorkers[assignment.agent];
            worker.agent = assignment.agent;
            worker.allocate(id, item.second.spec->steps[id.step], assignment.worker);
        }
    }
    // Agents that were linked while the tables were read report their runs again.
    for (Workers::value_type& item : this->knownWorkers)
        this->sendHello(item.second, effects);
    for (const JobId& job : event.cancelled)
        this->onCancellation(job, now, effects);
    effects.emplace_back(RecordEvent { EventId::TablesLoaded, "epoch " + std::to_string(event.epoch) + ", " + std::to_string(event.jobs.size()) + " jobs, " + std::to_string(event.agents.size()) + " agents" });
    this->schedulePass(now);
}

void Scheduler::on(const JobStored& event, TimePoint now, Effects& effects)
{
    // The job was stored after the time as of which all jobs were known; this bounds an age that a wrong clock of an entry gives.
    const Duration age = std::min(ageOf(*event.spec, event.readAtMs), now - this->jobsKnownAsOf);
    // All jobs up to the known version have been learned; one of them that is not tracked ended long ago, and its rows are being removed.
    const bool forgotten = event.version != 0 && event.version <= this->jobsKnownVersion && !this->jobRegistry.find(event.spec->id);
    if (!this->tablesRead || forgotten || !this->jobRegistry.add(event.spec, now, age))
        return;
    effects.emplace_back(RecordEvent { EventId::JobLearned, event.spec->id.text + ": " + describeUrgency(*this->jobRegistry.find(event.spec->id), now) });
    if (this->unmatchedCancellations.erase(event.spec->id) > 0)
        this->cancelJob(event.spec->id, now, effects);
    this->schedulePass(now);
}

void Scheduler::on(const JobCancelStored& event, TimePoint now, Effects& effects)
{
    if (this->tablesRead)
        this->onCancellation(event.job, now, effects);
}

void Scheduler::on(const JobsFollowed& event, TimePoint now, Effects& effects)
{
    if (!this->isActiveLeader() || event.epoch != this->leaderLease.epoch())
        return;
    this->noteJobsKnown(event.version, event.asOf, now, effects);
    this->sendHeldOrders(now, effects);
    if (this->placementHeldBack)
        this->schedulePass(now);
}

void Scheduler::on(const AgentStored& event, TimePoint, Effects& effects)
{
    if (this->leaderLease.leading())
        this->learnAgent(event.agent, effects);
}

void Scheduler::on(const AgentLinked& event, TimePoint, Effects& effects)
{
    if (!this->leaderLease.leading())
        return;
    TrackedWorker& worker = this->knownWorkers[event.agent];
    worker.agent = event.agent;
    worker.link = event.link;
    this->sendHello(worker, effects);
    effects.emplace_back(RecordEvent { EventId::LinkOpened, "agent " + event.agent });
}

void Scheduler::on(const AgentUnlinked& event, TimePoint, Effects& effects)
{
    const Workers::iterator it = this->knownWorkers.find(event.agent);
    if (it == this->knownWorkers.end() || it->second.link != event.link)
        return;
    it->second.link.reset();
    it->second.settled = false;
    effects.emplace_back(RecordEvent { EventId::LinkClosed, "agent " + event.agent + ", " + std::to_string(it->second.tasks.size()) + " runs there" });
}

void Scheduler::on(const AgentReportReceived& event, TimePoint now, Effects& effects)
{
    const Workers::iterator it = this->knownWorkers.find(event.agent);
    if (!this->leaderLease.leading() || it == this->knownWorkers.end() || it->second.link != event.link)
        return;
    // Until the tables are read, agents only get renewal grants, so that their runs continue; other reports cannot be evaluated
    // yet.
    if (!this->tablesRead && !std::holds_alternative<Ping>(event.report))
        return;
    std::visit([this, &it, now, &effects](const auto& alternative) { this->onReport(it->second, alternative, now, effects); }, event.report);
}

void Scheduler::noteJobsKnown(RowVersion version, TimePoint asOf, TimePoint now, Effects& effects)
{
    this->jobsKnownVersion = std::max(this->jobsKnownVersion, version);
    this->jobsKnownAsOf = std::max(this->jobsKnownAsOf, asOf);
    this->leaderLease.noteLearned(this->jobsKnownVersion);
    effects.emplace_back(ReportLearned { this->jobsKnownVersion });
    if (now - asOf > this->config.loggedKnowledgeAge)
        effects.emplace_back(RecordEvent { EventId::JobsLearnedLate, "all jobs up to version " + std::to_string(version) + " are known, as of " + std::to_string(toMilliseconds(now - asOf)) + " ms ago" });
}

void Scheduler::on(const ReleaseRequested&, TimePoint, Effects&)
{
    this->leaderLease.retire();
}

void Scheduler::advance(TimePoint now, Effects& effects)
{
    this->advanceLease(now, effects);
    if (this->isActiveLeader())
        this->markSilentWorkersLost(now, effects);
    if (this->evacuates() && now >= this->evacuationCheckAt)
        this->evacuateRuns(now, effects);
    if (!this->leaderLease.idle())
        return;
    if (this->isActiveLeader())
        this->advanceWrites(now, effects);
    else if (this->leaderLease.wantsRenewal(now) || !this->unansweredPings.empty())
        effects.emplace_back(SubmitCommit { this->beginWrite({}, {}, now) });
}

void Scheduler::advanceLease(TimePoint now, Effects& effects)
{
    const std::optional<Transaction> again = this->leaderLease.repeat(now);
    if (again)
        effects.emplace_back(SubmitCommit { *again });
    if (this->leaderLease.leading() && !this->tablesRead && now > this->tablesProgressAt + this->config.tablesReadTimeout)
        this->leaderLease.yield(now);
    if (this->leaderLease.wantsRelease(now))
        effects.emplace_back(SubmitCommit { this->leaderLease.beginRelease(now) });
    if (this->leaderLease.wantsTakeover(now))
        effects.emplace_back(SubmitCommit { this->leaderLease.begin({}, {}, now) });
    if (!this->leaderLease.wantsRead(now))
        return;
    this->leaderLease.readSent();
    effects.emplace_back(ReadLeaderRow {});
}

void Scheduler::advanceWrites(TimePoint now, Effects& effects)
{
    const bool pass = this->passAt && now >= *this->passAt;
    const bool countsDue = this->duePendingCounts(now).has_value();
    if (!pass && !countsDue && !this->leaderLease.wantsRenewal(now))
        return;
    this->passAt.reset();
    this->placeTasks(now, effects);
    this->watchLongRunningTasks(now, effects);
    if (!this->jobRegistry.changed() && this->acknowledgeNext.empty() && !countsDue && this->unansweredPings.empty() && !this->leaderLease.wantsRenewal(now))
        return;
    // A write that contains rows leaves removals to a later write.
    std::vector<RowWrite> rows = this->takeWrites(now);
    std::vector<RowKey> removals = rows.empty() ? this->takeRemovals(now, effects) : std::vector<RowKey> {};
    this->rowsInWrite = rows.size();
    effects.emplace_back(SubmitCommit { this->beginWrite(std::move(rows), std::move(removals), now) });
}

void Scheduler::leadershipTaken(TimePoint now, Effects& effects)
{
    this->jobRegistry = JobRegistry();
    this->knownWorkers.clear();
    this->forgetPlaces();
    this->interference = InterferenceModel();
    this->tablesRead = false;
    this->earlierGrantsEnd = this->leaderLease.earlierLeaseEnd(now);
    this->silentSince = this->leaderLease.earlierSilence();
    this->silentInWrite = this->silentSince;
    this->unansweredPings.clear();
    this->tablesProgressAt = now;
    this->pendingWritten.reset();
    this->modelWritten.clear();
    this->idleTasks = 0;
    this->silenceCheckAt = now;
    this->acknowledgeNext.clear();
    this->acknowledgeCollected.clear();
    this->acknowledgeAfterWrite.clear();
    this->segmentsInWrite.clear();
    this->singleRowWrites = 0;
    this->removalQueue.clear();
    this->heldOrders.clear();
    this->ongoingMoves.clear();
    this->evacuationCheckAt = now;
    this->evacuationReportedAt = {};
    this->unmatchedCancellations.clear();
    this->jobsKnownVersion = 0;
    this->jobsKnownAsOf = {};
    effects.emplace_back(RecordEvent { EventId::LeadershipTaken, "epoch " + std::to_string(this->leaderLease.epoch()) + "; earlier leaders gave their last grants " + std::to_string(toMilliseconds(now - this->earlierGrantsEnd)) + " ms ago or before; " + std::to_string(this->silentSince.size()) + " agents were silent" });
    effects.emplace_back(ReadTables { this->leaderLease.epoch() });
}

void Scheduler::leadershipLost(Effects& effects)
{
    effects.emplace_back(RecordEvent { EventId::LeadershipLost, "epoch " + std::to_string(this->leaderLease.epoch()) + " is led by '" + this->leaderLease.record().holder + "'" });
    effects.emplace_back(StopLeading {});
    this->jobRegistry = JobRegistry();
    this->knownWorkers.clear();
    this->forgetPlaces();
    this->unansweredPings.clear();
    this->unmatchedCancellations.clear();
    this->tablesRead = false;
    this->passAt.reset();
}

void Scheduler::stopRemainingRuns(const JobId& job, TimePoint now, Effects& effects)
{
    const JobState state = this->jobRegistry.find(job)->state;
    for (const TaskId& id : this->jobRegistry.placedTasks(job)) {
        const TaskState& task = *this->jobRegistry.task(id);
        if (task.stopping)
            continue;
        TrackedWorker& worker = this->knownWorkers[task.record.assignment->agent];
        if (!task.ordered) {
            this->markRunLost(worker, id, "the job has ended", now, now, effects);
            continue;
        }
        this->orderStop(worker, id, "the job is " + std::string(toString(state)), effects);
    }
}

PaceTraits Scheduler::traitsOf(const StepSpec& step, const TrackedWorker& worker) const
{
    PaceTraits traits { step.bestEffort, step.image, step.demand.milliCores, step.target, {} };
    if (!step.bestEffort || !worker.info)
        return traits;
    const double share = static_cast<double>(step.demand.milliCores) / std::max(1U, worker.info->capacity.milliCores);
    for (const std::map<std::string, ImageLoad>::value_type& serving : worker.servingByImage)
        traits.losses.push_back({ serving.first, this->interference.lossOf(serving.first, step.image) * share });
    return traits;
}

PaceTraits Scheduler::traitsToSend(TrackedWorker& worker, const RunId& run, const StepSpec& step) const
{
    PaceTraits traits = this->traitsOf(step, worker);
    worker.sentLosses[run] = traits.losses;
    return traits;
}

void Scheduler::onCancellation(const JobId& job, TimePoint now, Effects& effects)
{
    if (this->jobRegistry.find(job))
        this->cancelJob(job, now, effects);
    else
        this->unmatchedCancellations.emplace(job, now);
}

void Scheduler::cancelJob(const JobId& job, TimePoint now, Effects& effects)
{
    if (!this->jobRegistry.cancel(job, now))
        return;
    this->observeEnd(job, now, effects);
    this->stopRemainingRuns(job, now, effects);
    this->schedulePass(now);
}

void Scheduler::describeRuns(TrackedWorker& worker, Effects& effects)
{
    while (!worker.undescribedRuns.empty()) {
        const RunId run = *worker.undescribedRuns.begin();
        const TaskState* const task = this->jobRegistry.openRun(run);
        const bool here = task && task->record.assignment->agent == worker.agent;
        if (here && !worker.takeDescription(this->turns))
            return;
        worker.undescribedRuns.erase(worker.undescribedRuns.begin());
        if (here)
            this->send(worker, DescribeRun { run, this->traitsToSend(worker, run, this->jobRegistry.find(run.task.job)->spec->steps[run.task.step]) }, effects);
    }
}

void Scheduler::learnAgent(const KnownAgent& agent, Effects& effects)
{
    TrackedWorker& worker = this->knownWorkers[agent.name];
    worker.agent = agent.name;
    worker.generation = std::max(worker.generation, agent.record.generation);
    if (worker.address == agent.record.address)
        return;
    worker.address = agent.record.address;
    effects.emplace_back(KeepAgentLinked { agent.name, agent.record.address });
}

void Scheduler::send(const TrackedWorker& worker, LeaderMessage message, Effects& effects) const
{
    if (worker.link)
        effects.emplace_back(SendToAgent { *worker.link, std::move(message) });
}

void Scheduler::observeEnd(const JobId& job, TimePoint now, Effects& effects)
{
    const TrackedJob& trackedJob = *this->jobRegistry.find(job);
    if (trackedJob.state != JobState::Cancelled && !trackedJob.spec->isLongRunning())
        this->burnTracker.record({ trackedJob.spec->queue, "", "", std::nullopt }, trackedJob.state != JobState::Done || now > trackedJob.due, now);
    effects.emplace_back(ObserveJob { trackedJob.spec->queue, trackedJob.state, now - trackedJob.arrived });
    effects.emplace_back(RecordEvent { EventId::JobEnded, job.text + ": " + std::string(toString(trackedJob.state)) + ", " + describeUrgency(trackedJob, now) });
}

void Scheduler::schedulePass(TimePoint now)
{
    this->schedulePassAt(now + this->config.gatherTime);
}

void Scheduler::schedulePassAt(TimePoint time)
{
    this->passAt = this->passAt ? std::min(*this->passAt, time) : time;
}

}
