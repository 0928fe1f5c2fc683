#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/Racks.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

/// Four workers in two racks of one failure domain; each worker also has a label of its own, and one has an accelerator.
Workers fourWorkers()
{
    Workers workers;
    for (int number = 0; number < 4; ++number) {
        const std::string agent = "a" + std::to_string(number);
        workers.emplace(agent, workerOf(agent, 8000));
        workers.at(agent).info->labels = { "host" + std::to_string(number), "r1-" + std::to_string(number / 2), "r1" };
    }
    workers.at("a3").info->labels.push_back("gpu2");
    return workers;
}

}

TEST_CASE("racks: of all labels, those that divide the workers into the smallest places of several workers name racks", "[place]")
{
    Workers workers = fourWorkers();
    CHECK(racksOf(workers, "service") == RacksByAgent { { "a0", "r1-0" }, { "a1", "r1-0" }, { "a2", "r1-1" }, { "a3", "r1-1" } });
    CHECK(racksOf(workers, "other").empty());
    // A worker without such a label belongs to no rack, so that the labels do not tell.
    workers.at("a2").info->labels = { "host2" };
    CHECK(racksOf(workers, "service").empty());
}

TEST_CASE("racks: the rack is chosen on which the last task of a step has a place first, and none that cannot hold all", "[place]")
{
    Workers workers = fourWorkers();
    JobRegistry jobRegistry;
    const auto run = [&workers, &jobRegistry](const std::string& id, const std::string& agent, std::uint32_t milliCores, Duration estimate) {
        StepSpec step = stepOf(1, milliCores);
        step.estimate = estimate;
        jobRegistry.add(jobOf(id, { step }), start);
        (void)jobRegistry.assign({ { id }, 0, 0 }, { agent, firstIncarnation }, start);
        workers.at(agent).allocate({ { id }, 0, 0 }, step, firstIncarnation);
    };
    run("long", "a0", 8000, std::chrono::seconds(9));
    run("short", "a2", 4000, std::chrono::seconds(1));
    const auto rackFor = [&workers, &jobRegistry](std::uint32_t count) {
        const StepSpec step = stepOf(count, 4000);
        const std::string id = "step" + std::to_string(count);
        jobRegistry.add(jobOf(id, { step }), start);
        return firstRackFor(rackPlaces(*jobRegistry.find({ id }), 0, racksOf(workers, "service"), workers, jobRegistry, InterferenceModel(), start), count);
    };
    CHECK(rackFor(2) == "r1-1");
    CHECK(rackFor(4) == "r1-1");
    CHECK(rackFor(5) == std::nullopt);
    // Both racks have two places now; the other one gets the third in a second.
    run("more", "a3", 4000, std::chrono::seconds(5));
    CHECK(rackFor(3) == "r1-1");
    workers.at("a2").info->draining = true;
    CHECK(rackFor(3) == "r1-0");
}
