#include "cowslipdoor/scheduling/JobRegistry.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Delay after a failed run, so that a worker that fails everything at once does not use up the attempts.
    constexpr Duration failureBackoff = std::chrono::milliseconds(200);

    /// Upper bound of that delay for long-running tasks: a third of the 3 s that the platform permits until one runs again if there is headroom.
    constexpr Duration maximumFailureBackoff = std::chrono::milliseconds(1000);

    /// Run time below which a failed run of a long-running task doubles the next delay. Runs are listed every 0.5 s, so a worker
    /// that fails everything it starts is detected within this time.
    constexpr Duration quickFailure = std::chrono::seconds(2);

    ProgressSegment segmentOf(const JobSpec& spec, const TaskId& task)
    {
        std::size_t number = task.index;
        for (std::uint32_t step = 0; step < task.step; ++step)
            number += spec.steps[step].count;
        return { spec.id, static_cast<std::uint32_t>(number / tasksPerSegment) };
    }

    TrackedJob makeTrackedJob(const JobSpecHandle& spec, TimePoint now, Duration age)
    {
        TrackedJob trackedJob;
        trackedJob.spec = spec;
        trackedJob.arrived = now - age;
        trackedJob.due = trackedJob.arrived + std::chrono::duration_cast<Duration>(spec->longestChain() * spec->stretch) + spec->dueSlack;
        for (const StepSpec& step : spec->steps) {
            trackedJob.steps.emplace_back(step.count, TaskState { .listedAt = now });
            trackedJob.remaining.push_back(step.count);
            trackedJob.unplaced.push_back(step.count);
        }
        return trackedJob;
    }

}

std::string describeUrgency(const TrackedJob& job, TimePoint now)
{
    return "queue " + job.spec->queue + ", priority " + std::to_string(job.spec->priority) + ", age " + std::to_string(toMilliseconds(now - job.arrived)) + " ms, due in "
        + std::to_string(toMilliseconds(job.due - now)) + " ms";
}

bool TrackedJob::stepReady(std::size_t step) const
{
    const std::vector<std::uint32_t>& after = this->spec->steps[step].after;
    return std::all_of(after.begin(), after.end(), [this](std::uint32_t earlier) { return this->remaining[earlier] == 0; });
}

bool TrackedJob::allDone() const
{
    return std::all_of(this->remaining.begin(), this->remaining.end(), [](std::uint32_t left) { return left == 0; });
}

bool TrackedJob::waits() const
{
    if (isTerminal(this->state))
        return false;
    for (std::size_t step = 0; step < this->steps.size(); ++step) {
        if (this->unplaced[step] > 0 && this->stepReady(step))
            return true;
    }
    return false;
}

Duration TrackedJob::remainingChain() const
{
    std::vector<Duration> until;
    Duration longest {};
    for (std::size_t step = 0; step < this->steps.size(); ++step) {
        Duration before {};
        for (const std::uint32_t earlier : this->spec->steps[step].after)
            before = std::max(before, until[earlier]);
        until.push_back(before + (this->remaining[step] > 0 ? this->spec->steps[step].estimate : Duration {}));
        longest = std::max(longest, until.back());
    }
    return longest;
}

bool JobRegistry::add(const JobSpecHandle& spec, TimePoint now, Duration age)
{
    if (this->trackedJobs.contains(spec->id))
        return false;
    TrackedJob& added = this->trackedJobs.emplace(spec->id, makeTrackedJob(spec, now, age)).first->second;
    this->refresh(added, now);
    return true;
}

void JobRegistry::restore(const JobSpecHandle& spec, const ProgressRecord& record, TimePoint now, Duration age)
{
    if (!this->add(spec, now, age))
        return;
    TrackedJob& job = this->trackedJob(spec->id);
    job.state = record.state;
    job.begun = record.begun;
    job.begunStored = record.begun;
    job.endedAt = now;
    std::size_t next = 0;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        for (TaskState& task : job.steps[step]) {
            if (next == record.tasks.size())
                break;
            task.record = record.tasks[next++];
            task.ordered = task.record.assignment.has_value();
            task.startedAt = now;
            task.progressedAt = now;
            job.assigned += task.record.assignment ? 1 : 0;
            job.remaining[step] -= task.record.done ? 1 : 0;
            job.unplaced[step] -= task.unplaced() ? 0 : 1;
            // Rows of earlier versions do not state whether the job has begun.
            job.begun = job.begun || task.record.done || !task.record.failedRuns.empty();
        }
    }
    // The first row loses the tasks of the other segments once it is written again, so the others are written before it.
    if (record.undivided) {
        for (std::size_t number = segmentCount(*spec); number-- > 0;)
            this->noteChange({ spec->id, static_cast<std::uint32_t>(number) });
    }
    this->finishIfDecided(job, now);
    this->refresh(job, now);
}

