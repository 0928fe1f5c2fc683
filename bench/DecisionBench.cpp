#include "Bench.h"
#include <chrono>
#include <cowslipdoor/core/EntryMachine.h>
#include <cowslipdoor/core/RulesText.h>
#include <iomanip>
#include <iostream>

namespace cowslipdoor::bench {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr Capacity vm { .slots = 8, .connections = 64, .milliCores = 32000, .memoryMb = 125000 };
    constexpr int requests = 200'000;

    double nanosecondsSince(Clock::time_point begun, int count)
    {
        return std::chrono::duration<double, std::nano>(Clock::now() - begun).count() / count;
    }

    Hello helloOf(std::uint64_t agent)
    {
        return { "agent-" + std::to_string(agent), Incarnation { agent }, "domain-" + std::to_string(agent % 7), 1, { vm, vm, true, false, true } };
    }

    /// Returns the nanoseconds of one routing decision when fullOfEight of every eight agents are marked full.
    double choiceCost(std::uint64_t agents, std::uint64_t fullOfEight)
    {
        std::mt19937_64 random(1);
        Router router(RouterConfig { .failureDomain = "domain-0" });
        for (std::uint64_t agent = 0; agent < agents; ++agent) {
            router.add(LinkId { agent }, helloOf(agent), TimePoint());
            if (agent % 8 < fullOfEight)
                router.markFull(LinkId { agent });
        }
        const TimePoint warm { std::chrono::minutes(1) };
        const Clock::time_point begun = Clock::now();
        std::uint64_t chosen = 0;
        for (int request = 0; request < requests; ++request)
            chosen += router.choose(defaultDemand, 0, TrafficClass::Quick, {}, warm, random) ? 1 : 0;
        const double cost = nanosecondsSince(begun, requests);
        if (chosen != static_cast<std::uint64_t>(requests))
            std::cout << "bench: some routing decisions found no agent\n";
        return cost;
    }

    /// Returns the nanoseconds that the entry takes to accept a request, dispatch it and process its answer.
    double requestCost(std::uint64_t agents)
    {
        EntryMachine entry({ .name = "entry", .incarnation = Incarnation { 9 } });
        TimePoint now { std::chrono::minutes(1) };
        const std::string rules = "version 1\nrule quick path=/quick* class=quick deadline=300ms # bench: cost of a decision\n";
        (void)entry.step(RulesLoaded { parseRules(rules).rules }, now);
        for (std::uint64_t agent = 0; agent < agents; ++agent)
            (void)entry.step(AgentLinkOpened { LinkId { agent }, helloOf(agent) }, now);
        now += std::chrono::minutes(1);
        const RequestHead head { "GET", "/quick/1", "siti", { { "Host", "rota" }, { "X-User", "siti" } } };
        const Completion done = Response { 200, {}, Bytes("ok") };
        const Clock::time_point begun = Clock::now();
        for (int request = 0; request < requests; ++request) {
            now += Duration(10);
            const std::vector<EntryEffect> effects = entry.step(RequestArrived { CallerId { static_cast<std::uint64_t>(request) }, head, Bytes() }, now);
            const SendToLink& sent = std::get<SendToLink>(effects.front());
            const DispatchRequest& dispatch = std::get<DispatchRequest>(sent.message);
            (void)entry.step(AgentMessage { sent.link, Answer { dispatch.id, dispatch.attempt, done, { vm, vm, true, false, true } } }, now);
            const std::optional<TimePoint> wakeup = entry.nextWakeup();
            if (wakeup && *wakeup <= now)
                (void)entry.step(TimePassed {}, now);
        }
        return nanosecondsSince(begun, requests);
    }

}

void runDecisionBench()
{
    std::cout << "decisions (ns each; ratios to 10 agents)\n"
              << std::fixed << std::setprecision(0);
    const double choiceOfTen = choiceCost(10, 0);
    const double requestOfTen = requestCost(10);
    for (const std::uint64_t agents : { 10U, 100U, 1000U }) {
        const double free = choiceCost(agents, 0);
        const double mostlyFull = choiceCost(agents, 7);
        const double request = requestCost(agents);
        std::cout << "  " << std::setw(5) << agents << " agents: choice " << std::setw(6) << free << ", choice with 7 of 8 full " << std::setw(6) << mostlyFull
                  << ", whole request " << std::setw(6) << request << std::setprecision(2) << "; ratios " << free / choiceOfTen << " and " << request / requestOfTen << "\n"
                  << std::setprecision(0);
    }
}

}
