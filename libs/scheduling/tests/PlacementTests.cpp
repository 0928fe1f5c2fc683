#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/Placement.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

/// Assigns a serving task to a worker.
void addServing(TrackedWorker& worker, std::uint32_t milliCores, const std::string& image = "web")
{
    StepSpec step = stepOf(1, milliCores);
    step.longRunning = true;
    step.image = image;
    step.target = milliseconds(50);
    worker.allocate({ { "serving" }, 0, static_cast<std::uint32_t>(worker.tasks.size()) }, step, firstIncarnation);
}

/// A model that has learnt that the image "noisy" harms "web" and "calm" does not.
InterferenceModel learntInterference()
{
    InterferenceModel model;
    for (int round = 0; round < 20; ++round) {
        const TimePoint now = start + round * milliseconds(500);
        model.observe({ { { "serving" }, "web", 2.5 }, { { "other" }, "database", 2.5 } }, {}, now);
        model.observe({ { { "serving" }, "web", 1.25 }, { { "other" }, "database", 2.4 } }, { { "noisy", 0.1 } }, now);
        model.observe({ { { "serving" }, "web", 2.4 } }, { { "calm", 0.1 } }, now);
    }
    return model;
}

TrackedJob trackedJobOf(const JobSpecHandle& spec)
{
    JobRegistry jobRegistry;
    jobRegistry.add(spec, start);
    return *jobRegistry.find(spec->id);
}

std::string chosen(const TrackedJob& job, const Workers& workers, const InterferenceModel& interference, TimePoint now = start)
{
    const TrackedWorker* const worker = chooseWorker(job, 0, {}, workers, interference, now);
    return worker ? worker->agent : "";
}

TrackedJob bestEffortJob(const std::string& image)
{
    StepSpec step = stepOf(4, 2000);
    step.bestEffort = true;
    step.image = image;
    return trackedJobOf(jobOf("filling", { step }));
}

}

TEST_CASE("placement: at a load peak, jobs are ordered by priority, then by due time, with those without value left last", "[jobs]")
{
    JobRegistry jobRegistry;
    JobSpec urgent = *jobOf("urgent", { stepOf(1, 100) });
    urgent.priority = 0;
    JobSpec batch = *jobOf("batch", { stepOf(1, 100) });
    batch.priority = 2;
    JobSpec later = *jobOf("later", { stepOf(1, 100) });
    later.dueSlack = std::chrono::seconds(30);
    JobSpec valueless = *jobOf("hopeless", { stepOf(1, 100) });
    jobRegistry.add(std::make_shared<const JobSpec>(valueless), start - std::chrono::seconds(60));
    for (const JobSpec& spec : { batch, later, urgent })
        jobRegistry.add(std::make_shared<const JobSpec>(spec), start);
    std::vector<std::string> order;
    for (const TrackedJob* const job : placementOrder(jobRegistry.waiting(), jobRegistry, start))
        order.push_back(job->spec->id.text);
    CHECK(order == std::vector<std::string> { "urgent", "later", "batch", "hopeless" });
}

TEST_CASE("placement: under a backlog, jobs that can still be on time come before late ones", "[jobs]")
{
    JobRegistry jobRegistry;
    const auto add = [&jobRegistry](const std::string& id, Duration age) {
        JobSpec spec = *jobOf(id, { stepOf(1, 100) });
        spec.dueSlack = std::chrono::seconds(4);
        jobRegistry.add(std::make_shared<const JobSpec>(spec), start, age);
    };
    // Each job has an estimate of 1 s, is due 6 s after it was accepted, and has no value left after 18 s, three times
    // that.
    add("late", std::chrono::seconds(8));
    add("too-close", milliseconds(5600));
    add("close", milliseconds(5400));
    add("fresh", {});
    std::vector<std::string> order;
    for (const TrackedJob* const job : placementOrder(jobRegistry.waiting(), jobRegistry, start))
        order.push_back(job->spec->id.text);
    CHECK(order == std::vector<std::string> { "close", "fresh", "late", "too-close" });
}

