#include "Values.h"
#include <catch2/catch.hpp>
#include <ctime>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

const Assignment place { "agent", firstIncarnation };

TaskId taskOf(const std::string& job, std::uint32_t step, std::uint32_t index)
{
    return { { job }, step, index };
}

/// Returns the processor time in seconds that assigning and ending each task of a job takes, for each task.
double timePerTask(std::uint32_t steps)
{
    constexpr std::uint32_t tasksPerStep = 1000;
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", std::vector<StepSpec>(steps, stepOf(tasksPerStep, 1))), start);
    std::vector<RunId> runs;
    const std::clock_t begin = std::clock();
    for (std::uint32_t step = 0; step < steps; ++step) {
        for (std::uint32_t index = 0; index < tasksPerStep; ++index)
            runs.push_back(jobRegistry.assign(taskOf("a", step, index), place, start));
    }
    for (const RunId& run : runs)
        jobRegistry.end(run, RunEndKind::Done, "", start);
    CHECK(jobRegistry.find({ "a" })->state == JobState::Done);
    return static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC / runs.size();
}

}

TEST_CASE("job registry: steps wait for the steps before them", "[jobs]")
{
    StepSpec second = stepOf(1, 100);
    second.after = { 0 };
    JobRegistry jobRegistry;
    REQUIRE(jobRegistry.add(jobOf("a", { stepOf(2, 100), second }), start));
    CHECK_FALSE(jobRegistry.add(jobOf("a", { stepOf(9, 100) }), start));
    const TrackedJob& job = *jobRegistry.find({ "a" });
    CHECK_FALSE(job.stepReady(1));
    CHECK(jobRegistry.end(jobRegistry.assign(taskOf("a", 0, 0), place, start), RunEndKind::Done, "", start) == RunVerdict::TaskDone);
    CHECK_FALSE(job.stepReady(1));
    CHECK(jobRegistry.end(jobRegistry.assign(taskOf("a", 0, 1), place, start), RunEndKind::Done, "", start) == RunVerdict::TaskDone);
    CHECK(job.stepReady(1));
    CHECK(jobRegistry.end(jobRegistry.assign(taskOf("a", 1, 0), place, start), RunEndKind::Done, "", start) == RunVerdict::JobEnded);
    CHECK(job.state == JobState::Done);
    CHECK(jobRegistry.record({ { "a" }, 0 }).tasks.empty());
}

TEST_CASE("job registry: only failed runs count as attempts, each once, also when reported late", "[jobs]")
{
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", { stepOf(1, 100) }), start);
    const TaskId task = taskOf("a", 0, 0);
    const RunId first = jobRegistry.assign(task, place, start);
    CHECK(jobRegistry.end(first, RunEndKind::LeaseExpired, "", start) == RunVerdict::Requeued);
    const RunId second = jobRegistry.assign(task, place, start);
    CHECK(jobRegistry.release(second, start, start));
    const RunId third = jobRegistry.assign(task, place, start);
    // The released run is reported as failed later; a repeated report changes nothing.
    CHECK(jobRegistry.end(second, RunEndKind::Failed, "", start) == RunVerdict::Requeued);
    CHECK(jobRegistry.end(second, RunEndKind::Failed, "", start) == RunVerdict::Unknown);
    CHECK(jobRegistry.openRun(third) != nullptr);
    CHECK(jobRegistry.end(third, RunEndKind::Failed, "", start) == RunVerdict::JobEnded);
    CHECK(jobRegistry.find({ "a" })->state == JobState::Failed);
}

TEST_CASE("job registry: a task is done when a released run of it completes", "[jobs]")
{
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", { stepOf(2, 100) }), start);
    const TaskId task = taskOf("a", 0, 0);
    const RunId first = jobRegistry.assign(task, place, start);
    jobRegistry.release(first, start, start);
    const RunId second = jobRegistry.assign(task, place, start);
    CHECK(jobRegistry.end(first, RunEndKind::Done, "", start) == RunVerdict::TaskDone);
    CHECK(jobRegistry.task(task)->record.done);
    CHECK(jobRegistry.openRun(second) != nullptr);
    CHECK(jobRegistry.end(second, RunEndKind::Stopped, "", start) == RunVerdict::TaskDone);
    CHECK(jobRegistry.openRun(second) == nullptr);
    CHECK(jobRegistry.find({ "a" })->remaining[0] == 1);
}

