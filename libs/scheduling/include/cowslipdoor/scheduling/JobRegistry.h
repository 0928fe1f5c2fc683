#pragma once

/// @file
/// @brief Jobs that the leader knows, and the state of their tasks.

#include "Rows.h"
#include <cowslipdoor/core/Time.h>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief State of a task as known to the leader.
struct TaskState {
    TaskRecord record {};
    /// Number of the leader's write that stores the assignment; zero while no such write has begun.
    std::uint64_t storedBy = 0;
    /// Whether the start order has been sent to the agent.
    bool ordered = false;
    /// Number of the start order; zero for an order of an earlier leader.
    std::uint64_t order = 0;
    /// Whether a stop has been ordered.
    bool stopping = false;
    /// Agent whose worker failed or refused the task last, or that the task is moved away from, or empty.
    std::string avoidedAgent {};
    /// Earliest time of the next placement.
    TimePoint notBefore {};
    TimePoint startedAt {};
    /// Consecutive runs of a long-running task that failed soon after their start.
    std::uint32_t quickFailures = 0;
    /// When a worker last listed a run of the task, or else when the task became known.
    TimePoint listedAt {};
    std::uint32_t percent = 0;
    /// When the progress last increased.
    TimePoint progressedAt {};
    /// Since when the pace has been so low that the run counts as starving.
    std::optional<TimePoint> starvingSince {};
    /// Since when the tail latency of a serving run has been many times its target.
    std::optional<TimePoint> stalledSince {};

    bool operator==(const TaskState&) const = default;

    /// @return whether the task is neither done nor assigned; it can be placed once its step is ready
    [[nodiscard]] bool unplaced() const noexcept { return !this->record.done && !this->record.assignment; }
};

/// @brief State of a job as known to the leader.
struct TrackedJob {
    JobSpecHandle spec;
    JobState state = JobState::Queued;
    TimePoint arrived {};
    /// When the job ended, if it has.
    TimePoint endedAt {};
    /// Since when the job has had tasks to place and none was placed.
    TimePoint waitingSince {};
    /// Objective; a job that ends later is worth less.
    TimePoint due {};
    std::vector<std::vector<TaskState>> steps {};
    /// Number of tasks of each step that are not done.
    std::vector<std::uint32_t> remaining {};
    /// Number of tasks of each step that are neither done nor assigned.
    std::vector<std::uint32_t> unplaced {};
    /// Number of tasks of all steps that have an assignment.
    std::uint32_t assigned = 0;
    /// Whether a worker has begun a run of it, as a listing or an end of a run shows; an order may come to nothing.
    bool begun = false;
    /// Whether the stored progress states this.
    bool begunStored = false;

    /// @param step number of a step
    /// @return whether all steps that it depends on are done
    [[nodiscard]] bool stepReady(std::size_t step) const;

    /// @return whether all tasks of all steps are done
    [[nodiscard]] bool allDone() const;

    /// @return whether it has a task to place in a step that is ready
    [[nodiscard]] bool waits() const;

    /// @return expected time of the longest chain of steps that are not done
    [[nodiscard]] Duration remainingChain() const;

    /// @return whether the job has not ended and no worker is known to have begun a run of it
    [[nodiscard]] bool pending() const noexcept { return !isTerminal(this->state) && !this->begun; }
};

/// @param job the job
/// @param now current time
/// @return for logs: its queue, its priority, its age and the time until it is due
[[nodiscard]] std::string describeUrgency(const TrackedJob& job, TimePoint now);

/// @brief Consequence of the end of a run.
enum class RunVerdict : unsigned char {
    /// The run is not open, and its end changes nothing.
    Unknown,
    TaskDone,
    /// The task waits for placement again.
    Requeued,
    /// The end of the run has ended the job.
    JobEnded,
};

/// @brief Registry of all jobs; only this class changes assignments, ends of runs and states of jobs.
/// @code
/// registry.add(spec, now);
/// const RunId run = registry.assign({ spec->id, 0, 0 }, { "agent-1", worker }, now);
/// registry.end(run, RunEndKind::Done, "", now);
/// @endcode
class JobRegistry {
public:
    /// @brief Adds a job without progress.
    /// @param spec the job
    /// @param now current time
    /// @param age time since the job was accepted
    /// @return whether the job was not known yet
    bool add(const JobSpecHandle& spec, TimePoint now, Duration age = {});

    /// @brief Adds a job with its stored progress.
    /// @param spec the job
    /// @param record its progress; tasks beyond those of the job are ignored
    /// @param now current time
    /// @param age time since the job was accepted
    void restore(const JobSpecHandle& spec, const ProgressRecord& record, TimePoint now, Duration age = {});

    /// @brief Cancels a job that has not ended.
    /// @param job the job
    /// @param now current time
    /// @return whether its state changed
    bool cancel(const JobId& job, TimePoint now);

    /// @brief Assigns a task to a worker.
    /// @param task a task that waits for placement
    /// @param assignment agent and worker that run it
    /// @param now current time
    /// @return its new run
    RunId assign(const TaskId& task, const Assignment& assignment, TimePoint now);

