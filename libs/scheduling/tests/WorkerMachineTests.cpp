#include "Values.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/WorkerMachine.h>
#include <ctime>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

const LinkId leaderLink { 1 };
const RunId run { { { "job" }, 0, 0 }, 1 };

/// State machine of one agent, the effects of its last step, and functions that drive it.
struct AgentUnderTest {
    WorkerMachine machine { WorkerMachineConfig { .agent = "agent", .failureDomain = "zone-a" }, start };
    WorkerMachine::Effects effects {};
    TimePoint now = start;

    CallNumber lastPoll {};
    std::optional<CallNumber> lastStart {};
    std::int64_t lastPing = 0;

    void step(const WorkerEvent& event)
    {
        this->effects = this->machine.step(event, this->now);
        const std::optional<CallStart> startCall = this->find<CallStart>();
        this->lastStart = startCall ? startCall->call : this->lastStart;
        const std::optional<CallPoll> poll = this->find<CallPoll>();
        this->lastPoll = poll ? poll->call : this->lastPoll;
        const std::optional<Ping> ping = this->reported<Ping>();
        this->lastPing = ping ? ping->sentAt : this->lastPing;
    }

    template <typename Effect>
    std::optional<Effect> find() const
    {
        for (const WorkerEffect& effect : this->effects) {
            if (const Effect* const found = std::get_if<Effect>(&effect))
                return *found;
        }
        return std::nullopt;
    }

    template <typename Report>
    std::optional<Report> reported() const
    {
        for (const WorkerEffect& effect : this->effects) {
            const SendToLeader* const sent = std::get_if<SendToLeader>(&effect);
            if (sent && std::holds_alternative<Report>(sent->report))
                return std::get<Report>(sent->report);
        }
        return std::nullopt;
    }

    template <typename Report>
    std::size_t reportCount() const
    {
        return static_cast<std::size_t>(std::count_if(this->effects.begin(), this->effects.end(), [](const WorkerEffect& effect) {
            const SendToLeader* const sent = std::get_if<SendToLeader>(&effect);
            return sent && std::holds_alternative<Report>(sent->report);
        }));
    }

    PollAnswered answerTo(const CallPoll& poll, std::vector<RunStatus> running = {}, std::vector<RunEnd> ended = {}) const
    {
        return { poll.call, firstIncarnation.startedAtMs, 5000, std::move(running), std::move(ended) };
    }

    bool recorded(EventId event) const
    {
        return std::any_of(this->effects.begin(), this->effects.end(), [event](const WorkerEffect& effect) {
            const RecordEvent* const record = std::get_if<RecordEvent>(&effect);
            return record && record->event == event;
        });
    }

    static WorkerHeartbeat heartbeatOf(const WorkerIdentity& identity, ResourceVector capacity = { 8000, 8000, 0 })
    {
        return { WorkerInfo { identity, "service", capacity, {}, false, {} } };
    }

    /// Advances the time in steps of 100 ms.
    /// @param length how long
    /// @param calls returns the event that ends a poll
    /// @param heartbeats returns the heartbeat that arrives in a step, or nothing
    /// @return whether the leader received a settled snapshot without a worker, so that nothing runs
    template <typename Calls, typename Heartbeats>
    bool reportsNoWorker(Duration length, const Calls& calls, const Heartbeats& heartbeats)
    {
        bool reported = false;
        const auto play = [this, &reported](const WorkerEvent& event) {
            this->step(event);
            const std::optional<WorkerSnapshot> snapshot = this->reported<WorkerSnapshot>();
            reported = reported || (snapshot && snapshot->settled && !snapshot->worker);
        };
        std::optional<CallNumber> poll = this->lastPoll;
        for (const TimePoint end = this->now + length; this->now < end;) {
            this->now += milliseconds(100);
            if (poll)
                play(calls(*poll));
            poll = poll == this->lastPoll ? std::nullopt : std::optional<CallNumber>(this->lastPoll);
            const std::optional<WorkerEvent> heartbeat = heartbeats(this->now);
            play(heartbeat ? *heartbeat : WorkerEvent(TimePassed {}));
            poll = this->find<CallPoll>() ? this->lastPoll : poll;
        }
        return reported;
    }

    /// Brings the state machine to the state in which its worker is settled and the leader has just sent a renewal grant.
    void settle()
    {
        this->step(GenerationGranted { 2 });
        this->step(WorkerHeartbeat { WorkerInfo { firstIncarnation, "service", { 8000, 8000, 0 }, {}, false, {} } });
        const CallPoll poll = *this->find<CallPoll>();
        this->step(LeaderMessageReceived { leaderLink, LeaderHello { 1, "entry", 2 } });
        this->step(this->answerTo(poll));
        this->step(this->answerTo(*this->find<CallPoll>()));
        this->step(LeaderMessageReceived { leaderLink, Pong { this->now.time_since_epoch().count() } });
    }

    /// Has the leader acknowledge the first four ends of the worker, which then receives the acknowledgement.
    void acknowledgeFourEnds()
    {
        this->step(LeaderMessageReceived { leaderLink, AcknowledgeEnds { firstIncarnation, 4 } });
        this->step(this->answerTo({ .call = this->lastPoll }));
        REQUIRE(this->find<CallPoll>());
        REQUIRE(this->find<CallPoll>()->acknowledgeUpTo == 4);
    }

