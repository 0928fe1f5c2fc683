#include "cowslipdoor/scheduling/JobBook.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    /// Pause after a failed run, so that a worker that fails everything at once does not use up the attempts.
    constexpr Duration failurePause = std::chrono::milliseconds(200);

    /// Bound of that pause for tasks that last: a third of the 3 s for which one may not run with room for it.
    constexpr Duration longestFailurePause = std::chrono::milliseconds(1000);

    /// How short a failed run of a task that lasts is for the next pause to double: within it a worker that fails all it
    /// starts shows itself, as runs are listed each 0.5 s.
    constexpr Duration quickFailure = std::chrono::seconds(2);

    JobEntry makeEntry(const JobSpecHandle& spec, TimePoint now, Duration age)
    {
        JobEntry entry;
        entry.spec = spec;
        entry.arrived = now - age;
        entry.due = entry.arrived + std::chrono::duration_cast<Duration>(spec->longestChain() * spec->stretch) + spec->dueSlack;
        for (const StepSpec& step : spec->steps) {
            entry.steps.emplace_back(step.count, TaskState { .listedAt = now });
            entry.remaining.push_back(step.count);
        }
        return entry;
    }

}

std::string describeTrack(const JobEntry& job, TimePoint now)
{
    return "queue " + job.spec->queue + ", priority " + std::to_string(job.spec->priority) + ", age " + std::to_string(toMilliseconds(now - job.arrived)) + " ms, due in "
        + std::to_string(toMilliseconds(job.due - now)) + " ms";
}

bool JobEntry::stepReady(std::size_t step) const
{
    const std::vector<std::uint32_t>& after = this->spec->steps[step].after;
    return std::all_of(after.begin(), after.end(), [this](std::uint32_t earlier) { return this->remaining[earlier] == 0; });
}

Duration JobEntry::remainingChain() const
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

bool JobEntry::pending() const
{
    return !isTerminal(this->state) && std::none_of(this->steps.begin(), this->steps.end(), [](const std::vector<TaskState>& step) {
        return std::any_of(step.begin(), step.end(), [](const TaskState& task) { return task.record.run > 0; });
    });
}

bool JobBook::add(const JobSpecHandle& spec, TimePoint now, Duration age)
{
    if (this->entries.contains(spec->id))
        return false;
    JobEntry& added = this->entries.emplace(spec->id, makeEntry(spec, now, age)).first->second;
    this->refresh(added, now);
    return true;
}

void JobBook::restore(const JobSpecHandle& spec, const ProgressRecord& record, TimePoint now, Duration age)
{
    if (!this->add(spec, now, age))
        return;
    JobEntry& job = this->entry(spec->id);
    job.state = record.state;
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
        }
    }
    this->refresh(job, now);
}

bool JobBook::cancel(const JobId& job, TimePoint now)
{
    const std::map<JobId, JobEntry>::iterator it = this->entries.find(job);
    if (it == this->entries.end() || isTerminal(it->second.state))
        return false;
    this->finishJob(it->second, JobState::Cancelled, now);
    return true;
}

RunId JobBook::assign(const TaskId& task, const Assignment& place, TimePoint now)
{
    JobEntry& job = this->entry(task.job);
    TaskState& state = job.steps.at(task.step).at(task.index);
    state.record.assignment = place;
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
    if (job.state == JobState::Queued)
        job.state = JobState::Running;
    this->changedJobs.insert(task.job);
    this->refresh(job, now);
    return { task, state.record.run };
}

RunVerdict JobBook::end(const RunId& run, RunEndKind kind, const std::string& checkpoint, TimePoint now)
{
    TaskState* const state = this->task(run.task);
    if (!state || run.number > state->record.run)
        return RunVerdict::Unknown;
    JobEntry& job = this->entry(run.task.job);
    const StepSpec& step = job.spec->steps[run.task.step];
    const bool open = this->openRun(run) != nullptr;
    const bool finished = kind == RunEndKind::Done && !step.longRunning;
    std::vector<std::uint32_t>& failedRuns = state->record.failedRuns;
    const bool freshFailure = kind == RunEndKind::Failed && !step.longRunning && std::find(failedRuns.begin(), failedRuns.end(), run.number) == failedRuns.end();
    // A run that was given up may turn out to have finished, which makes its successor needless, or to have failed.
    if (!open && !freshFailure && (!finished || state->record.done))
        return RunVerdict::Unknown;
    if (freshFailure)
        failedRuns.push_back(run.number);
    if (open) {
        if (kind == RunEndKind::Failed)
            state->avoidedAgent = state->record.assignment->agent;
        this->unassign(job, *state);
        if (kind == RunEndKind::Failed && step.longRunning)
            this->pauseLasting(*state, now);
    }
    this->changedJobs.insert(run.task.job);
    if (!checkpoint.empty())
        state->record.checkpoint = checkpoint;
    const RunVerdict verdict = finished || state->record.done ? this->finishTask(job, *state, run.task.step, now) : this->requeueTask(job, *state, freshFailure, now);
    this->refresh(job, now);
    return verdict;
}