void JobRegistry::finishIfDecided(TrackedJob& job, TimePoint now)
{
    if (isTerminal(job.state))
        return;
    // The row of the last end may have been stored before the row that holds the state.
    const std::size_t attempts = std::max(1U, job.spec->attempts);
    const auto failedTooOften = [attempts](const TaskState& task) { return !task.record.done && task.record.failedRuns.size() >= attempts; };
    const auto hasFailed = [&failedTooOften](const std::vector<TaskState>& step) { return std::any_of(step.begin(), step.end(), failedTooOften); };
    if (std::any_of(job.steps.begin(), job.steps.end(), hasFailed))
        this->finishJob(job, JobState::Failed, now);
    else if (job.allDone())
        this->finishJob(job, JobState::Done, now);
}

bool JobRegistry::cancel(const JobId& job, TimePoint now)
{
    const std::map<JobId, TrackedJob>::iterator it = this->trackedJobs.find(job);
    if (it == this->trackedJobs.end() || isTerminal(it->second.state))
        return false;
    this->finishJob(it->second, JobState::Cancelled, now);
    return true;
}

RunId JobRegistry::assign(const TaskId& task, const Assignment& assignment, TimePoint now)
{
    TrackedJob& job = this->trackedJob(task.job);
    TaskState& state = job.steps.at(task.step).at(task.index);
    job.unplaced[task.step] -= state.unplaced() ? 1 : 0;
    state.record.assignment = assignment;
    ++state.record.run;
    state.storedBy = 0;
    state.ordered = false;
    state.stopping = false;
    state.startedAt = now;
    state.progressedAt = now;
    state.percent = 0;
    state.starvingSince.reset();
    state.stalledSince.reset();
    ++job.assigned;
    job.waitingSince = now;
    if (!job.spec->isLongRunning())
        this->newlyAssigned.insert(segmentOf(*job.spec, task));
    if (std::exchange(job.state, JobState::Running) != JobState::Running)
        this->noteStateChange(task.job);
    this->noteTaskChange(job, task);
    this->refresh(job, now);
    return { task, state.record.run };
}

void JobRegistry::noteBegun(const RunId& run, TimePoint now)
{
    if (!this->task(run.task))
        return;
    TrackedJob& job = this->trackedJob(run.task.job);
    if (std::exchange(job.begun, true))
        return;
    // No agent reports an abandoned run to the next leader once it has ended.
    if (!this->openRun(run))
        this->noteStateChange(run.task.job);
    this->refresh(job, now);
}

RunVerdict JobRegistry::end(const RunId& run, RunEndKind kind, const std::string& checkpoint, TimePoint now)
{
    TaskState* const state = this->task(run.task);
    if (!state || run.number > state->record.run)
        return RunVerdict::Unknown;
    this->noteBegun(run, now);
    TrackedJob& job = this->trackedJob(run.task.job);
    const StepSpec& step = job.spec->steps[run.task.step];
    const bool open = this->openRun(run) != nullptr;
    const bool finished = kind == RunEndKind::Done && !step.longRunning;
    std::vector<std::uint32_t>& failedRuns = state->record.failedRuns;
    const bool freshFailure = kind == RunEndKind::Failed && !step.longRunning && std::find(failedRuns.begin(), failedRuns.end(), run.number) == failedRuns.end();
    // An abandoned run may turn out to have finished, which makes its successor unnecessary, or to have failed.
    if (!open && !freshFailure && (!finished || state->record.done))
        return RunVerdict::Unknown;
    if (freshFailure)
        failedRuns.push_back(run.number);
    if (open) {
        if (kind == RunEndKind::Failed)
            state->avoidedAgent = state->record.assignment->agent;
        this->unassign(job, *state, run.task.step);
        if (kind == RunEndKind::Failed && step.longRunning)
            this->delayLongRunningRestart(*state, now);
    }
    this->noteTaskChange(job, run.task);
    if (!checkpoint.empty())
        state->record.checkpoint = checkpoint;
    const RunVerdict verdict = finished || state->record.done ? this->finishTask(job, *state, run.task.step, now) : this->requeueTask(job, *state, freshFailure, now);
    this->refresh(job, now);
    return verdict;
}

