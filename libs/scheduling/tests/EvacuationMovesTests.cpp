#include "SchedulerUnderTest.h"
#include <cowslipdoor/scheduling/EvacuationMoves.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Finite step with checkpoints.
StepSpec savingStep(std::uint32_t count, Duration estimate)
{
    StepSpec step = stepOf(count, 1000);
    step.estimate = estimate;
    step.checkpointing = true;
    return step;
}

/// Step of long-running serving tasks.
StepSpec servingStep(std::uint32_t count, std::uint32_t mayMiss)
{
    StepSpec step = stepOf(count, 1000);
    step.longRunning = true;
    step.image = "web";
    step.target = milliseconds(50);
    step.mayMiss = mayMiss;
    return step;
}

/// Jobs that run in the evacuated failure domain "a", and workers of the failure domain "b".
struct DomainUnderTest {
    JobRegistry jobs {};
    Workers workers {};
    OngoingMoves ongoing {};
    EvacuationMoveConfig config {};
    TimePoint now = start + seconds(1);

    DomainUnderTest()
    {
        this->addWorker("old", "a", 64'000);
        this->workers.at("old").evacuated = true;
    }

    TrackedWorker& addWorker(const std::string& agent, const std::string& failureDomain, std::uint32_t milliCores)
    {
        TrackedWorker worker = workerOf(agent, milliCores);
        worker.failureDomain = failureDomain;
        worker.lastGrantAt = this->now;
        return this->workers[agent] = worker;
    }

    /// Adds a job whose tasks run at a worker, half done or serving.
    const TrackedJob& addRunning(const JobSpecHandle& spec, const std::string& agent = "old")
    {
        this->jobs.add(spec, start);
        for (std::uint32_t step = 0; step < spec->steps.size(); ++step) {
            for (std::uint32_t index = 0; index < spec->steps[step].count; ++index)
                this->run({ spec->id, step, index }, agent, spec->steps[step].longRunning ? readyPercent : 50);
        }
        return *this->jobs.find(spec->id);
    }

    void run(const TaskId& id, const std::string& agent, std::uint32_t percent)
    {
        this->jobs.assign(id, { agent, firstIncarnation }, start);
        TaskState& task = *this->jobs.task(id);
        task.ordered = true;
        task.listedAt = this->now;
        task.percent = percent;
        // As fast as estimated.
        task.startedAt = this->now - this->jobs.find(id.job)->spec->steps[id.step].estimate * percent / completePercent;
        task.progressedAt = this->now;
        this->workers.at(agent).allocate(id, this->jobs.find(id.job)->spec->steps[id.step], firstIncarnation);
    }

    /// The run ends because of the stop that was ordered for its move.
    void endStopped(const TaskId& id)
    {
        const StepSpec& step = this->jobs.find(id.job)->spec->steps[id.step];
        this->jobs.end({ id, this->jobs.task(id)->record.run }, RunEndKind::Stopped, "", this->now);
        this->workers.at("old").deallocate(id, step);
    }

    EvacuationPlan plan() const { return planEvacuation(this->jobs, this->workers, this->ongoing, InterferenceModel {}, this->config, this->now); }

    /// Decides, and carries out the moves up to the stops.
    std::vector<TaskId> orderMoves()
    {
        std::vector<TaskId> moved;
        this->ongoing = withoutEndedMoves(this->ongoing, this->jobs, this->config, this->now);
        for (const EvacuationMove& move : this->plan().moves) {
            this->jobs.task(move.task)->stopping = true;
            this->ongoing.emplace(move.task, std::pair(move, this->now));
            moved.push_back(move.task);
        }
        return moved;
    }

    EvacuationVerdict verdict(const TaskId& id) const { return judgeEvacuatedRun(*this->jobs.find(id.job), id, this->ongoing, this->workers, InterferenceModel {}, this->config, this->now); }
};

}

// Guards against: the estimate of a run decides alone, so that one which takes many times as long stays until its end.
TEST_CASE("evacuation moves: a run that is slower than its estimate moves although little of the estimate is left", "[evacuation]")
{
    DomainUnderTest test;
    test.addRunning(jobOf("j", { savingStep(1, seconds(2)) }));
    test.addWorker("new", "b", 8000);
    const TaskId id { { "j" }, 0, 0 };
    CHECK(test.verdict(id) == EvacuationVerdict(RunsToEnd {}));
    test.jobs.task(id)->startedAt = test.now - seconds(6);
    CHECK(test.verdict(id) == EvacuationVerdict(MovesTo { "new" }));
}

