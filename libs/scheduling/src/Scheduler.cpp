#include "cowslipdoor/scheduling/Scheduler.h"
#include "cowslipdoor/scheduling/Placement.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    std::string describeTrack(const JobEntry& job, TimePoint now)
    {
        return "queue " + job.spec->queue + ", priority " + std::to_string(job.spec->priority) + ", age " + std::to_string(toMilliseconds(now - job.arrived)) + " ms, due in "
            + std::to_string(toMilliseconds(job.due - now)) + " ms";
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
    return next;
}

void Scheduler::on(const TimePassed&, TimePoint now, Effects& effects)
{
    if (this->serving())
        this->loseSilentWorkers(now, effects);
}

void Scheduler::on(const LeaderRowRead& event, TimePoint now, Effects&)
{
    this->leaderLease.rowRead(event.record, event.version, now);
}

void Scheduler::on(const LeaderRowUnread&, TimePoint now, Effects&)
{
    this->leaderLease.rowUnread(now);
}

void Scheduler::on(const CommitFinished& event, TimePoint now, Effects& effects)
{
    switch (this->leaderLease.finished(event.result, now)) {
    case CommitVerdict::Applied:
        this->committed(now, effects);
        break;
    case CommitVerdict::TookOver:
        this->tookOver(now, effects);
        break;
    case CommitVerdict::Repeat:
        break;
    case CommitVerdict::Deposed:
        this->deposed(effects);
        break;
    }
}

void Scheduler::on(const TablesRead& event, TimePoint now, Effects& effects)
{
    if (!this->leaderLease.leading() || event.epoch != this->leaderLease.epoch() || this->tablesRead)
        return;
    this->tablesRead = true;
    for (const KnownAgent& agent : event.agents)
        this->learnAgent(agent, effects);
    for (const JobSpecHandle& spec : event.jobs) {
        const std::map<JobId, ProgressRecord>::const_iterator progress = event.progress.find(spec->id);
        if (progress == event.progress.end())
            this->book.add(spec, now);
        else
            this->book.restore(spec, progress->second, now);
    }
    for (const std::map<JobId, JobEntry>::value_type& item : this->book.jobs()) {
        for (std::uint32_t step = 0; step < item.second.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < item.second.steps[step].size(); ++index) {
                const std::optional<Assignment>& place = item.second.steps[step][index].record.assignment;
                if (!place)
                    continue;
                WorkerEntry& worker = this->knownWorkers[place->agent];
                worker.agent = place->agent;
                worker.take({ item.first, step, index }, item.second.spec->steps[step], place->worker);
            }
        }
    }
    for (const JobId& job : event.cancelled)
        this->cancelJob(job, now, effects);
    effects.emplace_back(RecordEvent { EventId::TablesLoaded, "epoch " + std::to_string(event.epoch) + ", " + std::to_string(event.jobs.size()) + " jobs, " + std::to_string(event.agents.size()) + " agents" });
    this->wantPass(now);
}

void Scheduler::on(const JobStored& event, TimePoint now, Effects& effects)
{
    if (!this->tablesRead || !this->book.add(event.spec, now))
        return;
    effects.emplace_back(RecordEvent { EventId::JobLearned, event.spec->id.text + ": " + describeTrack(*this->book.find(event.spec->id), now) });
    this->wantPass(now);
}

void Scheduler::on(const JobCancelStored& event, TimePoint now, Effects& effects)
{
    if (this->tablesRead)
        this->cancelJob(event.job, now, effects);
}

void Scheduler::on(const AgentStored& event, TimePoint, Effects& effects)
{
    if (this->tablesRead)
        this->learnAgent(event.agent, effects);
}

