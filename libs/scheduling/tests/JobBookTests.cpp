#include "Values.h"
#include <catch2/catch.hpp>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

const Assignment place { "agent", firstLife };

TaskId taskOf(const std::string& job, std::uint32_t step, std::uint32_t index)
{
    return { { job }, step, index };
}

}

TEST_CASE("job registry: steps wait for the steps before them", "[jobs]")
{
    StepSpec second = stepOf(1, 100);
    second.after = { 0 };
    JobBook book;
    REQUIRE(book.add(jobOf("a", { stepOf(2, 100), second }), start));
    CHECK_FALSE(book.add(jobOf("a", { stepOf(9, 100) }), start));
    const JobEntry& job = *book.find({ "a" });
    CHECK_FALSE(job.stepReady(1));
    CHECK(book.end(book.assign(taskOf("a", 0, 0), place, start), RunEndKind::Done, "", start) == RunVerdict::TaskDone);
    CHECK_FALSE(job.stepReady(1));
    CHECK(book.end(book.assign(taskOf("a", 0, 1), place, start), RunEndKind::Done, "", start) == RunVerdict::TaskDone);
    CHECK(job.stepReady(1));
    CHECK(book.end(book.assign(taskOf("a", 1, 0), place, start), RunEndKind::Done, "", start) == RunVerdict::JobEnded);
    CHECK(job.state == JobState::Done);
    CHECK(book.record({ "a" }).tasks.empty());
}

TEST_CASE("job registry: only failed runs count as attempts, each once, also when reported late", "[jobs]")
{
    JobBook book;
    book.add(jobOf("a", { stepOf(1, 100) }), start);
    const TaskId task = taskOf("a", 0, 0);
    const RunId first = book.assign(task, place, start);
    CHECK(book.end(first, RunEndKind::LeaseExpired, "", start) == RunVerdict::Requeued);
    const RunId second = book.assign(task, place, start);
    CHECK(book.release(second, start, start));
    const RunId third = book.assign(task, place, start);
    // The released run is reported as failed later; a repeated report changes nothing.
    CHECK(book.end(second, RunEndKind::Failed, "", start) == RunVerdict::Requeued);
    CHECK(book.end(second, RunEndKind::Failed, "", start) == RunVerdict::Unknown);
    CHECK(book.openRun(third) != nullptr);
    CHECK(book.end(third, RunEndKind::Failed, "", start) == RunVerdict::JobEnded);
    CHECK(book.find({ "a" })->state == JobState::Failed);
}

TEST_CASE("job registry: a task is done when a released run of it completes", "[jobs]")
{
    JobBook book;
    book.add(jobOf("a", { stepOf(2, 100) }), start);
    const TaskId task = taskOf("a", 0, 0);
    const RunId first = book.assign(task, place, start);
    book.release(first, start, start);
    const RunId second = book.assign(task, place, start);
    CHECK(book.end(first, RunEndKind::Done, "", start) == RunVerdict::TaskDone);
    CHECK(book.task(task)->record.done);
    CHECK(book.openRun(second) != nullptr);
    CHECK(book.end(second, RunEndKind::Stopped, "", start) == RunVerdict::TaskDone);
    CHECK(book.openRun(second) == nullptr);
    CHECK(book.find({ "a" })->remaining[0] == 1);
}

TEST_CASE("job registry: a long-running task is placed again however it ends, until its job is cancelled", "[jobs]")
{
    StepSpec step = stepOf(1, 100);
    step.longRunning = true;
    JobBook book;
    book.add(jobOf("a", { step }), start);
    const TaskId task = taskOf("a", 0, 0);
    for (const RunEndKind kind : { RunEndKind::Done, RunEndKind::Failed, RunEndKind::Failed, RunEndKind::Failed, RunEndKind::LeaseExpired })
        CHECK(book.end(book.assign(task, place, start), kind, "", start) == RunVerdict::Requeued);
    CHECK(book.waiting().size() == 1);
    CHECK(book.cancel({ "a" }, start));
    CHECK_FALSE(book.cancel({ "a" }, start));
    CHECK(book.waiting().empty());
}

TEST_CASE("job registry: a long-running task whose runs fail at once is restarted with a bounded backoff", "[jobs]")
{
    StepSpec step = stepOf(1, 100);
    step.longRunning = true;
    JobBook book;
    book.add(jobOf("a", { step }), start);
    const TaskId task = taskOf("a", 0, 0);
    const auto pauseAfter = [&book, &task](Duration length) {
        const RunId run = book.assign(task, place, start);
        book.end(run, RunEndKind::Failed, "", start + length);
        return book.task(task)->notBefore - (start + length);
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
    JobBook book;
    book.add(spec, start);
    book.end(book.assign(taskOf("a", 0, 0), place, start), RunEndKind::Done, "", start);
    book.end(book.assign(taskOf("a", 0, 1), place, start), RunEndKind::Failed, "saved", start);
    book.assign(taskOf("a", 0, 2), place, start);
    const std::optional<ProgressRecord> stored = parseProgressRecord(print(book.record({ "a" })));
    REQUIRE(stored);
    JobBook next;
    next.restore(spec, *stored, start);
    CHECK(next.record({ "a" }) == book.record({ "a" }));
    CHECK(next.find({ "a" })->assigned == 1);
    CHECK(next.task(taskOf("a", 0, 1))->record.checkpoint == "saved");
    CHECK(next.task(taskOf("a", 0, 2))->ordered);
    CHECK(next.waiting().size() == 1);
}

TEST_CASE("job registry: pending counts jobs without a start", "[jobs]")
{
    JobBook book;
    book.add(jobOf("a", { stepOf(1, 100) }), start);
    book.add(jobOf("b", { stepOf(1, 100) }), start);
    CHECK(book.pendingCounts() == PendingCounts { { "queue", 2 } });
    book.release(book.assign(taskOf("a", 0, 0), place, start), start, start);
    CHECK(book.pendingCounts() == PendingCounts { { "queue", 1 } });
}