TEST_CASE("job registry: a long-running task is placed again however it ends, until its job is cancelled", "[jobs]")
{
    StepSpec step = stepOf(1, 100);
    step.longRunning = true;
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", { step }), start);
    const TaskId task = taskOf("a", 0, 0);
    for (const RunEndKind kind : { RunEndKind::Done, RunEndKind::Failed, RunEndKind::Failed, RunEndKind::Failed, RunEndKind::LeaseExpired })
        CHECK(jobRegistry.end(jobRegistry.assign(task, place, start), kind, "", start) == RunVerdict::Requeued);
    CHECK(jobRegistry.waiting().size() == 1);
    CHECK(jobRegistry.cancel({ "a" }, start));
    CHECK_FALSE(jobRegistry.cancel({ "a" }, start));
    CHECK(jobRegistry.waiting().empty());
}

TEST_CASE("job registry: a long-running task whose runs fail at once is restarted with a bounded backoff", "[jobs]")
{
    StepSpec step = stepOf(1, 100);
    step.longRunning = true;
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", { step }), start);
    const TaskId task = taskOf("a", 0, 0);
    const auto pauseAfter = [&jobRegistry, &task](Duration length) {
        const RunId run = jobRegistry.assign(task, place, start);
        jobRegistry.end(run, RunEndKind::Failed, "", start + length);
        return jobRegistry.task(task)->notBefore - (start + length);
    };
    using std::chrono::milliseconds;
    for (const int pause : { 200, 400, 800, 1000, 1000 })
        CHECK(pauseAfter(milliseconds(100)) == milliseconds(pause));
    CHECK(pauseAfter(std::chrono::seconds(5)) == milliseconds(200));
    CHECK(pauseAfter(milliseconds(100)) == milliseconds(200));
}

TEST_CASE("job registry: a job is restored from its stored progress", "[jobs]")
{
    const JobSpecHandle spec = jobOf("a", { stepOf(3, 100) });
    JobRegistry jobRegistry;
    jobRegistry.add(spec, start);
    jobRegistry.end(jobRegistry.assign(taskOf("a", 0, 0), place, start), RunEndKind::Done, "", start);
    jobRegistry.end(jobRegistry.assign(taskOf("a", 0, 1), place, start), RunEndKind::Failed, "saved", start);
    jobRegistry.assign(taskOf("a", 0, 2), place, start);
    const std::optional<ProgressRecord> stored = parseProgressRecord(print(jobRegistry.record({ { "a" }, 0 })));
    REQUIRE(stored);
    JobRegistry next;
    next.restore(spec, *stored, start);
    CHECK(next.record({ { "a" }, 0 }) == jobRegistry.record({ { "a" }, 0 }));
    CHECK(next.find({ "a" })->assigned == 1);
    CHECK(next.task(taskOf("a", 0, 1))->record.checkpoint == "saved");
    CHECK(next.task(taskOf("a", 0, 2))->ordered);
    CHECK(next.waiting().size() == 1);
}

TEST_CASE("job registry: pending counts jobs of which no worker has begun a run", "[jobs]")
{
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", { stepOf(1, 100) }), start);
    jobRegistry.add(jobOf("b", { stepOf(1, 100) }), start);
    CHECK(jobRegistry.pendingCounts() == PendingCounts { { "queue", 2 } });
    const RunId abandoned = jobRegistry.assign(taskOf("a", 0, 0), place, start);
    CHECK(jobRegistry.pendingCounts() == PendingCounts { { "queue", 2 } });
    jobRegistry.release(abandoned, start, start);
    CHECK(jobRegistry.pendingCounts() == PendingCounts { { "queue", 2 } });
    // A worker lists the abandoned run after all.
    jobRegistry.noteBegun(abandoned, start);
    CHECK(jobRegistry.pendingCounts() == PendingCounts { { "queue", 1 } });
    CHECK(jobRegistry.end(jobRegistry.assign(taskOf("b", 0, 0), place, start), RunEndKind::Stopped, "", start) == RunVerdict::Requeued);
    CHECK(jobRegistry.pendingCounts().empty());
    jobRegistry.add(jobOf("c", { stepOf(1, 100) }), start);
    jobRegistry.cancel({ "c" }, start);
    CHECK(jobRegistry.pendingCounts().empty());
}