void Scheduler::on(const AgentLinked& event, TimePoint, Effects& effects)
{
    if (!this->tablesRead)
        return;
    WorkerEntry& worker = this->knownWorkers[event.agent];
    worker.agent = event.agent;
    worker.link = event.link;
    worker.ordersBeforeLink = this->orders;
    worker.settled = false;
    this->send(worker, LeaderHello { this->leaderLease.epoch(), this->config.lease.holder, worker.generation }, effects);
    this->describeRuns(worker, effects);
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

void Scheduler::on(const AgentSaid& event, TimePoint now, Effects& effects)
{
    const Workers::iterator it = this->knownWorkers.find(event.agent);
    if (!this->serving() || it == this->knownWorkers.end() || it->second.link != event.link)
        return;
    std::visit([this, &it, now, &effects](const auto& alternative) { this->heard(it->second, alternative, now, effects); }, event.report);
}

void Scheduler::on(const ReleaseRequested&, TimePoint, Effects&)
{
    this->leaderLease.retire();
}

void Scheduler::heard(WorkerEntry& worker, const Ping& report, TimePoint now, Effects& effects)
{
    // A word after the lease has ended could keep runs alive that a new leader counts as expired.
    if (!this->leaderLease.valid(now))
        return;
    worker.lastWord = now;
    worker.lastPing = report.sentAt;
    this->send(worker, Pong { report.sentAt }, effects);
}

void Scheduler::heard(WorkerEntry& worker, const WorkerSnapshot& report, TimePoint now, Effects& effects)
{
    worker.generation = std::max(worker.generation, report.generation);
    const bool sameLife = worker.info && report.worker && worker.info->identity == report.worker->identity;
    if (!sameLife) {
        worker.failedJobs.clear();
        worker.excludedUntil = {};
    }
    if (!worker.settled && report.settled)
        effects.emplace_back(RecordEvent { EventId::WorkerSettled, worker.agent + ": " + (report.worker ? report.worker->identity.id : "no worker") + ", " + std::to_string(report.running.size()) + " runs" });
    worker.info = report.worker;
    worker.settled = report.settled;
    if (report.settled) {
        if (report.worker) {
            this->adoptRuns(worker, report);
            this->takeEnds(worker, report.worker->identity, report.ended, now, effects);
            this->takeStatus(worker, report.running, now, effects);
        }
        this->dropUnnamed(worker, report, now, effects);
    }
    this->wantPass(now);
}

void Scheduler::heard(WorkerEntry& worker, const RunsEnded& report, TimePoint now, Effects& effects)
{
    this->takeEnds(worker, report.worker, report.ends, now, effects);
}

void Scheduler::heard(WorkerEntry& worker, const RunRejected& report, TimePoint now, Effects& effects)
{
    TaskState* const state = this->book.openRun(report.run);
    if (!state || state->record.assignment->agent != worker.agent)
        return;
    state->failedOn = worker.agent;
    effects.emplace_back(RecordEvent { EventId::RunRejectedByWorker, describe(report.run) + " at " + worker.agent + ": " + report.reason });
    this->loseRun(worker, report.run.task, "rejected", now, effects);
}

void Scheduler::heard(WorkerEntry& worker, const RunProgress& report, TimePoint now, Effects& effects)
{
    if (!worker.info || worker.info->identity != report.worker)
        return;
    worker.headroom = report.headroomPercent / 100.0;
    worker.tailPercent = report.tailPercent;
    this->learnPressure(report);
    this->takeStatus(worker, report.running, now, effects);
    if (!this->book.waiting().empty())
        this->wantPass(now);
}

void Scheduler::advance(TimePoint now, Effects& effects)
{
    this->advanceLease(now, effects);
    if (this->serving() && this->leaderLease.idle())
        this->advanceWrites(now, effects);
}

void Scheduler::advanceLease(TimePoint now, Effects& effects)
{
    const std::optional<Transaction> again = this->leaderLease.repeat(now);
    if (again)
        effects.emplace_back(SubmitCommit { *again });
    if (this->leaderLease.wantsRelease())
        effects.emplace_back(SubmitCommit { this->leaderLease.beginRelease(now) });
    if (this->leaderLease.wantsTakeover(now))
        effects.emplace_back(SubmitCommit { this->leaderLease.begin({}, now) });
    if (!this->leaderLease.wantsRead(now))
        return;
    this->leaderLease.readSent();
    effects.emplace_back(ReadLeaderRow {});
}

void Scheduler::advanceWrites(TimePoint now, Effects& effects)
{
    const bool pass = this->passAt && now >= *this->passAt;
    const bool countsDue = now >= this->pendingWrittenAt + this->config.pendingInterval && this->pendingWritten != this->book.pendingCounts();
    if (!pass && !countsDue && !this->leaderLease.wantsRenewal(now))
        return;
    this->passAt.reset();
    this->placeTasks(now, effects);
    if (!this->book.changed() && this->acknowledgeNext.empty() && !countsDue && !this->leaderLease.wantsRenewal(now))
        return;
    std::vector<RowWrite> rows = this->takeWrites(now);
    effects.emplace_back(SubmitCommit { this->leaderLease.begin(std::move(rows), now) });
}

void Scheduler::tookOver(TimePoint now, Effects& effects)
{
    this->book = JobBook();
    this->knownWorkers.clear();
    this->tablesRead = false;
    this->ledSince = now;
    this->pendingWritten.clear();
    this->acknowledgeNext.clear();
    this->acknowledgeAfterWrite.clear();
    this->writing.clear();
    effects.emplace_back(RecordEvent { EventId::LeadershipTaken, "epoch " + std::to_string(this->leaderLease.epoch()) });
    effects.emplace_back(ReadTables { this->leaderLease.epoch() });
}

void Scheduler::deposed(Effects& effects)
{
    effects.emplace_back(RecordEvent { EventId::LeadershipLost, "epoch " + std::to_string(this->leaderLease.epoch()) + " is led by '" + this->leaderLease.record().holder + "'" });
    effects.emplace_back(StopLeading {});
    this->book = JobBook();
    this->knownWorkers.clear();
    this->tablesRead = false;
    this->passAt.reset();
}

void Scheduler::committed(TimePoint now, Effects& effects)
{
    for (const std::map<std::string, AcknowledgeEnds>::value_type& item : std::exchange(this->acknowledgeAfterWrite, {}))
        this->send(this->knownWorkers[item.first], item.second, effects);
    for (const JobId& job : std::exchange(this->writing, {}))
        this->orderStored(job, effects);
    if (this->book.changed() || !this->acknowledgeNext.empty())
        this->wantPass(now);
}

void Scheduler::placeTasks(TimePoint now, Effects& effects)
{
    for (const JobEntry* const job : placementOrder(this->book.waiting(), this->book, now))
        this->placeJob(*job, now, effects);
}

void Scheduler::placeJob(const JobEntry& job, TimePoint now, Effects& effects)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        if (!job.stepReady(step) || job.remaining[step] == 0)
            continue;
        for (std::uint32_t index = 0; index < job.steps[step].size(); ++index) {
            const TaskState& task = job.steps[step][index];
            if (!task.unplaced())
                continue;
            if (now < task.notBefore) {
                this->passAt = this->passAt ? std::min(*this->passAt, task.notBefore) : task.notBefore;
                continue;
            }
            const WorkerEntry* const chosen = chooseWorker(job, step, task, this->knownWorkers, this->pressures, now);
            if (!chosen)
                break;
            WorkerEntry& worker = this->knownWorkers[chosen->agent];
            const TaskId id { job.spec->id, step, index };
            const RunId run = this->book.assign(id, { worker.agent, worker.info->identity }, now);
            worker.take(id, job.spec->steps[step], worker.info->identity);
            if (job.spec->steps[step].fills)
                worker.headroom -= this->pressures.pressureOf(job.spec->steps[step].image);
            effects.emplace_back(RecordEvent { EventId::RunAssigned, describe(run) + " to " + worker.agent + "; " + describeTrack(job, now) + "; free there " + std::to_string(worker.free().milliCores) + " milli-cores, " + std::to_string(worker.free().memoryMb) + " MB" });
        }
    }
}

