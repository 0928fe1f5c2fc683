#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/PaceControl.h>
#include <cowslipdoor/scheduling/PressureModel.h>

using namespace cowslipdoor;
using std::chrono::milliseconds;

namespace {

const TimePoint start { std::chrono::seconds(100) };
const RunId serving { { { "serving" }, 0, 0 }, 1 };
const RunId noisy { { { "noisy" }, 0, 0 }, 1 };
const RunId calm { { { "calm" }, 0, 0 }, 1 };

/// A loop beside a serving run with a target of 100 ms, a run that presses and one that does not.
PaceControl loopWithRuns()
{
    PaceControl pace { PaceConfig {} };
    pace.describe(serving, { false, 0, milliseconds(100) });
    pace.describe(noisy, { true, 2.0, {} });
    pace.describe(calm, { true, 0.0, {} });
    return pace;
}

std::vector<RunStatus> listWithTail(std::uint32_t tail)
{
    return { { serving, "", 100, tail }, { noisy, "", 50, 0 }, { calm, "", 50, 0 } };
}

}

TEST_CASE("pace: a pressing run gets what the tails bear, a harmless one full pace", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    static_cast<void>(pace.update(listWithTail(50), start));
    CHECK(pace.paceOf(calm) == 100);
    CHECK(pace.paceOf(noisy) < 25);
    CHECK(pace.paceOf(noisy) > 10);
}

TEST_CASE("pace: without serving runs nothing is slowed", "[jobs]")
{
    PaceControl pace { PaceConfig {} };
    pace.describe(noisy, { true, 2.0, {} });
    CHECK(pace.started(noisy).empty());
    CHECK(pace.paceOf(noisy) == 100);
}

TEST_CASE("pace: a run is paced from its start, and told of changes only", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    const std::vector<PaceOrder> first = pace.started(noisy);
    REQUIRE(first.size() == 1);
    CHECK(first.front().percent < 25);
    CHECK(pace.started(noisy).empty());
    pace.forget(noisy);
    CHECK(pace.paceOf(noisy) == 100);
}

TEST_CASE("pace: the budget shrinks fast and grows slowly, and an old figure triggers nothing", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    const double first = pace.budget();
    static_cast<void>(pace.update(listWithTail(90), start));
    CHECK(pace.budget() == Approx(first / 2));
    static_cast<void>(pace.update(listWithTail(90), start + milliseconds(500)));
    CHECK(pace.budget() == Approx(first / 2));
    static_cast<void>(pace.update(listWithTail(90), start + milliseconds(700)));
    CHECK(pace.budget() == Approx(first / 4));
    static_cast<void>(pace.update(listWithTail(40), start + milliseconds(1400)));
    CHECK(pace.budget() < first / 2);
}

TEST_CASE("pace: a tail many times over its target stops all but a hundredth at the next look, whatever the image seemed", "[jobs]")
{
    // Replays side-kangar-2 on tebu-rota quiet-1 --seed 238323377131: an image taken for harmless drove a tail to 730%, and
    // halving the budget left it at full pace.
    PaceControl pace = loopWithRuns();
    pace.describe(calm, { true, 0.02, {} });
    static_cast<void>(pace.update(listWithTail(50), start));
    CHECK(pace.paceOf(calm) == 100);
    static_cast<void>(pace.update(listWithTail(730), start + milliseconds(700)));
    CHECK(pace.paceOf(noisy) <= 1);
    CHECK(pace.paceOf(calm) < 40);
}

TEST_CASE("pace: all filling runs stand still before a tail has been over its target for the time of harm", "[jobs]")
{
    PaceControl pace = loopWithRuns();
    for (int look = 0; look <= 7; ++look)
        static_cast<void>(pace.update(listWithTail(150), start + look * milliseconds(500)));
    CHECK(pace.budget() == 0);
    CHECK(pace.paceOf(noisy) == 0);
    CHECK(pace.paceOf(calm) == 0);
}

TEST_CASE("pressure: images are told apart within some observations, alone and together", "[jobs]")
{
    PressureModel model;
    CHECK(model.presses("unseen"));
    for (int round = 0; round < 80; ++round) {
        model.observe(0.45, {});
        model.observe(1.25, { { "noisy", 0.5 }, { "calm", 2.0 } });
        model.observe(0.45, { { "calm", 1.0 } });
        model.observe(0.85, { { "noisy", 0.25 } });
    }
    CHECK(model.pressureOf("noisy") == Approx(1.6).margin(0.3));
    CHECK(model.pressureOf("calm") == Approx(0).margin(0.05));
    CHECK(model.base() == Approx(0.45).margin(0.05));
}

TEST_CASE("pressure: an overload teaches no more than its cap, and faint work teaches nothing", "[jobs]")
{
    PressureModel model;
    model.observe(1000, { { "noisy", 1.0 } });
    CHECK(model.pressureOf("noisy") < 1);
    const double before = model.pressureOf("faint");
    model.observe(2, { { "faint", 0.01 } });
    CHECK(model.pressureOf("faint") == before);
}
