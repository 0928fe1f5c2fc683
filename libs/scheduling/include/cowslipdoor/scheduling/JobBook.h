#pragma once

/// @file
/// @brief Jobs that the leader knows, and how far each task has come.

#include "Rows.h"
#include <cowslipdoor/core/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief What the leader knows of one task.
struct TaskState {
    TaskRecord record {};
    /// Write of the leader that stores the assignment; zero while none has been begun.
    std::uint64_t storedBy = 0;
    /// Whether the order has left for the agent.
    bool ordered = false;
    /// Number of that order; zero for one of an earlier leader.
    std::uint64_t order = 0;
    /// Whether a stop has been ordered.
    bool stopping = false;
    /// Agent on whose worker the task failed last or was stopped to be moved, or empty.
    std::string avoidedAgent {};
    /// Not to be placed before.
    TimePoint notBefore {};
    TimePoint startedAt {};
    /// Runs in a row, as a task that lasts, that failed soon after their start.
    std::uint32_t quickFailures = 0;
    /// When a worker last listed its run, or since when the task has been known.
    TimePoint listedAt {};
    std::uint32_t percent = 0;
    /// When the percent last grew.
    TimePoint progressedAt {};
    /// Since when its pace has been too low to be worth its place.
    std::optional<TimePoint> starvingSince {};
    /// Since when a serving run's tail has been many times over its target.
    std::optional<TimePoint> stalledSince {};

    bool operator==(const TaskState&) const = default;

    /// @return whether the task waits for a place, if its step's turn has come
    [[nodiscard]] bool unplaced() const noexcept { return !this->record.done && !this->record.assignment; }
};

/// @brief What the leader knows of one job.
struct TrackedJob {
    JobSpecHandle spec;
    JobState state = JobState::Queued;
    TimePoint arrived {};
    /// When it ended, if it has.
    TimePoint endedAt {};
    /// Since when the job has had a task to place and none placed.
    TimePoint waitingSince {};
    /// Objective: later the job is worth less.
    TimePoint due {};
    std::vector<std::vector<TaskState>> steps {};
    /// Tasks of each step that are not done.
    std::vector<std::uint32_t> remaining {};
    /// Tasks of all steps that have an assignment.
    std::uint32_t assigned = 0;

    /// @param step number of a step
    /// @return whether all steps before it are done
    [[nodiscard]] bool stepReady(std::size_t step) const;

    /// @return expected time of the longest chain of steps that are not done
    [[nodiscard]] Duration remainingChain() const;

    /// @return whether no task has been started yet
    [[nodiscard]] bool pending() const;
};

/// @param job the job
/// @param now the present
/// @return its queue and priority, its age and the time until it is due, for logs
[[nodiscard]] std::string describeUrgency(const TrackedJob& job, TimePoint now);

/// @brief What the end of a run meant.
enum class RunVerdict : unsigned char {
    /// The run is not one that the book has open.
    Unknown,
    TaskDone,
    /// The task waits for a place again.
    Requeued,
    /// The job has ended by it.
    JobEnded,
};

/// @brief Book of all jobs; the only place that changes their tasks.
/// @code
/// book.add(spec, now);
/// const RunId run = book.assign({ spec->id, 0, 0 }, { "agent-1", worker }, now);
/// book.end(run, RunEndKind::Done, "", now);
/// @endcode
class JobRegistry {
public:
    /// @brief Adds a job that has no progress yet.
    /// @param spec the job
    /// @param now the present
    /// @param age how long ago it was taken in
    /// @return whether it was not known
    bool add(const JobSpecHandle& spec, TimePoint now, Duration age = {});

    /// @brief Adds a job with its stored progress.
    /// @param spec the job
    /// @param record its progress; one that does not fit the job is left out
    /// @param now the present
    /// @param age how long ago it was taken in
    void restore(const JobSpecHandle& spec, const ProgressRecord& record, TimePoint now, Duration age = {});

    /// @brief Cancels a job that has not ended.
    /// @param job the job
    /// @param now the present
    /// @return whether its state changed
    bool cancel(const JobId& job, TimePoint now);

    /// @brief Places a task.
    /// @param task a task that waits for a place
    /// @param place where it goes
    /// @param now the present
    /// @return its new run
    RunId assign(const TaskId& task, const Assignment& place, TimePoint now);

    /// @brief Takes in the end of a run.
    /// @param run the run
    /// @param kind how it ended
    /// @param checkpoint where it may resume, or empty
    /// @param now the present
    /// @return what it meant
    RunVerdict end(const RunId& run, RunEndKind kind, const std::string& checkpoint, TimePoint now);

    /// @brief Takes in that a run never began or can no longer act; it does not count as an attempt.
    /// @param run the run
    /// @param notBefore earliest time of its next start
    /// @param now the present
    /// @return whether the book had it open
    bool release(const RunId& run, TimePoint notBefore, TimePoint now);

    /// @brief Notes that another life of the worker runs a run than the one that it was sent to.
    /// @param run an open run
    /// @param incarnation the life that runs it
    void moveToIncarnation(const RunId& run, const WorkerIdentity& incarnation);

    /// @param job the job
    /// @return its entry, or nothing
    [[nodiscard]] const TrackedJob* find(const JobId& job) const;

    /// @param task the task
    /// @return its state, or nothing
    [[nodiscard]] TaskState* task(const TaskId& task);

    /// @param job a known job
    /// @return its tasks that have a place
    [[nodiscard]] std::vector<TaskId> placedTasks(const JobId& job) const;

    /// @param run the run
    /// @return the state of its task if the book has just this run open, else nothing
    [[nodiscard]] TaskState* openRun(const RunId& run);

    /// @return all jobs
    [[nodiscard]] const std::map<JobId, TrackedJob>& jobs() const noexcept { return this->trackedJobs; }

    /// @return jobs that have a task to place, if its step's turn has come
    [[nodiscard]] const std::set<JobId>& waiting() const noexcept { return this->waitingJobs; }

    /// @param job a known job
    /// @return what the store should hold of it
    [[nodiscard]] ProgressRecord record(const JobId& job) const;

    /// @return the number of jobs without a start, by queue
    [[nodiscard]] PendingCounts pendingCounts() const;

    /// @brief Gives the jobs whose stored progress is behind, in the order of their identifiers.
    /// @return the jobs; they count as stored from now on
    /// @param most how many at most
    [[nodiscard]] std::vector<JobId> takeChanged(std::size_t most);

    /// @brief Forgets jobs that ended long ago and whose progress is stored.
    /// @param before those that ended before this time
    /// @param most how many at most
    /// @return the jobs
    [[nodiscard]] std::vector<JobId> takeExpired(TimePoint before, std::size_t most);

    /// @return whether a job's stored progress is behind
    [[nodiscard]] bool changed() const noexcept { return !this->changedJobs.empty(); }

private:
    TrackedJob& trackedJob(const JobId& job);
    void finishJob(TrackedJob& job, JobState state, TimePoint now);
    RunVerdict finishTask(TrackedJob& job, TaskState& task, std::size_t step, TimePoint now);
    RunVerdict requeueTask(TrackedJob& job, TaskState& task, bool countsAsAttempt, TimePoint now);
    static void delayLongRunningRestart(TaskState& task, TimePoint now);
    void unassign(TrackedJob& job, TaskState& task);
    void refresh(TrackedJob& job, TimePoint now);

    std::map<JobId, TrackedJob> trackedJobs;
    std::set<JobId> waitingJobs;
    std::set<JobId> changedJobs;
};

}
