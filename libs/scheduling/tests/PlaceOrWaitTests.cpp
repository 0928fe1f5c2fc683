#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/PlaceOrWait.h>
#include <limits>
#include <rapidcheck.h>

using namespace cowslipdoor;
using std::chrono::milliseconds;

namespace {

Duration limitOf(const PlaceDecision& decision)
{
    const WaitUntil* const wait = std::get_if<WaitUntil>(&decision);
    return wait ? wait->limit : Duration {};
}

/// The task of a burst: 2.7 s at full pace, and a place at half of it.
PlaceSituation burstTask()
{
    return { .slowdown = 2, .remaining = milliseconds(2700) };
}

Duration someTime(int from, int to)
{
    return milliseconds(*rc::gen::inRange(from, to));
}

/// Any situation; releases, objectives and other running tasks are present or not.
PlaceSituation someSituation()
{
    PlaceSituation situation;
    situation.betterSlowdown = *rc::gen::inRange(100, 300) / 100.0;
    situation.slowdown = *rc::gen::inRange(100, 2000) / 100.0;
    if (*rc::gen::inRange(0, 20) == 0)
        situation.slowdown = std::numeric_limits<double>::infinity();
    situation.remaining = someTime(0, 20'000);
    situation.waited = someTime(0, 20'000);
    if (*rc::gen::arbitrary<bool>())
        situation.release = someTime(0, 60'000);
    if (*rc::gen::arbitrary<bool>())
        situation.untilDue = someTime(-20'000, 60'000);
    if (*rc::gen::arbitrary<bool>())
        situation.untilValueEnds = someTime(-20'000, 120'000);
    if (*rc::gen::arbitrary<bool>())
        situation.idle = someTime(0, 5000);
    return situation;
}

}

TEST_CASE("place or wait: a place at full pace is taken at once, one at half of it only after the time that it costs", "[place]")
{
    PlaceSituation situation = burstTask();
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(2700) }));
    situation.waited = milliseconds(2699);
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(1) }));
    situation.waited = milliseconds(2700);
    CHECK(placeOrWait(situation) == PlaceDecision(PlaceNow { PlaceReason::WaitSpent }));
    situation.waited = {};
    situation.slowdown = usefulSlowdown;
    CHECK(placeOrWait(situation) == PlaceDecision(PlaceNow { PlaceReason::GoodEnough }));
}

TEST_CASE("place or wait: a rack that is full for a second is awaited, one that is full for ten seconds is not", "[place]")
{
    PlaceSituation situation { .slowdown = 3, .remaining = milliseconds(1500) };
    situation.release = milliseconds(1000);
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(3000) }));
    situation.release = milliseconds(10'000);
    CHECK(placeOrWait(situation) == PlaceDecision(PlaceNow { PlaceReason::ReleaseTooLate }));
    // The wait so far counts.
    situation.release = milliseconds(1000);
    situation.waited = milliseconds(1900);
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(1100) }));
    situation.waited = milliseconds(2100);
    CHECK(placeOrWait(situation) == PlaceDecision(PlaceNow { PlaceReason::ReleaseTooLate }));
}

TEST_CASE("place or wait: a wait ends in time for the objective if the available place meets it, and goes on if it is missed in any case", "[place]")
{
    PlaceSituation situation = burstTask();
    situation.untilDue = milliseconds(6000);
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(600) }));
    situation.untilDue = milliseconds(5400);
    CHECK(placeOrWait(situation) == PlaceDecision(PlaceNow { PlaceReason::ObjectiveAtRisk }));
    situation.untilDue = milliseconds(5000);
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(2700) }));
    situation.untilValueEnds = milliseconds(5500);
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(100) }));
}

TEST_CASE("place or wait: a task of a job with nothing running waits for at most 2.6 s, even for a place without pace", "[place]")
{
    PlaceSituation situation = burstTask();
    situation.slowdown = std::numeric_limits<double>::infinity();
    CHECK(limitOf(placeOrWait(situation)) >= std::chrono::hours(1));
    situation.idle = Duration {};
    CHECK(placeOrWait(situation) == PlaceDecision(WaitUntil { milliseconds(2600) }));
    situation.idle = milliseconds(2600);
    CHECK(placeOrWait(situation) == PlaceDecision(PlaceNow { PlaceReason::IdleTooLong }));
    // A place without pace and a task without work must not give a wait that is not a number.
    situation.remaining = {};
    CHECK(std::holds_alternative<PlaceNow>(placeOrWait(situation)));
}

