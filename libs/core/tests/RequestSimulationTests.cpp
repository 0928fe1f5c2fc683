#include "RequestSimulation.h"
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

/// State of the commands: the number of requests so far, which makes the targets distinct.
struct Model {
    int requestsSent = 0;
};

using Command = rc::state::Command<Model, RequestSimulation>;

void checkInvariants(const RequestSimulation& simulation)
{
    for (const std::string& violation : simulation.violations())
        RC_FAIL(violation);
}

struct SendIdempotent : Command {
    std::size_t entry = *rc::gen::inRange<std::size_t>(0, 2);
    bool batch = *rc::gen::arbitrary<bool>();

    void apply(Model& model) const override { ++model.requestsSent; }
    void run(const Model& model, RequestSimulation& simulation) const override
    {
        simulation.sendRequest(this->entry, (this->batch ? "/batch/" : "/quick/") + std::to_string(model.requestsSent), "");
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "SendIdempotent(" << this->entry << ")"; }
};

struct SendBurst : Command {
    std::size_t entry = *rc::gen::inRange<std::size_t>(0, 2);

    void apply(Model& model) const override { model.requestsSent += 8; }
    void run(const Model& model, RequestSimulation& simulation) const override
    {
        for (int number = 0; number < 8; ++number)
            simulation.sendRequest(this->entry, "/quick/" + std::to_string(model.requestsSent + number), "");
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "SendBurst(" << this->entry << ")"; }
};

struct SendKeyed : Command {
    std::size_t entry = *rc::gen::inRange<std::size_t>(0, 2);
    int key = *rc::gen::inRange(0, 4);

    void apply(Model& model) const override { ++model.requestsSent; }
    void run(const Model& model, RequestSimulation& simulation) const override
    {
        const std::string key = std::to_string(this->key) + "-" + std::to_string(model.requestsSent / 8);
        simulation.sendRequest(this->entry, "/tally/" + key, key);
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "SendKeyed(" << this->entry << ", " << this->key << ")"; }
};

struct Deliver : Command {
    std::size_t link = *rc::gen::inRange<std::size_t>(0, 10);
    bool toAgent = *rc::gen::arbitrary<bool>();
    int count = *rc::gen::inRange(1, 5);

    void run(const Model&, RequestSimulation& simulation) const override
    {
        for (int message = 0; message < this->count; ++message)
            simulation.deliver(this->link, this->toAgent);
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "Deliver(" << this->link << ", " << this->toAgent << ")"; }
};

struct DeliverAll : Command {
    void run(const Model&, RequestSimulation& simulation) const override
    {
        for (std::size_t link = 0; link < simulation.links(); ++link) {
            for (int message = 0; message < 4; ++message) {
                simulation.deliver(link, true);
                simulation.deliver(link, false);
            }
        }
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "DeliverAll"; }
};

struct Redeliver : Command {
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 64);

    void run(const Model&, RequestSimulation& simulation) const override
    {
        simulation.redeliver(this->which);
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "Redeliver(" << this->which << ")"; }
};

struct Upstream : Command {
    std::size_t agent = *rc::gen::inRange<std::size_t>(0, 5);
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 4);
    int what = *rc::gen::weightedElement<int>({ { 3, 0 }, { 3, 1 }, { 1, 2 }, { 3, 3 } });

    void run(const Model&, RequestSimulation& simulation) const override
    {
        if (this->what == 0)
            simulation.upstreamReads(this->agent);
        if (this->what == 1)
            simulation.upstreamFinishes(this->agent, this->which);
        if (this->what == 2)
            simulation.upstreamDisconnects(this->agent, this->which);
        if (this->what == 3)
            simulation.upstreamAnnounces(this->agent);
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "Upstream(" << this->agent << ", " << this->which << ", " << this->what << ")"; }
};

struct Fault : Command {
    int what = *rc::gen::weightedElement<int>({ { 3, 0 }, { 2, 1 }, { 1, 2 }, { 2, 3 } });
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 10);
    std::size_t kept = *rc::gen::inRange<std::size_t>(0, 4);

    void run(const Model&, RequestSimulation& simulation) const override
    {
        if (this->what == 0)
            simulation.cutLink(this->which, this->kept);
        if (this->what == 1)
            simulation.restartAgent(this->which % simulation.size().agents);
        if (this->what == 2)
            simulation.restartEntry(this->which % simulation.size().entries);
        if (this->what == 3)
            simulation.disconnectCaller(this->which);
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "Fault(" << this->what << ", " << this->which << ", " << this->kept << ")"; }
};

struct OpenLink : Command {
    std::size_t link = *rc::gen::inRange<std::size_t>(0, 10);

    void run(const Model&, RequestSimulation& simulation) const override
    {
        simulation.openLink(this->link);
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "OpenLink(" << this->link << ")"; }
};

struct Advance : Command {
    Duration duration = std::chrono::milliseconds(*rc::gen::element(1, 5, 20, 100, 400, 2500));

    void run(const Model&, RequestSimulation& simulation) const override
    {
        simulation.advance(this->duration);
        checkInvariants(simulation);
    }
    void show(std::ostream& stream) const override { stream << "Advance(" << toMilliseconds(this->duration) << ")"; }
};

void runSimulation(const RequestSimulationConfig& config)
{
    RequestSimulation simulation(config);
    const Model model;
    rc::state::check(model, simulation,
        rc::state::gen::execOneOfWithArgs<SendIdempotent, SendBurst, SendKeyed, SendKeyed, Deliver, Deliver, DeliverAll, DeliverAll, Redeliver, Redeliver, Upstream, Upstream, Fault, OpenLink, Advance>());
    simulation.settle();
    checkInvariants(simulation);
    RC_CLASSIFY(simulation.ran() > 0);
}

}

TEST_CASE("simulation: all guarantees hold under lost links, restarts, duplicates and late messages", "[world][fuzz]")
{
    CHECK(rc::check("upstreams remember", []() { runSimulation(RequestSimulationConfig {}); }));
}

TEST_CASE("simulation: all guarantees hold if upstreams do not report finished requests", "[world][fuzz]")
{
    CHECK(rc::check("upstreams forget", []() { runSimulation({ .upstreamsRemember = false }); }));
}

TEST_CASE("simulation: without faults every request runs and is answered", "[world]")
{
    RequestSimulation simulation(RequestSimulationConfig {});
    for (int number = 0; number < 200; ++number) {
        simulation.sendRequest(number % 2, "/quick/" + std::to_string(number), "");
        simulation.sendRequest(number % 2, "/tally/" + std::to_string(number), "t" + std::to_string(number));
        for (std::size_t link = 0; link < simulation.links(); ++link) {
            for (int message = 0; message < 6; ++message) {
                simulation.deliver(link, true);
                simulation.deliver(link, false);
            }
        }
        for (std::size_t agent = 0; agent < simulation.size().agents; ++agent) {
            simulation.upstreamReads(agent);
            simulation.upstreamFinishes(agent, 0);
            simulation.upstreamFinishes(agent, 0);
        }
        simulation.advance(std::chrono::milliseconds(2));
    }
    simulation.settle();
    CHECK(simulation.violations().empty());
    CHECK(simulation.answered() == 400);
    CHECK(simulation.ran() == 400);
}