TEST_CASE("placement: short and long-running tasks fill one worker before the next, so that large tasks find headroom", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) } };
    addServing(workers.at("b"), 4000);
    CHECK(chosen(trackedJobOf(jobOf("short", { stepOf(1, 500) })), workers, InterferenceModel()) == "b");
    CHECK(chosen(trackedJobOf(jobOf("wide", { stepOf(1, 14000) })), workers, InterferenceModel()) == "a");
    CHECK(chosen(trackedJobOf(jobOf("too-wide", { stepOf(1, 17000) })), workers, InterferenceModel()).empty());
}

TEST_CASE("placement: labels, limits per worker and unusable workers are respected", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) } };
    workers.at("b").info->labels = { "gpu" };
    StepSpec labelled = stepOf(1, 500);
    labelled.requiredLabel = "gpu";
    CHECK(chosen(trackedJobOf(jobOf("x", { labelled })), workers, InterferenceModel()) == "b");
    workers.at("b").info->draining = true;
    CHECK(chosen(trackedJobOf(jobOf("x", { labelled })), workers, InterferenceModel()).empty());
    StepSpec apart = stepOf(2, 500);
    apart.maximumPerWorker = 1;
    const TrackedJob job = trackedJobOf(jobOf("y", { apart }));
    workers.at("a").allocate({ { "y" }, 0, 0 }, apart, firstIncarnation);
    CHECK(chosen(job, workers, InterferenceModel()).empty());
    workers.at("b").info->draining = false;
    workers.at("b").info->longLease = true;
    CHECK(chosen(job, workers, InterferenceModel()).empty());
    workers.at("b").info->longLease = false;
    CHECK(chosen(job, workers, InterferenceModel()) == "b");
    workers.at("b").excludedUntil = start + milliseconds(1);
    CHECK(chosen(job, workers, InterferenceModel()).empty());
    CHECK(chosen(job, workers, InterferenceModel(), start + milliseconds(1)) == "b");
}

TEST_CASE("placement: a long-running task goes to a stalled worker rather than wait, but not to one that fails its runs", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) }, { "c", workerOf("c", 16000) } };
    StepSpec longRunningStep = stepOf(1, 500);
    longRunningStep.longRunning = true;
    const TrackedJob longRunning = trackedJobOf(jobOf("x", { longRunningStep }));
    const TrackedJob finite = trackedJobOf(jobOf("y", { stepOf(1, 500) }));
    workers.at("a").stalledUntil = start + milliseconds(1);
    workers.at("b").excludedUntil = start + milliseconds(1);
    workers.at("c").lastChoiceUntil = start + milliseconds(1);
    CHECK(chosen(longRunning, workers, InterferenceModel()) == "c");
    workers.at("c").refusingUntil = start + milliseconds(1);
    CHECK(chosen(longRunning, workers, InterferenceModel()) == "a");
    CHECK(chosen(finite, workers, InterferenceModel()).empty());
    // A job that has waited for 1 s takes a stalled worker, but not one that fails its runs.
    const TimePoint later = start + milliseconds(1001);
    workers.at("a").stalledUntil = later + milliseconds(1);
    workers.at("b").excludedUntil = later + milliseconds(1);
    workers.at("c").refusingUntil = later + milliseconds(1);
    for (Workers::value_type& worker : workers)
        worker.second.lastGrantAt = later;
    CHECK(chosen(finite, workers, InterferenceModel(), later) == "a");
    workers.at("a").info->draining = true;
    CHECK(chosen(finite, workers, InterferenceModel(), later).empty());
    // Its failure there would renew the exclusion for all other tasks.
    CHECK(chosen(longRunning, workers, InterferenceModel()).empty());
    workers.at("a").info->draining = false;
    workers.at("a").settled = false;
    CHECK(chosen(longRunning, workers, InterferenceModel()).empty());
}

TEST_CASE("placement: in a burst, best-effort tasks first go to workers without serving tasks; then harmless ones go beside serving tasks and harmful ones wait", "[jobs]")
{
    const InterferenceModel interference = learntInterference();
    Workers workers { { "free", workerOf("free", 16000) }, { "serving", workerOf("serving", 16000) } };
    addServing(workers.at("serving"), 12000);
    CHECK(chosen(bestEffortJob("noisy"), workers, interference) == "free");
    CHECK(chosen(bestEffortJob("calm"), workers, interference) == "free");
    workers.at("serving").baselineSlack["web"] = 1.6;
    for (std::uint32_t index = 0; index < 8; ++index)
        workers.at("free").allocate({ { "other" }, 0, index }, bestEffortJob("calm").spec->steps[0], firstIncarnation);
    CHECK(chosen(bestEffortJob("calm"), workers, interference) == "serving");
    CHECK(chosen(bestEffortJob("noisy"), workers, interference).empty());
}

