#include "cowslipdoor/scheduling/Placement.h"
#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

void Scheduler::committed(TimePoint now, Effects& effects)
{
    this->storedWrites = this->writes;
    if (this->tablesRead)
        effects.emplace_back(ReportLearned { this->jobsKnownVersion });
    for (const std::map<std::string, AcknowledgeEnds>::value_type& item : std::exchange(this->acknowledgeAfterWrite, {}))
        this->send(this->knownWorkers[item.first], item.second, effects);
    const std::set<ProgressSegment> stored(this->segmentsInWrite.begin(), this->segmentsInWrite.end());
    this->segmentsInWrite.clear();
    for (const ProgressSegment& segment : stored)
        this->orderStored(segment, now, effects);
    if (this->jobRegistry.changed() || !this->acknowledgeNext.empty() || this->placementHeldBack)
        this->schedulePass(now);
}

void Scheduler::placeTasks(TimePoint now, Effects& effects)
{
    this->placementHeldBack = !this->knowledgeCurrent(now);
    if (this->placementHeldBack)
        return;
    this->updatePlacementHolds(now, effects);
    this->beginPlaces(now, effects);
    this->assignedInPass = 0;
    for (const TrackedJob* const job : placementOrder(this->jobRegistry.waiting(), this->jobRegistry, now)) {
        // An assignment reserves room, but its order is sent only once it is stored.
        if (job->spec->isLongRunning() || this->jobRegistry.unwrittenAssignments() < this->config.rowsPerWrite || this->jobRegistry.hasUnwrittenAssignment(job->spec->id))
            this->placeJob(*job, now, effects);
        else
            this->placementHeldBack = true;
    }
}

void Scheduler::updatePlacementHolds(TimePoint now, Effects& effects)
{
    std::size_t silentAgents = 0;
    for (Workers::value_type& item : this->knownWorkers) {
        TrackedWorker& worker = item.second;
        const bool servingRunsStart = now < worker.servingStartsUntil;
        worker.assumedSlack = servingRunsStart ? 0 : usualSlack;
        if (servingRunsStart)
            this->schedulePassAt(worker.servingStartsUntil);
        if (!worker.settled && worker.longRunningMilliCores > 0)
            ++silentAgents;
    }
    const bool settled = silentAgents == 0 || now >= this->settleUntil;
    if (this->agentsSettle && settled)
        effects.emplace_back(RecordEvent { EventId::AgentsSettled, std::to_string(toMilliseconds(this->config.settleTime - (this->settleUntil - now))) + " ms after the tables were read; " + std::to_string(silentAgents) + " agents with long-running tasks have not reported" });
    this->agentsSettle = !settled;
}

void Scheduler::placeJob(const TrackedJob& job, TimePoint now, Effects& effects)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        if (job.unplaced[step] == 0)
            this->placeWaits.erase({ job.spec->id, step });
        else if (job.stepReady(step))
            this->placeStep(job, step, now, effects);
    }
}

bool Scheduler::mayAssignMore()
{
    const bool more = this->assignedInPass < this->config.assignmentsPerPass;
    this->placementHeldBack = this->placementHeldBack || !more;
    return more;
}

void Scheduler::placeStep(const TrackedJob& job, std::uint32_t step, TimePoint now, Effects& effects)
{
    const StepSpec& spec = job.spec->steps[step];
    if (this->agentsSettle && (spec.longRunning || spec.bestEffort)) {
        this->schedulePassAt(this->settleUntil);
        return;
    }
    if (spec.bestEffort && !spec.longRunning && now < this->bestEffortFrom) {
        this->schedulePassAt(this->bestEffortFrom);
        return;
    }
    if (weighsPlaces(spec, this->config.placement)) {
        this->placeWeighing(job, step, now, effects);
        return;
    }
    bool recentTasksWait = false;
    for (std::uint32_t index = 0; index < job.steps[step].size(); ++index) {
        const TaskState& task = job.steps[step][index];
        if (!task.unplaced())
            continue;
        if (now < task.notBefore) {
            this->schedulePassAt(task.notBefore);
            continue;
        }
        // Tasks that have waited too long accept more workers than the others.
        const bool waited = waitedTooLong(job, step, task, now);
        if (recentTasksWait && !waited)
            continue;
        if (!this->mayAssignMore())
            return;
        const TrackedWorker* const chosen = chooseWorker(job, step, task, this->knownWorkers, this->interference, now);
        if (chosen)
            this->assignTask(job, { job.spec->id, step, index }, *chosen, now, effects);
        else if (waited || !spec.longRunning)
            return;
        else
            recentTasksWait = true;
    }
}

