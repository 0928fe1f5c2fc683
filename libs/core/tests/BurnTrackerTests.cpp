#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/BurnTracker.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

using std::chrono::minutes;

const Objective fourNines { 999'900, std::chrono::milliseconds(200) };
const BurnSubject quick { "quick", "Siti", "gangs wait", fourNines };
const BurnSubject rebuild { "rebuild", "Siti", "rain shifts the plan", std::nullopt };

void recordMany(BurnTracker& tracker, const BurnSubject& subject, std::size_t ended, std::size_t missed, TimePoint now)
{
    for (std::size_t number = 0; number < ended; ++number)
        tracker.record(subject, number < missed, now);
}

}

TEST_CASE("burn: the burn rate of a window is its share of misses over the allowed share", "[burn]")
{
    BurnTracker tracker;
    recordMany(tracker, quick, 1000, 1, origin);
    recordMany(tracker, quick, 1000, 0, origin + minutes(10));
    const std::vector<BurnSeries> lines = tracker.series(origin + minutes(12));
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].within(5) == BurnCounts { 1000, 0 });
    CHECK(lines[0].within(60) == BurnCounts { 2000, 1 });
    CHECK(*lines[0].burnRate(5) == Approx(0));
    CHECK(*lines[0].burnRate(60) == Approx(5));
}

TEST_CASE("burn: minutes in which nothing ended have zero counts, and minutes past the retention time are dropped", "[burn]")
{
    BurnTracker tracker;
    tracker.record(quick, true, origin);
    CHECK(tracker.series(origin + minutes(3))[0].minutes.size() == 4);
    CHECK(tracker.series(origin + minutes(359)).size() == 1);
    CHECK(tracker.series(origin + minutes(360)).empty());
    tracker.record(quick, false, origin + minutes(400));
    CHECK(tracker.series(origin + minutes(400))[0].within(burnMinutes) == BurnCounts { 1, 0 });
}

TEST_CASE("burn: an objective without a stated share has counts but no rate", "[burn]")
{
    BurnTracker tracker;
    tracker.record(rebuild, true, origin);
    CHECK(tracker.series(origin)[0].within(5) == BurnCounts { 1, 1 });
    CHECK_FALSE(tracker.series(origin)[0].burnRate(5).has_value());
}

TEST_CASE("burn: a newer subject replaces an older one of the same name", "[burn]")
{
    BurnSubject newer = quick;
    newer.requester = "Ahmad";
    BurnTracker tracker;
    tracker.record(quick, false, origin);
    tracker.record(newer, false, origin);
    CHECK(tracker.series(origin)[0].subject == newer);
    CHECK(tracker.series(origin)[0].within(1).ended == 2);
}

TEST_CASE("burn: an answer misses when it is late or the request may not have run", "[burn]")
{
    Rule rule;
    rule.objective = fourNines;
    rule.deadline = std::chrono::seconds(1);
    CHECK_FALSE(missesObjective(rule, Outcome::Ran, std::chrono::milliseconds(200)));
    CHECK(missesObjective(rule, Outcome::Ran, std::chrono::milliseconds(201)));
    CHECK(missesObjective(rule, Outcome::NotRun, Duration::zero()));
    CHECK(missesObjective(rule, Outcome::Unknown, Duration::zero()));
    rule.objective.reset();
    CHECK_FALSE(missesObjective(rule, Outcome::Ran, std::chrono::milliseconds(900)));
    CHECK(missesObjective(rule, Outcome::Ran, std::chrono::milliseconds(1001)));
}

TEST_CASE("burn: counts of several entries add up per minute, even if they begin at different minutes", "[burn]")
{
    BurnTracker first;
    BurnTracker second;
    first.record(quick, true, origin);
    first.record(quick, false, origin + minutes(2));
    second.record(quick, false, origin + minutes(2));
    second.record(rebuild, false, origin + minutes(2));
    const std::vector<BurnSeries> merged = mergeBurnSeries({ second.series(origin + minutes(2)), first.series(origin + minutes(2)) });
    REQUIRE(merged.size() == 2);
    CHECK(merged[0].minutes == std::vector<BurnCounts> { { 1, 1 }, {}, { 2, 0 } });
    CHECK(merged[1].subject == rebuild);
}

TEST_CASE("burn: the entry counts each answer for the rule that the request matched", "[burn]")
{
    EntryMachine entry({});
    (void)entry.step(RulesLoaded { rulesOf(threeRules) }, origin);
    (void)entry.step(RequestArrived { CallerId { 1 }, headOf("/quick"), Bytes() }, origin);
    (void)entry.step(TimePassed {}, origin + std::chrono::seconds(1));
    const std::vector<BurnSeries> lines = entry.burn().series(origin + std::chrono::seconds(1));
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].subject.name == "quick");
    CHECK(lines[0].subject.requester == "Siti");
    CHECK(lines[0].within(1) == BurnCounts { 1, 1 });
}