TEST_CASE("place or wait: for any situation, the total wait is at most what the better place saves", "[place]")
{
    CHECK(rc::check([]() {
        const PlaceSituation situation = someSituation();
        const Duration limit = limitOf(placeOrWait(situation));
        RC_ASSERT(limit >= Duration {});
        RC_ASSERT(limit == Duration {} || situation.waited + limit <= savedTime(situation));
    }));
}

TEST_CASE("place or wait: for any situation, a wait ends by the latest start that meets the objective on the available place", "[place]")
{
    CHECK(rc::check([]() {
        PlaceSituation situation = someSituation();
        situation.slowdown = std::min(situation.slowdown, 20.0);
        const Duration limit = limitOf(placeOrWait(situation));
        const Duration onPlace = std::chrono::duration_cast<Duration>(situation.remaining * situation.slowdown);
        for (const Duration until : { situation.untilDue, situation.untilValueEnds })
            RC_ASSERT(until == Duration::max() || until < onPlace || limit + onPlace <= until + milliseconds(1));
    }));
}

TEST_CASE("place or wait: for any situation, a job has nothing running for at most 2.6 s", "[place]")
{
    CHECK(rc::check([]() {
        const PlaceSituation situation = someSituation();
        const Duration limit = limitOf(placeOrWait(situation));
        RC_ASSERT(!situation.idle || limit == Duration {} || *situation.idle + limit <= milliseconds(2600));
    }));
}

TEST_CASE("place or wait: for any situation without an objective, a task waits no less for a slower place", "[place]")
{
    CHECK(rc::check([]() {
        PlaceSituation situation = someSituation();
        situation.untilDue = Duration::max();
        situation.untilValueEnds = Duration::max();
        PlaceSituation slower = situation;
        slower.slowdown += *rc::gen::inRange(0, 500) / 100.0;
        RC_ASSERT(limitOf(placeOrWait(slower)) >= limitOf(placeOrWait(situation)));
    }));
}

TEST_CASE("place or wait: with estimates that are wrong by a factor of 1.9, a task takes at most twice as long as with the better choice", "[place]")
{
    CHECK(rc::check([]() {
        PlaceSituation situation = someSituation();
        situation.slowdown = std::min(situation.slowdown, 20.0);
        situation.release = someTime(0, 60'000);
        situation.idle.reset();
        situation.untilDue = Duration::max();
        situation.untilValueEnds = Duration::max();
        situation.waited = {};
        const double error = *rc::gen::inRange(100, 190) / 100.0;
        const Duration release = std::chrono::duration_cast<Duration>(*rc::gen::arbitrary<bool>() ? *situation.release * error : *situation.release / error);
        const Duration limit = limitOf(placeOrWait(situation));
        const Duration here = std::chrono::duration_cast<Duration>(situation.remaining * situation.slowdown);
        const Duration there = std::chrono::duration_cast<Duration>(situation.remaining * situation.betterSlowdown);
        const Duration taken = release < limit ? release + there : limit + here;
        RC_ASSERT(taken <= std::min(here, release + there) * 2 + milliseconds(1));
    }));
}

TEST_CASE("place or wait: for any release, a task takes at most twice as long as on the better of its choices", "[place]")
{
    // The wait may be in vain; without an expected release, the task must not lose more than it could have gained.
    CHECK(rc::check([]() {
        PlaceSituation situation = someSituation();
        situation.slowdown = std::min(situation.slowdown, 20.0);
        situation.release.reset();
        situation.idle.reset();
        situation.untilDue = Duration::max();
        situation.untilValueEnds = Duration::max();
        situation.waited = {};
        const Duration limit = limitOf(placeOrWait(situation));
        const Duration release = someTime(0, 60'000);
        const Duration here = std::chrono::duration_cast<Duration>(situation.remaining * situation.slowdown);
        const Duration there = std::chrono::duration_cast<Duration>(situation.remaining * situation.betterSlowdown);
        const Duration taken = release < limit ? release + there : limit + here;
        RC_ASSERT(taken <= std::min(here, release + there) * 2 + milliseconds(1));
    }));
}