RunVerdict JobBook::finishTask(JobEntry& job, TaskState& task, std::size_t step, TimePoint now)
{
    if (task.record.done)
        return RunVerdict::TaskDone;
    task.record.done = true;
    task.record.checkpoint.clear();
    --job.remaining[step];
    const bool allDone = std::all_of(job.remaining.begin(), job.remaining.end(), [](std::uint32_t left) { return left == 0; });
    if (!allDone || isTerminal(job.state))
        return RunVerdict::TaskDone;
    this->finishJob(job, JobState::Done, now);
    return RunVerdict::JobEnded;
}

RunVerdict JobBook::requeueTask(JobEntry& job, TaskState& task, bool countsAsAttempt, TimePoint now)
{
    if (!countsAsAttempt)
        return RunVerdict::Requeued;
    task.notBefore = now + failurePause;
    if (task.record.failedRuns.size() < job.spec->attempts || isTerminal(job.state))
        return RunVerdict::Requeued;
    this->finishJob(job, JobState::Failed, now);
    return RunVerdict::JobEnded;
}

void JobBook::pauseLasting(TaskState& task, TimePoint now)
{
    task.quickFailures = now < task.startedAt + quickFailure ? task.quickFailures + 1 : 0;
    task.notBefore = now + doubled(failurePause, std::max(1U, task.quickFailures) - 1, longestFailurePause);
}

bool JobBook::release(const RunId& run, TimePoint notBefore, TimePoint now)
{
    TaskState* const state = this->openRun(run);
    if (!state)
        return false;
    JobEntry& job = this->entry(run.task.job);
    this->unassign(job, *state);
    state->notBefore = notBefore;
    this->changedJobs.insert(run.task.job);
    this->refresh(job, now);
    return true;
}

void JobBook::moveToLife(const RunId& run, const WorkerIdentity& life)
{
    this->openRun(run)->record.assignment->worker = life;
    this->changedJobs.insert(run.task.job);
}

const JobEntry* JobBook::find(const JobId& job) const
{
    const std::map<JobId, JobEntry>::const_iterator it = this->entries.find(job);
    return it == this->entries.end() ? nullptr : &it->second;
}

TaskState* JobBook::task(const TaskId& task)
{
    const std::map<JobId, JobEntry>::iterator it = this->entries.find(task.job);
    if (it == this->entries.end() || task.step >= it->second.steps.size() || task.index >= it->second.steps[task.step].size())
        return nullptr;
    return &it->second.steps[task.step][task.index];
}

std::vector<TaskId> JobBook::placedTasks(const JobId& job) const
{
    std::vector<TaskId> placed;
    const JobEntry& entry = this->entries.at(job);
    for (std::uint32_t step = 0; step < entry.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < entry.steps[step].size(); ++index) {
            if (entry.steps[step][index].record.assignment)
                placed.push_back({ job, step, index });
        }
    }
    return placed;
}

TaskState* JobBook::openRun(const RunId& run)
{
    TaskState* const state = this->task(run.task);
    return state && state->record.assignment && state->record.run == run.number ? state : nullptr;
}

ProgressRecord JobBook::record(const JobId& job) const
{
    const JobEntry& entry = this->entries.at(job);
    ProgressRecord record { entry.state, {} };
    if (isTerminal(entry.state) && entry.assigned == 0)
        return record;
    for (const std::vector<TaskState>& step : entry.steps) {
        for (const TaskState& task : step)
            record.tasks.push_back(task.record);
    }
    return record;
}

PendingCounts JobBook::pendingCounts() const
{
    PendingCounts counts;
    for (const JobId& id : this->waitingJobs) {
        const JobEntry& job = this->entries.at(id);
        if (job.pending())
            ++counts[job.spec->queue];
    }
    return counts;
}

std::vector<JobId> JobBook::takeChanged(std::size_t most)
{
    std::vector<JobId> taken;
    while (taken.size() < most && !this->changedJobs.empty())
        taken.push_back(this->changedJobs.extract(this->changedJobs.begin()).value());
    return taken;
}

std::vector<JobId> JobBook::takeExpired(TimePoint before, std::size_t most)
{
    std::vector<JobId> expired;
    for (const std::map<JobId, JobEntry>::value_type& item : this->entries) {
        const bool over = isTerminal(item.second.state) && item.second.assigned == 0 && item.second.endedAt < before && !this->changedJobs.contains(item.first);
        if (over && expired.size() < most)
            expired.push_back(item.first);
    }
    for (const JobId& job : expired)
        this->entries.erase(job);
    return expired;
}

JobEntry& JobBook::entry(const JobId& job)
{
    return this->entries.at(job);
}

void JobBook::finishJob(JobEntry& job, JobState state, TimePoint now)
{
    job.state = state;
    job.endedAt = now;
    this->changedJobs.insert(job.spec->id);
    this->refresh(job, now);
}

void JobBook::unassign(JobEntry& job, TaskState& task)
{
    task.record.assignment.reset();
    --job.assigned;
}

void JobBook::refresh(JobEntry& job, TimePoint now)
{
    bool waits = false;
    for (std::size_t step = 0; step < job.steps.size() && !waits && !isTerminal(job.state); ++step)
        waits = job.stepReady(step) && std::any_of(job.steps[step].begin(), job.steps[step].end(), [](const TaskState& task) { return task.unplaced(); });
    if (waits && this->waitingJobs.insert(job.spec->id).second)
        job.waitingSince = now;
    if (!waits)
        this->waitingJobs.erase(job.spec->id);
}

}
