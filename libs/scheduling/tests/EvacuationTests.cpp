#include "SchedulerUnderTest.h"
#include <cowslipdoor/scheduling/Placement.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const SchedulerConfig bounded { .lease = { .holder = "me", .incarnation = 1 }, .evacuation = { .limit = seconds(5) } };

/// Scheduler whose agents are in the failure domains "a" and "b".
struct EvacuationUnderTest : SchedulerUnderTest {
    explicit EvacuationUnderTest(SchedulerConfig settings = SchedulerConfig { .lease = { .holder = "me", .incarnation = 1 } })
        : SchedulerUnderTest { std::move(settings) }
    {
        this->failureDomains = { { "agent", "a" }, { "other", "b" } };
    }

    void follow(std::set<std::string> evacuated) { this->step(EvacuationsFollowed { std::move(evacuated), this->now }); }

    [[nodiscard]] const TaskState& taskOf(const std::string& job) const { return this->machine.jobs().find({ job })->steps.front().front(); }

    [[nodiscard]] std::string placeOf(const std::string& job) const
    {
        const std::optional<Assignment>& assignment = this->taskOf(job).record.assignment;
        return assignment ? assignment->agent : "";
    }

    [[nodiscard]] bool recorded(EventId event, const std::string& part) const
    {
        return std::any_of(this->effects.begin(), this->effects.end(), [event, &part](const SchedulerEffect& effect) {
            const RecordEvent* const record = std::get_if<RecordEvent>(&effect);
            return record && record->event == event && record->detail.find(part) != std::string::npos;
        });
    }
};

}

TEST_CASE("evacuations: an unknown failure domain counts as evacuated while any is", "[evacuation]")
{
    // Agents of an earlier version do not state their failure domain, which may be the evacuated one.
    CHECK_FALSE(Evacuations {}.cover(""));
    const Evacuations evacuations { { "a" }, start };
    CHECK(evacuations.cover("a"));
    CHECK(evacuations.cover(""));
    CHECK_FALSE(evacuations.cover("b"));
}

TEST_CASE("evacuations: knowledge is current up to the limit less the time of a start", "[evacuation]")
{
    const EvacuationConfig config { .limit = seconds(5) };
    CHECK(Evacuations { {}, start }.isCurrent(config, start + seconds(2)));
    CHECK_FALSE(Evacuations { {}, start }.isCurrent(config, start + seconds(2) + Duration(1)));
    CHECK_FALSE(Evacuations {}.isCurrent(config, TimePoint {}));
    CHECK(Evacuations {}.isCurrent(EvacuationConfig {}, start));
}

TEST_CASE("scheduler: nothing is placed in an evacuated failure domain until it is restored", "[evacuation]")
{
    EvacuationUnderTest test;
    test.becomeLeader({});
    test.follow({ "a" });
    CHECK(test.recorded(EventId::DomainEvacuated, "'a': 1 workers with 0 runs"));
    test.step(JobStored { jobOf("j", { stepOf(1, 1000) }) });
    CHECK_FALSE(test.awaitStart(milliseconds(500)));
    CHECK(describeUnfit(*test.machine.jobs().find({ "j" }), 0, test.machine.workers(), test.now).find("1 in an evacuated failure domain") != std::string::npos);
    test.follow({});
    CHECK(test.recorded(EventId::DomainRestored, "'a'"));
    CHECK(test.awaitStart(milliseconds(500)));
}