    /// @brief Notes that a worker has begun a run.
    ///
    /// This makes the stored progress out of date only if the run is abandoned: while it is assigned, its agent reports it to the
    /// next leader, and whatever ends the assignment is stored.
    /// @param run a run that a worker has listed
    /// @param now current time
    void noteBegun(const RunId& run, TimePoint now);

    /// @brief Processes the end of a run.
    /// @param run the run
    /// @param kind how it ended
    /// @param checkpoint checkpoint to resume from, or empty
    /// @param now current time
    /// @return the consequence
    RunVerdict end(const RunId& run, RunEndKind kind, const std::string& checkpoint, TimePoint now);

    /// @brief Removes the assignment of a run that never started or can no longer act; it does not count as an attempt.
    /// @param run the run
    /// @param notBefore earliest time of its next start
    /// @param now current time
    /// @return whether the run was open
    bool release(const RunId& run, TimePoint notBefore, TimePoint now);

    /// @brief Assigns a run to the incarnation of the worker that runs it, if that is not the one it was sent to.
    /// @param run an open run
    /// @param incarnation the incarnation that runs it
    void moveToIncarnation(const RunId& run, const WorkerIdentity& incarnation);

    /// @param job the job
    /// @return its state, or nullptr if it is not known
    [[nodiscard]] const TrackedJob* find(const JobId& job) const;

    /// @param task the task
    /// @return its state, or nullptr if it is not known
    [[nodiscard]] TaskState* task(const TaskId& task);

    /// @param job a known job
    /// @return its tasks that have an assignment
    [[nodiscard]] std::vector<TaskId> placedTasks(const JobId& job) const;

    /// @param segment a segment of a known job
    /// @return its tasks that have an assignment
    [[nodiscard]] std::vector<TaskId> placedTasksIn(const ProgressSegment& segment) const;

    /// @param run the run
    /// @return the state of its task if this run is the assigned one, else nullptr
    [[nodiscard]] TaskState* openRun(const RunId& run);

    /// @return all jobs
    [[nodiscard]] const std::map<JobId, TrackedJob>& jobs() const noexcept { return this->trackedJobs; }

    /// @return jobs with a task to place in a step that is ready
    [[nodiscard]] const std::set<JobId>& waiting() const noexcept { return this->waitingJobs; }

    /// @param segment a segment of a known job
    /// @return the progress of its tasks as the store should hold it
    [[nodiscard]] ProgressRecord record(const ProgressSegment& segment) const;

    /// @return the number of jobs that have not ended and of which no worker has begun a run, by queue
    [[nodiscard]] PendingCounts pendingCounts() const;

    /// @brief Takes segments whose stored progress is out of date, in the order of their first change since it was stored.
    /// @return the segments, which count as stored from now on
    /// @param most maximum number of segments
    [[nodiscard]] std::vector<ProgressSegment> takeChanged(std::size_t most);

    /// @brief Notes that the progress of a segment was taken but could not be stored.
    /// @param segment a segment of a known job
    void noteNotStored(const ProgressSegment& segment);

    /// @brief Removes jobs that ended long ago and whose progress is stored.
    /// @param before time before which a job must have ended
    /// @param most maximum number of jobs
    /// @return the removed jobs
    [[nodiscard]] std::vector<JobSpecHandle> takeExpired(TimePoint before, std::size_t most);

    /// @return whether any stored progress is out of date
    [[nodiscard]] bool changed() const noexcept { return !this->changedSegments.empty(); }

    /// @return the number of segments whose stored progress is out of date
    [[nodiscard]] std::size_t changedCount() const noexcept { return this->changedSegments.size(); }

    /// @return the number of segments in which a task of a finite job has been assigned since their progress was taken last
    [[nodiscard]] std::size_t unwrittenAssignments() const noexcept { return this->newlyAssigned.size(); }

    /// @param job the job
    /// @return whether it has such a segment
    [[nodiscard]] bool hasUnwrittenAssignment(const JobId& job) const;

private:
    TrackedJob& trackedJob(const JobId& job);
    void finishJob(TrackedJob& job, JobState state, TimePoint now);
    RunVerdict finishTask(TrackedJob& job, TaskState& task, std::size_t step, TimePoint now);
    RunVerdict requeueTask(TrackedJob& job, TaskState& task, bool countsAsAttempt, TimePoint now);
    static void delayLongRunningRestart(TaskState& task, TimePoint now);
    void unassign(TrackedJob& job, TaskState& task, std::size_t step);
    void refresh(TrackedJob& job, TimePoint now);
    void finishIfDecided(TrackedJob& job, TimePoint now);
    void noteStateChange(const JobId& job);
    void noteTaskChange(const TrackedJob& job, const TaskId& task);
    void noteChange(const ProgressSegment& segment);
    [[nodiscard]] std::vector<TaskId> tasksOf(const ProgressSegment& segment) const;

    std::map<JobId, TrackedJob> trackedJobs;
    std::set<JobId> waitingJobs;
    std::set<JobId> pendingJobs;
    /// Segments whose stored progress is out of date, also in the order of their changes, so that none waits while others change
    /// again and again.
    std::set<ProgressSegment> changedSegments;
    std::deque<ProgressSegment> changeOrder;
    std::set<ProgressSegment> newlyAssigned;
};

}
