#include "SchedulerUnderTest.h"

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

StepSpec servingStep()
{
    StepSpec step = stepOf(1, 2000);
    step.longRunning = true;
    step.image = "web";
    step.target = milliseconds(100);
    return step;
}

StepSpec harmfulStep()
{
    StepSpec step = stepOf(1, 2000);
    step.bestEffort = true;
    step.checkpointing = true;
    step.image = "render";
    return step;
}

const RunId servingRun { { { "serving" }, 0, 0 }, 1 };

/// The new leader after a loss of power of all VMs: a serving task is assigned to the old incarnation of the worker of agent
/// "second", and a best-effort job that harms it waits.
struct Restart {
    SchedulerUnderTest test {};
    std::set<std::string> started {};

    Restart()
    {
        this->test.step(LeaderRowRead { std::nullopt, 0 });
        this->test.commit();
        ProgressRecord progress { JobState::Running, { { false, 1, {}, Assignment { "second", { "old", 1 } }, "" } }, true };
        this->test.step(TablesRead { 1, { jobOf("serving", { servingStep() }), jobOf("filling", { harmfulStep() }) }, { { { "serving" }, progress } }, {}, { { "first", { "first", 1 } }, { "second", { "second", 1 } } }, { { "web", "render", 20, 1 } } });
    }

    void settle(const std::string& agent, LinkId link)
    {
        this->test.step(AgentLinked { agent, link });
        const WorkerInfo worker { { "new-" + agent, 1 }, "service", { 8000, 8000, 0 }, {}, false, {} };
        this->test.step(AgentReportReceived { agent, link, WorkerSnapshot { agent, 1, worker, true, {}, {}, {}, 0 } });
        this->test.step(AgentReportReceived { agent, link, Ping { 1 } });
    }

    /// Advances the time while linked agents send pings, and notes the jobs whose starts are ordered.
    void advanceFor(Duration length)
    {
        const TimePoint until = this->test.now + length;
        while (this->test.now < until) {
            this->test.now += milliseconds(10);
            for (const Workers::value_type& worker : Workers(this->test.machine.workers())) {
                if (worker.second.link)
                    this->test.step(AgentReportReceived { worker.first, *worker.second.link, Ping { 1 } });
            }
            if (!this->test.machine.lease().idle())
                this->test.commit();
            for (const SchedulerEffect& effect : this->test.effects) {
                const SendToAgent* const message = std::get_if<SendToAgent>(&effect);
                if (message && std::holds_alternative<StartRun>(message->message))
                    this->started.insert(std::get<StartRun>(message->message).run.task.job.text);
            }
        }
    }
};

}

TEST_CASE("scheduler: after a loss of power of all VMs, best-effort tasks wait for the long-running tasks that start again", "[jobs]")
{
    // Placed first, they would start at full pace beside serving runs and take them over their targets.
    Restart restart;
    restart.settle("first", LinkId { 1 });
    restart.advanceFor(milliseconds(100));
    CHECK(restart.started.empty());
    restart.settle("second", LinkId { 2 });
    restart.advanceFor(milliseconds(50));
    CHECK(restart.started == std::set<std::string> { "serving", "filling" });
    JobRegistry jobs = restart.test.machine.jobs();
    CHECK(jobs.task({ { "serving" }, 0, 0 })->record.assignment->agent != jobs.task({ { "filling" }, 0, 0 })->record.assignment->agent);
}

TEST_CASE("scheduler: after a takeover, best-effort tasks do not wait longer than the settle time for an agent that does not report", "[jobs]")
{
    Restart restart;
    restart.settle("first", LinkId { 1 });
    restart.advanceFor(SchedulerConfig {}.settleTime + milliseconds(50));
    CHECK(restart.started == std::set<std::string> { "filling" });
}

TEST_CASE("scheduler: a harmful best-effort task waits for the slack of a serving run that starts on the only worker, 1.5 s at most", "[jobs]")
{
    for (const bool measured : { true, false }) {
        INFO("slack reported: " << measured);
        SchedulerUnderTest test;
        test.becomeLeader({ jobOf("serving", { servingStep() }) });
        REQUIRE(test.awaitStart(milliseconds(50)));
        test.step(JobStored { jobOf("filling", { harmfulStep() }) });
        CHECK_FALSE(test.awaitStart(milliseconds(700)));
        if (measured)
            test.step(AgentReportReceived { "agent", LinkId { 1 }, RunProgress { firstIncarnation, { { servingRun, "", 100, 25 } } } });
        const std::optional<StartRun> order = test.awaitStart(SchedulerConfig {}.servingStartTime);
        REQUIRE(order);
        CHECK(order->run.task.job == JobId { "filling" });
        CHECK((test.now < start + milliseconds(1000)) == measured);
    }
}