    StartRun order() const { return { run, firstIncarnation, "text", "", {}, 1, this->lastPing }; }
};

/// Returns the processor time in seconds, for each run, in which an agent that has started runs handles an answer that lists them all.
double timePerListedRun(std::uint32_t count)
{
    AgentUnderTest agent;
    agent.settle();
    std::vector<RunStatus> running;
    for (std::uint32_t index = 0; index < count; ++index) {
        StartRun order = agent.order();
        order.run.task.index = index;
        agent.step(LeaderMessageReceived { leaderLink, order });
        agent.step(OrderAnswered { *agent.lastStart, true, "", firstIncarnation.startedAtMs });
        running.push_back({ order.run, "", 10, 0 });
    }
    // The poll in flight was sent before the starts, so its answer says nothing about them.
    agent.step(agent.answerTo({ .call = agent.lastPoll }, running));
    const PollAnswered answer = agent.answerTo({ .call = agent.lastPoll }, std::move(running));
    const std::clock_t begin = std::clock();
    agent.step(answer);
    return static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC / count;
}

}

TEST_CASE("agent: a worker is settled once it answers a poll with a token that no earlier run of the agent has used", "[jobs]")
{
    AgentUnderTest agent;
    agent.step(WorkerHeartbeat { WorkerInfo { firstIncarnation, "service", { 8000, 8000, 0 }, {}, false, {} } });
    CHECK_FALSE(agent.find<CallPoll>());
    agent.step(GenerationGranted { 2 });
    const std::optional<CallPoll> poll = agent.find<CallPoll>();
    REQUIRE(poll);
    CHECK(poll->wait == Duration {});
    CHECK_FALSE(poll->leaseUntilMs);
    // An earlier incarnation of the agent may have used the same token, and its orders may still be in flight.
    agent.step(agent.answerTo(*poll));
    CHECK_FALSE(agent.machine.settled());
    const std::optional<CallPoll> greater = agent.find<CallPoll>();
    REQUIRE(greater);
    CHECK(greater->token > poll->token);
    CHECK(greater->wait == Duration {});
    agent.step(agent.answerTo(*greater));
    CHECK(agent.machine.settled());
}

TEST_CASE("agent: after a poll was fenced, a worker is settled only once it answers a poll with a new token", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    REQUIRE(agent.machine.settled());
    agent.now += milliseconds(600);
    agent.step(CallUnanswered { agent.lastPoll });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    agent.step(CallFenced { agent.find<CallPoll>()->call });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    const CallPoll first = *agent.find<CallPoll>();
    agent.step(agent.answerTo(first));
    CHECK_FALSE(agent.machine.settled());
    const CallPoll second = *agent.find<CallPoll>();
    CHECK(second.token > first.token);
    agent.step(agent.answerTo(second));
    CHECK(agent.machine.settled());
}

TEST_CASE("agent: leases are renewed only while the leader's grant is valid", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.now += milliseconds(500);
    agent.step(CallUnanswered { agent.lastPoll });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    REQUIRE(agent.find<CallPoll>());
    CHECK_FALSE(agent.find<CallPoll>()->leaseUntilMs);
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    REQUIRE(agent.find<CallPoll>());
    CHECK(agent.find<CallPoll>()->leaseUntilMs);
    agent.now += milliseconds(900);
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    CHECK_FALSE(agent.find<CallPoll>()->leaseUntilMs);
}

TEST_CASE("agent: an order without an answer is voided by a higher token before its run is rejected", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    const CallStart order = *agent.find<CallStart>();
    agent.step(CallUnanswered { order.call });
    CHECK_FALSE(agent.machine.settled());
    CHECK_FALSE(agent.reported<RunRejected>());
    const CallPoll poll = *agent.find<CallPoll>();
    CHECK(poll.token > order.token);
    agent.step(agent.answerTo(poll));
    REQUIRE(agent.reported<RunRejected>());
    CHECK(agent.reported<RunRejected>()->run == run);
}

TEST_CASE("agent: an unanswered order that was executed is not rejected", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    agent.step(CallUnanswered { agent.find<CallStart>()->call });
    agent.step(agent.answerTo(*agent.find<CallPoll>(), { { run, "", 10, 0 } }));
    CHECK_FALSE(agent.reported<RunRejected>());
    CHECK(agent.machine.settled());
}

TEST_CASE("agent: an order that is late or for another incarnation is refused", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    StartRun late = agent.order();
    late.answeredPingAt -= Duration(std::chrono::seconds(2)).count();
    agent.step(LeaderMessageReceived { leaderLink, late });
    CHECK(agent.reported<RunRejected>());
    CHECK_FALSE(agent.find<CallStart>());
    StartRun other = agent.order();
    other.worker.startedAtMs = 99;
    agent.step(LeaderMessageReceived { leaderLink, other });
    CHECK(agent.reported<RunRejected>());
}

// Guards against orders that wait for ever at the agent, as each event refuses one of them, while the leader counts their runs as started.
TEST_CASE("agent: all queued orders that are out of date are refused at once", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    REQUIRE(agent.lastStart);
    constexpr std::uint32_t queued = 50;
    for (std::uint32_t index = 1; index <= queued; ++index) {
        StartRun order = agent.order();
        order.run.task.index = index;
        order.order = index + 1;
        agent.step(LeaderMessageReceived { leaderLink, order });
    }
    agent.now += milliseconds(1600);
    agent.step(OrderAnswered { *agent.lastStart, true, "", firstIncarnation.startedAtMs });
    CHECK(agent.reportCount<RunRejected>() == queued);
}

