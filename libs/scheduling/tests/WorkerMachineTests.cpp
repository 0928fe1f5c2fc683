#include "Values.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/WorkerMachine.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

namespace {

const LinkId leaderLink { 1 };
const RunId run { { { "job" }, 0, 0 }, 1 };

/// State machine of one agent, the effects of its last step, and functions that drive it.
struct AgentUnderTest {
    WorkerMachine machine { WorkerMachineConfig { .agent = "agent" }, start };
    WorkerMachine::Effects effects {};
    TimePoint now = start;

    CallNumber lastLook {};
    std::int64_t lastPing = 0;

    void step(const WorkerEvent& event)
    {
        this->effects = this->machine.step(event, this->now);
        const std::optional<CallLook> look = this->find<CallLook>();
        this->lastLook = look ? look->call : this->lastLook;
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

    LookAnswered answerTo(const CallLook& look, std::vector<RunStatus> running = {}, std::vector<RunEnd> ended = {}) const
    {
        return { look.call, firstLife.born, 5000, std::move(running), std::move(ended) };
    }

    bool recorded(EventId event) const
    {
        return std::any_of(this->effects.begin(), this->effects.end(), [event](const WorkerEffect& effect) {
            const RecordEvent* const record = std::get_if<RecordEvent>(&effect);
            return record && record->event == event;
        });
    }

    static WorkerBeat beatOf(const WorkerIdentity& identity, Room capacity = { 8000, 8000, 0 })
    {
        return { WorkerInfo { identity, "service", capacity, {}, false, {} } };
    }

    /// Advances the time in steps of 100 ms.
    /// @param length how long
    /// @param calls returns the event that ends a poll
    /// @param beats returns the heartbeat that arrives in a step, or nothing
    /// @return whether the leader received a settled snapshot without a worker, so that nothing runs
    template <typename Calls, typename Beats>
    bool toldThatNothingRuns(Duration length, const Calls& calls, const Beats& beats)
    {
        bool told = false;
        const auto play = [this, &told](const WorkerEvent& event) {
            this->step(event);
            const std::optional<WorkerSnapshot> snapshot = this->reported<WorkerSnapshot>();
            told = told || (snapshot && snapshot->settled && !snapshot->worker);
        };
        std::optional<CallNumber> look = this->lastLook;
        for (const TimePoint end = this->now + length; this->now < end;) {
            this->now += milliseconds(100);
            if (look)
                play(calls(*look));
            look = look == this->lastLook ? std::nullopt : std::optional<CallNumber>(this->lastLook);
            const std::optional<WorkerEvent> beat = beats(this->now);
            play(beat ? *beat : WorkerEvent(TimePassed {}));
            look = this->find<CallLook>() ? this->lastLook : look;
        }
        return told;
    }

    /// Brings the machine to the state in which its worker is settled and the leader has just sent a renewal grant.
    void settle()
    {
        this->step(GenerationGranted { 2 });
        this->step(WorkerBeat { WorkerInfo { firstLife, "service", { 8000, 8000, 0 }, {}, false, {} } });
        const CallLook look = *this->find<CallLook>();
        this->step(LeaderSaid { leaderLink, LeaderHello { 1, "entry", 2 } });
        this->step(this->answerTo(look));
        this->step(this->answerTo(*this->find<CallLook>()));
        this->step(LeaderSaid { leaderLink, Pong { this->now.time_since_epoch().count() } });
    }

    StartRun order() const { return { run, firstLife, "text", "", {}, 1, this->lastPing }; }
};

}

TEST_CASE("agent: a worker is settled once it answers a poll with a token that no earlier run of the agent has used", "[jobs]")
{
    AgentUnderTest agent;
    agent.step(WorkerBeat { WorkerInfo { firstLife, "service", { 8000, 8000, 0 }, {}, false, {} } });
    CHECK_FALSE(agent.find<CallLook>());
    agent.step(GenerationGranted { 2 });
    const std::optional<CallLook> look = agent.find<CallLook>();
    REQUIRE(look);
    CHECK(look->wait == Duration {});
    CHECK_FALSE(look->leaseUntilMs);
    // An earlier run of the agent may have used the same token, and its orders may still be in flight.
    agent.step(agent.answerTo(*look));
    CHECK_FALSE(agent.machine.settled());
    const std::optional<CallLook> greater = agent.find<CallLook>();
    REQUIRE(greater);
    CHECK(greater->token > look->token);
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
    agent.step(CallUnanswered { agent.lastLook });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    agent.step(CallFenced { agent.find<CallLook>()->call });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    const CallLook first = *agent.find<CallLook>();
    agent.step(agent.answerTo(first));
    CHECK_FALSE(agent.machine.settled());
    const CallLook second = *agent.find<CallLook>();
    CHECK(second.token > first.token);
    agent.step(agent.answerTo(second));
    CHECK(agent.machine.settled());
}

TEST_CASE("agent: leases are renewed only while the leader's grant is valid", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.now += milliseconds(500);
    agent.step(CallUnanswered { agent.lastLook });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    REQUIRE(agent.find<CallLook>());
    CHECK(agent.find<CallLook>()->leaseUntilMs);
    agent.step(agent.answerTo(*agent.find<CallLook>()));
    agent.now += milliseconds(900);
    agent.step(agent.answerTo(*agent.find<CallLook>()));
    CHECK_FALSE(agent.find<CallLook>()->leaseUntilMs);
}

TEST_CASE("agent: an order without an answer is voided by a higher token before its run is rejected", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderSaid { leaderLink, agent.order() });
    const CallStart order = *agent.find<CallStart>();
    agent.step(CallUnanswered { order.call });
    CHECK_FALSE(agent.machine.settled());
    CHECK_FALSE(agent.reported<RunRejected>());
    const CallLook look = *agent.find<CallLook>();
    CHECK(look.token > order.token);
    agent.step(agent.answerTo(look));
    REQUIRE(agent.reported<RunRejected>());
    CHECK(agent.reported<RunRejected>()->run == run);
}

