#include <catch2/catch.hpp>
#include <cmath>
#include <cowslipdoor/scheduling/InterferenceModel.h>
#include <cowslipdoor/scheduling/Rows.h>

using namespace cowslipdoor;

namespace {

const TimePoint start { std::chrono::seconds(100) };

TimePoint after(int halfSeconds)
{
    return start + halfSeconds * std::chrono::milliseconds(500);
}

/// Slack of a serving run whose load varies periodically, as in the platform's workloads, less the slack lost to its neighbours.
double slackUnderVaryingLoad(int halfSeconds, double lost)
{
    const double load = 0.45 * (1 + 0.5 * std::sin(halfSeconds * 0.5 * 2 * 3.14159 / 14));
    return std::max(0.01, 5 * (1 - load) - lost);
}

}

TEST_CASE("interference: losses of pairs of images are learnt within ten seconds under a varying load", "[jobs]")
{
    InterferenceModel model;
    for (int round = 0; round < 20; ++round) {
        // One run of each job has no neighbours; the other one shares its worker with a best-effort task that uses an eighth
        // of the cores.
        const double web = slackUnderVaryingLoad(round, 0);
        const double database = slackUnderVaryingLoad(round + 9, 0);
        model.observe({ { { "a" }, "web", web }, { { "b" }, "database", database } }, {}, after(round));
        model.observe({ { { "a" }, "web", web - 10 * 0.125 }, { { "b" }, "database", database - 0.125 } }, { { "render", 0.125 } }, after(round));
    }
    CHECK(model.lossOf("web", "render") == Approx(10).margin(2));
    CHECK(model.lossOf("database", "render") == Approx(1).margin(1));
    CHECK(model.distance("web", "database") > 0.5);
}

TEST_CASE("interference: losses to two best-effort images beside one run are separated if they do not always run together", "[jobs]")
{
    InterferenceModel model;
    for (int round = 0; round < 40; ++round) {
        const double slack = slackUnderVaryingLoad(round, 0);
        model.observe({ { { "a" }, "web", slack } }, {}, after(round));
        model.observe({ { { "a" }, "web", slack - 10 * 0.1 - 1 * 0.2 } }, { { "noisy", 0.1 }, { "calm", 0.2 } }, after(round));
        model.observe({ { { "a" }, "web", slack - 1 * 0.3 } }, { { "calm", 0.3 } }, after(round));
    }
    CHECK(model.lossOf("web", "noisy") == Approx(10).margin(2));
    CHECK(model.lossOf("web", "calm") == Approx(1).margin(0.5));
}

TEST_CASE("interference: an unseen pair has the default loss, and images with like losses have a small distance", "[jobs]")
{
    InterferenceModel model;
    CHECK(model.lossOf("web", "render") == InterferenceConfig {}.firstLoss);
    CHECK(model.distance("web", "web") == 0);
    CHECK(model.distance("web", "mail") == 0.5);
    for (int round = 0; round < 20; ++round) {
        model.observe({ { { "a" }, "web", 3 }, { { "b" }, "mail", 3 } }, {}, after(round));
        model.observe({ { { "a" }, "web", 1.8 }, { { "b" }, "mail", 1.7 } }, { { "render", 0.125 } }, after(round));
    }
    CHECK(model.distance("web", "mail") < 0.1);
}

TEST_CASE("interference: a stalled worker and a single outlier hardly change a loss", "[jobs]")
{
    InterferenceModel model;
    for (int round = 0; round < 10; ++round)
        model.observe({ { { "a" }, "web", 2.5 } }, {}, after(round));
    model.observe({ { { "a" }, "web", 0.001 } }, { { "render", 0.2 } }, after(10));
    CHECK(model.lossOf("web", "render") == InterferenceConfig {}.firstLoss);
    for (int round = 10; round < 30; ++round) {
        model.observe({ { { "a" }, "web", 2.5 } }, {}, after(round));
        model.observe({ { { "a" }, "web", 2.3 } }, { { "render", 0.2 } }, after(round));
    }
    model.observe({ { { "a" }, "web", 0.5 } }, { { "render", 0.2 } }, after(31));
    CHECK(model.lossOf("web", "render") < 4);
}

TEST_CASE("interference: the next leader restores the losses of pairs", "[jobs]")
{
    InterferenceModel model;
    for (int round = 0; round < 20; ++round) {
        model.observe({ { { "a" }, "web", 3 } }, {}, after(round));
        model.observe({ { { "a" }, "web", 1.5 } }, { { "render", 0.15 } }, after(round));
    }
    model.observe({ { { "a" }, "web", 2.9 } }, { { "later", 0.1 } }, after(21));
    InterferenceModel next;
    next.restore(*parseLearntLosses(print(model.learnt(10))), start);
    CHECK(next.lossOf("web", "render") == Approx(model.lossOf("web", "render")).margin(0.01));
    CHECK(next.distance("web", "mail") == model.distance("web", "mail"));
    REQUIRE(model.learnt(1).size() == 1);
    CHECK(model.learnt(1).front().bestEffort == "later");
    CHECK_FALSE(parseLearntLosses("[[1]]"));
}

TEST_CASE("interference: the number of remembered pairs is bounded", "[jobs]")
{
    InterferenceModel model { { .maximumPairs = 2 } };
    for (int round = 0; round < 20; ++round) {
        model.observe({ { { "a" }, "web", 3 } }, {}, after(round));
        model.observe({ { { "a" }, "web", 1.5 } }, { { "first", 0.125 } }, after(round));
    }
    CHECK(model.lossOf("web", "first") > 8);
    model.observe({ { { "a" }, "web", 2.9 } }, { { "second", 0.1 } }, after(21));
    model.observe({ { { "a" }, "web", 2.9 } }, { { "third", 0.1 } }, after(22));
    CHECK(model.lossOf("web", "first") == InterferenceConfig {}.firstLoss);
}