TEST_CASE("agent: a stop that the leader repeats is called once, and again only while a poll lists its run", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderMessageReceived { leaderLink, StopRun { run } });
    REQUIRE(agent.find<CallStop>());
    const CallNumber stop = agent.find<CallStop>()->call;
    agent.step(LeaderMessageReceived { leaderLink, StopRun { run } });
    agent.step(OrderAnswered { stop, true, "", firstIncarnation.startedAtMs });
    CHECK_FALSE(agent.find<CallStop>());
    agent.step(agent.answerTo({ .call = agent.lastPoll }, { { run, "", 10, 0 } }));
    CHECK(agent.find<CallStop>());
}

// Guards against an answer that lists thousands of runs and blocks the agent beyond its grants.
TEST_CASE("agent: the time to handle a listed run does not grow with the runs on the worker", "[jobs]")
{
    const double small = std::min({ timePerListedRun(500), timePerListedRun(500), timePerListedRun(500) });
    CHECK(timePerListedRun(8000) < 6 * small);
}

TEST_CASE("agent: the link of a leader of an older epoch is closed, a newer leader replaces the link", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderMessageReceived { LinkId { 2 }, LeaderHello { 0, "old", 0 } });
    CHECK(agent.find<CloseLeaderLink>()->link == LinkId { 2 });
    agent.step(LeaderMessageReceived { LinkId { 3 }, LeaderHello { 2, "new", 0 } });
    CHECK(agent.find<CloseLeaderLink>()->link == leaderLink);
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    CHECK_FALSE(agent.find<CallStart>());
}

TEST_CASE("agent: the link of a leader that names another agent is closed and replaces no link", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderMessageReceived { LinkId { 2 }, LeaderHello { 1, "entry", 0, "other" } });
    REQUIRE(agent.find<CloseLeaderLink>());
    CHECK(agent.find<CloseLeaderLink>()->link == LinkId { 2 });
    CHECK_FALSE(agent.reported<WorkerSnapshot>());
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    CHECK(agent.find<CallStart>());
    agent.step(LeaderMessageReceived { LinkId { 3 }, LeaderHello { 2, "new", 0, "agent" } });
    REQUIRE(agent.find<CloseLeaderLink>());
    CHECK(agent.find<CloseLeaderLink>()->link == leaderLink);
    CHECK(agent.reported<WorkerSnapshot>());
}

TEST_CASE("agent: ends are reported once, and acknowledged only after the leader has acknowledged them", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const RunEnd end { 4, run, RunEndKind::Done, "" };
    agent.now += milliseconds(100);
    agent.step(CallUnanswered { agent.lastPoll });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    const CallPoll poll = *agent.find<CallPoll>();
    CHECK(poll.acknowledgeUpTo == 0);
    agent.step(agent.answerTo(poll, {}, { end }));
    REQUIRE(agent.reported<RunsEnded>());
    CHECK(agent.reported<RunsEnded>()->ends == std::vector<RunEnd> { end });
    agent.step(LeaderMessageReceived { leaderLink, AcknowledgeEnds { firstIncarnation, 4 } });
    REQUIRE(agent.find<CallPoll>());
    CHECK(agent.find<CallPoll>()->acknowledgeUpTo == 4);
}

// Guards against: tasks that a worker has finished since its restart run again, as their ends were acknowledged unseen.
TEST_CASE("agent: no end is acknowledged while the worker may be a new incarnation, whose ends have the same numbers", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.acknowledgeFourEnds();
    const WorkerIdentity restarted { firstIncarnation.id, firstIncarnation.startedAtMs + 5 };
    const std::string cause = GENERATE("a call without an answer", "a heartbeat of another incarnation", "a start in flight");
    INFO(cause);
    if (cause == "a call without an answer") {
        agent.step(CallUnanswered { agent.lastPoll });
        agent.now += milliseconds(100);
        agent.step(TimePassed {});
    } else if (cause == "a heartbeat of another incarnation") {
        agent.step(AgentUnderTest::heartbeatOf(restarted));
    } else {
        agent.step(LeaderMessageReceived { leaderLink, agent.order() });
        REQUIRE(agent.find<CallStart>());
        agent.step(LeaderMessageReceived { leaderLink, AcknowledgeEnds { firstIncarnation, 5 } });
        agent.step(agent.answerTo({ .call = agent.lastPoll }));
        agent.now += milliseconds(100);
        agent.step(TimePassed {});
    }
    REQUIRE(agent.find<CallPoll>());
    CHECK(agent.find<CallPoll>()->acknowledgeUpTo == 0);
    SECTION("a new incarnation's ends are reported, also those with lower numbers")
    {
        const std::vector<RunEnd> ends { { 1, run, RunEndKind::Done, "" }, { 2, { { { "job" }, 0, 1 }, 1 }, RunEndKind::Done, "" } };
        agent.step(PollAnswered { agent.lastPoll, restarted.startedAtMs, 100, {}, ends });
        REQUIRE(agent.find<CallPoll>());
        CHECK(agent.find<CallPoll>()->acknowledgeUpTo == 0);
        agent.step(PollAnswered { agent.lastPoll, restarted.startedAtMs, 110, {}, ends });
        REQUIRE(agent.reported<RunsEnded>());
        CHECK(agent.reported<RunsEnded>()->worker == restarted);
        CHECK(agent.reported<RunsEnded>()->ends == ends);
    }
    SECTION("the same incarnation gets the acknowledgement with the next poll")
    {
        agent.step(agent.answerTo({ .call = agent.lastPoll }, {}, { { 4, run, RunEndKind::Done, "" } }));
        CHECK_FALSE(agent.reported<RunsEnded>());
        if (agent.lastStart)
            agent.step(OrderAnswered { *agent.lastStart, true, "" });
        REQUIRE(agent.find<CallPoll>());
        CHECK(agent.find<CallPoll>()->acknowledgeUpTo == (agent.lastStart ? 5 : 4));
    }
}

