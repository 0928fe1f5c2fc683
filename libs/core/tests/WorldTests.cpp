#include "World.h"
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

/// State of the commands: the number of requests so far, which makes the targets distinct.
struct Model {
    int asked = 0;
};

using Command = rc::state::Command<Model, World>;

void checkPromises(const World& world)
{
    for (const std::string& violation : world.violations())
        RC_FAIL(violation);
}

struct AskQuick : Command {
    std::size_t entry = *rc::gen::inRange<std::size_t>(0, 2);
    bool batch = *rc::gen::arbitrary<bool>();

    void apply(Model& model) const override { ++model.asked; }
    void run(const Model& model, World& world) const override
    {
        world.ask(this->entry, (this->batch ? "/batch/" : "/quick/") + std::to_string(model.asked), "");
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "AskQuick(" << this->entry << ")"; }
};

struct AskMany : Command {
    std::size_t entry = *rc::gen::inRange<std::size_t>(0, 2);

    void apply(Model& model) const override { model.asked += 8; }
    void run(const Model& model, World& world) const override
    {
        for (int number = 0; number < 8; ++number)
            world.ask(this->entry, "/quick/" + std::to_string(model.asked + number), "");
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "AskMany(" << this->entry << ")"; }
};

struct AskTally : Command {
    std::size_t entry = *rc::gen::inRange<std::size_t>(0, 2);
    int key = *rc::gen::inRange(0, 4);

    void apply(Model& model) const override { ++model.asked; }
    void run(const Model& model, World& world) const override
    {
        const std::string key = std::to_string(this->key) + "-" + std::to_string(model.asked / 8);
        world.ask(this->entry, "/tally/" + key, key);
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "AskTally(" << this->entry << ", " << this->key << ")"; }
};

struct Deliver : Command {
    std::size_t link = *rc::gen::inRange<std::size_t>(0, 10);
    bool toAgent = *rc::gen::arbitrary<bool>();
    int count = *rc::gen::inRange(1, 5);

    void run(const Model&, World& world) const override
    {
        for (int message = 0; message < this->count; ++message)
            world.deliver(this->link, this->toAgent);
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "Deliver(" << this->link << ", " << this->toAgent << ")"; }
};

struct DeliverAll : Command {
    void run(const Model&, World& world) const override
    {
        for (std::size_t link = 0; link < world.links(); ++link) {
            for (int message = 0; message < 4; ++message) {
                world.deliver(link, true);
                world.deliver(link, false);
            }
        }
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "DeliverAll"; }
};

struct DeliverAgain : Command {
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 64);

    void run(const Model&, World& world) const override
    {
        world.deliverAgain(this->which);
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "DeliverAgain(" << this->which << ")"; }
};

struct Upstream : Command {
    std::size_t agent = *rc::gen::inRange<std::size_t>(0, 5);
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 4);
    int what = *rc::gen::weightedElement<int>({ { 3, 0 }, { 3, 1 }, { 1, 2 }, { 3, 3 } });

    void run(const Model&, World& world) const override
    {
        if (this->what == 0)
            world.upstreamReads(this->agent);
        if (this->what == 1)
            world.upstreamEnds(this->agent, this->which);
        if (this->what == 2)
            world.upstreamBreaksOff(this->agent, this->which);
        if (this->what == 3)
            world.upstreamAnnounces(this->agent);
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "Upstream(" << this->agent << ", " << this->which << ", " << this->what << ")"; }
};

struct Fault : Command {
    int what = *rc::gen::weightedElement<int>({ { 3, 0 }, { 2, 1 }, { 1, 2 }, { 2, 3 } });
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 10);
    std::size_t kept = *rc::gen::inRange<std::size_t>(0, 4);

    void run(const Model&, World& world) const override
    {
        if (this->what == 0)
            world.cutLink(this->which, this->kept);
        if (this->what == 1)
            world.restartAgent(this->which % world.size().agents);
        if (this->what == 2)
            world.restartEntry(this->which % world.size().entries);
        if (this->what == 3)
            world.hangUp(this->which);
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "Fault(" << this->what << ", " << this->which << ", " << this->kept << ")"; }
};

struct OpenLink : Command {
    std::size_t link = *rc::gen::inRange<std::size_t>(0, 10);

    void run(const Model&, World& world) const override
    {
        world.openLink(this->link);
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "OpenLink(" << this->link << ")"; }
};

struct Advance : Command {
    Duration duration = std::chrono::milliseconds(*rc::gen::element(1, 5, 20, 100, 400, 2500));

    void run(const Model&, World& world) const override
    {
        world.advance(this->duration);
        checkPromises(world);
    }
    void show(std::ostream& stream) const override { stream << "Advance(" << toMilliseconds(this->duration) << ")"; }
};

void runWorld(const WorldConfig& config)
{
    World world(config);
    const Model model;
    rc::state::check(model, world,
        rc::state::gen::execOneOfWithArgs<AskQuick, AskMany, AskTally, AskTally, Deliver, Deliver, DeliverAll, DeliverAll, DeliverAgain, DeliverAgain, Upstream, Upstream, Fault, OpenLink, Advance>());
    world.settle();
    checkPromises(world);
    RC_CLASSIFY(world.ran() > 0);
}

}

TEST_CASE("simulation: all guarantees hold under lost links, restarts, duplicates and late messages", "[world][fuzz]")
{
    CHECK(rc::check("upstreams remember", []() { runWorld(WorldConfig {}); }));
}

TEST_CASE("simulation: all guarantees hold if upstreams do not report finished requests", "[world][fuzz]")
{
    CHECK(rc::check("upstreams forget", []() { runWorld({ .upstreamsRemember = false }); }));
}

TEST_CASE("simulation: without faults every request runs and is answered", "[world]")
{
    World world(WorldConfig {});
    for (int number = 0; number < 200; ++number) {
        world.ask(number % 2, "/quick/" + std::to_string(number), "");
        world.ask(number % 2, "/tally/" + std::to_string(number), "t" + std::to_string(number));
        for (std::size_t link = 0; link < world.links(); ++link) {
            for (int message = 0; message < 6; ++message) {
                world.deliver(link, true);
                world.deliver(link, false);
            }
        }
        for (std::size_t agent = 0; agent < world.size().agents; ++agent) {
            world.upstreamReads(agent);
            world.upstreamEnds(agent, 0);
            world.upstreamEnds(agent, 0);
        }
        world.advance(std::chrono::milliseconds(2));
    }
    world.settle();
    CHECK(world.violations().empty());
    CHECK(world.answered() == 400);
    CHECK(world.ran() == 400);
}
