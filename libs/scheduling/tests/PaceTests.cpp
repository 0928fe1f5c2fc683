#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/PaceControl.h>

using namespace cowslipdoor;
using std::chrono::milliseconds;

namespace {

const TimePoint start { std::chrono::seconds(100) };
const RunId serving { { { "serving" }, 0, 0 }, 1 };
const RunId noisy { { { "noisy" }, 0, 0 }, 1 };
const RunId calm { { { "calm" }, 0, 0 }, 1 };

PaceTraits bestEffortWith(double loss)
{
    return { true, "filling", 2000, {}, { { "web", loss } } };
}

/// Pace control of a worker with a serving run, target 100 ms, a best-effort run that harms it and one that does not.
PaceControl loopWithRuns()
{
    PaceControl pace { PaceConfig {} };
    pace.describe(serving, { false, "web", 4000, milliseconds(100), {} });
    pace.describe(noisy, bestEffortWith(2.0));
    pace.describe(calm, bestEffortWith(0.0));
    return pace;
}

/// The runs in a worker's answer to a poll, with the tail latency of the serving run in milliseconds and the milli-cores that each
/// best-effort run uses.
std::vector<RunStatus> answerWith(std::uint32_t tail, std::uint32_t noisyCores, std::uint32_t calmCores)
{
    return { { serving, "", 100, tail }, { noisy, "", 50, noisyCores }, { calm, "", 50, calmCores } };
}

}

TEST_CASE("pace: a harmful run gets the pace that the serving run can spare, a harmless one full pace", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    // The serving run has a slack of 2 and keeps 1.2; the harmful run at full pace would take 2.
    static_cast<void>(pace.update(answerWith(50, 0, 0), start));
    CHECK(pace.paceOf(calm) == 100);
    CHECK(pace.paceOf(noisy) == 40);
}

TEST_CASE("pace: one answer to a poll at full pace is enough to find the pace that brings a tail latency back to its target", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    static_cast<void>(pace.update(answerWith(500, 2000, 2000), start));
    // The slack is 0.2 with the harmful run and 2.2 without it, of which 1 can be spared.
    CHECK(pace.paceOf(noisy) == 50);
    CHECK(pace.paceOf(calm) == 100);
}

TEST_CASE("pace: without serving runs nothing is slowed", "[jobs]")
{
    PaceControl pace { PaceConfig {} };
    pace.describe(noisy, bestEffortWith(2.0));
    CHECK(pace.started(noisy, start).empty());
    CHECK(pace.paceOf(noisy) == 100);
}

TEST_CASE("pace: a run is paced from its start, and ordered another pace only when it changes", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    static_cast<void>(pace.update({ { serving, "", 100, 50 } }, start));
    const std::vector<PaceOrder> first = pace.started(noisy, start);
    REQUIRE(first.size() == 1);
    CHECK(first.front().percent == 40);
    CHECK(pace.started(noisy, start).empty());
    pace.forget(noisy);
    CHECK(pace.paceOf(noisy) == 100);
}

TEST_CASE("pace: a serving image with an unknown loss counts like the one with the worst known loss", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    pace.describe(serving, { false, "unseen", 4000, milliseconds(100), {} });
    static_cast<void>(pace.update(answerWith(50, 0, 0), start));
    CHECK(pace.paceOf(noisy) == 40);
}

TEST_CASE("pace: each serving run bounds the runs that harm it, and no others", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    const RunId other { { { "other" }, 0, 0 }, 1 };
    pace.describe(other, { false, "database", 4000, milliseconds(100), {} });
    pace.describe(noisy, { true, "filling", 2000, {}, { { "web", 0.0 }, { "database", 2.0 } } });
    // The serving run that the best-effort run harms is nearly idle; the other one is close to its target.
    static_cast<void>(pace.update({ { serving, "", 100, 90 }, { other, "", 100, 25 }, { noisy, "", 50, 0 } }, start));
    CHECK(pace.paceOf(noisy) == 100);
}

TEST_CASE("pace: the shared slack shrinks while a tail latency stays over its target, whatever the estimated losses, and grows again", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    pace.describe(noisy, bestEffortWith(0.01));
    static_cast<void>(pace.update(answerWith(200, 2000, 0), start));
    CHECK(pace.spareSlackShare() == 1);
    static_cast<void>(pace.update(answerWith(200, 2000, 0), start + milliseconds(700)));
    CHECK(pace.spareSlackShare() == Approx(0.5));
    // A measurement that began before the last change of pace does not count.
    static_cast<void>(pace.update(answerWith(200, 2000, 0), start + milliseconds(1200)));
    CHECK(pace.spareSlackShare() == Approx(0.5));
    static_cast<void>(pace.update(answerWith(200, 2000, 0), start + milliseconds(1400)));
    CHECK(pace.spareSlackShare() == Approx(0.25));
    static_cast<void>(pace.update(answerWith(50, 0, 0), start + milliseconds(2100)));
    CHECK(pace.spareSlackShare() == Approx(0.45));
}