TEST_CASE("placement: a harmful best-effort task waits when only workers with serving tasks are left, but no longer than a second", "[jobs]")
{
    const InterferenceModel interference = learntInterference();
    Workers workers { { "serving", workerOf("serving", 16000) } };
    addServing(workers.at("serving"), 12000);
    workers.at("serving").baselineSlack["web"] = 1.6;
    const TrackedJob job = bestEffortJob("noisy");
    CHECK(chosen(job, workers, interference).empty());
    workers.at("serving").lastGrantAt = start + milliseconds(1001);
    CHECK(chosen(job, workers, interference, start + milliseconds(1001)) == "serving");
    workers.at("serving").baselineSlack["web"] = 3.5;
    CHECK(chosen(job, workers, interference) == "serving");
}

TEST_CASE("placement: a best-effort task goes beside serving tasks that it does not harm", "[jobs]")
{
    const InterferenceModel interference = learntInterference();
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) }, { "c", workerOf("c", 16000) } };
    addServing(workers.at("a"), 8000, "web");
    addServing(workers.at("b"), 12000, "database");
    addServing(workers.at("c"), 8000, "web");
    CHECK(chosen(bestEffortJob("noisy"), workers, interference) == "b");
}

TEST_CASE("placement: a harmless best-effort task goes beside a harmful one that is paced down to zero", "[jobs]")
{
    // One harmful run, itself paced down to zero, kept all harmless runs from using twelve cores of its worker (seen on day
    // scale-1 of hedebo-loom).
    const InterferenceModel interference = learntInterference();
    Workers workers { { "serving", workerOf("serving", 16000) } };
    addServing(workers.at("serving"), 4000);
    workers.at("serving").baselineSlack["web"] = 1.3;
    workers.at("serving").allocate({ { "other" }, 0, 0 }, bestEffortJob("noisy").spec->steps[0], firstIncarnation);
    CHECK(chosen(bestEffortJob("calm"), workers, interference) == "serving");
    workers.at("serving").baselineSlack["web"] = 0.9;
    CHECK(chosen(bestEffortJob("noisy"), workers, interference).empty());
}

TEST_CASE("placement: best-effort tasks that have been sent count before the worker lists them", "[jobs]")
{
    const InterferenceModel interference = learntInterference();
    Workers workers { { "serving", workerOf("serving", 16000) } };
    addServing(workers.at("serving"), 8000);
    const TrackedJob job = bestEffortJob("noisy");
    CHECK(chosen(job, workers, interference) == "serving");
    workers.at("serving").allocate({ { "other" }, 0, 0 }, job.spec->steps[0], firstIncarnation);
    CHECK(chosen(job, workers, interference).empty());
    workers.at("serving").deallocate({ { "other" }, 0, 0 }, job.spec->steps[0]);
    CHECK(chosen(job, workers, interference) == "serving");
}

TEST_CASE("placement: long-running tasks go beside those that lose alike to best-effort images", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 32000) }, { "b", workerOf("b", 32000) } };
    addServing(workers.at("a"), 12000, "web");
    addServing(workers.at("b"), 4000, "database");
    StepSpec step = stepOf(1, 4000);
    step.longRunning = true;
    step.image = "database";
    step.target = milliseconds(50);
    CHECK(chosen(trackedJobOf(jobOf("x", { step })), workers, learntInterference()) == "b");
    step.image = "web";
    CHECK(chosen(trackedJobOf(jobOf("x", { step })), workers, learntInterference()) == "a");
}

TEST_CASE("placement: best-effort tasks wait for free cores, so that the tasks of a burst end one after another", "[jobs]")
{
    Workers workers { { "free", workerOf("free", 4000) } };
    const TrackedJob job = bestEffortJob("calm");
    for (std::uint32_t index = 0; index < 2; ++index) {
        CHECK(chosen(job, workers, learntInterference()) == "free");
        workers.at("free").allocate({ { "other" }, 0, index }, job.spec->steps[0], firstIncarnation);
    }
    CHECK(chosen(job, workers, learntInterference()).empty());
}