void Scheduler::assignTask(const TrackedJob& job, const TaskId& id, const TrackedWorker& chosen, TimePoint now, Effects& effects)
{
    TrackedWorker& worker = this->knownWorkers[chosen.agent];
    this->placeCache.loadChanged(worker);
    const ResourceVector demand = job.spec->steps[id.step].countedDemand();
    if (!worker.free().covers(demand)) {
        effects.emplace_back(RecordEvent { EventId::HeadroomExceeded, describe(id) + " needs " + std::to_string(demand.milliCores) + " milli-cores and " + std::to_string(demand.memoryMb) + " MB; free at " + worker.agent + " " + std::to_string(worker.free().milliCores) + " milli-cores, " + std::to_string(worker.free().memoryMb) + " MB" });
        this->schedulePassAt(now + this->config.rejectionDelay);
        return;
    }
    ++this->assignedInPass;
    const RunId run = this->jobRegistry.assign(id, { worker.agent, worker.info->identity }, now);
    worker.allocate(id, job.spec->steps[id.step], worker.info->identity);
    worker.unconfirmedStarts.insert(id);
    if (job.spec->steps[id.step].target > Duration {}) {
        worker.servingStartsUntil = now + this->config.servingStartTime;
        worker.assumedSlack = 0;
    }
    effects.emplace_back(RecordEvent { EventId::RunAssigned, describe(run) + " to " + worker.agent + "; " + describeUrgency(job, now) + "; free there " + std::to_string(worker.free().milliCores) + " milli-cores, " + std::to_string(worker.free().memoryMb) + " MB" });
}

std::vector<RowWrite> Scheduler::takeWrites(TimePoint now)
{
    ++this->writes;
    this->collectAcknowledgements();
    const bool single = this->singleRowWrites > 0;
    this->singleRowWrites -= single ? 1 : 0;
    std::vector<RowWrite> rows = this->takeProgress(single ? 1 : this->config.rowsPerWrite);
    this->releaseAcknowledgements();
    if (!single || rows.empty())
        this->addPendingRow(rows, now);
    if (!single || rows.empty())
        this->addModelRow(rows, now);
    return rows;
}

std::vector<RowWrite> Scheduler::takeProgress(std::size_t most)
{
    std::vector<RowWrite> rows;
    std::size_t bytes = 0;
    this->segmentsInWrite.clear();
    while (this->jobRegistry.changed() && rows.size() < most && bytes < this->config.bytesPerWrite) {
        const ProgressSegment segment = this->jobRegistry.takeChanged(1).front();
        this->segmentsInWrite.push_back(segment);
        rows.push_back({ segmentRowKey(segment), print(this->jobRegistry.record(segment)) });
        bytes += rows.back().value.size();
        for (const TaskId& id : this->jobRegistry.placedTasksIn(segment)) {
            TaskState& task = *this->jobRegistry.task(id);
            if (task.storedBy == 0)
                task.storedBy = this->writes;
        }
    }
    return rows;
}

void Scheduler::addPendingRow(std::vector<RowWrite>& rows, TimePoint now)
{
    std::optional<PendingCounts> counts = this->duePendingCounts(now);
    if (!counts)
        return;
    rows.push_back({ pendingRowKey(), print(*counts) });
    this->pendingWritten = std::move(*counts);
    this->pendingWrittenAt = now;
}

void Scheduler::writeRefused(const std::string& reason, TimePoint now, Effects& effects)
{
    this->withdrawAcknowledgements();
    const std::vector<ProgressSegment> segments = std::exchange(this->segmentsInWrite, {});
    const std::string first = segments.empty() ? std::string("no progress") : segmentRowKey(segments.front()).key;
    effects.emplace_back(RecordEvent { EventId::WriteRefused, std::to_string(this->rowsInWrite) + " rows, from " + first + ": " + reason });
    this->schedulePass(now);
    if (this->rowsInWrite <= 1) {
        for (const ProgressSegment& segment : segments)
            this->releaseUnstorable(segment, now, effects);
        return;
    }
    for (const ProgressSegment& segment : segments)
        this->jobRegistry.noteNotStored(segment);
    this->singleRowWrites = this->rowsInWrite;
    this->pendingWritten.reset();
    this->pendingWrittenAt = {};
    this->modelWritten.clear();
    this->modelWrittenAt = {};
}

void Scheduler::releaseUnstorable(const ProgressSegment& segment, TimePoint now, Effects& effects)
{
    // Without a stored assignment no order may be sent, and the reserved room serves others meanwhile.
    for (const TaskId& id : this->jobRegistry.placedTasksIn(segment)) {
        const TaskState& task = *this->jobRegistry.task(id);
        if (!task.ordered)
            this->markRunLost(this->knownWorkers[task.record.assignment->agent], id, "the store refuses its assignment", now + this->config.unstorableDelay, now, effects);
    }
}

void Scheduler::withdrawAcknowledgements()
{
    for (std::map<std::string, AcknowledgeEnds>* const held : { &this->acknowledgeAfterWrite, &this->acknowledgeCollected }) {
        for (const std::map<std::string, AcknowledgeEnds>::value_type& item : std::exchange(*held, {})) {
            AcknowledgeEnds& next = this->acknowledgeNext.try_emplace(item.first, item.second).first->second;
            if (next.worker == item.second.worker)
                next = { next.worker, std::max(next.upTo, item.second.upTo) };
        }
    }
    this->changesBeforeAcknowledge = 0;
}

