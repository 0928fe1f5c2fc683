#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/Placement.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

/// Puts a lasting task of some cores on a worker.
void addServing(WorkerEntry& worker, std::uint32_t milliCores)
{
    StepSpec step = stepOf(1, milliCores);
    step.longRunning = true;
    step.target = milliseconds(50);
    worker.take({ { "serving" }, 0, static_cast<std::uint32_t>(worker.tasks.size()) }, step, firstLife);
}

/// A model that has learnt that "noisy" presses and "calm" does not.
PressureModel learntPressures()
{
    PressureModel model;
    for (int round = 0; round < 60; ++round) {
        model.observe(1.5, { { "noisy", 1.0 } });
        model.observe(0.45, { { "calm", 1.0 } });
    }
    return model;
}

JobEntry entryOf(const JobSpecHandle& spec)
{
    JobBook book;
    book.add(spec, start);
    return *book.find(spec->id);
}

std::string chosen(const JobEntry& job, const Workers& workers, const PressureModel& pressures, TimePoint now = start)
{
    const WorkerEntry* const worker = chooseWorker(job, 0, {}, workers, pressures, now);
    return worker ? worker->agent : "";
}

JobEntry fillingJob(const std::string& image)
{
    StepSpec step = stepOf(4, 2000);
    step.fills = true;
    step.image = image;
    return entryOf(jobOf("filling", { step }));
}

}

TEST_CASE("placement: at a crest, priority comes first, then what is due first, and hopeless work last", "[jobs]")
{
    JobBook book;
    JobSpec urgent = *jobOf("urgent", { stepOf(1, 100) });
    urgent.priority = 0;
    JobSpec batch = *jobOf("batch", { stepOf(1, 100) });
    batch.priority = 2;
    JobSpec later = *jobOf("later", { stepOf(1, 100) });
    later.slack = std::chrono::seconds(30);
    JobSpec hopeless = *jobOf("hopeless", { stepOf(1, 100) });
    book.add(std::make_shared<const JobSpec>(hopeless), start - std::chrono::seconds(60));
    for (const JobSpec& spec : { batch, later, urgent })
        book.add(std::make_shared<const JobSpec>(spec), start);
    std::vector<std::string> order;
    for (const JobEntry* const job : placementOrder(book.waiting(), book, start))
        order.push_back(job->spec->id.text);
    CHECK(order == std::vector<std::string> { "urgent", "later", "batch", "hopeless" });
}

TEST_CASE("placement: short and lasting tasks fill one worker before the next, so that wide holes stay", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) } };
    addServing(workers.at("b"), 4000);
    CHECK(chosen(entryOf(jobOf("short", { stepOf(1, 500) })), workers, PressureModel()) == "b");
    CHECK(chosen(entryOf(jobOf("wide", { stepOf(1, 14000) })), workers, PressureModel()) == "a");
    CHECK(chosen(entryOf(jobOf("too-wide", { stepOf(1, 17000) })), workers, PressureModel()).empty());
}

TEST_CASE("placement: labels, limits for one worker and unusable workers are heeded", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) } };
    workers.at("b").info->labels = { "gpu" };
    StepSpec labelled = stepOf(1, 500);
    labelled.requiredLabel = "gpu";
    CHECK(chosen(entryOf(jobOf("x", { labelled })), workers, PressureModel()) == "b");
    workers.at("b").info->draining = true;
    CHECK(chosen(entryOf(jobOf("x", { labelled })), workers, PressureModel()).empty());
    StepSpec apart = stepOf(2, 500);
    apart.maximumPerWorker = 1;
    const JobEntry job = entryOf(jobOf("y", { apart }));
    workers.at("a").take({ { "y" }, 0, 0 }, apart, firstLife);
    CHECK(chosen(job, workers, PressureModel()).empty());
    workers.at("b").info->draining = false;
    CHECK(chosen(job, workers, PressureModel()) == "b");
    workers.at("b").excludedUntil = start + milliseconds(1);
    CHECK(chosen(job, workers, PressureModel()).empty());
    CHECK(chosen(job, workers, PressureModel(), start + milliseconds(1)) == "b");
}

TEST_CASE("placement: in a burst, filling tasks go where nothing serves; then harmless ones beside serving tasks while pressing ones wait", "[jobs]")
{
    const PressureModel pressures = learntPressures();
    Workers workers { { "free", workerOf("free", 16000) }, { "serving", workerOf("serving", 16000) } };
    addServing(workers.at("serving"), 12000);
    CHECK(chosen(fillingJob("noisy"), workers, pressures) == "free");
    CHECK(chosen(fillingJob("calm"), workers, pressures) == "free");
    for (std::uint32_t index = 0; index < 8; ++index)
        workers.at("free").take({ { "other" }, 0, index }, fillingJob("calm").spec->steps[0], firstLife);
    CHECK(chosen(fillingJob("calm"), workers, pressures) == "serving");
    CHECK(chosen(fillingJob("noisy"), workers, pressures).empty());
}

TEST_CASE("placement: a pressing task waits when only serving workers are left, but not for more than a second", "[jobs]")
{
    const PressureModel pressures = learntPressures();
    Workers workers { { "serving", workerOf("serving", 16000) } };
    addServing(workers.at("serving"), 12000);
    const JobEntry job = fillingJob("noisy");
    CHECK(chosen(job, workers, pressures).empty());
    CHECK(chosen(job, workers, pressures, start + milliseconds(1001)) == "serving");
    workers.at("serving").headroom = 1.0;
    CHECK(chosen(job, workers, pressures) == "serving");
}

TEST_CASE("placement: filling tasks wait for a core each, so that a burst ends one after another", "[jobs]")
{
    Workers workers { { "free", workerOf("free", 4000) } };
    const JobEntry job = fillingJob("calm");
    for (std::uint32_t index = 0; index < 2; ++index) {
        CHECK(chosen(job, workers, learntPressures()) == "free");
        workers.at("free").take({ { "other" }, 0, index }, job.spec->steps[0], firstLife);
    }
    CHECK(chosen(job, workers, learntPressures()).empty());
}

TEST_CASE("placement: a task avoids the worker on which it failed, unless there is no other", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) } };
    const JobEntry job = entryOf(jobOf("x", { stepOf(1, 500) }));
    TaskState failed;
    failed.failedOn = "a";
    CHECK(chooseWorker(job, 0, failed, workers, PressureModel(), start)->agent == "b");
    workers.erase("b");
    CHECK(chooseWorker(job, 0, failed, workers, PressureModel(), start)->agent == "a");
}

TEST_CASE("workers: failures of several jobs in a row exclude a worker, those of one job do not", "[jobs]")
{
    WorkerEntry worker = workerOf("a", 16000);
    const WorkerHealthConfig config;
    for (int failure = 0; failure < 10; ++failure)
        CHECK_FALSE(worker.judge({ "poison" }, true, config, start));
    CHECK_FALSE(worker.judge({ "b" }, true, config, start));
    CHECK(worker.judge({ "c" }, true, config, start));
    CHECK_FALSE(worker.usable(start));
    CHECK(worker.usable(start + config.exclusion));
    CHECK_FALSE(worker.judge({ "d" }, false, config, start));
    CHECK_FALSE(worker.judge({ "e" }, true, config, start));
}
