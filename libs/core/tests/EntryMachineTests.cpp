#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/EntryMachine.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

constexpr Capacity total = eightSlots;
const Load freeLoad { total, total, true, false, true };
const Completion done = Response { 200, {}, Bytes("done") };

/// Entry with rules and linked agents, after the time to wait for further agents.
class LinkedEntry {
public:
    explicit LinkedEntry(std::uint64_t agents = 3, EntryConfig config = {})
        : machine(named(std::move(config)))
    {
        (void)this->step(RulesLoaded { rulesOf(threeRules) });
        for (std::uint64_t agent = 1; agent <= agents; ++agent)
            this->link(agent, Incarnation { agent });
        this->now += std::chrono::seconds(5);
        (void)this->step(TimePassed {});
    }

    void link(std::uint64_t number, Incarnation incarnation, LinkId link)
    {
        this->last = this->step(AgentLinkOpened { link, Hello { "agent-" + std::to_string(number), incarnation, "chuping", 1, freeLoad } });
    }

    void link(std::uint64_t number, Incarnation incarnation) { this->link(number, incarnation, LinkId { number }); }

    std::vector<EntryEffect> step(const EntryEvent& event) { return this->machine.step(event, this->now); }

    std::vector<EntryEffect> after(Duration duration)
    {
        this->now += duration;
        return this->step(TimePassed {});
    }

    std::vector<EntryEffect> ask(std::uint64_t caller, const std::string& target, const std::string& key = "")
    {
        return this->step(RequestArrived { CallerId { caller }, headOf(target, key), Bytes() });
    }

    std::vector<EntryEffect> answer(const SendToLink& dispatch, const Completion& completion, const Load& load = freeLoad)
    {
        const DispatchRequest& request = std::get<DispatchRequest>(dispatch.message);
        return this->step(AgentMessage { dispatch.link, Answer { request.id, request.attempt, completion, load } });
    }

    /// Reports NotRun for all inquiries among the effects, and returns the effects of these reports.
    std::vector<EntryEffect> fence(const std::vector<EntryEffect>& effects)
    {
        std::vector<EntryEffect> next;
        for (const SendToLink& send : only<SendToLink>(effects)) {
            const Inquiry* const inquiry = std::get_if<Inquiry>(&send.message);
            if (!inquiry)
                continue;
            for (const EntryEffect& effect : this->step(AgentMessage { send.link, Report { inquiry->id, inquiry->attempt, RequestState::NotRun, std::nullopt } }))
                next.push_back(effect);
        }
        return next;
    }

    EntryMachine machine;
    TimePoint now = origin;
    std::vector<EntryEffect> last;

private:
    static EntryConfig named(EntryConfig config)
    {
        config.name = "entry";
        config.incarnation = Incarnation { 100 };
        config.router.failureDomain = "chuping";
        return config;
    }
};

std::vector<SendToLink> dispatches(const std::vector<EntryEffect>& effects)
{
    std::vector<SendToLink> found;
    for (const SendToLink& send : only<SendToLink>(effects)) {
        if (std::holds_alternative<DispatchRequest>(send.message))
            found.push_back(send);
    }
    return found;
}

ErrorKind failureIn(const std::vector<EntryEffect>& effects)
{
    return std::get<FailureReason>(only<ReplyToCaller>(effects).at(0).completion).kind;
}

}

TEST_CASE("entry: an answer goes to the caller of its request", "[entry]")
{
    LinkedEntry entry;
    const SendToLink one = dispatches(entry.ask(1, "/quick/1")).at(0);
    const SendToLink two = dispatches(entry.ask(2, "/quick/2")).at(0);
    const std::vector<ReplyToCaller> second = only<ReplyToCaller>(entry.answer(two, done));
    REQUIRE(second.size() == 1);
    CHECK(second[0].caller == CallerId { 2 });
    CHECK(only<ReplyToCaller>(entry.answer(one, done)).at(0).caller == CallerId { 1 });
}