void Scheduler::collectAcknowledgements()
{
    if (!this->acknowledgeCollected.empty())
        return;
    this->acknowledgeCollected = std::exchange(this->acknowledgeNext, {});
    // Progress is written in the order of changes, so these changes come before any later one.
    this->changesBeforeAcknowledge = this->jobRegistry.changedCount();
}

void Scheduler::releaseAcknowledgements()
{
    this->changesBeforeAcknowledge -= std::min(this->changesBeforeAcknowledge, this->segmentsInWrite.size());
    if (this->changesBeforeAcknowledge == 0)
        this->acknowledgeAfterWrite = std::exchange(this->acknowledgeCollected, {});
}

void Scheduler::addModelRow(std::vector<RowWrite>& rows, TimePoint now)
{
    if (now < this->modelWrittenAt + this->config.modelInterval)
        return;
    this->modelWrittenAt = now;
    std::vector<LearntLoss> known = this->interference.learnt(this->config.pairsPerRow);
    std::string text = print(known);
    for (; text.size() > maximumRowBytes; text = print(known))
        known.resize(known.size() / 2);
    if (known.empty() || text == this->modelWritten)
        return;
    rows.push_back({ interferenceRowKey(), text });
    this->modelWritten = std::move(text);
}

std::optional<PendingCounts> Scheduler::duePendingCounts(TimePoint now) const
{
    if (now < this->pendingWrittenAt + this->config.pendingInterval)
        return std::nullopt;
    PendingCounts counts = this->jobRegistry.pendingCounts();
    return counts == this->pendingWritten ? std::nullopt : std::optional<PendingCounts>(std::move(counts));
}

std::vector<RowKey> Scheduler::takeRemovals(TimePoint now, Effects& effects)
{
    if (now >= this->sweptAt + this->config.sweepInterval) {
        this->sweptAt = now;
        for (const JobSpecHandle& spec : this->jobRegistry.takeExpired(now - this->config.retention, this->config.removedAtOnce)) {
            this->interference.forget(spec->id);
            this->queueRemovals(*spec);
        }
        this->expireCancellations(now, effects);
    }
    std::vector<RowKey> removals;
    while (!this->removalQueue.empty() && removals.size() + this->removalQueue.front().size() <= this->config.removalsPerWrite) {
        const std::vector<RowKey>& group = this->removalQueue.front();
        removals.insert(removals.end(), group.begin(), group.end());
        this->removalQueue.pop_front();
    }
    return removals;
}

void Scheduler::expireCancellations(TimePoint now, Effects& effects)
{
    const std::size_t expired = std::erase_if(this->unmatchedCancellations, [this, now](const std::map<JobId, TimePoint>::value_type& item) {
        const bool old = item.second + this->config.retention <= now;
        if (old)
            this->removalQueue.push_back({ cancelRowKey(item.first) });
        return old;
    });
    if (expired > 0)
        effects.emplace_back(RecordEvent { EventId::CancellationsExpired, std::to_string(expired) + " cancellations, " + std::to_string(this->unmatchedCancellations.size()) + " are younger" });
}

void Scheduler::queueRemovals(const JobSpec& spec)
{
    for (std::size_t number = segmentCount(spec); number-- > 1;)
        this->removalQueue.push_back({ segmentRowKey({ spec.id, static_cast<std::uint32_t>(number) }) });
    // Without the state in the first segment, the job would count as not started.
    this->removalQueue.push_back({ progressRowKey(spec.id), jobRowKey(spec.id), cancelRowKey(spec.id) });
}

void Scheduler::sendHeldOrders(TimePoint now, Effects& effects)
{
    if (!this->knowledgeCurrent(now))
        return;
    for (const ProgressSegment& segment : std::exchange(this->heldOrders, {})) {
        if (this->jobRegistry.find(segment.job))
            this->orderStored(segment, now, effects);
    }
}

void Scheduler::orderStored(const ProgressSegment& segment, TimePoint now, Effects& effects)
{
    if (!this->knowledgeCurrent(now)) {
        this->heldOrders.insert(segment);
        return;
    }
    const JobSpec& spec = *this->jobRegistry.find(segment.job)->spec;
    for (const TaskId& id : this->jobRegistry.placedTasksIn(segment)) {
        TaskState& task = *this->jobRegistry.task(id);
        if (task.ordered || task.storedBy == 0 || task.storedBy > this->storedWrites)
            continue;
        task.ordered = true;
        task.order = ++this->orders;
        const Assignment& assignment = *task.record.assignment;
        TrackedWorker& worker = this->knownWorkers[assignment.agent];
        const RunId run { id, task.record.run };
        this->send(worker, StartRun { run, assignment.worker, spec.payload, task.record.checkpoint, this->traitsToSend(worker, run, spec.steps[id.step]), task.order, worker.lastPing }, effects);
    }
}

}