// Guards against the same failure where an order is the first call to reach the new incarnation.
TEST_CASE("agent: an order that a new incarnation answers shows the restart, and its lease counts as long", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.acknowledgeFourEnds();
    agent.now += milliseconds(400);
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    const std::optional<CallStart> order = agent.find<CallStart>();
    REQUIRE(order);
    const WorkerIdentity restarted { firstIncarnation.id, firstIncarnation.startedAtMs + 5 };
    SECTION("the clock of the same incarnation, at its slowest")
    {
        agent.step(OrderAnswered { order->call, true, "", 0, 5000 + 392 });
        CHECK(agent.recorded(EventId::RunStarted));
    }
    SECTION("another clock or start time")
    {
        const std::int64_t statedStart = GENERATE(0, 6);
        const bool accepted = GENERATE(true, false);
        agent.step(OrderAnswered { order->call, accepted, "old", statedStart, statedStart == 0 ? 5000 + 380 : 5000 + 400 });
        CHECK_FALSE(agent.recorded(EventId::RunStarted));
        CHECK_FALSE(agent.reported<RunRejected>());
        CHECK(agent.recorded(EventId::OrderUnanswered));
        REQUIRE(agent.reported<WorkerSnapshot>());
        CHECK_FALSE(agent.reported<WorkerSnapshot>()->settled);
        REQUIRE(agent.find<CallPoll>());
        CHECK(agent.find<CallPoll>()->acknowledgeUpTo == 0);
        CHECK_FALSE(agent.find<CallPoll>()->leaseUntilMs);
        CHECK(agent.find<CallPoll>()->token > order->token);
        agent.step(PollAnswered { agent.lastPoll, restarted.startedAtMs, 100, {}, {} });
        REQUIRE(agent.reported<WorkerSnapshot>());
        CHECK(agent.reported<WorkerSnapshot>()->worker->identity == restarted);
        CHECK(agent.reported<WorkerSnapshot>()->worker->longLease);
    }
    SECTION("no answer, but a new incarnation lists the run")
    {
        agent.step(CallUnanswered { order->call });
        const bool ended = GENERATE(true, false);
        const std::vector<RunStatus> running { { run, "", 0, 0 } };
        const std::vector<RunEnd> ends { { 1, run, RunEndKind::Done, "" } };
        agent.step(PollAnswered { agent.lastPoll, restarted.startedAtMs, 100, ended ? std::vector<RunStatus> {} : running, ended ? ends : std::vector<RunEnd> {} });
        REQUIRE(agent.reported<WorkerSnapshot>());
        CHECK(agent.reported<WorkerSnapshot>()->worker->longLease);
    }
}

TEST_CASE("agent: a silent worker counts as gone only after its leases must have expired", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const TimePoint renewed = agent.now;
    while (agent.now < renewed + milliseconds(3100)) {
        const std::optional<CallPoll> poll = agent.find<CallPoll>();
        if (poll)
            agent.step(CallUnanswered { poll->call });
        agent.now += milliseconds(100);
        agent.step(TimePassed {});
        CHECK_FALSE((agent.reported<WorkerSnapshot>() && !agent.reported<WorkerSnapshot>()->worker));
    }
    agent.now += milliseconds(1200);
    agent.step(TimePassed {});
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->worker);
    CHECK(agent.reported<WorkerSnapshot>()->settled);
}

TEST_CASE("agent: a fenced call makes the agent raise its generation", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    const CallStart order = *agent.find<CallStart>();
    agent.step(CallFenced { order.call });
    CHECK(agent.reported<RunRejected>());
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    REQUIRE(agent.find<CallPoll>());
    CHECK(agent.find<CallPoll>()->token > order.token + 1000);
}

TEST_CASE("agent: a heartbeat of an earlier incarnation changes nothing, one of a new incarnation that answers replaces the worker", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(AgentUnderTest::heartbeatOf({ "worker", firstIncarnation.startedAtMs - 1 }, { 1, 1, 0 }));
    CHECK(agent.machine.worker()->identity == firstIncarnation);
    REQUIRE(agent.find<CallPoll>());
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    CHECK(agent.machine.worker()->identity == firstIncarnation);
    CHECK(agent.machine.worker()->capacity == ResourceVector { 8000, 8000, 0 });
    CHECK(agent.machine.settled());
    agent.step(AgentUnderTest::heartbeatOf({ "worker", 7 }, { 1, 1, 0 }));
    REQUIRE(agent.find<CallPoll>());
    agent.step(PollAnswered { agent.find<CallPoll>()->call, 7, 100, {}, {} });
    CHECK(agent.machine.worker()->identity.startedAtMs == 7);
    CHECK(agent.machine.worker()->capacity == ResourceVector { 1, 1, 0 });
    CHECK_FALSE(agent.machine.settled());
}

