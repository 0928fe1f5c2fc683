#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/JobList.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("job list: jobs with work come by their objectives, then lasting ones, then ended ones", "[jobs]")
{
    StepSpec lasting = stepOf(1, 100);
    lasting.longRunning = true;
    StepSpec longer = stepOf(1, 100);
    longer.estimate = std::chrono::seconds(9);
    JobBook book;
    book.add(jobOf("ended", { stepOf(1, 100) }), start);
    (void)book.cancel({ "ended" }, start);
    book.add(jobOf("lasting", { lasting }), start);
    book.add(jobOf("later", { longer }), start);
    book.add(jobOf("sooner", { stepOf(1, 100) }), start);
    std::vector<std::string> order;
    for (const JobSummary& line : listJobs(book, start))
        order.push_back(line.job.text);
    CHECK(order == std::vector<std::string> { "sooner", "later", "lasting", "ended" });
}

TEST_CASE("job list: a line tells state, age, objective and how far the tasks have come", "[jobs]")
{
    JobBook book;
    book.add(jobOf("a", { stepOf(3, 100) }), start);
    const RunId first = book.assign({ { "a" }, 0, 0 }, { "agent", firstLife }, start);
    (void)book.assign({ { "a" }, 0, 1 }, { "agent", firstLife }, start);
    (void)book.end(first, RunEndKind::Done, "", start);
    const std::vector<JobSummary> lines = listJobs(book, start + std::chrono::seconds(2));
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].state == JobState::Running);
    CHECK(lines[0].age == std::chrono::seconds(2));
    CHECK(lines[0].untilDue == book.find({ "a" })->due - start - std::chrono::seconds(2));
    CHECK(lines[0].tasks == 3);
    CHECK(lines[0].placed == 1);
    CHECK(lines[0].done == 1);
}

TEST_CASE("job list: a job that lasts or has ended has no objective", "[jobs]")
{
    StepSpec lasting = stepOf(1, 100);
    lasting.longRunning = true;
    JobBook book;
    book.add(jobOf("lasting", { lasting }), start);
    book.add(jobOf("ended", { stepOf(1, 100) }), start);
    (void)book.cancel({ "ended" }, start);
    for (const JobSummary& line : listJobs(book, start))
        CHECK_FALSE(line.untilDue.has_value());
}