TEST_CASE("scheduler: two failure domains are evacuated at once, one of them again, and one that no agent states", "[evacuation]")
{
    EvacuationUnderTest test;
    test.becomeLeader({});
    test.addWorker("other", LinkId { 2 }, 8000);
    test.follow({ "a", "b", "unheard" });
    CHECK(test.recorded(EventId::DomainEvacuated, "'unheard': 0 workers with 0 runs"));
    test.step(JobStored { jobOf("j", { stepOf(1, 1000) }) });
    CHECK_FALSE(test.awaitStart(milliseconds(500)));
    test.follow({ "a" });
    CHECK(test.awaitStart(milliseconds(500)));
    CHECK(test.placeOf("j") == "other");
    test.follow({ "a", "b" });
    CHECK(test.recorded(EventId::DomainEvacuated, "'b': 1 workers with 1 runs"));
    test.step(JobStored { jobOf("k", { stepOf(1, 1000) }) });
    CHECK_FALSE(test.awaitStart(milliseconds(500)));
}

TEST_CASE("scheduler: an assignment whose order is not sent is released when its failure domain is evacuated", "[evacuation]")
{
    EvacuationUnderTest test(bounded);
    test.follow({});
    test.becomeLeader({});
    test.step(JobStored { jobOf("j", { stepOf(1, 1000) }) });
    SECTION("before its write has begun")
    {
        test.now += milliseconds(1);
        test.follow({ "a" });
        CHECK_FALSE(test.awaitStart(milliseconds(500)));
    }
    SECTION("while it is being stored")
    {
        test.awaitWrite();
        REQUIRE(test.placeOf("j") == "agent");
        test.follow({ "a" });
        CHECK(test.recorded(EventId::RunLost, "nothing may start in its failure domain"));
        test.commit();
        CHECK_FALSE(test.sent<StartRun>());
        // The stored row names the released run until the next write.
        CHECK(parseProgressRecord(test.awaitWrite().writes.front().value)->tasks.front().assignment == std::nullopt);
    }
    SECTION("while its order waits for current knowledge")
    {
        test.awaitWrite();
        test.now += milliseconds(2100);
        test.commit();
        CHECK_FALSE(test.sent<StartRun>());
        test.follow({ "a" });
        CHECK_FALSE(test.sent<StartRun>());
    }
    CHECK(test.placeOf("j").empty());
    CHECK(test.machine.workers().at("agent").used == ResourceVector {});
    test.addWorker("other", LinkId { 2 }, 8000);
    for (int round = 0; round < 3; ++round)
        test.follow({ "a" });
    CHECK(test.awaitStart(milliseconds(500)));
    CHECK(test.placeOf("j") == "other");
}

TEST_CASE("scheduler: nothing is placed or ordered while the knowledge of evacuations is older than the limit permits", "[evacuation]")
{
    // A frozen leader resumes, or the feed of the operator's table is not answered, while the other feeds are.
    EvacuationUnderTest test(bounded);
    test.follow({});
    test.becomeLeader({});
    SECTION("placed")
    {
        test.now += milliseconds(2001);
        test.step(JobStored { jobOf("j", { stepOf(1, 1000) }) });
        CHECK_FALSE(test.awaitStart(milliseconds(500)));
        CHECK(test.placeOf("j").empty());
    }
    SECTION("ordered")
    {
        test.step(JobStored { jobOf("j", { stepOf(1, 1000) }) });
        test.awaitWrite();
        test.now += milliseconds(2001);
        test.commit();
        CHECK_FALSE(test.sent<StartRun>());
        CHECK(test.placeOf("j") == "agent");
    }
    test.follow({});
    CHECK((test.sent<StartRun>() || test.awaitStart(milliseconds(100))));
}

TEST_CASE("scheduler: without a limit the age of the knowledge of evacuations does not matter", "[evacuation]")
{
    EvacuationUnderTest test;
    test.becomeLeader({});
    test.step(JobStored { jobOf("j", { stepOf(1, 1000) }) });
    CHECK(test.awaitStart(milliseconds(500)));
}

