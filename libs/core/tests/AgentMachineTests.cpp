#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/AgentMachine.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

constexpr LinkId entryLink { 1 };
constexpr LinkId otherLink { 2 };
constexpr ClaimId ourClaim { Incarnation { 50 }, 1 };
constexpr ClaimId otherClaim { Incarnation { 60 }, 1 };

/// Agent with links to two entries, after the announcements that make it ready.
class ReadyAgent {
public:
    explicit ReadyAgent(Capacity capacity = eightSlots, bool remembers = true)
        : machine({ .name = "agent", .failureDomain = "chuping", .incarnation = Incarnation { 9 } })
    {
        (void)this->step(EntryLinkOpened { entryLink, { "entry", ourClaim.entry, 0, std::chrono::seconds(1) } });
        (void)this->step(EntryLinkOpened { otherLink, { "other", otherClaim.entry, 0, std::chrono::seconds(1) } });
        AnnouncementToken echo;
        for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
            const Announcement announcement { .instance = 1, .sequence = sequence, .echo = echo, .address = "127.0.0.1:1", .capacity = capacity, .remembersFinished = remembers };
            echo = only<ReplyToAnnouncement>(this->step(UpstreamAnnounced { CallerId { 1 }, announcement })).at(0).reply.token;
        }
        (void)this->step(TimePassed {});
    }

    std::vector<AgentEffect> step(const AgentEvent& event) { return this->machine.step(event, this->now); }

    std::vector<AgentEffect> dispatch(LinkId from, const RequestId& id, const AttemptId& attempt, TrafficClass trafficClass)
    {
        return this->step(EntryMessage { from, DispatchRequest { id, attempt, trafficClass, std::chrono::seconds(1), defaultDemand, 0, headOf("/x"), Bytes() } });
    }

    AgentMachine machine;
    TimePoint now = origin;
};

const Completion done = Response { 200, {}, Bytes("done") };

ErrorKind refusalIn(const std::vector<AgentEffect>& effects)
{
    return std::get<FailureReason>(sent<Answer>(effects).at(0).completion).kind;
}

}

TEST_CASE("agent: a request runs once and its answer carries the load", "[agent]")
{
    ReadyAgent agent;
    CHECK(only<CallUpstream>(agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Quick)).size() == 1);
    CHECK(agent.machine.load().free.slots == 7);
    const std::vector<Answer> answers = sent<Answer>(agent.step(UpstreamCallEnded { { 1, 1 }, { ourClaim, 1 }, done }));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].completion == done);
    CHECK(answers[0].load.free.slots == 8);
}

TEST_CASE("agent: a copy of a non-idempotent request joins the call in progress or gets the recorded result", "[agent]")
{
    ReadyAgent agent;
    (void)agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Tally);
    CHECK(only<CallUpstream>(agent.dispatch(otherLink, { 1, 1 }, { otherClaim, 1 }, TrafficClass::Tally)).empty());
    CHECK(sent<Answer>(agent.step(UpstreamCallEnded { { 1, 1 }, { ourClaim, 1 }, done })).size() == 2);
    const std::vector<AgentEffect> again = agent.dispatch(otherLink, { 1, 1 }, { otherClaim, 2 }, TrafficClass::Tally);
    CHECK(only<CallUpstream>(again).empty());
    CHECK(sent<Answer>(again).at(0).completion == done);
}

TEST_CASE("agent: an attempt that arrives after an inquiry about it is refused", "[agent]")
{
    ReadyAgent agent;
    const std::vector<Report> reports = sent<Report>(agent.step(EntryMessage { entryLink, Inquiry { { 1, 1 }, { ourClaim, 1 }, false } }));
    CHECK(reports.at(0).state == RequestState::NotRun);
    const std::vector<AgentEffect> late = agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Tally);
    CHECK(only<CallUpstream>(late).empty());
    CHECK(refusalIn(late) == ErrorKind::Refused);
}

TEST_CASE("agent: a late copy of a refused attempt is dropped, however late, and a new attempt runs", "[agent]")
{
    ReadyAgent agent({ .slots = 1, .connections = 1, .milliCores = 1, .memoryMb = 1 });
    (void)agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Quick);
    CHECK(refusalIn(agent.dispatch(entryLink, { 1, 2 }, { ourClaim, 2 }, TrafficClass::Quick)) == ErrorKind::Busy);
    (void)agent.step(UpstreamCallEnded { { 1, 1 }, { ourClaim, 1 }, done });
    agent.now += std::chrono::hours(1);
    const std::vector<AgentEffect> late = agent.dispatch(entryLink, { 1, 2 }, { ourClaim, 2 }, TrafficClass::Quick);
    CHECK(only<CallUpstream>(late).empty());
    CHECK(sent<Answer>(late).empty());
    CHECK(only<CallUpstream>(agent.dispatch(entryLink, { 1, 2 }, { ourClaim, 3 }, TrafficClass::Quick)).size() == 1);
}