TEST_CASE("agent: a new incarnation with an earlier start time is used", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerIdentity restarted { "worker", firstIncarnation.startedAtMs - 1000 };
    agent.step(AgentUnderTest::heartbeatOf(restarted));
    const std::optional<CallPoll> poll = agent.find<CallPoll>();
    REQUIRE(poll);
    CHECK(poll->worker == firstIncarnation.id);
    CHECK(poll->wait == Duration {});
    agent.step(PollAnswered { poll->call, restarted.startedAtMs, 100, {}, {} });
    CHECK(agent.machine.worker()->identity == restarted);
    for (int count = 0; count < 2; ++count) {
        REQUIRE(agent.find<CallPoll>());
        agent.step(PollAnswered { agent.find<CallPoll>()->call, restarted.startedAtMs, 100, {}, {} });
    }
    CHECK(agent.machine.settled());
}

TEST_CASE("agent: a heartbeat of another writer does not end a worker that answers", "[jobs]")
{
    const WorkerIdentity foreign = GENERATE(WorkerIdentity { "other-writer", 5 }, WorkerIdentity { firstIncarnation.id, firstIncarnation.startedAtMs + 1'000'000'000 });
    AgentUnderTest agent;
    agent.settle();
    agent.step(AgentUnderTest::heartbeatOf(foreign));
    CHECK(agent.machine.worker()->identity == firstIncarnation);
    CHECK(agent.machine.settled());
    const std::optional<CallPoll> poll = agent.find<CallPoll>();
    REQUIRE(poll);
    CHECK(poll->worker == firstIncarnation.id);
    agent.step(agent.answerTo(*poll));
    CHECK(agent.recorded(EventId::BeatPassedOver));
    CHECK(agent.machine.worker()->identity == firstIncarnation);
    CHECK(agent.machine.settled());
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    CHECK(agent.find<CallStart>());
}

TEST_CASE("agent: a foreign heartbeat during each poll does not keep the answers from being handled", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(AgentUnderTest::heartbeatOf({ "other-writer", 5 }));
    const std::optional<CallPoll> poll = agent.find<CallPoll>();
    REQUIRE(poll);
    agent.step(AgentUnderTest::heartbeatOf({ "other-writer", 6 }));
    CHECK_FALSE(agent.find<CallPoll>());
    agent.step(agent.answerTo(*poll, { { run, "", 10, 0 } }));
    // The second heartbeat arrived after that poll had been sent, so its answer does not refute the heartbeat.
    CHECK_FALSE(agent.recorded(EventId::BeatPassedOver));
    REQUIRE(agent.find<CallPoll>());
    CHECK(agent.find<CallPoll>()->wait == Duration {});
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    CHECK(agent.recorded(EventId::BeatPassedOver));
}

TEST_CASE("agent: an incarnation known from a heartbeat takes over once a call to the present one is misdirected", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerIdentity successor { "successor", 3 };
    agent.step(AgentUnderTest::heartbeatOf(successor));
    CHECK(agent.machine.worker()->identity == firstIncarnation);
    REQUIRE(agent.find<CallPoll>());
    agent.step(CallMisdirected { agent.find<CallPoll>()->call });
    REQUIRE(agent.machine.worker());
    CHECK(agent.machine.worker()->identity == successor);
    CHECK(agent.recorded(EventId::WorkerGone));
    REQUIRE(agent.find<CallPoll>());
    CHECK(agent.find<CallPoll>()->worker == successor.id);
    CHECK(agent.reported<WorkerSnapshot>());
}

TEST_CASE("agent: an incarnation is reported as ended when another one answers its call", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(CallMisdirected { agent.lastPoll });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->worker);
}

TEST_CASE("agent: foreign heartbeats do not delay the report that nothing runs", "[jobs]")
{
    // Heartbeats keep naming other incarnations, none of which answers. They must not extend the time after which the worker's
    // leases count as expired.
    AgentUnderTest agent;
    agent.settle();
    const bool denied = GENERATE(true, false);
    const Duration interval = GENERATE(milliseconds(500), milliseconds(900), milliseconds(1500));
    TimePoint next = agent.now;
    const auto calls = [denied](CallNumber call) { return denied ? WorkerEvent(CallMisdirected { call }) : WorkerEvent(CallUnanswered { call }); };
    const auto heartbeats = [&next, interval](TimePoint now) -> std::optional<WorkerEvent> {
        if (now < next)
            return std::nullopt;
        next = now + interval;
        const std::int64_t startedAtMs = now.time_since_epoch().count();
        return AgentUnderTest::heartbeatOf({ startedAtMs % 2 == 0 ? "other-writer" : "worker", startedAtMs });
    };
    // The leases of a silent worker are renewed for 1 s after its last answer, each time for 3 s and a margin.
    CHECK(agent.reportsNoWorker(milliseconds(4600), calls, heartbeats));
}

TEST_CASE("agent: a new leader learns that nothing runs although a heartbeat named an incarnation that never answers", "[jobs]")
{
    // Leases that an earlier incarnation of the agent may have renewed expire 3.15 s after the start of this one.
    AgentUnderTest agent;
    agent.step(GenerationGranted { 2 });
    agent.now += milliseconds(3200);
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation));
    agent.step(LeaderMessageReceived { leaderLink, LeaderHello { 1, "entry", 2 } });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->worker);
}