TEST_CASE("job registry: a new leader counts a job as begun if its row or a report says so", "[jobs]")
{
    const JobSpecHandle spec = jobOf("a", { stepOf(2, 100) });
    JobRegistry jobRegistry;
    jobRegistry.add(spec, start);
    const RunId run = jobRegistry.assign(taskOf("a", 0, 0), place, start);
    const auto next = [&jobRegistry, &spec]() {
        JobRegistry restored;
        restored.restore(spec, *parseProgressRecord(print(jobRegistry.record({ { "a" }, 0 }))), start);
        return restored;
    };
    JobRegistry beforeListing = next();
    CHECK(beforeListing.pendingCounts() == PendingCounts { { "queue", 1 } });
    beforeListing.noteBegun(run, start);
    CHECK(beforeListing.pendingCounts().empty());
    jobRegistry.noteBegun(run, start);
    jobRegistry.release(run, start, start);
    CHECK(next().pendingCounts().empty());
    // Once an abandoned run has ended, only the row can tell the next leader that it had begun.
    JobRegistry abandoning;
    abandoning.add(spec, start);
    abandoning.release(abandoning.assign(taskOf("a", 0, 0), place, start), start, start);
    static_cast<void>(abandoning.takeChanged(1));
    CHECK(abandoning.end(run, RunEndKind::Stopped, "", start) == RunVerdict::Unknown);
    CHECK(abandoning.takeChanged(1) == std::vector<ProgressSegment> { { spec->id, 0 } });
    CHECK(abandoning.record({ { "a" }, 0 }).begun);
    // Rows of earlier versions tell it by their tasks only.
    for (const TaskRecord& task : { TaskRecord { true, 1, {}, std::nullopt, "" }, TaskRecord { false, 1, { 1 }, std::nullopt, "" } }) {
        JobRegistry restored;
        restored.restore(spec, { JobState::Running, { task } }, start);
        CHECK(restored.pendingCounts().empty());
    }
}

TEST_CASE("job registry: a job that changed first is written first, however often others change", "[jobs]")
{
    JobRegistry jobRegistry;
    for (const char* const id : { "a", "b", "z" })
        jobRegistry.add(jobOf(id, { stepOf(50, 100) }), start);
    static_cast<void>(jobRegistry.assign(taskOf("z", 0, 0), place, start));
    for (std::uint32_t index = 0; index < 10; ++index) {
        static_cast<void>(jobRegistry.assign(taskOf("a", 0, index), place, start));
        static_cast<void>(jobRegistry.assign(taskOf("b", 0, index), place, start));
        const std::vector<ProgressSegment> taken = jobRegistry.takeChanged(1);
        REQUIRE(taken.size() == 1);
        CHECK(taken.front().job == JobId { index == 0 ? "z" : index % 2 == 1 ? "a"
                                                                             : "b" });
    }
    CHECK(jobRegistry.takeChanged(5).size() == 1);
    CHECK_FALSE(jobRegistry.changed());
}