TEST_CASE("agent: a fenced request of another entry is refused with a key conflict", "[agent]")
{
    ReadyAgent agent;
    (void)agent.step(EntryMessage { entryLink, Inquiry { { 1, 1 }, { ourClaim, 1 }, true } });
    const std::vector<AgentEffect> effects = agent.dispatch(otherLink, { 1, 1 }, { otherClaim, 1 }, TrafficClass::Tally);
    CHECK(only<CallUpstream>(effects).empty());
    CHECK(refusalIn(effects) == ErrorKind::KeyConflict);
}

TEST_CASE("agent: after a restart with an upstream that does not report finished requests, non-idempotent ones are refused for the repeat window", "[agent]")
{
    ReadyAgent agent(eightSlots, false);
    CHECK_FALSE(agent.machine.load().ledgerComplete);
    CHECK(refusalIn(agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Tally)) == ErrorKind::AgentRestarted);
    CHECK(sent<Report>(agent.step(EntryMessage { entryLink, Inquiry { { 1, 2 }, { ourClaim, 2 }, true } })).at(0).state == RequestState::Forgotten);
    CHECK(only<CallUpstream>(agent.dispatch(entryLink, { 1, 3 }, { ourClaim, 3 }, TrafficClass::Quick)).size() == 1);
    agent.now += LedgerLimits {}.repeatWindow;
    (void)agent.step(TimePassed {});
    CHECK(only<CallUpstream>(agent.dispatch(entryLink, { 1, 4 }, { ourClaim, 4 }, TrafficClass::Tally)).size() == 1);
}

TEST_CASE("agent: the loss of a link abandons its idempotent calls and keeps its non-idempotent ones", "[agent]")
{
    ReadyAgent agent;
    (void)agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Quick);
    (void)agent.dispatch(entryLink, { 1, 2 }, { ourClaim, 2 }, TrafficClass::Tally);
    const std::vector<AbandonCall> abandoned = only<AbandonCall>(agent.step(EntryLinkClosed { entryLink }));
    REQUIRE(abandoned.size() == 1);
    CHECK(abandoned[0].id == RequestId { 1, 1 });
    CHECK(agent.machine.load().free.slots == 6);
    (void)agent.step(EntryLinkOpened { LinkId { 3 }, { "entry", ourClaim.entry, 0, std::chrono::seconds(1) } });
    const std::vector<Report> reports = sent<Report>(agent.step(EntryMessage { LinkId { 3 }, Inquiry { { 1, 2 }, { ourClaim, 2 }, false } }));
    CHECK(reports.at(0).state == RequestState::Running);
    CHECK(sent<Answer>(agent.step(UpstreamCallEnded { { 1, 2 }, { ourClaim, 2 }, done })).size() == 1);
}

TEST_CASE("agent: a cancelled call is abandoned at once, and its slot stays allocated until the upstream shows the end", "[agent]")
{
    ReadyAgent agent;
    (void)agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Quick);
    CHECK(only<AbandonCall>(agent.step(EntryMessage { entryLink, Cancel { { 1, 1 }, { ourClaim, 1 } } })).size() == 1);
    CHECK(agent.machine.load().free.slots == 7);
    CHECK(only<AbandonCall>(agent.step(EntryMessage { entryLink, Cancel { { 1, 1 }, { ourClaim, 1 } } })).empty());
}

TEST_CASE("agent: a request that cannot reach the upstream has not run and may be sent again", "[agent]")
{
    ReadyAgent agent;
    (void)agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Tally);
    const FailureReason unreachable { ErrorKind::UpstreamUnreachable, "refused" };
    CHECK(refusalIn(agent.step(UpstreamCallEnded { { 1, 1 }, { ourClaim, 1 }, unreachable })) == ErrorKind::UpstreamUnreachable);
    CHECK(agent.machine.load().free.slots == 8);
    CHECK(only<CallUpstream>(agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 2 }, TrafficClass::Tally)).size() == 1);
}