TEST_CASE("agent: a single heartbeat with another capacity changes nothing, a repeated one does", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const ResourceVector odd { 64000, 64000, 8 };
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation, odd));
    CHECK(agent.machine.worker()->capacity == ResourceVector { 8000, 8000, 0 });
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation));
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation, odd));
    CHECK(agent.machine.worker()->capacity == ResourceVector { 8000, 8000, 0 });
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation, odd));
    CHECK(agent.machine.worker()->capacity == odd);
    WorkerHeartbeat leaving { WorkerInfo { firstIncarnation, "service", { 8000, 8000, 0 }, {}, true, {} } };
    agent.step(leaving);
    CHECK(agent.machine.worker()->draining);
    CHECK(agent.machine.worker()->capacity == odd);
}

TEST_CASE("agent: an incarnation known only from a poll takes the capacity of its first heartbeat", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerIdentity restarted { firstIncarnation.id, firstIncarnation.startedAtMs + 5 };
    agent.step(PollAnswered { agent.lastPoll, restarted.startedAtMs, 100, {}, {} });
    CHECK(agent.machine.worker()->identity == restarted);
    CHECK(agent.machine.worker()->capacity == ResourceVector {});
    agent.step(AgentUnderTest::heartbeatOf(restarted, { 4000, 4000, 0 }));
    CHECK(agent.machine.worker()->capacity == ResourceVector { 4000, 4000, 0 });
}

TEST_CASE("agent: the capacity in a refuted heartbeat is not used", "[jobs]")
{
    AgentUnderTest agent;
    agent.step(GenerationGranted { 2 });
    agent.step(AgentUnderTest::heartbeatOf({ firstIncarnation.id, firstIncarnation.startedAtMs + 5 }, { 64000, 64000, 8 }));
    REQUIRE(agent.find<CallPoll>());
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    CHECK_FALSE(agent.machine.worker());
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation));
    REQUIRE(agent.machine.worker());
    CHECK(agent.machine.worker()->capacity == ResourceVector { 8000, 8000, 0 });
}

TEST_CASE("agent: a single late heartbeat does not end draining", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerInfo leaving { firstIncarnation, "service", { 8000, 8000, 0 }, {}, true, {} };
    agent.step(WorkerHeartbeat { leaving });
    CHECK(agent.machine.worker()->draining);
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation));
    CHECK(agent.machine.worker()->draining);
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation));
    CHECK_FALSE(agent.machine.worker()->draining);
}

TEST_CASE("agent: a late sign-off does not end a worker that answers", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { firstIncarnation.id });
    CHECK(agent.machine.worker()->draining);
    // This answer may have been sent before the worker ended, so it does not refute the sign-off.
    REQUIRE(agent.find<CallPoll>());
    agent.step(agent.answerTo(*agent.find<CallPoll>(), { { run, "", 10, 0 } }));
    CHECK(agent.machine.worker()->draining);
    CHECK_FALSE(agent.find<CallPoll>());
    agent.now += milliseconds(300);
    agent.step(TimePassed {});
    REQUIRE(agent.machine.worker());
    const std::optional<CallPoll> poll = agent.find<CallPoll>();
    REQUIRE(poll);
    CHECK(poll->wait == Duration {});
    agent.step(agent.answerTo(*poll, { { run, "", 10, 0 } }));
    CHECK(agent.recorded(EventId::BeatPassedOver));
    REQUIRE(agent.machine.worker());
    CHECK(agent.machine.worker()->identity == firstIncarnation);
    CHECK_FALSE(agent.machine.worker()->draining);
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK(agent.reported<WorkerSnapshot>()->running.size() == 1);
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    CHECK(agent.find<CallStart>());
}

TEST_CASE("agent: after a refuted sign-off a worker stays draining if its heartbeat said so", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerHeartbeat { WorkerInfo { firstIncarnation, "service", { 8000, 8000, 0 }, {}, true, {} } });
    agent.step(WorkerSignedOff { firstIncarnation.id });
    agent.now += milliseconds(300);
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    REQUIRE(agent.find<CallPoll>());
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    CHECK(agent.recorded(EventId::BeatPassedOver));
    CHECK(agent.machine.worker()->draining);
}

TEST_CASE("agent: a heartbeat in flight at the sign-off does not void it", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { firstIncarnation.id });
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation));
    CHECK(agent.machine.worker()->draining);
}

TEST_CASE("agent: after a wrong sign-off a silent worker keeps its runs until its leases have expired", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    // The renewal grant is fresh, so the next poll renews the leases.
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, { { run, "", 10, 0 } }, {} });
    REQUIRE(agent.find<CallPoll>());
    REQUIRE(agent.find<CallPoll>()->leaseUntilMs);
    agent.step(WorkerSignedOff { firstIncarnation.id });
    const auto unanswered = [](CallNumber call) { return WorkerEvent(CallUnanswered { call }); };
    const auto noHeartbeats = [](TimePoint) { return std::optional<WorkerEvent>(); };
    CHECK_FALSE(agent.reportsNoWorker(milliseconds(3000), unanswered, noHeartbeats));
    // No poll renews leases after the sign-off, so they expire 3.15 s after the last renewal before it.
    CHECK(agent.reportsNoWorker(milliseconds(400), unanswered, noHeartbeats));
}