TEST_CASE("agent: an unanswered order that was executed is not rejected", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderSaid { leaderLink, agent.order() });
    agent.step(CallUnanswered { agent.find<CallStart>()->call });
    agent.step(agent.answerTo(*agent.find<CallLook>(), { { run, "", 10, 0 } }));
    CHECK_FALSE(agent.reported<RunRejected>());
    CHECK(agent.machine.settled());
}

TEST_CASE("agent: an order that is late or for another incarnation is refused", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    StartRun late = agent.order();
    late.word -= Duration(std::chrono::seconds(2)).count();
    agent.step(LeaderSaid { leaderLink, late });
    CHECK(agent.reported<RunRejected>());
    CHECK_FALSE(agent.find<CallStart>());
    StartRun other = agent.order();
    other.worker.born = 99;
    agent.step(LeaderSaid { leaderLink, other });
    CHECK(agent.reported<RunRejected>());
}

TEST_CASE("agent: the link of a leader of an older epoch is closed, a newer leader replaces the link", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderSaid { LinkId { 2 }, LeaderHello { 0, "old", 0 } });
    CHECK(agent.find<CloseLeaderLink>()->link == LinkId { 2 });
    agent.step(LeaderSaid { LinkId { 3 }, LeaderHello { 2, "new", 0 } });
    CHECK(agent.find<CloseLeaderLink>()->link == leaderLink);
    agent.step(LeaderSaid { leaderLink, agent.order() });
    CHECK_FALSE(agent.find<CallStart>());
}

