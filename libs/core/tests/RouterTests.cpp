#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Rendezvous.h>
#include <cowslipdoor/core/Router.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

constexpr TimePoint afterSlowStart = origin + std::chrono::seconds(10);

Hello helloOf(const std::string& agent, const std::string& failureDomain = "chuping", std::uint32_t freeSlots = 8)
{
    Capacity free = eightSlots;
    free.slots = freeSlots;
    return { agent, Incarnation { 1 }, failureDomain, 0, { eightSlots, free, true, false, true } };
}

std::map<LinkId, int> chosenOf(Router& router, std::mt19937_64& random, TimePoint now, int rounds)
{
    std::map<LinkId, int> counts;
    for (int round = 0; round < rounds; ++round) {
        const std::optional<LinkId> link = router.choose(defaultDemand, 0, TrafficClass::Quick, {}, now, random);
        if (link)
            ++counts[*link];
    }
    return counts;
}

void fail(Router& router, LinkId link, TimePoint now, int times)
{
    for (int time = 0; time < times; ++time) {
        router.recordStart(link, defaultDemand);
        (void)router.recordEnd(link, defaultDemand, TrafficClass::Quick, Duration(1), AttemptHealth::Bad, now);
    }
}

}

TEST_CASE("router: a full, draining or unready agent is not chosen", "[router]")
{
    std::mt19937_64 random(1);
    Router router(RouterConfig { .failureDomain = "chuping" });
    router.add(LinkId { 1 }, helloOf("a", "chuping", 0), origin);
    router.add(LinkId { 2 }, helloOf("b"), origin);
    router.add(LinkId { 3 }, helloOf("c"), origin);
    router.update(LinkId { 2 }, { eightSlots, eightSlots, true, true, true });
    router.update(LinkId { 3 }, { eightSlots, eightSlots, false, false, true });
    CHECK(chosenOf(router, random, afterSlowStart, 50).empty());
    router.update(LinkId { 1 }, { eightSlots, eightSlots, true, false, true });
    CHECK(chosenOf(router, random, afterSlowStart, 50) == std::map<LinkId, int> { { LinkId { 1 }, 50 } });
}

TEST_CASE("router: of two candidates the one in the same failure domain or with the lower latency is chosen", "[router]")
{
    std::mt19937_64 random(1);
    Router router(RouterConfig { .failureDomain = "chuping" });
    router.add(LinkId { 1 }, helloOf("near", "chuping"), origin);
    router.add(LinkId { 2 }, helloOf("far", "kangar"), origin);
    const std::map<LinkId, int> byDomain = chosenOf(router, random, afterSlowStart, 400);
    CHECK(byDomain.at(LinkId { 1 }) > byDomain.at(LinkId { 2 }));
    router.recordStart(LinkId { 1 }, defaultDemand);
    (void)router.recordEnd(LinkId { 1 }, defaultDemand, TrafficClass::Quick, std::chrono::milliseconds(50), AttemptHealth::Good, afterSlowStart);
    router.recordStart(LinkId { 2 }, defaultDemand);
    (void)router.recordEnd(LinkId { 2 }, defaultDemand, TrafficClass::Quick, std::chrono::milliseconds(5), AttemptHealth::Good, afterSlowStart);
    const std::map<LinkId, int> byLatency = chosenOf(router, random, afterSlowStart, 400);
    CHECK(byLatency.at(LinkId { 2 }) > byLatency.at(LinkId { 1 }));
}

TEST_CASE("router: consecutive failures eject an agent, and a successful probe readmits it with slow start", "[router]")
{
    std::mt19937_64 random(1);
    const RouterConfig config { .failureDomain = "chuping" };
    Router router(config);
    for (std::uint64_t link = 1; link <= 4; ++link)
        router.add(LinkId { link }, helloOf("agent-" + std::to_string(link)), origin);
    fail(router, LinkId { 1 }, afterSlowStart, 3);
    CHECK(router.ejected(LinkId { 1 }, afterSlowStart));
    CHECK_FALSE(chosenOf(router, random, afterSlowStart, 200).contains(LinkId { 1 }));
    const TimePoint due = afterSlowStart + config.initialEjection;
    CHECK(chosenOf(router, random, due, 200).contains(LinkId { 1 }));
    router.recordStart(LinkId { 1 }, defaultDemand);
    CHECK_FALSE(chosenOf(router, random, due, 200).contains(LinkId { 1 }));
    CHECK(router.recordEnd(LinkId { 1 }, defaultDemand, TrafficClass::Quick, Duration(1), AttemptHealth::Good, due) == HealthChange::Readmitted);
    router.recordStart(LinkId { 1 }, defaultDemand);
    CHECK_FALSE(chosenOf(router, random, due, 200).contains(LinkId { 1 }));
    CHECK(chosenOf(router, random, due + config.slowStart, 200).contains(LinkId { 1 }));
}

TEST_CASE("router: at most half of the agents are ejected at once", "[router]")
{
    Router router(RouterConfig { .failureDomain = "chuping" });
    for (std::uint64_t link = 1; link <= 4; ++link)
        router.add(LinkId { link }, helloOf("agent-" + std::to_string(link)), origin);
    for (std::uint64_t link = 1; link <= 4; ++link)
        fail(router, LinkId { link }, afterSlowStart, 10);
    int out = 0;
    for (std::uint64_t link = 1; link <= 4; ++link)
        out += router.ejected(LinkId { link }, afterSlowStart) ? 1 : 0;
    CHECK(out == 2);
}

TEST_CASE("router: an agent that reconnects on a new link stays ejected", "[router]")
{
    Router router(RouterConfig { .failureDomain = "chuping" });
    router.add(LinkId { 1 }, helloOf("a"), origin);
    router.add(LinkId { 2 }, helloOf("b"), origin);
    fail(router, LinkId { 1 }, afterSlowStart, 3);
    router.remove(LinkId { 1 });
    router.add(LinkId { 3 }, helloOf("a"), afterSlowStart);
    CHECK(router.ejected(LinkId { 3 }, afterSlowStart));
}

TEST_CASE("router: removing an agent keeps the views of the others", "[router]")
{
    Router router(RouterConfig {});
    for (std::uint64_t link = 1; link <= 3; ++link)
        router.add(LinkId { link }, helloOf("agent-" + std::to_string(link)), origin);
    router.remove(LinkId { 1 });
    CHECK_FALSE(router.view(LinkId { 1 }).has_value());
    CHECK(router.view(LinkId { 3 })->agent == "agent-3");
    CHECK(router.size() == 2);
}

TEST_CASE("rendezvous: the removal of a node moves only its own keys", "[router]")
{
    const std::vector<std::string> nodes { "a", "b", "c", "d" };
    const std::vector<std::string> fewer { "a", "b", "c" };
    int moved = 0;
    for (int key = 0; key < 400; ++key) {
        const std::string before = chooseNodes(std::to_string(key), nodes, 1).front();
        const std::string after = chooseNodes(std::to_string(key), fewer, 1).front();
        if (before != after)
            ++moved;
        CHECK((before == after || before == "d"));
    }
    CHECK(moved > 50);
    CHECK(moved < 150);
    CHECK(chooseNodes("key", nodes, 9).size() == 4);
}