TEST_CASE("job registry: a change is written with its segment, and the state of the job with the first one", "[jobs]")
{
    const JobSpecHandle spec = jobOf("a", { stepOf(tasksPerSegment, 100), stepOf(3 * tasksPerSegment, 100) });
    JobRegistry jobRegistry;
    jobRegistry.add(spec, start);
    const RunId run = jobRegistry.assign(taskOf("a", 1, tasksPerSegment + 5), place, start);
    CHECK(jobRegistry.takeChanged(10) == std::vector<ProgressSegment> { { spec->id, 0 }, { spec->id, 2 } });
    CHECK(jobRegistry.record({ spec->id, 0 }).state == JobState::Running);
    CHECK(jobRegistry.record({ spec->id, 2 }).tasks.size() == tasksPerSegment);
    CHECK(jobRegistry.record({ spec->id, 2 }).tasks.at(5).assignment == place);
    CHECK(jobRegistry.placedTasksIn({ spec->id, 2 }) == std::vector<TaskId> { run.task });
    CHECK(jobRegistry.placedTasksIn({ spec->id, 1 }).empty());
    // An abandoned run of which only this leader knows that it had begun changes the first segment, too.
    jobRegistry.noteBegun(run, start);
    jobRegistry.release(run, start, start);
    CHECK(jobRegistry.takeChanged(10) == std::vector<ProgressSegment> { { spec->id, 2 }, { spec->id, 0 } });
    jobRegistry.noteNotStored({ spec->id, 2 });
    CHECK(jobRegistry.takeChanged(10) == std::vector<ProgressSegment> { { spec->id, 2 } });
    CHECK_FALSE(jobRegistry.changed());
}

TEST_CASE("job registry: a restored job ends where its last end was stored and its state was not", "[jobs]")
{
    const JobSpecHandle spec = jobOf("a", { stepOf(2, 100) });
    const TaskRecord done { true, 1, {}, std::nullopt, "" };
    JobRegistry jobRegistry;
    jobRegistry.restore(spec, { JobState::Running, { done, done }, true }, start);
    CHECK(jobRegistry.find(spec->id)->state == JobState::Done);
    CHECK(jobRegistry.changed());
    JobRegistry failing;
    failing.restore(spec, { JobState::Running, { done, { false, 2, { 1, 2 }, std::nullopt, "" } }, true }, start);
    CHECK(failing.find(spec->id)->state == JobState::Failed);
    // A run that was abandoned may fail after its successor is done.
    JobRegistry failedLate;
    failedLate.restore(spec, { JobState::Running, { { true, 2, { 1, 2 }, std::nullopt, "" }, {} }, true }, start);
    CHECK(failedLate.find(spec->id)->state == JobState::Running);
    JobRegistry going;
    going.restore(spec, { JobState::Running, { done, { false, 1, { 1 }, std::nullopt, "" } }, true }, start);
    CHECK(going.find(spec->id)->state == JobState::Running);
    CHECK_FALSE(going.changed());
}

// Guards against a pass over a large job that blocks the leader beyond its lease.
TEST_CASE("job registry: the time for a task does not grow with the tasks of its job", "[jobs]")
{
    const double small = std::min({ timePerTask(2), timePerTask(2), timePerTask(2) });
    CHECK(timePerTask(32) < 6 * small);
}

TEST_CASE("job registry: a job waits exactly while a task of a ready step is neither done nor assigned", "[jobs]")
{
    StepSpec second = stepOf(1, 100);
    second.after = { 0 };
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", { stepOf(2, 100), second }), start);
    const auto waits = [&jobRegistry]() { return jobRegistry.waiting().contains({ "a" }); };
    CHECK(waits());
    const RunId abandoned = jobRegistry.assign(taskOf("a", 0, 0), place, start);
    const RunId other = jobRegistry.assign(taskOf("a", 0, 1), place, start);
    CHECK_FALSE(waits());
    jobRegistry.release(abandoned, start, start);
    CHECK(waits());
    const RunId successor = jobRegistry.assign(taskOf("a", 0, 0), place, start);
    CHECK_FALSE(waits());
    // The task is done by its abandoned run, and the end of its successor does not make it wait again.
    jobRegistry.end(abandoned, RunEndKind::Done, "", start);
    jobRegistry.end(successor, RunEndKind::Stopped, "", start);
    CHECK_FALSE(waits());
    jobRegistry.end(other, RunEndKind::Failed, "", start);
    CHECK(waits());
    jobRegistry.end(jobRegistry.assign(taskOf("a", 0, 1), place, start), RunEndKind::Done, "", start);
    CHECK(waits());
    JobRegistry restored;
    restored.restore(jobRegistry.find({ "a" })->spec, jobRegistry.record({ { "a" }, 0 }), start);
    CHECK(restored.find({ "a" })->unplaced == std::vector<std::uint32_t> { 0, 1 });
    CHECK(restored.waiting().size() == 1);
}