TEST_CASE("agent: the link of a leader that names another agent is closed and replaces no link", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LeaderSaid { LinkId { 2 }, LeaderHello { 1, "entry", 0, "other" } });
    REQUIRE(agent.find<CloseLeaderLink>());
    CHECK(agent.find<CloseLeaderLink>()->link == LinkId { 2 });
    CHECK_FALSE(agent.reported<WorkerSnapshot>());
    agent.step(LeaderSaid { leaderLink, agent.order() });
    CHECK(agent.find<CallStart>());
    agent.step(LeaderSaid { LinkId { 3 }, LeaderHello { 2, "new", 0, "agent" } });
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
    agent.step(CallUnanswered { agent.lastLook });
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    const CallLook look = *agent.find<CallLook>();
    CHECK(look.acknowledgeUpTo == 0);
    agent.step(agent.answerTo(look, {}, { end }));
    REQUIRE(agent.reported<RunsEnded>());
    CHECK(agent.reported<RunsEnded>()->ends == std::vector<RunEnd> { end });
    agent.step(LeaderSaid { leaderLink, AcknowledgeEnds { firstLife, 4 } });
    REQUIRE(agent.find<CallLook>());
    CHECK(agent.find<CallLook>()->acknowledgeUpTo == 4);
}

TEST_CASE("agent: a silent worker counts as gone only after its leases must have expired", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const TimePoint renewed = agent.now;
    while (agent.now < renewed + milliseconds(3100)) {
        const std::optional<CallLook> look = agent.find<CallLook>();
        if (look)
            agent.step(CallUnanswered { look->call });
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
    agent.step(LeaderSaid { leaderLink, agent.order() });
    const CallStart order = *agent.find<CallStart>();
    agent.step(CallFenced { order.call });
    CHECK(agent.reported<RunRejected>());
    agent.now += milliseconds(200);
    agent.step(TimePassed {});
    REQUIRE(agent.find<CallLook>());
    CHECK(agent.find<CallLook>()->token > order.token + 1000);
}

TEST_CASE("agent: a heartbeat of an earlier incarnation changes nothing, one of a new incarnation that answers replaces the worker", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(AgentUnderTest::beatOf({ "worker", firstLife.born - 1 }, { 1, 1, 0 }));
    CHECK(agent.machine.worker()->identity == firstLife);
    REQUIRE(agent.find<CallLook>());
    agent.step(agent.answerTo(*agent.find<CallLook>()));
    CHECK(agent.machine.worker()->identity == firstLife);
    CHECK(agent.machine.worker()->capacity == Room { 8000, 8000, 0 });
    CHECK(agent.machine.settled());
    agent.step(AgentUnderTest::beatOf({ "worker", 7 }, { 1, 1, 0 }));
    REQUIRE(agent.find<CallLook>());
    agent.step(LookAnswered { agent.find<CallLook>()->call, 7, 100, {}, {} });
    CHECK(agent.machine.worker()->identity.born == 7);
    CHECK(agent.machine.worker()->capacity == Room { 1, 1, 0 });
    CHECK_FALSE(agent.machine.settled());
}

TEST_CASE("agent: a new incarnation with an earlier start time is used", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerIdentity reborn { "worker", firstLife.born - 1000 };
    agent.step(AgentUnderTest::beatOf(reborn));
    const std::optional<CallLook> look = agent.find<CallLook>();
    REQUIRE(look);
    CHECK(look->worker == firstLife.id);
    CHECK(look->wait == Duration {});
    agent.step(LookAnswered { look->call, reborn.born, 100, {}, {} });
    CHECK(agent.machine.worker()->identity == reborn);
    for (int count = 0; count < 2; ++count) {
        REQUIRE(agent.find<CallLook>());
        agent.step(LookAnswered { agent.find<CallLook>()->call, reborn.born, 100, {}, {} });
    }
    CHECK(agent.machine.settled());
}

TEST_CASE("agent: a heartbeat of another writer does not end a worker that answers", "[jobs]")
{
    const WorkerIdentity foreign = GENERATE(WorkerIdentity { "other-writer", 5 }, WorkerIdentity { firstLife.id, firstLife.born + 1'000'000'000 });
    AgentUnderTest agent;
    agent.settle();
    agent.step(AgentUnderTest::beatOf(foreign));
    CHECK(agent.machine.worker()->identity == firstLife);
    CHECK(agent.machine.settled());
    const std::optional<CallLook> look = agent.find<CallLook>();
    REQUIRE(look);
    CHECK(look->worker == firstLife.id);
    agent.step(agent.answerTo(*look));
    CHECK(agent.recorded(EventId::BeatPassedOver));
    CHECK(agent.machine.worker()->identity == firstLife);
    CHECK(agent.machine.settled());
    agent.step(LeaderSaid { leaderLink, agent.order() });
    CHECK(agent.find<CallStart>());
}

TEST_CASE("agent: a foreign heartbeat during each poll does not keep the answers from being handled", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(AgentUnderTest::beatOf({ "other-writer", 5 }));
    const std::optional<CallLook> look = agent.find<CallLook>();
    REQUIRE(look);
    agent.step(AgentUnderTest::beatOf({ "other-writer", 6 }));
    CHECK_FALSE(agent.find<CallLook>());
    agent.step(agent.answerTo(*look, { { run, "", 10, 0 } }));
    // The second heartbeat arrived after that poll had been sent, so its answer does not refute the heartbeat.
    CHECK_FALSE(agent.recorded(EventId::BeatPassedOver));
    REQUIRE(agent.find<CallLook>());
    CHECK(agent.find<CallLook>()->wait == Duration {});
    agent.step(agent.answerTo(*agent.find<CallLook>()));
    CHECK(agent.recorded(EventId::BeatPassedOver));
}

TEST_CASE("agent: an incarnation known from a heartbeat takes over once a call to the present one is misdirected", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerIdentity successor { "successor", 3 };
    agent.step(AgentUnderTest::beatOf(successor));
    CHECK(agent.machine.worker()->identity == firstLife);
    REQUIRE(agent.find<CallLook>());
    agent.step(CallMisdirected { agent.find<CallLook>()->call });
    REQUIRE(agent.machine.worker());
    CHECK(agent.machine.worker()->identity == successor);
    CHECK(agent.recorded(EventId::WorkerGone));
    REQUIRE(agent.find<CallLook>());
    CHECK(agent.find<CallLook>()->worker == successor.id);
    CHECK(agent.reported<WorkerSnapshot>());
}

TEST_CASE("agent: an incarnation is reported as ended when another one answers its call", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(CallMisdirected { agent.lastLook });
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
    const auto beats = [&next, interval](TimePoint now) -> std::optional<WorkerEvent> {
        if (now < next)
            return std::nullopt;
        next = now + interval;
        const std::int64_t born = now.time_since_epoch().count();
        return AgentUnderTest::beatOf({ born % 2 == 0 ? "other-writer" : "worker", born });
    };
    // The leases of a silent worker are renewed for 1 s after its last answer, each time for 3 s and a margin.
    CHECK(agent.toldThatNothingRuns(milliseconds(4600), calls, beats));
}

TEST_CASE("agent: a new leader learns that nothing runs although a heartbeat named an incarnation that never answers", "[jobs]")
{
    // Leases that an earlier run of the agent may have renewed expire 3.15 s after the start of this one.
    AgentUnderTest agent;
    agent.step(GenerationGranted { 2 });
    agent.now += milliseconds(3200);
    agent.step(AgentUnderTest::beatOf(firstLife));
    agent.step(LeaderSaid { leaderLink, LeaderHello { 1, "entry", 2 } });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->worker);
}

TEST_CASE("agent: a single heartbeat with another capacity changes nothing, a repeated one does", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const Room odd { 64000, 64000, 8 };
    agent.step(AgentUnderTest::beatOf(firstLife, odd));
    CHECK(agent.machine.worker()->capacity == Room { 8000, 8000, 0 });
    agent.step(AgentUnderTest::beatOf(firstLife));
    agent.step(AgentUnderTest::beatOf(firstLife, odd));
    CHECK(agent.machine.worker()->capacity == Room { 8000, 8000, 0 });
    agent.step(AgentUnderTest::beatOf(firstLife, odd));
    CHECK(agent.machine.worker()->capacity == odd);
    WorkerBeat leaving { WorkerInfo { firstLife, "service", { 8000, 8000, 0 }, {}, true, {} } };
    agent.step(leaving);
    CHECK(agent.machine.worker()->draining);
    CHECK(agent.machine.worker()->capacity == odd);
}

TEST_CASE("agent: an incarnation known only from a poll takes the capacity of its first heartbeat", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerIdentity reborn { firstLife.id, firstLife.born + 5 };
    agent.step(LookAnswered { agent.lastLook, reborn.born, 100, {}, {} });
    CHECK(agent.machine.worker()->identity == reborn);
    CHECK(agent.machine.worker()->capacity == Room {});
    agent.step(AgentUnderTest::beatOf(reborn, { 4000, 4000, 0 }));
    CHECK(agent.machine.worker()->capacity == Room { 4000, 4000, 0 });
}

TEST_CASE("agent: the capacity in a refuted heartbeat is not used", "[jobs]")
{
    AgentUnderTest agent;
    agent.step(GenerationGranted { 2 });
    agent.step(AgentUnderTest::beatOf({ firstLife.id, firstLife.born + 5 }, { 64000, 64000, 8 }));
    REQUIRE(agent.find<CallLook>());
    agent.step(agent.answerTo(*agent.find<CallLook>()));
    CHECK_FALSE(agent.machine.worker());
    agent.step(AgentUnderTest::beatOf(firstLife));
    REQUIRE(agent.machine.worker());
    CHECK(agent.machine.worker()->capacity == Room { 8000, 8000, 0 });
}

TEST_CASE("agent: a single late heartbeat does not end draining", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const WorkerInfo leaving { firstLife, "service", { 8000, 8000, 0 }, {}, true, {} };
    agent.step(WorkerBeat { leaving });
    CHECK(agent.machine.worker()->draining);
    agent.step(AgentUnderTest::beatOf(firstLife));
    CHECK(agent.machine.worker()->draining);
    agent.step(AgentUnderTest::beatOf(firstLife));
    CHECK_FALSE(agent.machine.worker()->draining);
}

TEST_CASE("agent: a late sign-off does not end a worker that answers", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { firstLife.id });
    CHECK(agent.machine.worker()->draining);
    // This answer may have been sent before the worker ended, so it does not refute the sign-off.
    REQUIRE(agent.find<CallLook>());
    agent.step(agent.answerTo(*agent.find<CallLook>(), { { run, "", 10, 0 } }));
    CHECK(agent.machine.worker()->draining);
    CHECK_FALSE(agent.find<CallLook>());
    agent.now += milliseconds(300);
    agent.step(TimePassed {});
    REQUIRE(agent.machine.worker());
    const std::optional<CallLook> look = agent.find<CallLook>();
    REQUIRE(look);
    CHECK(look->wait == Duration {});
    agent.step(agent.answerTo(*look, { { run, "", 10, 0 } }));
    CHECK(agent.recorded(EventId::BeatPassedOver));
    REQUIRE(agent.machine.worker());
    CHECK(agent.machine.worker()->identity == firstLife);
    CHECK_FALSE(agent.machine.worker()->draining);
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK(agent.reported<WorkerSnapshot>()->running.size() == 1);
    agent.step(LeaderSaid { leaderLink, agent.order() });
    CHECK(agent.find<CallStart>());
}

TEST_CASE("agent: after a refuted sign-off a worker stays draining if its heartbeat said so", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerBeat { WorkerInfo { firstLife, "service", { 8000, 8000, 0 }, {}, true, {} } });
    agent.step(WorkerSignedOff { firstLife.id });
    agent.now += milliseconds(300);
    agent.step(agent.answerTo(*agent.find<CallLook>()));
    REQUIRE(agent.find<CallLook>());
    agent.step(agent.answerTo(*agent.find<CallLook>()));
    CHECK(agent.recorded(EventId::BeatPassedOver));
    CHECK(agent.machine.worker()->draining);
}