TEST_CASE("placement: a task avoids the worker on which it failed, unless there is no other", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) }, { "b", workerOf("b", 16000) } };
    const TrackedJob job = trackedJobOf(jobOf("x", { stepOf(1, 500) }));
    TaskState failed;
    failed.avoidedAgent = "a";
    CHECK(chooseWorker(job, 0, failed, workers, InterferenceModel(), start)->agent == "b");
    workers.erase("b");
    CHECK(chooseWorker(job, 0, failed, workers, InterferenceModel(), start)->agent == "a");
}

TEST_CASE("workers: tasks that demand no cores are counted by image like others", "[jobs]")
{
    TrackedWorker worker = workerOf("a", 16000);
    for (const bool bestEffort : { true, false }) {
        StepSpec step = stepOf(2, 0);
        step.image = "light";
        step.bestEffort = bestEffort;
        step.target = step.bestEffort ? Duration {} : milliseconds(50);
        const std::map<std::string, ImageLoad>& loads = step.bestEffort ? worker.bestEffortByImage : worker.servingByImage;
        worker.allocate({ { "a" }, 0, 0 }, step, firstIncarnation);
        worker.allocate({ { "a" }, 0, 1 }, step, firstIncarnation);
        worker.deallocate({ { "a" }, 0, 0 }, step);
        CHECK(loads.contains("light"));
        worker.deallocate({ { "a" }, 0, 1 }, step);
        CHECK(loads.empty());
    }
}

TEST_CASE("workers: failures of several jobs in a row exclude a worker, those of one job do not", "[jobs]")
{
    TrackedWorker worker = workerOf("a", 16000);
    const WorkerHealthConfig config;
    for (int failure = 0; failure < 10; ++failure)
        CHECK_FALSE(worker.noteRunEnd({ "poison" }, true, config, start));
    CHECK_FALSE(worker.noteRunEnd({ "b" }, true, config, start));
    CHECK(worker.noteRunEnd({ "c" }, true, config, start));
    CHECK_FALSE(worker.usable(start));
    worker.lastGrantAt = start + config.exclusion;
    CHECK(worker.usable(start + config.exclusion));
    CHECK_FALSE(worker.noteRunEnd({ "d" }, false, config, start));
    CHECK_FALSE(worker.noteRunEnd({ "e" }, true, config, start));
}

TEST_CASE("placement: cores that paced-down tasks leave unused go to others", "[jobs]")
{
    const InterferenceModel interference = learntInterference();
    Workers workers { { "a", workerOf("a", 4000) } };
    const TrackedJob job = bestEffortJob("calm");
    for (std::uint32_t index = 0; index < 2; ++index)
        workers.at("a").allocate({ { "other" }, 0, index }, job.spec->steps[0], firstIncarnation);
    CHECK(chosen(job, workers, interference).empty());
    workers.at("a").pacedDownMilliCores = 2000;
    CHECK(chosen(job, workers, interference) == "a");
}

TEST_CASE("placement: a long-running best-effort task that waits for a second takes any worker, whether others of its job run or not", "[jobs]")
{
    Workers workers { { "a", workerOf("a", 16000) } };
    StepSpec indexers = stepOf(2, 12000);
    indexers.longRunning = true;
    indexers.bestEffort = true;
    TrackedJob job = trackedJobOf(jobOf("index", { indexers }));
    job.assigned = 1;
    workers.at("a").allocate({ { "index" }, 0, 0 }, indexers, firstIncarnation);
    const TimePoint soon = start + milliseconds(900);
    const TimePoint later = start + milliseconds(1100);
    const TaskState& waiting = job.steps[0][1];
    const auto takes = [&job, &waiting, &workers](TimePoint now) {
        workers.at("a").lastGrantAt = now;
        return chooseWorker(job, 0, waiting, workers, InterferenceModel(), now) != nullptr;
    };
    CHECK_FALSE(takes(soon));
    CHECK(takes(later));
    // The tasks of a finite job wait while one of them runs.
    indexers.longRunning = false;
    job.spec = jobOf("index", { indexers });
    CHECK_FALSE(takes(later));
}