TEST_CASE("evacuation moves: a finite task moves only with checkpoints, with more than 2 s left, and with a place elsewhere", "[evacuation]")
{
    DomainUnderTest test;
    test.addRunning(jobOf("j", { savingStep(1, seconds(5)) }));
    const TaskId id { { "j" }, 0, 0 };
    SECTION("a place elsewhere")
    {
        test.addWorker("new", "b", 8000);
        CHECK(test.verdict(id) == EvacuationVerdict(MovesTo { "new" }));
        CHECK(test.plan().moves == std::vector<EvacuationMove> { { id, "old", "new" } });
    }
    SECTION("no place elsewhere")
    {
        CHECK(test.verdict(id) == EvacuationVerdict(AwaitsPlace {}));
        CHECK(test.plan() == EvacuationPlan { {}, 1, 0, { id } });
    }
    SECTION("only an excluded place")
    {
        test.addWorker("new", "b", 8000).excludedUntil = test.now + seconds(1);
        CHECK(test.verdict(id) == EvacuationVerdict(AwaitsPlace {}));
    }
    SECTION("only a cold place")
    {
        test.addWorker("new", "b", 8000).coldUntil = test.now + seconds(1);
        CHECK(test.verdict(id) == EvacuationVerdict(AwaitsPlace {}));
    }
    SECTION("only a place in another evacuated failure domain")
    {
        test.addWorker("new", "b", 8000).evacuated = true;
        CHECK(test.verdict(id) == EvacuationVerdict(AwaitsPlace {}));
    }
    SECTION("little left")
    {
        test.addWorker("new", "b", 8000);
        test.jobs.task(id)->percent = 60;
        CHECK(test.verdict(id) == EvacuationVerdict(RunsToEnd {}));
        CHECK(test.plan() == EvacuationPlan { {}, 1, 0, {} });
    }
    SECTION("not listed yet")
    {
        test.addWorker("new", "b", 8000);
        test.jobs.task(id)->listedAt = {};
        CHECK(test.verdict(id) == EvacuationVerdict(RunsToEnd {}));
    }
}

TEST_CASE("evacuation moves: a finite task without checkpoints runs to its end", "[evacuation]")
{
    DomainUnderTest test;
    test.addWorker("new", "b", 8000);
    StepSpec step = savingStep(1, seconds(60));
    step.checkpointing = false;
    test.addRunning(jobOf("j", { step }));
    CHECK(test.plan() == EvacuationPlan { {}, 1, 0, {} });
}

TEST_CASE("evacuation moves: finite tasks of jobs that can meet their objective come first, then long-running ones, then the others", "[evacuation]")
{
    DomainUnderTest test;
    test.config.movesAtOnce = 3;
    test.addWorker("new", "b", 8000);
    test.addRunning(jobOf("a-late", { savingStep(1, seconds(5)) }));
    test.addRunning(jobOf("b-serving", { servingStep(1, 0) }));
    test.now = start + seconds(20);
    test.workers.at("new").lastGrantAt = test.now;
    JobSpec inTime = *jobOf("c-in-time", { savingStep(1, seconds(5)) });
    inTime.dueSlack = seconds(100);
    test.addRunning(std::make_shared<const JobSpec>(inTime));
    const std::vector<TaskId> order = test.orderMoves();
    CHECK(order == std::vector<TaskId> { { { "c-in-time" }, 0, 0 }, { { "b-serving" }, 0, 0 }, { { "a-late" }, 0, 0 } });
}