TEST_CASE("agent: a worker that signed off and whose calls are misdirected is reported as gone", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { firstIncarnation.id });
    REQUIRE(agent.find<CallPoll>());
    agent.step(CallMisdirected { agent.find<CallPoll>()->call });
    CHECK_FALSE(agent.machine.worker());
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->worker);
}

TEST_CASE("agent: a sign-off of another worker is ignored", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { "other-writer" });
    CHECK(agent.recorded(EventId::BeatPassedOver));
    CHECK_FALSE(agent.machine.worker()->draining);
}

TEST_CASE("agent: a new incarnation that answers after the sign-off is not draining", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { firstIncarnation.id });
    REQUIRE(agent.find<CallPoll>());
    agent.step(PollAnswered { agent.find<CallPoll>()->call, firstIncarnation.startedAtMs + 700, 100, {}, {} });
    CHECK(agent.machine.worker()->identity.startedAtMs == firstIncarnation.startedAtMs + 700);
    CHECK_FALSE(agent.machine.worker()->draining);
}

TEST_CASE("agent: an end that the leader has not acknowledged is reported again, on the same link and on a new one", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const RunEnd end { 4, run, RunEndKind::Done, "" };
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, { end } });
    REQUIRE(agent.reported<RunsEnded>());
    agent.step(CallUnanswered { agent.lastPoll });
    agent.now += milliseconds(2000);
    agent.step(TimePassed {});
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK(agent.reported<WorkerSnapshot>()->ended == std::vector<RunEnd> { end });
    // While the outcome of an order is unknown the worker is not settled, so the snapshot for a new leader lists no ends.
    agent.step(LeaderMessageReceived { leaderLink, Pong { agent.now.time_since_epoch().count() } });
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, { end } });
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    REQUIRE(agent.find<CallStart>());
    agent.step(CallUnanswered { agent.find<CallStart>()->call });
    const std::optional<CallPoll> poll = agent.find<CallPoll>();
    REQUIRE(poll);
    agent.step(LeaderMessageReceived { LinkId { 2 }, LeaderHello { 2, "new", 2 } });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->settled);
    // An answer with 500 ends, the most that a worker lists, may be incomplete. The worker stays unsettled, but the ends
    // must be reported.
    std::vector<RunEnd> many;
    for (std::uint64_t number = 4; number < 504; ++number)
        many.push_back({ number, { { { "job" }, 0, static_cast<std::uint32_t>(number) }, 1 }, RunEndKind::Done, "" });
    agent.step(agent.answerTo(*poll, {}, many));
    REQUIRE(agent.reported<RunsEnded>());
    CHECK(agent.reported<RunsEnded>()->ends.size() == many.size());
}

TEST_CASE("agent: a run that disappears without an end is reported, also one that the agent only found on the worker", "[jobs]")
{
    AgentUnderTest agent;
    agent.step(GenerationGranted { 2 });
    agent.step(AgentUnderTest::heartbeatOf(firstIncarnation));
    const CallNumber first = agent.lastPoll;
    agent.step(LeaderMessageReceived { leaderLink, LeaderHello { 1, "entry", 2 } });
    agent.step(PollAnswered { first, firstIncarnation.startedAtMs, 5000, { { run, "", 10, 0 } }, {} });
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, { { run, "", 10, 0 } }, {} });
    REQUIRE(agent.machine.settled());
    agent.step(agent.answerTo(*agent.find<CallPoll>()));
    agent.now += milliseconds(2000);
    agent.step(TimePassed {});
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK(agent.reported<WorkerSnapshot>()->running.empty());
    CHECK(agent.machine.nextWakeup() <= agent.now + milliseconds(2000));
}

TEST_CASE("agent: while the list of ends may be incomplete, no snapshot claims to be settled", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    std::vector<RunEnd> many;
    for (std::uint64_t number = 1; number <= 500; ++number)
        many.push_back({ number, { { { "job" }, 0, static_cast<std::uint32_t>(number) }, 1 }, RunEndKind::Done, "" });
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, many });
    CHECK(agent.reported<RunsEnded>());
    agent.step(WorkerHeartbeat { WorkerInfo { firstIncarnation, "service", { 8000, 8000, 0 }, {}, true, {} } });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->settled);
}

TEST_CASE("agent: a grant with a time in the future allows no renewal and no start", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.now += milliseconds(1600);
    const std::int64_t future = (agent.now + std::chrono::hours(1)).time_since_epoch().count();
    agent.step(LeaderMessageReceived { leaderLink, Pong { future } });
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, {} });
    REQUIRE(agent.find<CallPoll>());
    CHECK_FALSE(agent.find<CallPoll>()->leaseUntilMs);
    StartRun order = agent.order();
    order.answeredPingAt = future;
    agent.step(LeaderMessageReceived { leaderLink, order });
    CHECK(agent.reported<RunRejected>());
    CHECK_FALSE(agent.find<CallStart>());
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, {} });
    REQUIRE(agent.find<CallPoll>());
    CHECK_FALSE(agent.find<CallPoll>()->leaseUntilMs);
}