std::vector<RowWrite> Scheduler::takeWrites(TimePoint now)
{
    ++this->writes;
    std::vector<RowWrite> rows;
    this->writing = this->book.takeChanged(this->config.rowsPerWrite);
    for (const JobId& job : this->writing) {
        rows.push_back({ progressRowKey(job), print(this->book.record(job)) });
        const JobEntry& entry = *this->book.find(job);
        for (std::uint32_t step = 0; step < entry.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < entry.steps[step].size(); ++index) {
                TaskState& task = *this->book.task({ job, step, index });
                if (task.record.assignment && task.storedBy == 0)
                    task.storedBy = this->writes;
            }
        }
    }
    const PendingCounts counts = this->book.pendingCounts();
    if (counts != this->pendingWritten && now >= this->pendingWrittenAt + this->config.pendingInterval) {
        rows.push_back({ pendingRowKey(), print(counts) });
        this->pendingWritten = counts;
        this->pendingWrittenAt = now;
    }
    if (!this->book.changed())
        this->acknowledgeAfterWrite = std::exchange(this->acknowledgeNext, {});
    return rows;
}

void Scheduler::orderStored(const JobId& job, Effects& effects)
{
    const JobEntry& entry = *this->book.find(job);
    for (std::uint32_t step = 0; step < entry.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < entry.steps[step].size(); ++index) {
            const TaskId id { job, step, index };
            TaskState& task = *this->book.task(id);
            if (!task.record.assignment || task.ordered || task.storedBy != this->writes)
                continue;
            task.ordered = true;
            task.order = ++this->orders;
            const WorkerEntry& worker = this->knownWorkers[task.record.assignment->agent];
            const StepSpec& spec = entry.spec->steps[step];
            this->send(worker, StartRun { { id, task.record.run }, task.record.assignment->worker, entry.spec->payload, task.record.checkpoint, { spec.fills, spec.fills ? this->pressures.pressureOf(spec.image) : 0, spec.target }, task.order, worker.lastPing }, effects);
        }
    }
}