TEST_CASE("agent: a heartbeat in flight at the sign-off does not void it", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { firstLife.id });
    agent.step(AgentUnderTest::beatOf(firstLife));
    CHECK(agent.machine.worker()->draining);
}

TEST_CASE("agent: after a wrong sign-off a silent worker keeps its runs until its leases have expired", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    // The renewal grant is fresh, so the next poll renews the leases.
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, { { run, "", 10, 0 } }, {} });
    REQUIRE(agent.find<CallLook>());
    REQUIRE(agent.find<CallLook>()->leaseUntilMs);
    agent.step(WorkerSignedOff { firstLife.id });
    const auto unanswered = [](CallNumber call) { return WorkerEvent(CallUnanswered { call }); };
    const auto noBeats = [](TimePoint) { return std::optional<WorkerEvent>(); };
    CHECK_FALSE(agent.toldThatNothingRuns(milliseconds(3000), unanswered, noBeats));
    // No poll renews leases after the sign-off, so they expire 3.15 s after the last renewal before it.
    CHECK(agent.toldThatNothingRuns(milliseconds(400), unanswered, noBeats));
}

TEST_CASE("agent: a worker that signed off and whose calls are misdirected is reported as gone", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(WorkerSignedOff { firstLife.id });
    REQUIRE(agent.find<CallLook>());
    agent.step(CallMisdirected { agent.find<CallLook>()->call });
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
    agent.step(WorkerSignedOff { firstLife.id });
    REQUIRE(agent.find<CallLook>());
    agent.step(LookAnswered { agent.find<CallLook>()->call, firstLife.born + 700, 100, {}, {} });
    CHECK(agent.machine.worker()->identity.born == firstLife.born + 700);
    CHECK_FALSE(agent.machine.worker()->draining);
}