RunVerdict JobRegistry::finishTask(TrackedJob& job, TaskState& task, std::size_t step, TimePoint now)
{
    if (task.record.done)
        return RunVerdict::TaskDone;
    job.unplaced[step] -= task.unplaced() ? 1 : 0;
    task.record.done = true;
    task.record.checkpoint.clear();
    --job.remaining[step];
    if (!job.allDone() || isTerminal(job.state))
        return RunVerdict::TaskDone;
    this->finishJob(job, JobState::Done, now);
    return RunVerdict::JobEnded;
}

RunVerdict JobRegistry::requeueTask(TrackedJob& job, TaskState& task, bool countsAsAttempt, TimePoint now)
{
    if (!countsAsAttempt)
        return RunVerdict::Requeued;
    task.notBefore = now + failureBackoff;
    if (task.record.failedRuns.size() < job.spec->attempts || isTerminal(job.state))
        return RunVerdict::Requeued;
    this->finishJob(job, JobState::Failed, now);
    return RunVerdict::JobEnded;
}

void JobRegistry::delayLongRunningRestart(TaskState& task, TimePoint now)
{
    task.quickFailures = now < task.startedAt + quickFailure ? task.quickFailures + 1 : 0;
    task.notBefore = now + exponentialBackoff(failureBackoff, std::max(1U, task.quickFailures) - 1, maximumFailureBackoff);
}

bool JobRegistry::release(const RunId& run, TimePoint notBefore, TimePoint now)
{
    TaskState* const state = this->openRun(run);
    if (!state)
        return false;
    TrackedJob& job = this->trackedJob(run.task.job);
    this->unassign(job, *state, run.task.step);
    state->notBefore = notBefore;
    this->noteTaskChange(job, run.task);
    this->refresh(job, now);
    return true;
}

void JobRegistry::moveToIncarnation(const RunId& run, const WorkerIdentity& incarnation)
{
    this->openRun(run)->record.assignment->worker = incarnation;
    this->noteTaskChange(this->trackedJob(run.task.job), run.task);
}

const TrackedJob* JobRegistry::find(const JobId& job) const
{
    const std::map<JobId, TrackedJob>::const_iterator it = this->trackedJobs.find(job);
    return it == this->trackedJobs.end() ? nullptr : &it->second;
}

TaskState* JobRegistry::task(const TaskId& task)
{
    const std::map<JobId, TrackedJob>::iterator it = this->trackedJobs.find(task.job);
    if (it == this->trackedJobs.end() || task.step >= it->second.steps.size() || task.index >= it->second.steps[task.step].size())
        return nullptr;
    return &it->second.steps[task.step][task.index];
}

std::vector<TaskId> JobRegistry::placedTasks(const JobId& job) const
{
    std::vector<TaskId> placed;
    const TrackedJob& trackedJob = this->trackedJobs.at(job);
    for (std::uint32_t step = 0; step < trackedJob.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < trackedJob.steps[step].size(); ++index) {
            if (trackedJob.steps[step][index].record.assignment)
                placed.push_back({ job, step, index });
        }
    }
    return placed;
}

TaskState* JobRegistry::openRun(const RunId& run)
{
    TaskState* const state = this->task(run.task);
    return state && state->record.assignment && state->record.run == run.number ? state : nullptr;
}

std::vector<TaskId> JobRegistry::tasksOf(const ProgressSegment& segment) const
{
    const TrackedJob& trackedJob = this->trackedJobs.at(segment.job);
    const std::size_t first = segment.number * tasksPerSegment;
    std::vector<TaskId> tasks;
    std::size_t number = 0;
    for (std::uint32_t step = 0; step < trackedJob.steps.size(); ++step) {
        const std::size_t count = trackedJob.steps[step].size();
        for (std::size_t index = first > number ? first - number : 0; index < count && number + index < first + tasksPerSegment; ++index)
            tasks.push_back({ segment.job, step, static_cast<std::uint32_t>(index) });
        number += count;
    }
    return tasks;
}

std::vector<TaskId> JobRegistry::placedTasksIn(const ProgressSegment& segment) const
{
    std::vector<TaskId> placed = this->tasksOf(segment);
    const TrackedJob& trackedJob = this->trackedJobs.at(segment.job);
    std::erase_if(placed, [&trackedJob](const TaskId& id) { return !trackedJob.steps[id.step][id.index].record.assignment; });
    return placed;
}