void Scheduler::stopLeftovers(const JobId& job, TimePoint now, Effects& effects)
{
    const JobEntry& entry = *this->book.find(job);
    for (std::uint32_t step = 0; step < entry.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < entry.steps[step].size(); ++index) {
            const TaskId id { job, step, index };
            TaskState& task = *this->book.task(id);
            if (!task.record.assignment || task.stopping)
                continue;
            WorkerEntry& worker = this->knownWorkers[task.record.assignment->agent];
            if (!task.ordered) {
                this->loseRun(worker, id, "the job has ended", now, effects);
                continue;
            }
            task.stopping = true;
            const RunId run { id, task.record.run };
            this->send(worker, StopRun { run }, effects);
            effects.emplace_back(RecordEvent { EventId::RunStopOrdered, describe(run) + " at " + task.record.assignment->agent + ": the job is " + std::string(toString(entry.state)) });
        }
    }
}

void Scheduler::cancelJob(const JobId& job, TimePoint now, Effects& effects)
{
    if (!this->book.cancel(job, now))
        return;
    this->observeEnd(job, now, effects);
    this->stopLeftovers(job, now, effects);
    this->wantPass(now);
}

void Scheduler::takeEnds(WorkerEntry& worker, const WorkerIdentity& life, const std::vector<RunEnd>& ends, TimePoint now, Effects& effects)
{
    if (ends.empty())
        return;
    std::uint64_t last = 0;
    for (const RunEnd& end : ends) {
        this->takeEnd(worker, end, now, effects);
        last = std::max(last, end.number);
    }
    AcknowledgeEnds& acknowledge = this->acknowledgeNext[worker.agent];
    acknowledge = { life, acknowledge.worker == life ? std::max(acknowledge.upTo, last) : last };
    this->wantPass(now);
}