TEST_CASE("agent: an end that the leader has not acknowledged is reported again, on the same link and on a new one", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    const RunEnd end { 4, run, RunEndKind::Done, "" };
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, { end } });
    REQUIRE(agent.reported<RunsEnded>());
    agent.step(CallUnanswered { agent.lastLook });
    agent.now += milliseconds(2000);
    agent.step(TimePassed {});
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK(agent.reported<WorkerSnapshot>()->settled);
    CHECK(agent.reported<WorkerSnapshot>()->ended == std::vector<RunEnd> { end });
    // While the outcome of an order is unknown the worker is not settled, so the snapshot for a new leader lists no ends.
    agent.step(LeaderSaid { leaderLink, Pong { agent.now.time_since_epoch().count() } });
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, { end } });
    agent.step(LeaderSaid { leaderLink, agent.order() });
    REQUIRE(agent.find<CallStart>());
    agent.step(CallUnanswered { agent.find<CallStart>()->call });
    const std::optional<CallLook> look = agent.find<CallLook>();
    REQUIRE(look);
    agent.step(LeaderSaid { LinkId { 2 }, LeaderHello { 2, "new", 2 } });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->settled);
    // An answer with 500 ends, the most that a worker lists, may be incomplete. The worker stays unsettled, but the ends
    // must be reported.
    std::vector<RunEnd> many;
    for (std::uint64_t number = 4; number < 504; ++number)
        many.push_back({ number, { { { "job" }, 0, static_cast<std::uint32_t>(number) }, 1 }, RunEndKind::Done, "" });
    agent.step(agent.answerTo(*look, {}, many));
    REQUIRE(agent.reported<RunsEnded>());
    CHECK(agent.reported<RunsEnded>()->ends.size() == many.size());
}