TEST_CASE("agent: a draining agent refuses requests and notifies entries at once, and is drained after the last call", "[agent]")
{
    ReadyAgent agent;
    (void)agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Quick);
    const std::vector<AgentEffect> stopping = agent.step(StopRequested {});
    CHECK(sent<LoadReport>(stopping).size() == 2);
    CHECK(sent<LoadReport>(stopping).at(0).load.draining);
    CHECK(only<Drained>(stopping).empty());
    CHECK(refusalIn(agent.dispatch(entryLink, { 1, 2 }, { ourClaim, 2 }, TrafficClass::Quick)) == ErrorKind::Draining);
    CHECK(only<Drained>(agent.step(UpstreamCallEnded { { 1, 1 }, { ourClaim, 1 }, done })).size() == 1);
}

TEST_CASE("agent: a leaving upstream is reported to entries at once", "[agent]")
{
    ReadyAgent agent;
    const Announcement leaving { .instance = 1, .sequence = 9, .address = "127.0.0.1:1", .capacity = eightSlots, .leaving = true };
    CHECK(sent<LoadReport>(agent.step(UpstreamAnnounced { CallerId { 1 }, leaving })).size() == 2);
    CHECK(refusalIn(agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Quick)) == ErrorKind::Draining);
}

TEST_CASE("agent: greater rules versions are forwarded, smaller and invalid ones are not", "[agent]")
{
    ReadyAgent agent;
    const std::string two = "version 2\nrule a class=quick # x: y\n";
    const std::vector<AgentEffect> first = agent.step(EntryMessage { entryLink, RulesUpdate { 2, two } });
    REQUIRE(sent<RulesUpdate>(first).size() == 1);
    CHECK(only<SendToLink>(first).at(0).link == otherLink);
    CHECK(sent<RulesUpdate>(agent.step(EntryMessage { otherLink, RulesUpdate { 1, "version 1\n" } })).empty());
    CHECK(only<RecordEvent>(agent.step(EntryMessage { otherLink, RulesUpdate { 3, "version 3\nrule" } })).at(0).event == EventId::RulesRefused);
    CHECK(agent.machine.rules().version() == 2);
    const std::vector<AgentEffect> opened = agent.step(EntryLinkOpened { LinkId { 3 }, { "late", Incarnation { 70 }, 1, std::chrono::seconds(1) } });
    CHECK(sent<RulesUpdate>(opened).size() == 1);
}

TEST_CASE("agent: a request of a class that the upstream does not accept is refused", "[agent]")
{
    ReadyAgent agent;
    const Announcement quickOnly { .instance = 1, .sequence = 9, .address = "127.0.0.1:1", .capacity = eightSlots, .classes = { TrafficClass::Quick } };
    (void)agent.step(UpstreamAnnounced { CallerId { 1 }, quickOnly });
    CHECK(refusalIn(agent.dispatch(entryLink, { 1, 1 }, { ourClaim, 1 }, TrafficClass::Batch)) == ErrorKind::Refused);
}

TEST_CASE("agent: requests of two entries that started in the same microsecond are kept apart", "[agent]")
{
    constexpr std::chrono::microseconds start { 1'796'407'200'000'000 };
    const Incarnation first = saltedIncarnation(start, 0x5a1);
    const Incarnation second = saltedIncarnation(start, 0x5a2);
    ReadyAgent agent;
    const RequestId ours { static_cast<std::uint64_t>(first), 1 };
    const RequestId others { static_cast<std::uint64_t>(second), 1 };
    CHECK(only<CallUpstream>(agent.dispatch(entryLink, ours, { { first, 1 }, 1 }, TrafficClass::Quick)).size() == 1);
    CHECK(only<CallUpstream>(agent.dispatch(otherLink, others, { { second, 1 }, 1 }, TrafficClass::Quick)).size() == 1);
    CHECK(sent<Answer>(agent.step(UpstreamCallEnded { ours, { { first, 1 }, 1 }, done })).size() == 1);
    CHECK(only<CallUpstream>(agent.dispatch(otherLink, { others.high, 2 }, { { second, 2 }, 2 }, TrafficClass::Quick)).size() == 1);
    CHECK(only<CallUpstream>(agent.dispatch(entryLink, { ours.high, 2 }, { { first, 2 }, 2 }, TrafficClass::Quick)).size() == 1);
}

TEST_CASE("agent: an incarnation increases with the start time, whatever the salt", "[agent]")
{
    constexpr std::chrono::microseconds start { 1'796'407'200'000'000 };
    constexpr std::uint64_t anySalt = ~std::uint64_t { 0 };
    CHECK(saltedIncarnation(start + std::chrono::microseconds(1), 0) > saltedIncarnation(start, anySalt));
    CHECK(saltedIncarnation(start, anySalt) != saltedIncarnation(start, 0));
}