TEST_CASE("entry: late, repeated and foreign answers are dropped and counted", "[entry]")
{
    LinkedEntry entry;
    const SendToLink dispatch = dispatches(entry.ask(1, "/quick/1")).at(0);
    const DispatchRequest& request = std::get<DispatchRequest>(dispatch.message);
    const LinkId wrong { static_cast<std::uint64_t>(dispatch.link) % 3 + 1 };
    CHECK(only<ReplyToCaller>(entry.step(AgentMessage { wrong, Answer { request.id, request.attempt, done, freeLoad } })).empty());
    CHECK(only<ReplyToCaller>(entry.step(AgentMessage { dispatch.link, Answer { request.id, { { Incarnation { 99 }, 1 }, 1 }, done, freeLoad } })).empty());
    CHECK(only<ReplyToCaller>(entry.answer(dispatch, done)).size() == 1);
    CHECK(only<ReplyToCaller>(entry.answer(dispatch, done)).empty());
    CHECK(entry.machine.counters().lateAnswersDropped == 3);
}

TEST_CASE("entry: a request without a rule or key, or over a limit, is refused with the outcome not run", "[entry]")
{
    LinkedEntry entry(0, { .maximumQueued = 1 });
    CHECK(failureIn(entry.ask(1, "/other")) == ErrorKind::NoRule);
    CHECK(failureIn(entry.ask(2, "/tally/1")) == ErrorKind::KeyMissing);
    CHECK(only<ReplyToCaller>(entry.ask(3, "/quick/1")).empty());
    CHECK(failureIn(entry.ask(4, "/quick/2")) == ErrorKind::QueueFull);
    CHECK(failureIn(entry.after(std::chrono::milliseconds(300))) == ErrorKind::DeadlineBeforeStart);
}

TEST_CASE("entry: a team's quota limits requests in progress", "[entry]")
{
    LinkedEntry entry;
    (void)entry.step(RulesLoaded { rulesOf("version 2\nrule q path=/quick* class=quick team=rota quota=2 # x: y\n") });
    (void)entry.ask(1, "/quick/1");
    const SendToLink dispatch = dispatches(entry.ask(2, "/quick/2")).at(0);
    CHECK(failureIn(entry.ask(3, "/quick/3")) == ErrorKind::QuotaExceeded);
    (void)entry.answer(dispatch, done);
    CHECK(dispatches(entry.ask(4, "/quick/4")).size() == 1);
}

TEST_CASE("entry: a refusal for lack of capacity is no failure, and the request goes to another agent", "[entry]")
{
    LinkedEntry entry;
    const SendToLink first = dispatches(entry.ask(1, "/quick/1")).at(0);
    const SendToLink second = dispatches(entry.answer(first, FailureReason { ErrorKind::Busy, "full" }, { total, {}, true, false, true })).at(0);
    CHECK(second.link != first.link);
    CHECK(std::get<DispatchRequest>(second.message).attempt > std::get<DispatchRequest>(first.message).attempt);
    CHECK(entry.machine.counters().retried == 0);
}

TEST_CASE("entry: an idempotent request is retried on other agents, as often as its rule allows", "[entry]")
{
    LinkedEntry entry;
    const FailureReason truncated { ErrorKind::UpstreamTruncated, "cut" };
    std::vector<SendToLink> attempts = dispatches(entry.ask(1, "/quick/1"));
    for (int retry = 0; retry < 2; ++retry) {
        CHECK(only<ReplyToCaller>(entry.answer(attempts.back(), truncated)).empty());
        const std::vector<SendToLink> next = dispatches(entry.after(std::chrono::milliseconds(20)));
        REQUIRE(next.size() == 1);
        attempts.push_back(next[0]);
    }
    CHECK(std::set<LinkId> { attempts[0].link, attempts[1].link, attempts[2].link }.size() == 3);
    CHECK(failureIn(entry.answer(attempts.back(), truncated)) == ErrorKind::UpstreamTruncated);
}