ProgressRecord JobRegistry::record(const ProgressSegment& segment) const
{
    const TrackedJob& trackedJob = this->trackedJobs.at(segment.job);
    ProgressRecord record { trackedJob.state, {}, trackedJob.begun };
    if (isTerminal(trackedJob.state) && trackedJob.assigned == 0)
        return record;
    for (const TaskId& id : this->tasksOf(segment))
        record.tasks.push_back(trackedJob.steps[id.step][id.index].record);
    return record;
}

PendingCounts JobRegistry::pendingCounts() const
{
    PendingCounts counts;
    for (const JobId& id : this->pendingJobs)
        ++counts[this->trackedJobs.at(id).spec->queue];
    return counts;
}

std::vector<ProgressSegment> JobRegistry::takeChanged(std::size_t most)
{
    std::vector<ProgressSegment> taken;
    while (taken.size() < most && !this->changeOrder.empty()) {
        taken.push_back(std::move(this->changeOrder.front()));
        this->changeOrder.pop_front();
        this->changedSegments.erase(taken.back());
        this->newlyAssigned.erase(taken.back());
        if (taken.back().number == 0)
            this->trackedJob(taken.back().job).begunStored = this->trackedJob(taken.back().job).begun;
    }
    return taken;
}

void JobRegistry::noteNotStored(const ProgressSegment& segment)
{
    TrackedJob& job = this->trackedJob(segment.job);
    job.begunStored = job.begunStored && segment.number > 0;
    for (const TaskId& id : this->placedTasksIn(segment)) {
        TaskState& task = job.steps[id.step][id.index];
        task.storedBy = task.ordered ? task.storedBy : 0;
    }
    this->noteChange(segment);
}

std::vector<JobSpecHandle> JobRegistry::takeExpired(TimePoint before, std::size_t most)
{
    std::vector<JobSpecHandle> expired;
    for (const std::map<JobId, TrackedJob>::value_type& item : this->trackedJobs) {
        const std::set<ProgressSegment>::const_iterator changed = this->changedSegments.lower_bound({ item.first, 0 });
        const bool stored = changed == this->changedSegments.end() || changed->job != item.first;
        const bool over = isTerminal(item.second.state) && item.second.assigned == 0 && item.second.endedAt < before && stored;
        if (over && expired.size() < most)
            expired.push_back(item.second.spec);
    }
    for (const JobSpecHandle& spec : expired)
        this->trackedJobs.erase(spec->id);
    return expired;
}

bool JobRegistry::hasUnwrittenAssignment(const JobId& job) const
{
    const std::set<ProgressSegment>::const_iterator first = this->newlyAssigned.lower_bound({ job, 0 });
    return first != this->newlyAssigned.end() && first->job == job;
}

TrackedJob& JobRegistry::trackedJob(const JobId& job)
{
    return this->trackedJobs.at(job);
}

void JobRegistry::finishJob(TrackedJob& job, JobState state, TimePoint now)
{
    job.state = state;
    job.endedAt = now;
    this->noteStateChange(job.spec->id);
    this->refresh(job, now);
}

void JobRegistry::unassign(TrackedJob& job, TaskState& task, std::size_t step)
{
    task.record.assignment.reset();
    --job.assigned;
    job.unplaced[step] += task.record.done ? 0 : 1;
}

void JobRegistry::noteStateChange(const JobId& job)
{
    this->noteChange({ job, 0 });
}

void JobRegistry::noteTaskChange(const TrackedJob& job, const TaskId& task)
{
    this->noteChange(segmentOf(*job.spec, task));
    if (job.begun != job.begunStored)
        this->noteStateChange(task.job);
}

void JobRegistry::noteChange(const ProgressSegment& segment)
{
    if (this->changedSegments.insert(segment).second)
        this->changeOrder.push_back(segment);
}

void JobRegistry::refresh(TrackedJob& job, TimePoint now)
{
    const bool waits = job.waits();
    if (waits && this->waitingJobs.insert(job.spec->id).second)
        job.waitingSince = now;
    if (!waits)
        this->waitingJobs.erase(job.spec->id);
    if (job.pending())
        this->pendingJobs.insert(job.spec->id);
    else
        this->pendingJobs.erase(job.spec->id);
}

}