TEST_CASE("pace: a tail latency many times over its target stops a harmful run at the next poll", "[jobs]")
{
    // The tail latency of a serving run reached 730% of its target (seen on day quiet-1 of tebu-rota, --seed 238323377131).
    PaceControl pace = loopWithRuns();
    pace.describe(noisy, bestEffortWith(0.8));
    static_cast<void>(pace.update(answerWith(730, 2000, 0), start));
    CHECK(pace.paceOf(noisy) == 0);
    CHECK(pace.paceOf(calm) == 100);
}

TEST_CASE("pace: all best-effort runs are paced down to zero before a tail latency has been over its target for too long", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    pace.describe(noisy, bestEffortWith(0.02));
    pace.describe(calm, bestEffortWith(0.01));
    for (int poll = 0; poll <= 5; ++poll)
        static_cast<void>(pace.update(answerWith(150, 2000, 2000), start + poll * milliseconds(500)));
    CHECK(pace.spareSlackShare() == 0);
    CHECK(pace.paceOf(noisy) == 0);
    CHECK(pace.paceOf(calm) == 0);
}

TEST_CASE("pace: a harmless run keeps its pace beside a serving run without slack to spare", "[jobs]")
{
    // Best-effort runs with a loss of 0.01 were stopped at each load peak (seen on day scale-1 of hedebo-loom).
    PaceControl pace = loopWithRuns();
    pace.describe(calm, bestEffortWith(0.01));
    static_cast<void>(pace.update(answerWith(90, 0, 2000), start));
    CHECK(pace.paceOf(calm) == 100);
    CHECK(pace.paceOf(noisy) == 0);
}

TEST_CASE("pace: a run found on the worker is ordered its pace, as an earlier run of the agent may have slowed it", "[jobs]")
{
    // The pace of a task was set to zero just before its agent was killed, and the restarted agent never raised it (task
    // 4e135f83410a495e/1/3 on day scale-1 of tebu-rota).
    PaceControl pace { PaceConfig {} };
    pace.describe(noisy, bestEffortWith(2.0));
    CHECK(pace.update({ { noisy, "", 50, 0 } }, start) == std::vector<PaceOrder> { { noisy, 100 } });
    CHECK(pace.update({ { noisy, "", 50, 0 } }, start).empty());
}

TEST_CASE("pace: an unanswered order is sent again", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    static_cast<void>(pace.update(answerWith(50, 0, 0), start));
    CHECK(pace.update(answerWith(50, 0, 0), start).empty());
    pace.markPaceUnknown(noisy);
    CHECK(pace.update(answerWith(50, 0, 0), start) == std::vector<PaceOrder> { { noisy, 40 } });
}

TEST_CASE("pace: a starting serving run pauses harmful runs until it is measured, so that they do not take it over its target at once", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    static_cast<void>(pace.update({ { noisy, "", 50, 2000 }, { calm, "", 50, 2000 } }, start));
    CHECK(pace.started(serving, start) == std::vector<PaceOrder> { { noisy, 0 } });
    CHECK(pace.awaitsMeasurement(start));
    // An answer to a poll that was sent before the start does not list the serving run yet.
    static_cast<void>(pace.update({ { noisy, "", 50, 2000 }, { calm, "", 50, 2000 } }, start + milliseconds(100)));
    CHECK(pace.paceOf(noisy) == 0);
    CHECK(pace.paceOf(calm) == 100);
    static_cast<void>(pace.update(answerWith(50, 0, 2000), start + milliseconds(500)));
    CHECK(pace.paceOf(noisy) == 40);
    CHECK_FALSE(pace.awaitsMeasurement(start + milliseconds(500)));
}

TEST_CASE("pace: a serving run that is still starting is not measured, and one that takes too long pauses no best-effort run", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    const std::vector<RunStatus> starting { { serving, "", 30, 900 }, { noisy, "", 50, 0 } };
    static_cast<void>(pace.update(starting, start));
    CHECK(pace.paceOf(noisy) == 0);
    CHECK_FALSE(pace.worstSlack());
    static_cast<void>(pace.update(starting, start + PaceConfig {}.startLimit));
    CHECK(pace.paceOf(noisy) == 100);
    CHECK_FALSE(pace.worstSlack());
    CHECK_FALSE(pace.awaitsMeasurement(start + PaceConfig {}.startLimit));
}

TEST_CASE("pace: a serving run that ended before it was ready pauses no best-effort run", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    static_cast<void>(pace.update({ { noisy, "", 50, 2000 } }, start));
    static_cast<void>(pace.started(serving, start));
    pace.forget(serving);
    static_cast<void>(pace.update({ { noisy, "", 50, 0 } }, start + milliseconds(100)));
    CHECK(pace.paceOf(noisy) == 100);
}