TEST_CASE("entry: there is no retry when the retry budget is empty", "[entry]")
{
    LinkedEntry entry(3, { .retryBudget = { .perMilleOfFirstAttempts = 0, .maximumSaved = 1 } });
    const FailureReason truncated { ErrorKind::UpstreamTruncated, "cut" };
    CHECK(only<ReplyToCaller>(entry.answer(dispatches(entry.ask(1, "/quick/1")).at(0), truncated)).empty());
    CHECK(failureIn(entry.answer(dispatches(entry.ask(2, "/quick/2")).at(0), truncated)) == ErrorKind::UpstreamTruncated);
}

TEST_CASE("entry: an attempt without an answer is cancelled at half of the remaining time and retried on another agent", "[entry]")
{
    LinkedEntry entry;
    const SendToLink first = dispatches(entry.ask(1, "/quick/1")).at(0);
    const std::vector<EntryEffect> half = entry.after(std::chrono::milliseconds(150));
    CHECK(sent<Cancel>(half).size() == 1);
    const std::vector<SendToLink> second = dispatches(entry.after(std::chrono::milliseconds(10)));
    REQUIRE(second.size() == 1);
    CHECK(second[0].link != first.link);
    CHECK(only<ReplyToCaller>(entry.answer(first, done)).empty());
    CHECK(only<ReplyToCaller>(entry.answer(second[0], done)).size() == 1);
}

TEST_CASE("entry: a non-idempotent request is fenced at witnesses before its dispatch", "[entry]")
{
    LinkedEntry entry;
    const std::vector<EntryEffect> asked = entry.ask(1, "/tally/1", "k");
    CHECK(dispatches(asked).empty());
    CHECK(sent<Inquiry>(asked).size() == 1);
    const std::vector<SendToLink> home = dispatches(entry.fence(asked));
    REQUIRE(home.size() == 1);
    for (const SendToLink& send : only<SendToLink>(asked))
        CHECK(send.link != home[0].link);
    CHECK(only<ReplyToCaller>(entry.answer(home[0], done)).size() == 1);
}

TEST_CASE("entry: a non-idempotent request that a witness has run gets the recorded answer", "[entry]")
{
    LinkedEntry entry;
    const std::vector<EntryEffect> asked = entry.ask(1, "/tally/1", "k");
    const SendToLink witness = only<SendToLink>(asked).at(0);
    const Inquiry& inquiry = std::get<Inquiry>(witness.message);
    const std::vector<EntryEffect> effects = entry.step(AgentMessage { witness.link, Report { inquiry.id, inquiry.attempt, RequestState::Finished, done } });
    CHECK(dispatches(effects).empty());
    CHECK(only<ReplyToCaller>(effects).at(0).completion == done);
}

TEST_CASE("entry: copies of a keyed request at one entry run once, and each gets the answer", "[entry]")
{
    LinkedEntry entry;
    const std::vector<SendToLink> home = dispatches(entry.fence(entry.ask(1, "/tally/1", "k")));
    CHECK(only<SendToLink>(entry.ask(2, "/tally/1", "k")).empty());
    CHECK(failureIn(entry.ask(3, "/tally/2", "k")) == ErrorKind::KeyReused);
    CHECK(only<ReplyToCaller>(entry.answer(home.at(0), done)).size() == 2);
}