TEST_CASE("agent: while a heartbeat names another incarnation, no lease is granted by the clock of the present one", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, {} });
    REQUIRE(agent.find<CallPoll>());
    REQUIRE(agent.find<CallPoll>()->leaseUntilMs);
    // The clock of the reported incarnation starts at zero, so a lease by the old clock would last as long as a worker
    // allows.
    agent.step(AgentUnderTest::heartbeatOf({ firstIncarnation.id, firstIncarnation.startedAtMs + 5 }));
    REQUIRE(agent.find<CallPoll>());
    CHECK_FALSE(agent.find<CallPoll>()->leaseUntilMs);
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    CHECK_FALSE(agent.find<CallStart>());
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, {} });
    REQUIRE(agent.find<CallPoll>());
    CHECK(agent.find<CallPoll>()->leaseUntilMs);
}

TEST_CASE("agent: a lease by the clock of the previous incarnation is waited for, as the new one may hold it", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, {} });
    REQUIRE(agent.find<CallPoll>()->leaseUntilMs);
    const WorkerIdentity restarted { firstIncarnation.id, firstIncarnation.startedAtMs + 5 };
    agent.step(PollAnswered { agent.lastPoll, restarted.startedAtMs, 100, {}, {} });
    REQUIRE(agent.machine.worker()->identity == restarted);
    const auto unanswered = [](CallNumber call) { return WorkerEvent(CallUnanswered { call }); };
    const auto noHeartbeats = [](TimePoint) { return std::optional<WorkerEvent>(); };
    CHECK_FALSE(agent.reportsNoWorker(milliseconds(6000), unanswered, noHeartbeats));
    CHECK(agent.reportsNoWorker(milliseconds(400), unanswered, noHeartbeats));
}

// Guards against two runs of a task: a lease by the clock of an earlier incarnation outlives the release of the worker's runs.
TEST_CASE("agent: after a call without an answer, no lease is granted until a poll shows which incarnation answers", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, {} });
    REQUIRE(agent.find<CallPoll>()->leaseUntilMs);
    agent.step(CallUnanswered { agent.lastPoll });
    agent.step(LeaderMessageReceived { leaderLink, agent.order() });
    CHECK_FALSE(agent.find<CallStart>());
    agent.now += milliseconds(100);
    agent.step(TimePassed {});
    REQUIRE(agent.find<CallPoll>());
    CHECK_FALSE(agent.find<CallPoll>()->leaseUntilMs);
    CHECK(agent.find<CallPoll>()->wait == Duration {});
    SECTION("the same incarnation is renewed again at once")
    {
        agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5100, {}, {} });
        CHECK(agent.find<CallStart>());
        REQUIRE(agent.find<CallPoll>());
        CHECK(agent.find<CallPoll>()->leaseUntilMs);
    }
    SECTION("a new incarnation holds no lease and may be used")
    {
        agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs + 5, 100, {}, {} });
        REQUIRE(agent.reported<WorkerSnapshot>());
        CHECK_FALSE(agent.reported<WorkerSnapshot>()->worker->longLease);
    }
}

// Guards against the same failure where the new incarnation has already received such a lease.
TEST_CASE("agent: a worker that may hold a lease by the clock of its earlier incarnation runs nothing until the lease is short", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(PollAnswered { agent.lastPoll, firstIncarnation.startedAtMs, 5000, {}, {} });
    REQUIRE(agent.find<CallPoll>()->leaseUntilMs);
    const WorkerIdentity restarted { firstIncarnation.id, firstIncarnation.startedAtMs + 5 };
    const TimePoint renewedAt = agent.now;
    const auto answer = [&agent, &restarted](std::vector<RunStatus> running) {
        agent.step(LeaderMessageReceived { leaderLink, Pong { agent.now.time_since_epoch().count() } });
        agent.step(PollAnswered { agent.lastPoll, restarted.startedAtMs, 100, std::move(running), {} });
    };
    answer({});
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->worker->longLease);
    CHECK(agent.recorded(EventId::LongLeaseHeld));
    // A start that the worker has carried out late is stopped.
    answer({ { run, "", 0, 0 } });
    answer({ { run, "", 0, 0 } });
    REQUIRE(agent.find<CallStop>());
    CHECK(agent.find<CallStop>()->run == run);
    StartRun order { { run.task, 2 }, restarted, "text", "", {}, 2, agent.lastPing };
    agent.step(LeaderMessageReceived { leaderLink, order });
    CHECK(agent.reported<RunRejected>());
    const WorkerMachineConfig config;
    agent.now = renewedAt + config.maximumLease - config.lease - config.leaseMargin;
    CHECK(agent.machine.nextWakeup() <= agent.now);
    agent.step(TimePassed {});
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->worker->longLease);
}

TEST_CASE("agent: its reports state its own failure domain, and that the worker is slow or no longer is", "[evacuation]")
{
    AgentUnderTest agent;
    agent.settle();
    WorkerInfo info { firstIncarnation, "service", { 8000, 8000, 0 }, {}, false, {} };
    // Whatever heartbeats state, the failure domain is that of the agent.
    info.failureDomain = "zone-b";
    info.coldRemaining = milliseconds(900);
    agent.step(WorkerHeartbeat { info });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->worker->failureDomain == "zone-a");
    CHECK(agent.reported<WorkerSnapshot>()->worker->coldRemaining == milliseconds(900));
    info.coldRemaining = milliseconds(400);
    agent.step(WorkerHeartbeat { info });
    CHECK_FALSE(agent.reported<WorkerSnapshot>());
    info.coldRemaining = {};
    agent.step(WorkerHeartbeat { info });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->worker->coldRemaining == Duration {});
}
