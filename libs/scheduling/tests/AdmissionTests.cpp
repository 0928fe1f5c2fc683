#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/JobAdmission.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TaskKind bulk { "service", "bulk", "" };

/// Capacity of 100 cores of which serving tasks reserve a share.
BestEffortRoom roomOf(double cores, double reservedShare = 0.6)
{
    const ResourceVector capacity { 200'000, 200'000, 0 };
    const std::uint32_t used = static_cast<std::uint32_t>(reservedShare * 200'000);
    return { { { bulk, cores * 1000 } }, { { "service", { capacity, { used, used, 0 }, cores * 1000 } } } };
}

/// Job of 20 tasks of 2 cores that arrived a second ago, takes 5 s and is due in 10 s; nothing of it runs.
AdmissionCandidate candidateOf(const std::string& id)
{
    AdmissionCandidate job { .job = { id }, .queue = "queue", .service = "service", .arrived = start - seconds(1), .due = start + seconds(10), .remainingTime = seconds(5), .remainingWork = 100, .totalWork = 100 };
    job.idleSince = start - seconds(1);
    job.demands = { { .kind = bulk, .waiting = 40'000, .task = { 2000, 1000, 0 } } };
    return job;
}

/// The same with all tasks running.
AdmissionCandidate runningOf(const std::string& id)
{
    AdmissionCandidate job = candidateOf(id);
    job.begun = true;
    job.tasksAssigned = 20;
    job.idleSince.reset();
    std::swap(job.demands.front().running, job.demands.front().waiting);
    return job;
}

AdmissionCandidate lateOf(AdmissionCandidate job)
{
    job.due = start + seconds(1);
    return job;
}

std::string admittedOf(const AdmissionDecision& decision)
{
    std::string text;
    for (const std::map<JobId, AdmissionVerdict>::value_type& item : decision.verdicts)
        text += item.second.admitted() ? item.first.text : "";
    return text;
}

AdmissionDecision decide(const std::vector<AdmissionCandidate>& jobs, const BestEffortRoom& room, const AdmissionHistory& before = {})
{
    return decideAdmission(jobs, before, room, AdmissionConfig { .oldShare = 0 }, start);
}

}

TEST_CASE("admission: while the capacity suffices, all jobs are admitted, late ones too", "[jobs]")
{
    const AdmissionDecision decision = decide({ candidateOf("a"), lateOf(candidateOf("b")) }, roomOf(80));
    CHECK(admittedOf(decision) == "ab");
    CHECK_FALSE(decision.overloaded);
    CHECK(decision.heldJobs() == 0);
}

TEST_CASE("admission: capacity goes to jobs that can end in time, by least remaining work", "[jobs]")
{
    // Guards against the burst in which every job begins within 0.02 s and none ends in time.
    AdmissionCandidate small = candidateOf("c");
    small.remainingWork = 50;
    const AdmissionDecision decision = decide({ lateOf(candidateOf("a")), candidateOf("b"), small }, roomOf(50));
    CHECK(admittedOf(decision) == "c");
    CHECK(decision.verdicts.at({ "a" }).reason == AdmissionReason::HeldAsLate);
    CHECK(decision.verdicts.at({ "b" }).reason == AdmissionReason::HeldForOthers);
}

TEST_CASE("admission: late jobs get what no job that can end in time needs", "[jobs]")
{
    CHECK(admittedOf(decide({ lateOf(candidateOf("a")), lateOf(candidateOf("b")), candidateOf("c") }, roomOf(90))) == "ac");
}

TEST_CASE("admission: a job that runs and can end in time goes on, also for a new leader", "[jobs]")
{
    AdmissionCandidate small = candidateOf("a");
    small.remainingWork = 1;
    CHECK(admittedOf(decide({ small, runningOf("b") }, roomOf(40), { { { "b" }, true } })) == "b");
    CHECK(admittedOf(decide({ small, runningOf("b") }, roomOf(40))) == "b");
}

TEST_CASE("admission: after the loss of workers, jobs that have begun stay admitted", "[jobs]")
{
    CHECK(admittedOf(decide({ runningOf("a"), runningOf("b"), candidateOf("c") }, roomOf(20))) == "ab");
}

TEST_CASE("admission: higher priority begins first", "[jobs]")
{
    AdmissionCandidate urgent = candidateOf("b");
    urgent.remainingWork = 1000;
    AdmissionCandidate other = candidateOf("a");
    other.priority = 1;
    CHECK(admittedOf(decide({ other, urgent }, roomOf(45))) == "b");
}

TEST_CASE("admission: a late job gives way to jobs of its own priority, not to those of a lower one", "[jobs]")
{
    // Guards against a backlog of urgent late jobs that lasts while others overtake it.
    AdmissionCandidate other = candidateOf("b");
    CHECK(admittedOf(decide({ lateOf(candidateOf("a")), other }, roomOf(45))) == "b");
    other.priority = 1;
    const AdmissionDecision decision = decide({ lateOf(runningOf("a")), other }, roomOf(45));
    CHECK(admittedOf(decision) == "a");
    CHECK_FALSE(decision.verdicts.at({ "a" }).yields);
}

TEST_CASE("admission: queues get the same share of their demand", "[jobs]")
{
    // Guards against a queue of small jobs that keeps one of larger jobs waiting.
    std::vector<AdmissionCandidate> jobs;
    for (const char* const id : { "a", "b", "c", "d" }) {
        jobs.push_back(candidateOf(id));
        jobs.back().remainingWork = 1;
    }
    for (const char* const id : { "x", "y" }) {
        jobs.push_back(candidateOf(id));
        jobs.back().queue = "other";
    }
    CHECK(admittedOf(decide(jobs, roomOf(130))) == "abx");
}

TEST_CASE("admission: the largest tenth of a queue is served as often as its other jobs", "[jobs]")
{
    std::vector<AdmissionCandidate> jobs;
    for (char id = 'a'; id < 't'; ++id)
        jobs.push_back(candidateOf(std::string(1, id)));
    for (const std::size_t large : { 3U, 9U }) {
        jobs[large].remainingWork = 300;
        jobs[large].totalWork = 300;
    }
    const std::string admitted = admittedOf(decide(jobs, roomOf(400)));
    CHECK(admitted.size() == 10);
    CHECK(admitted.find('d') != std::string::npos);
    CHECK(admitted.find('j') == std::string::npos);
}

TEST_CASE("admission: a share of the capacity serves the oldest held job", "[jobs]")
{
    AdmissionCandidate old = lateOf(candidateOf("z"));
    old.arrived = start - seconds(60);
    const AdmissionDecision decision = decideAdmission({ candidateOf("a"), candidateOf("b"), candidateOf("c"), old }, {}, roomOf(100), AdmissionConfig { .oldShare = 0.1 }, start);
    CHECK(admittedOf(decision) == "ab");
    CHECK(decision.verdicts.at({ "z" }).reason == AdmissionReason::Old);
    CHECK(decision.verdicts.at({ "z" }).taskLimit == 5);
    CHECK(decision.verdicts.at({ "c" }).taskLimit == 0);
}

TEST_CASE("admission: a held job with nothing running gets one task in time while much capacity is free", "[jobs]")
{
    AdmissionCandidate idle = lateOf(candidateOf("a"));
    idle.idleSince = start - AdmissionConfig {}.idleLimit;
    const std::vector<AdmissionCandidate> jobs { idle, runningOf("b"), candidateOf("c") };
    CHECK(decide(jobs, roomOf(40, 0.4)).verdicts.at({ "a" }).taskLimit == 1);
    CHECK(decide(jobs, roomOf(40, 0.6)).verdicts.at({ "a" }).taskLimit == 0);
    CHECK(decide(jobs, roomOf(40, 0.4)).verdicts.at({ "c" }).taskLimit == 0);
}

TEST_CASE("admission: only a job that is clearly late gives back its places, and only if others need them", "[jobs]")
{
    AdmissionCandidate nearLimit = runningOf("a");
    nearLimit.due = start + milliseconds(4500);
    const AdmissionCandidate late = lateOf(runningOf("b"));
    const AdmissionDecision contended = decide({ nearLimit, late, candidateOf("c") }, roomOf(80));
    CHECK_FALSE(contended.verdicts.at({ "a" }).yields);
    CHECK(contended.verdicts.at({ "b" }).yields);
    const AdmissionDecision alone = decide({ nearLimit, late }, roomOf(60));
    CHECK_FALSE(alone.verdicts.at({ "b" }).yields);
}

TEST_CASE("admission: run times correct the estimates of a queue within the factor by which they may be wrong", "[jobs]")
{
    RunTimeRatios ratios;
    for (int run = 0; run < 100; ++run) {
        ratios.note("long", seconds(1), milliseconds(1800));
        ratios.note("short", seconds(1), milliseconds(600));
        ratios.note("wild", seconds(1), seconds(30));
    }
    CHECK(ratios.of("long") == Approx(1.8).margin(0.05));
    CHECK(ratios.of("short") == Approx(0.6).margin(0.05));
    CHECK(ratios.of("wild") <= 1.9);
    CHECK(ratios.of("unknown") == 1);
}

TEST_CASE("admission: long-running jobs and jobs with reserved cores are never held", "[jobs]")
{
    StepSpec serving = stepOf(1, 1000);
    serving.longRunning = true;
    serving.bestEffort = true;
    StepSpec bestEffort = stepOf(1, 1000);
    bestEffort.bestEffort = true;
    JobRegistry registry;
    registry.add(jobOf("long-running", { serving }), start);
    registry.add(jobOf("reserved", { stepOf(1, 1000) }), start);
    registry.add(jobOf("mixed", { bestEffort, stepOf(1, 1000) }), start);
    registry.add(jobOf("best-effort", { bestEffort }), start);
    for (const char* const id : { "long-running", "reserved", "mixed" })
        CHECK_FALSE(admissionCandidate(*registry.find({ id }), 1, start));
    REQUIRE(admissionCandidate(*registry.find({ "best-effort" }), 1.5, start));
    CHECK(admissionCandidate(*registry.find({ "best-effort" }), 1.5, start)->remainingTime == milliseconds(1500));
}

TEST_CASE("best-effort room: what runs counts with its pace, what is unused as far as placement would use it", "[jobs]")
{
    StepSpec step = stepOf(1, 2000);
    step.bestEffort = true;
    step.image = "bulk";
    Workers workers { { "a", workerOf("a", 8000) }, { "b", workerOf("b", 5000) } };
    CHECK(measureBestEffortRoom({ { bulk, step } }, workers, InterferenceModel {}, start).milliCores() == 8000 + 4000);
    SECTION("a run at a quarter of its pace")
    {
        workers["a"].allocate({ { "job" }, 0, 0 }, step, firstIncarnation);
        workers["a"].pacedDownMilliCores = 1500;
        CHECK(measureBestEffortRoom({ { bulk, step } }, workers, InterferenceModel {}, start).byKind.at(bulk) == 500 + 6000 + 4000);
    }
    SECTION("a long-running best-effort task, which does not end")
    {
        StepSpec lasting = step;
        lasting.longRunning = true;
        workers["a"].allocate({ { "lasting" }, 0, 0 }, lasting, firstIncarnation);
        CHECK(measureBestEffortRoom({ { bulk, step } }, workers, InterferenceModel {}, start).byKind.at(bulk) == 6000 + 4000);
        workers["a"].deallocate({ { "lasting" }, 0, 0 }, lasting);
        CHECK(measureBestEffortRoom({ { bulk, step } }, workers, InterferenceModel {}, start).byKind.at(bulk) == 8000 + 4000);
    }
    SECTION("serving tasks that can spare nothing")
    {
        StepSpec serving = stepOf(1, 1000);
        serving.image = "web";
        serving.target = milliseconds(100);
        workers["a"].allocate({ { "web" }, 0, 0 }, serving, firstIncarnation);
        workers["a"].baselineSlack["web"] = 1.2;
        CHECK(measureBestEffortRoom({ { bulk, step } }, workers, InterferenceModel {}, start).byKind.at(bulk) == 4000);
    }
    SECTION("a worker that is lost")
    {
        workers["a"].link.reset();
        CHECK(measureBestEffortRoom({ { bulk, step } }, workers, InterferenceModel {}, start).byKind.at(bulk) == 4000);
    }
}