TEST_CASE("entry: a non-idempotent request whose link is lost waits for a report of the same agent incarnation", "[entry]")
{
    LinkedEntry entry;
    const SendToLink home = dispatches(entry.fence(entry.ask(1, "/tally/1", "k"))).at(0);
    const std::uint64_t agent = static_cast<std::uint64_t>(home.link);
    const std::vector<EntryEffect> lost = entry.step(AgentLinkClosed { home.link });
    CHECK(only<ReplyToCaller>(lost).empty());
    CHECK(dispatches(lost).empty());
    SECTION("and gets the answer from it")
    {
        entry.link(agent, Incarnation { agent }, LinkId { 10 });
        const Inquiry inquiry = sent<Inquiry>(entry.last).at(0);
        CHECK_FALSE(inquiry.fence);
        const std::vector<EntryEffect> effects = entry.step(AgentMessage { LinkId { 10 }, Report { inquiry.id, inquiry.attempt, RequestState::Finished, done } });
        CHECK(only<ReplyToCaller>(effects).at(0).completion == done);
    }
    SECTION("and is sent again after the report that it has not run")
    {
        entry.link(agent, Incarnation { agent }, LinkId { 10 });
        const Inquiry inquiry = sent<Inquiry>(entry.last).at(0);
        (void)entry.step(AgentMessage { LinkId { 10 }, Report { inquiry.id, inquiry.attempt, RequestState::NotRun, std::nullopt } });
        const std::vector<SendToLink> again = dispatches(entry.fence(entry.after(std::chrono::milliseconds(10))));
        CHECK(again.size() == 1);
    }
    SECTION("and ends with an unknown outcome if the agent has restarted")
    {
        entry.link(agent, Incarnation { 77 }, LinkId { 10 });
        CHECK(failureIn(entry.last) == ErrorKind::AgentRestarted);
    }
    SECTION("and ends with an unknown outcome if the agent does not reconnect")
    {
        CHECK(failureIn(entry.after(std::chrono::seconds(2))) == ErrorKind::OutcomeUnknown);
    }
}

TEST_CASE("entry: a non-idempotent request that may have started is never sent again", "[entry]")
{
    LinkedEntry entry;
    const SendToLink home = dispatches(entry.fence(entry.ask(1, "/tally/1", "k"))).at(0);
    const std::vector<EntryEffect> effects = entry.answer(home, FailureReason { ErrorKind::UpstreamTruncated, "cut" });
    CHECK(dispatches(effects).empty());
    CHECK(failureIn(effects) == ErrorKind::UpstreamTruncated);
}

TEST_CASE("entry: a keyed request waits and ends with an unknown outcome while too many known agents are disconnected", "[entry]")
{
    LinkedEntry entry;
    (void)entry.step(AgentLinkClosed { LinkId { 1 } });
    CHECK(sent<Inquiry>(entry.ask(1, "/tally/1", "k")).size() == 1);
    (void)entry.step(CallerGone { CallerId { 1 } });
    (void)entry.step(AgentLinkClosed { LinkId { 2 } });
    CHECK(only<SendToLink>(entry.ask(1, "/tally/2", "l")).empty());
    CHECK(failureIn(entry.after(std::chrono::seconds(2))) == ErrorKind::KeyedUnavailable);
}

TEST_CASE("entry: a keyed request waits and ends with an unknown outcome long after the last agent has disconnected", "[entry]")
{
    LinkedEntry entry;
    for (std::uint64_t agent = 1; agent <= 3; ++agent)
        (void)entry.step(AgentLinkClosed { LinkId { agent } });
    (void)entry.after(2 * EntryConfig {}.repeatWindow);
    CHECK(only<SendToLink>(entry.ask(1, "/tally/1", "k")).empty());
    CHECK(failureIn(entry.after(std::chrono::seconds(2))) == ErrorKind::KeyedUnavailable);
}

TEST_CASE("entry: it is ready once it has rules and agents and has waited for further agents, until a stop is requested", "[entry]")
{
    EntryMachine machine({ .name = "entry" });
    (void)machine.step(RulesLoaded { rulesOf(threeRules) }, origin);
    CHECK_FALSE(machine.ready(origin + std::chrono::hours(1)));
    (void)machine.step(AgentLinkOpened { LinkId { 1 }, Hello { "agent-1", Incarnation { 1 }, "chuping", 1, freeLoad } }, origin);
    CHECK_FALSE(machine.ready(origin + EntryConfig {}.keySettleTime - Duration(1)));
    CHECK(machine.ready(origin + EntryConfig {}.keySettleTime));
    (void)machine.step(StopRequested {}, origin);
    CHECK_FALSE(machine.ready(origin + EntryConfig {}.keySettleTime));
}

