#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/JobList.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("job list: jobs with work are sorted by objective, then come long-running ones, then ended ones", "[jobs]")
{
    StepSpec longRunningStep = stepOf(1, 100);
    longRunningStep.longRunning = true;
    StepSpec longer = stepOf(1, 100);
    longer.estimate = std::chrono::seconds(9);
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("ended", { stepOf(1, 100) }), start);
    (void)jobRegistry.cancel({ "ended" }, start);
    jobRegistry.add(jobOf("lasting", { longRunningStep }), start);
    jobRegistry.add(jobOf("later", { longer }), start);
    jobRegistry.add(jobOf("sooner", { stepOf(1, 100) }), start);
    std::vector<std::string> order;
    for (const JobSummary& line : listJobs(jobRegistry, start))
        order.push_back(line.job.text);
    CHECK(order == std::vector<std::string> { "sooner", "later", "lasting", "ended" });
}

TEST_CASE("job list: a line shows state, age, objective and progress of the tasks", "[jobs]")
{
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("a", { stepOf(3, 100) }), start);
    const RunId first = jobRegistry.assign({ { "a" }, 0, 0 }, { "agent", firstIncarnation }, start);
    (void)jobRegistry.assign({ { "a" }, 0, 1 }, { "agent", firstIncarnation }, start);
    (void)jobRegistry.end(first, RunEndKind::Done, "", start);
    const std::vector<JobSummary> lines = listJobs(jobRegistry, start + std::chrono::seconds(2));
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].state == JobState::Running);
    CHECK(lines[0].age == std::chrono::seconds(2));
    CHECK(lines[0].untilDue == jobRegistry.find({ "a" })->due - start - std::chrono::seconds(2));
    CHECK(lines[0].tasks == 3);
    CHECK(lines[0].placed == 1);
    CHECK(lines[0].done == 1);
}

TEST_CASE("job list: a long-running or ended job has no objective", "[jobs]")
{
    StepSpec longRunningStep = stepOf(1, 100);
    longRunningStep.longRunning = true;
    JobRegistry jobRegistry;
    jobRegistry.add(jobOf("lasting", { longRunningStep }), start);
    jobRegistry.add(jobOf("ended", { stepOf(1, 100) }), start);
    (void)jobRegistry.cancel({ "ended" }, start);
    for (const JobSummary& line : listJobs(jobRegistry, start))
        CHECK_FALSE(line.untilDue.has_value());
}