TEST_CASE("agent: a run that disappears without an end is reported, also one that the agent only found on the worker", "[jobs]")
{
    AgentUnderTest agent;
    agent.step(GenerationGranted { 2 });
    agent.step(AgentUnderTest::beatOf(firstLife));
    const CallNumber first = agent.lastLook;
    agent.step(LeaderSaid { leaderLink, LeaderHello { 1, "entry", 2 } });
    agent.step(LookAnswered { first, firstLife.born, 5000, { { run, "", 10, 0 } }, {} });
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, { { run, "", 10, 0 } }, {} });
    REQUIRE(agent.machine.settled());
    agent.step(agent.answerTo(*agent.find<CallLook>()));
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
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, many });
    CHECK(agent.reported<RunsEnded>());
    agent.step(WorkerBeat { WorkerInfo { firstLife, "service", { 8000, 8000, 0 }, {}, true, {} } });
    REQUIRE(agent.reported<WorkerSnapshot>());
    CHECK_FALSE(agent.reported<WorkerSnapshot>()->settled);
}

TEST_CASE("agent: a grant with a time in the future allows no renewal and no start", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.now += milliseconds(1600);
    const std::int64_t future = (agent.now + std::chrono::hours(1)).time_since_epoch().count();
    agent.step(LeaderSaid { leaderLink, Pong { future } });
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, {} });
    REQUIRE(agent.find<CallLook>());
    CHECK_FALSE(agent.find<CallLook>()->leaseUntilMs);
    StartRun order = agent.order();
    order.word = future;
    agent.step(LeaderSaid { leaderLink, order });
    CHECK(agent.reported<RunRejected>());
    CHECK_FALSE(agent.find<CallStart>());
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, {} });
    REQUIRE(agent.find<CallLook>());
    CHECK_FALSE(agent.find<CallLook>()->leaseUntilMs);
}