void Scheduler::takeEnd(WorkerEntry& worker, const RunEnd& end, TimePoint now, Effects& effects)
{
    const TaskState* const open = this->book.openRun(end.run);
    const bool ofThisWorker = open && open->record.assignment->agent == worker.agent;
    const RunVerdict verdict = this->book.end(end.run, end.kind, end.checkpoint, now);
    const JobEntry* const job = this->book.find(end.run.task.job);
    if (verdict == RunVerdict::Unknown || !job)
        return;
    if (ofThisWorker)
        worker.giveBack(end.run.task, job->spec->steps[end.run.task.step]);
    effects.emplace_back(RecordEvent { EventId::RunEndTaken, describe(end.run) + " at " + worker.agent + ": " + std::string(toString(end.kind)) + (end.checkpoint.empty() ? "" : ", checkpoint kept") });
    const bool failed = end.kind == RunEndKind::Failed;
    if ((failed || end.kind == RunEndKind::Done) && worker.judge(end.run.task.job, failed, this->config.health, now))
        effects.emplace_back(RecordEvent { EventId::WorkerExcluded, worker.agent + ": runs of " + std::to_string(worker.failedJobs.size()) + " jobs failed in a row" });
    if (verdict == RunVerdict::JobEnded) {
        this->observeEnd(end.run.task.job, now, effects);
        this->stopLeftovers(end.run.task.job, now, effects);
    }
    // A run that was given up turned out to have finished: its successor is stopped.
    TaskState* const successor = this->book.task(end.run.task);
    if (verdict == RunVerdict::TaskDone && successor->record.assignment && !successor->stopping) {
        successor->stopping = true;
        this->send(this->knownWorkers[successor->record.assignment->agent], StopRun { { end.run.task, successor->record.run } }, effects);
    }
}

void Scheduler::learnPressure(const RunProgress& report)
{
    double tails = 0;
    std::size_t serving = 0;
    std::map<std::string, double> work;
    for (const RunStatus& status : report.running) {
        const JobEntry* const job = this->book.find(status.run.task.job);
        if (!job || !this->book.openRun(status.run))
            continue;
        const StepSpec& step = job->spec->steps[status.run.task.step];
        if (step.fills)
            work[step.image] += status.pace / 100.0;
        if (step.target <= Duration {})
            continue;
        tails += static_cast<double>(status.figure) / static_cast<double>(std::max(1LL, toMilliseconds(step.target)));
        ++serving;
    }
    if (serving == 0)
        return;
    std::vector<FillingWork> filling;
    filling.reserve(work.size());
    for (const std::map<std::string, double>::value_type& item : work)
        filling.push_back({ item.first, item.second });
    this->pressures.observe(tails / static_cast<double>(serving), filling);
}

void Scheduler::takeStatus(const WorkerEntry& worker, const std::vector<RunStatus>& running, TimePoint now, Effects& effects)
{
    for (const RunStatus& status : running) {
        TaskState* const task = this->book.openRun(status.run);
        const bool open = task && task->record.assignment->agent == worker.agent && task->record.assignment->worker == worker.info->identity;
        if (!open || task->stopping || isTerminal(this->book.find(status.run.task.job)->state))
            this->send(worker, StopRun { status.run }, effects);
        if (!open)
            continue;
        if (!status.checkpoint.empty())
            task->record.checkpoint = status.checkpoint;
        if (status.percent > task->percent)
            task->progressedAt = now;
        task->percent = status.percent;
    }
}

void Scheduler::adoptRuns(WorkerEntry& worker, const WorkerSnapshot& snapshot)
{
    // A worker that came back under its identifier may have carried out an order that was meant for its earlier life.
    for (const RunStatus& status : snapshot.running) {
        TaskState* const task = this->book.openRun(status.run);
        if (!task || task->record.assignment->agent != worker.agent || task->record.assignment->worker == snapshot.worker->identity)
            continue;
        this->book.moveToLife(status.run, snapshot.worker->identity);
        worker.tasks[status.run.task] = snapshot.worker->identity;
    }
}