TEST_CASE("entry: the request of a caller that disconnects is cancelled", "[entry]")
{
    LinkedEntry entry;
    (void)entry.ask(1, "/quick/1");
    CHECK(sent<Cancel>(entry.step(CallerGone { CallerId { 1 } })).size() == 1);
    CHECK(entry.machine.pending() == 0);
}

TEST_CASE("entry: batch requests leave the reserve free and wait behind quick requests", "[entry]")
{
    LinkedEntry entry(1);
    std::vector<SendToLink> batch;
    for (std::uint64_t caller = 1; caller <= 8; ++caller) {
        for (const SendToLink& send : dispatches(entry.ask(caller, "/batch/1")))
            batch.push_back(send);
    }
    CHECK(batch.size() == 6);
    CHECK(dispatches(entry.ask(20, "/quick/1")).size() == 1);
    CHECK(entry.machine.queued() == 2);
}

TEST_CASE("entry: only greater rules versions come into force, and are sent to every agent", "[entry]")
{
    LinkedEntry entry;
    const std::string two = "version 2\nrule q path=/quick* class=quick # x: y\n";
    CHECK(sent<RulesUpdate>(entry.step(AgentMessage { LinkId { 1 }, RulesUpdate { 2, two } })).size() == 3);
    CHECK(entry.machine.rules().version() == 2);
    CHECK(only<RecordEvent>(entry.step(RulesLoaded { rulesOf(threeRules) })).at(0).event == EventId::RulesRefused);
    CHECK(only<RecordEvent>(entry.step(RulesLoaded { rulesOf(two + "# more\n") })).at(0).event == EventId::RulesConflict);
    CHECK(entry.machine.rules().version() == 2);
    CHECK(sent<RulesUpdate>(entry.step(AgentMessage { LinkId { 2 }, LoadReport { freeLoad, 1 } })).size() == 1);
}

TEST_CASE("entry: the heartbeat interval grows with the number of links, so that load reports stay within their byte rate", "[entry]")
{
    LinkedEntry entry(0);
    entry.link(1, Incarnation { 1 });
    CHECK(sent<Welcome>(entry.last).at(0).heartbeatInterval == std::chrono::seconds(1));
    for (std::uint64_t agent = 2; agent <= 400; ++agent)
        entry.link(agent, Incarnation { agent });
    CHECK(sent<Welcome>(entry.last).at(0).heartbeatInterval >= std::chrono::seconds(10));
}

TEST_CASE("entry: a newer link of an agent replaces the older one", "[entry]")
{
    LinkedEntry entry(1);
    entry.link(1, Incarnation { 1 }, LinkId { 5 });
    CHECK(only<CloseLink>(entry.last).at(0).link == LinkId { 1 });
    CHECK(entry.machine.router().size() == 1);
    CHECK(dispatches(entry.ask(1, "/quick/1")).at(0).link == LinkId { 5 });
}

TEST_CASE("entry: every refusal is logged with its reason, and with the request's identifier if it has one", "[entry]")
{
    LinkedEntry entry(0);
    const std::vector<EntryEffect> unknownPath = entry.ask(1, "/nowhere");
    REQUIRE(only<RecordEvent>(unknownPath).size() == 1);
    CHECK(only<RecordEvent>(unknownPath)[0].event == EventId::RequestRefused);
    (void)entry.ask(2, "/quick");
    const std::vector<EntryEffect> expired = entry.after(std::chrono::seconds(1));
    REQUIRE(only<ReplyToCaller>(expired).size() == 1);
    const RequestId id = only<ReplyToCaller>(expired)[0].id;
    const std::vector<RecordEvent> events = only<RecordEvent>(expired);
    REQUIRE(events.size() == 1);
    CHECK(events[0].event == EventId::RequestRefused);
    CHECK(events[0].detail == toString(id) + " deadline_before_start: no VM had enough free capacity within the deadline");
}