TEST_CASE("agent: while a heartbeat names another incarnation, no lease is granted by the clock of the present one", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, {} });
    REQUIRE(agent.find<CallLook>());
    REQUIRE(agent.find<CallLook>()->leaseUntilMs);
    // The clock of the reported incarnation starts at zero, so a lease by the old clock would last as long as a worker
    // allows.
    agent.step(AgentUnderTest::beatOf({ firstLife.id, firstLife.born + 5 }));
    REQUIRE(agent.find<CallLook>());
    CHECK_FALSE(agent.find<CallLook>()->leaseUntilMs);
    agent.step(LeaderSaid { leaderLink, agent.order() });
    CHECK_FALSE(agent.find<CallStart>());
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, {} });
    REQUIRE(agent.find<CallLook>());
    CHECK(agent.find<CallLook>()->leaseUntilMs);
}

TEST_CASE("agent: a lease by the clock of the previous incarnation is waited for, as the new one may hold it", "[jobs]")
{
    AgentUnderTest agent;
    agent.settle();
    agent.step(LookAnswered { agent.lastLook, firstLife.born, 5000, {}, {} });
    REQUIRE(agent.find<CallLook>()->leaseUntilMs);
    const WorkerIdentity reborn { firstLife.id, firstLife.born + 5 };
    agent.step(LookAnswered { agent.lastLook, reborn.born, 100, {}, {} });
    REQUIRE(agent.machine.worker()->identity == reborn);
    const auto unanswered = [](CallNumber call) { return WorkerEvent(CallUnanswered { call }); };
    const auto noBeats = [](TimePoint) { return std::optional<WorkerEvent>(); };
    CHECK_FALSE(agent.toldThatNothingRuns(milliseconds(6000), unanswered, noBeats));
    CHECK(agent.toldThatNothingRuns(milliseconds(400), unanswered, noBeats));
}