void Scheduler::dropUnnamed(WorkerEntry& worker, const WorkerSnapshot& snapshot, TimePoint now, Effects& effects)
{
    std::set<RunId> named(snapshot.pending.begin(), snapshot.pending.end());
    for (const RunStatus& status : snapshot.running)
        named.insert(status.run);
    const std::map<TaskId, WorkerIdentity> tasks = worker.tasks;
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : tasks) {
        const TaskState* const task = this->book.task(item.first);
        // An order that has not left, or not come in before the snapshot was made, is not the agent's to name.
        if (!task->ordered || task->order > std::max(snapshot.lastOrder, worker.ordersBeforeLink))
            continue;
        const bool sameLife = snapshot.worker && snapshot.worker->identity == item.second;
        if (!sameLife || !named.contains({ item.first, task->record.run }))
            this->loseRun(worker, item.first, sameLife ? "the worker does not list it" : "the worker's life has ended", now, effects);
        else if (task->stopping || isTerminal(this->book.find(item.first.job)->state))
            this->send(worker, StopRun { { item.first, task->record.run } }, effects);
    }
    for (const RunId& run : snapshot.pending) {
        if (!this->book.openRun(run))
            this->send(worker, StopRun { run }, effects);
    }
}

void Scheduler::loseRun(WorkerEntry& worker, const TaskId& task, const std::string& reason, TimePoint now, Effects& effects)
{
    const TaskState* const state = this->book.task(task);
    const RunId run { task, state->record.run };
    worker.giveBack(task, this->book.find(task.job)->spec->steps[task.step]);
    if (!this->book.release(run, now + this->config.rejectionPause, now))
        return;
    effects.emplace_back(RecordEvent { EventId::RunLost, describe(run) + " at " + worker.agent + ": " + reason });
    this->wantPass(now);
}

void Scheduler::loseSilentWorkers(TimePoint now, Effects& effects)
{
    for (Workers::value_type& item : this->knownWorkers) {
        WorkerEntry& worker = item.second;
        if (worker.link || worker.tasks.empty() || now < std::max(worker.lastWord, this->ledSince) + this->config.silenceLimit)
            continue;
        worker.info.reset();
        const std::map<TaskId, WorkerIdentity> tasks = worker.tasks;
        for (const std::map<TaskId, WorkerIdentity>::value_type& task : tasks)
            this->loseRun(worker, task.first, "the agent is silent and its leases have expired", now, effects);
    }
}

void Scheduler::describeRuns(const WorkerEntry& worker, Effects& effects) const
{
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : worker.tasks) {
        const JobEntry& job = *this->book.find(item.first.job);
        const StepSpec& step = job.spec->steps[item.first.step];
        const TaskState& task = job.steps[item.first.step][item.first.index];
        if (step.fills || step.target > Duration {})
            this->send(worker, DescribeRun { { item.first, task.record.run }, { step.fills, step.fills ? this->pressures.pressureOf(step.image) : 0, step.target } }, effects);
    }
}

void Scheduler::learnAgent(const KnownAgent& agent, Effects& effects)
{
    WorkerEntry& worker = this->knownWorkers[agent.name];
    worker.agent = agent.name;
    worker.generation = std::max(worker.generation, agent.record.generation);
    if (worker.address == agent.record.address)
        return;
    worker.address = agent.record.address;
    effects.emplace_back(KeepAgentLinked { agent.name, agent.record.address });
}

void Scheduler::send(const WorkerEntry& worker, LeaderMessage message, Effects& effects) const
{
    if (worker.link)
        effects.emplace_back(SendToAgent { *worker.link, std::move(message) });
}

void Scheduler::observeEnd(const JobId& job, TimePoint now, Effects& effects) const
{
    const JobEntry& entry = *this->book.find(job);
    effects.emplace_back(ObserveJob { entry.spec->queue, entry.state, now - entry.arrived });
    effects.emplace_back(RecordEvent { EventId::JobEnded, job.text + ": " + std::string(toString(entry.state)) + ", " + describeTrack(entry, now) });
}

void Scheduler::wantPass(TimePoint now)
{
    const TimePoint wanted = now + this->config.gatherTime;
    if (!this->passAt || *this->passAt > wanted)
        this->passAt = wanted;
}

}