TEST_CASE("scheduler: a new leader places nothing before it knows the evacuations, and knows those that it followed before", "[evacuation]")
{
    EvacuationUnderTest test(bounded);
    SECTION("an entry that has just started")
    {
        test.becomeLeader({ jobOf("j", { stepOf(1, 1000) }) });
        CHECK_FALSE(test.awaitStart(milliseconds(500)));
        test.follow({});
        CHECK(test.awaitStart(milliseconds(100)));
    }
    SECTION("a standby")
    {
        test.follow({ "a" });
        CHECK(test.recorded(EventId::DomainEvacuated, "this entry does not lead"));
        test.becomeLeader({ jobOf("j", { stepOf(1, 1000) }) });
        test.follow({ "a" });
        CHECK_FALSE(test.awaitStart(milliseconds(500)));
        CHECK(test.placeOf("j").empty());
    }
}

TEST_CASE("scheduler: an assignment that an earlier leader stored without sending its order is not ordered in an evacuated failure domain", "[evacuation]")
{
    EvacuationUnderTest test(bounded);
    test.follow({ "a" });
    test.step(LeaderRowRead { std::nullopt, 0 });
    test.commit();
    ProgressRecord progress;
    progress.state = JobState::Running;
    progress.tasks.push_back({ .run = 1, .assignment = Assignment { "agent", firstIncarnation } });
    test.step(TablesRead { 1, { jobOf("j", { stepOf(1, 1000) }) }, { { { "j" }, progress } }, {}, { { "agent", { "address", 3 } } } });
    REQUIRE(test.placeOf("j") == "agent");
    test.step(AgentLinked { "agent", LinkId { 1 } });
    const WorkerInfo worker { firstIncarnation, "service", { 8000, 8000, 0 }, {}, false, {}, false, "a" };
    test.step(AgentReportReceived { "agent", LinkId { 1 }, WorkerSnapshot { "agent", 3, worker, true, {}, {}, {}, 0 } });
    CHECK(test.placeOf("j").empty());
    test.follow({ "a" });
    CHECK_FALSE(test.awaitStart(milliseconds(800)));
    CHECK(test.placeOf("j").empty());
}

TEST_CASE("scheduler: a late answer does not replace newer knowledge of evacuations", "[evacuation]")
{
    EvacuationUnderTest test(bounded);
    test.becomeLeader({});
    test.follow({ "a" });
    test.step(EvacuationsFollowed { {}, test.now - milliseconds(1) });
    CHECK(test.machine.evacuations() == Evacuations { { "a" }, test.now });
}

TEST_CASE("scheduler: an agent that states another failure domain than before is placed by the new one", "[evacuation]")
{
    EvacuationUnderTest test;
    test.becomeLeader({});
    test.follow({ "b" });
    CHECK(test.machine.workers().at("agent").usable(test.now));
    const WorkerInfo moved { firstIncarnation, "service", { 8000, 8000, 0 }, {}, false, {}, false, "b" };
    test.step(AgentReportReceived { "agent", LinkId { 1 }, WorkerSnapshot { "agent", 3, moved, true, {}, {}, {}, 0 } });
    CHECK(test.machine.workers().at("agent").unfitReason(test.now) == UnfitReason::Evacuated);
}

TEST_CASE("placement: a cold worker comes after all warm ones, and is used rather than none", "[evacuation]")
{
    const JobSpecHandle spec = jobOf("j", { stepOf(1, 1000) });
    JobRegistry jobs;
    jobs.add(spec, start);
    const TrackedJob& job = *jobs.find(spec->id);
    // Without its start, the smaller worker would be chosen.
    Workers workers { { "cold", workerOf("cold", 2000) } };
    workers.at("cold").coldUntil = start + seconds(1);
    const auto chosen = [&job, &workers](TimePoint now) {
        const TrackedWorker* const worker = chooseWorker(job, 0, job.steps[0][0], workers, InterferenceModel {}, now);
        return worker ? worker->agent : "";
    };
    CHECK(chosen(start) == "cold");
    workers.emplace("warm", workerOf("warm", 8000));
    CHECK(chosen(start) == "warm");
    workers.at("cold").coldUntil = start;
    CHECK(chosen(start) == "cold");
}
