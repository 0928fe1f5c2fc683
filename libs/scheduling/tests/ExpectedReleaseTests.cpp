#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/ExpectedRelease.h>
#include <cowslipdoor/scheduling/PlaceOutlook.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

StepSpec stepOfSeconds(std::uint32_t count, int seconds)
{
    StepSpec step = stepOf(count, 3500);
    step.estimate = std::chrono::seconds(seconds);
    return step;
}

/// Workers and their runs as the leader knows them.
struct KnownRuns {
    JobRegistry jobRegistry {};
    Workers workers {};
    InterferenceModel interference {};
    PlacementConfig config { .waits = true, .remoteFactor = 3 };

    KnownRuns()
    {
        for (const char* const agent : { "a", "b" })
            this->workers.emplace(agent, workerOf(agent, 7000));
    }

    /// Assigns all tasks of a job with one step to a worker.
    void run(const std::string& job, const StepSpec& step, const std::string& agent)
    {
        this->jobRegistry.add(jobOf(job, { step }), start);
        for (std::uint32_t index = 0; index < step.count; ++index) {
            (void)this->jobRegistry.assign({ { job }, 0, index }, { agent, firstIncarnation }, start);
            this->workers.at(agent).allocate({ { job }, 0, index }, step, firstIncarnation);
        }
    }

    const TrackedJob& waiting(const std::string& job, const StepSpec& step)
    {
        this->jobRegistry.add(jobOf(job, { step }), start);
        return *this->jobRegistry.find({ job });
    }

    [[nodiscard]] OutlookSources sources() const { return { this->workers, this->jobRegistry, this->interference, this->config }; }
};

}

TEST_CASE("expected release: a run is expected to end by its progress, then by its estimate, and to last as long again once it has outlived them", "[place]")
{
    const StepSpec step = stepOfSeconds(1, 2);
    TaskState task;
    task.startedAt = start;
    task.progressedAt = start;
    CHECK(expectedRunEnd(step, task, start + milliseconds(500)) == start + milliseconds(2000));
    CHECK(expectedRunEnd(step, task, start + milliseconds(3000)) == start + milliseconds(6000));
    // Half of its work took 1.5 s, as estimates may be wrong or the run be slowed down.
    task.percent = 50;
    task.progressedAt = start + milliseconds(1500);
    CHECK(expectedRunEnd(step, task, start + milliseconds(1600)) == start + milliseconds(3000));
    CHECK(expectedRunEnd(step, task, start + milliseconds(3400)) == start + milliseconds(5300));
    // A run that resumed at 45 percent has not gained 50 percent in 0.1 s.
    task.progressedAt = start + milliseconds(100);
    task.record.checkpoint = "half";
    CHECK(expectedRunEnd(step, task, start + milliseconds(200)) == start + milliseconds(1100));
    // Neither has one of which a new leader has just learned; estimates are wrong by a factor of 1.9 at most.
    task.record.checkpoint.clear();
    CHECK(expectedRunEnd(step, task, start + milliseconds(200)) > start + milliseconds(600));
}

TEST_CASE("expected release: a best-effort task is expected to have its cores once runs there have ended, in their order", "[place]")
{
    KnownRuns known;
    StepSpec fills = stepOfSeconds(1, 1);
    fills.bestEffort = true;
    known.run("short", fills, "a");
    fills.estimate = std::chrono::seconds(4);
    known.run("long", fills, "a");
    const TrackedWorker& worker = known.workers.at("a");
    const std::vector<TimePoint> releases = expectedReleases(worker, fills, expectedEnds(worker, known.jobRegistry, start), known.interference);
    CHECK(releases == std::vector<TimePoint> { start + std::chrono::seconds(1), start + std::chrono::seconds(4) });
}

TEST_CASE("expected release: beside serving runs without slack, no end of a best-effort run gives a place", "[place]")
{
    KnownRuns known;
    StepSpec serving = stepOf(1, 3000);
    serving.longRunning = true;
    serving.target = milliseconds(50);
    serving.image = "web";
    known.run("serving", serving, "a");
    known.workers.at("a").baselineSlack["web"] = 1;
    StepSpec fills = stepOfSeconds(1, 1);
    fills.bestEffort = true;
    known.run("short", fills, "a");
    const TrackedWorker& worker = known.workers.at("a");
    CHECK(expectedReleases(worker, fills, expectedEnds(worker, known.jobRegistry, start), known.interference).empty());
    // A place may still become available, as the load of serving runs varies.
    known.workers.erase("b");
    const TrackedJob& job = known.waiting("waiting", fills);
    CHECK(PlaceOutlook().better(job, 0, job.spec->steps[0].dataRack, 1, std::chrono::seconds(1), 2, known.sources(), start) == BetterPlace { 1, std::nullopt });
}

TEST_CASE("place outlook: the release of a full rack is expected from its runs; a rack without workers is not awaited", "[place]")
{
    KnownRuns known;
    known.workers.at("a").info->labels = { "r1" };
    known.run("filling", stepOfSeconds(2, 10), "a");
    StepSpec near = stepOfSeconds(1, 1);
    near.dataRack = "r1";
    const TrackedJob& job = known.waiting("waiting", near);
    PlaceOutlook outlook;
    CHECK(outlook.better(job, 0, job.spec->steps[0].dataRack, 1, std::chrono::seconds(1), 3, known.sources(), start) == BetterPlace { 1, std::chrono::seconds(10) });
    // The rack is lost while the task waits.
    known.workers.at("a").link.reset();
    CHECK(outlook.better(job, 0, job.spec->steps[0].dataRack, 1, std::chrono::seconds(1), 3, known.sources(), start + milliseconds(500)) == std::nullopt);
}

TEST_CASE("place outlook: tasks that wait do not all expect the same release", "[place]")
{
    KnownRuns known;
    StepSpec fills = stepOfSeconds(1, 2);
    fills.bestEffort = true;
    known.run("first", fills, "a");
    known.run("second", fills, "a");
    known.workers.erase("b");
    const TrackedJob& job = known.waiting("waiting", fills);
    PlaceOutlook outlook;
    const auto expected = [&]() { return outlook.better(job, 0, job.spec->steps[0].dataRack, 1, std::chrono::seconds(2), 5, known.sources(), start)->release; };
    CHECK(expected() == std::chrono::seconds(2));
    outlook.claim(job, 0, {}, 2);
    CHECK(expected() == std::chrono::seconds(4));
    outlook.claim(job, 0, {}, 3);
    CHECK(expected() == std::chrono::seconds(6));
    outlook.beginPass();
    CHECK(expected() == std::chrono::seconds(2));
}