TEST_CASE("evacuation moves: only a few tasks move at once, and no more than fit elsewhere", "[evacuation]")
{
    DomainUnderTest test;
    test.addRunning(jobOf("j", { savingStep(10, seconds(60)) }));
    SECTION("many places")
    {
        test.addWorker("new", "b", 64'000);
        CHECK(test.orderMoves().size() == test.config.movesAtOnce);
        CHECK(test.orderMoves().empty());
        CHECK(test.plan().waiting.size() == 6);
        // Each task that runs elsewhere makes way for another one.
        const TaskId first { { "j" }, 0, 0 };
        test.endStopped(first);
        CHECK(test.orderMoves().empty());
        test.now += milliseconds(100);
        test.workers.at("new").lastGrantAt = test.now;
        test.run(first, "new", 50);
        CHECK(test.orderMoves() == std::vector<TaskId> { { { "j" }, 0, 4 } });
    }
    SECTION("two places")
    {
        test.addWorker("new", "b", 2000);
        CHECK(test.orderMoves().size() == 2);
        // The places are taken by the moves under way, although nothing is assigned there yet.
        CHECK(test.orderMoves().empty());
    }
    SECTION("a task that does not run again")
    {
        test.addWorker("new", "b", 64'000);
        REQUIRE(test.orderMoves().size() == test.config.movesAtOnce);
        test.now += test.config.moveTimeout;
        test.workers.at("new").lastGrantAt = test.now;
        CHECK(test.orderMoves().size() == test.config.movesAtOnce);
    }
}

TEST_CASE("evacuation moves: long-running tasks of a step move one after the other, within may-miss", "[evacuation]")
{
    DomainUnderTest test;
    test.addWorker("new", "b", 64'000);
    SECTION("without a limit")
    {
        test.addRunning(jobOf("j", { servingStep(3, 0) }));
        test.addRunning(jobOf("k", { servingStep(3, 0) }));
        CHECK(test.orderMoves() == std::vector<TaskId> { { { "j" }, 0, 0 }, { { "k" }, 0, 0 } });
        test.endStopped({ { "j" }, 0, 0 });
        test.run({ { "j" }, 0, 0 }, "new", readyPercent - 1);
        CHECK(test.orderMoves().empty());
        test.jobs.task({ { "j" }, 0, 0 })->percent = readyPercent;
        CHECK(test.orderMoves() == std::vector<TaskId> { { { "j" }, 0, 1 } });
    }
    SECTION("while another task of the step is away for another reason")
    {
        test.addRunning(jobOf("j", { servingStep(3, 1) }));
        test.jobs.task({ { "j" }, 0, 2 })->percent = 10;
        CHECK(test.orderMoves().empty());
        CHECK(test.plan().waiting.size() == 3);
        CHECK(test.verdict({ { "j" }, 0, 0 }) == EvacuationVerdict(AwaitsTurn {}));
        test.jobs.task({ { "j" }, 0, 2 })->percent = readyPercent;
        CHECK(test.orderMoves().size() == 1);
    }
}

TEST_CASE("evacuation moves: workers of an unknown failure domain keep what they run", "[evacuation]")
{
    DomainUnderTest test;
    test.addWorker("new", "b", 8000);
    test.workers.at("old").failureDomain.clear();
    test.addRunning(jobOf("j", { savingStep(1, seconds(5)) }));
    CHECK(test.plan() == EvacuationPlan {});
}

TEST_CASE("scheduler: runs of an evacuated failure domain are stopped and start elsewhere, and what is left is logged once a second", "[evacuation]")
{
    SchedulerUnderTest test;
    test.failureDomains = { { "agent", "a" }, { "other", "b" } };
    test.becomeLeader({ jobOf("j", { savingStep(1, seconds(60)) }) });
    const std::optional<StartRun> first = test.awaitStart(milliseconds(100));
    REQUIRE(first);
    const auto listRun = [&test, &first]() { test.step(AgentReportReceived { "agent", LinkId { 1 }, RunProgress { firstIncarnation, { { first->run, "", 10, 0 } } } }); };
    const auto reports = [&test]() {
        return std::count_if(test.effects.begin(), test.effects.end(), [](const SchedulerEffect& effect) {
            const RecordEvent* const record = std::get_if<RecordEvent>(&effect);
            return record && record->event == EventId::EvacuationProgress;
        });
    };
    test.now += milliseconds(10);
    listRun();
    test.step(EvacuationsFollowed { { "a" }, test.now });
    // Nothing is stopped while no other worker can take the task.
    std::ptrdiff_t logged = reports();
    // One line at once and one after a second, within 1.9 s.
    for (int round = 0; round < 19; ++round) {
        test.now += milliseconds(100);
        test.step(AgentReportReceived { "agent", LinkId { 1 }, Ping { 1 } });
        logged += reports();
        if (!test.machine.lease().idle())
            test.commit();
        listRun();
        CHECK_FALSE(test.sent<StopRun>());
    }
    CHECK(logged == 2);
    test.addWorker("other", LinkId { 2 }, 8000);
    std::optional<StopRun> stop;
    for (int round = 0; round < 10 && !stop; ++round) {
        test.now += milliseconds(100);
        test.step(AgentReportReceived { "other", LinkId { 2 }, Ping { 1 } });
        stop = test.sent<StopRun>();
        if (!test.machine.lease().idle())
            test.commit();
    }
    REQUIRE(stop);
    CHECK(stop->run == first->run);
    test.step(AgentReportReceived { "agent", LinkId { 1 }, RunsEnded { firstIncarnation, { { 1, first->run, RunEndKind::Stopped, "saved" } } } });
    const std::optional<StartRun> second = test.awaitStart(milliseconds(200));
    REQUIRE(second);
    CHECK(second->checkpoint == "saved");
    CHECK(test.machine.jobs().find({ "j" })->steps[0][0].record.assignment->agent == "other");
}
