#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/ExplainPlacement.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("explain: each step has its worker or its wait, and why others are unfit", "[place]")
{
    Workers workers { { "near", workerOf("near", 8000) }, { "remote", workerOf("remote", 8000) }, { "old", workerOf("old", 8000) } };
    workers.at("near").info->labels = { "r1" };
    workers.at("old").info->draining = true;
    JobRegistry jobRegistry;
    StepSpec filling = stepOf(1, 8000);
    jobRegistry.add(jobOf("filling", { filling }), start);
    (void)jobRegistry.assign({ { "filling" }, 0, 0 }, { "near", firstIncarnation }, start);
    workers.at("near").allocate({ { "filling" }, 0, 0 }, filling, firstIncarnation);
    StepSpec byData = stepOf(1, 1000);
    byData.dataRack = "r1";
    byData.estimate = std::chrono::seconds(2);
    StepSpec tooLarge = stepOf(3, 9000);
    tooLarge.after = { 0 };
    const JobSpec spec = [&]() {
        JobSpec job = *jobOf("new", { byData, stepOf(1, 1000), tooLarge });
        job.dueSlack = std::chrono::seconds(30);
        return job;
    }();
    const InterferenceModel interference;
    const PlacementConfig config { .waits = true, .remoteFactor = 3 };
    const std::vector<StepPlacement> steps = explainPlacement(std::make_shared<const JobSpec>(spec), { workers, jobRegistry, interference, config }, start);
    REQUIRE(steps.size() == 3);
    CHECK(steps[0].agent == "remote");
    CHECK(steps[0].slowdown == 3);
    CHECK(steps[0].better == BetterPlace { 1, std::chrono::seconds(1) });
    CHECK(steps[0].decision == PlaceDecision(WaitUntil { std::chrono::milliseconds(2600) }));
    CHECK(steps[1].agent == "remote");
    CHECK(steps[1].decision == PlaceDecision(PlaceNow { PlaceReason::NoBetterPlace }));
    CHECK(steps[1].fitness == "1 fit, 1 draining, 1 without enough headroom");
    CHECK(steps[2].afterOthers);
    CHECK(steps[2].agent.empty());
    CHECK_FALSE(steps[2].decision);
    CHECK(jobRegistry.jobs().size() == 1);
}
