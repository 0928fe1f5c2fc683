#include "Support.h"
#include <algorithm>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("faults: agents are killed under load", "[system]")
{
    TestDeployment deployment({});
    CallerLoad load(mixedLoad(deployment));
    load.start();
    for (std::size_t agent = 0; agent < 3; ++agent) {
        sleepFor(std::chrono::milliseconds(800));
        deployment.agent(agent).signal(SIGKILL);
        deployment.agent(agent).wait();
        sleepFor(std::chrono::milliseconds(300));
        deployment.startAgent(agent);
        deployment.awaitAgents(3);
    }
    stopAndCheckLoad(load, deployment);
}

TEST_CASE("faults: agents are paused and go on, with upstreams that remember nothing", "[system]")
{
    TestDeployment deployment({ .upstreamsRemember = false, .agentFlags = { "--repeat-window=1s" } });
    CallerLoad load(mixedLoad(deployment));
    load.start();
    for (std::size_t agent = 0; agent < 2; ++agent) {
        sleepFor(std::chrono::milliseconds(500));
        deployment.agent(agent).signal(SIGSTOP);
        sleepFor(std::chrono::milliseconds(5500));
        deployment.agent(agent).signal(SIGCONT);
        deployment.awaitAgents(3);
    }
    stopAndCheckLoad(load, deployment);
}

TEST_CASE("faults: an entry is paused and goes on, another is killed", "[system]")
{
    TestDeployment deployment({});
    CallerLoad load(mixedLoad(deployment));
    load.start();
    sleepFor(std::chrono::milliseconds(500));
    deployment.entry(0).signal(SIGSTOP);
    sleepFor(std::chrono::milliseconds(5500));
    deployment.entry(0).signal(SIGCONT);
    deployment.awaitAgents(3);
    deployment.entry(1).signal(SIGKILL);
    deployment.entry(1).wait();
    deployment.startEntry(1);
    deployment.awaitAgents(3);
    sleepFor(std::chrono::milliseconds(500));
    stopAndCheckLoad(load, deployment);
}

TEST_CASE("faults: an answer that is there when a frozen entry goes on is delivered, though its deadline has passed", "[system]")
{
    const std::chrono::milliseconds frozen(GENERATE(3000, 6000));
    TestDeployment deployment({ .agents = 2, .entries = 1 });
    std::future<Response> slow = deployment.callLater(0, "/quick?n=f&ms=300");
    Deployment::await("the request to run", [&deployment]() { return deployment.counts().running == 1; });
    deployment.entry(0).signal(SIGSTOP);
    sleepFor(frozen);
    deployment.entry(0).signal(SIGCONT);
    const Response response = slow.get();
    CHECK(response.status == 200);
    CHECK(response.body.view() == "answer f ");
    CHECK(deployment.startsOf("f") == 1);
}

TEST_CASE("faults: a request outlives a standstill of the whole deployment", "[system]")
{
    TestDeployment deployment({ .agents = 2, .entries = 1 });
    std::future<Response> slow = deployment.callLater(0, "/quick?n=w&ms=300");
    Deployment::await("the request to run", [&deployment]() { return deployment.counts().running == 1; });
    const std::vector<standins::ChildProcess*> processes { &deployment.entry(0), &deployment.agent(0), &deployment.agent(1), &deployment.upstream(0), &deployment.upstream(1) };
    for (const standins::ChildProcess* const process : processes)
        process->signal(SIGSTOP);
    sleepFor(std::chrono::milliseconds(3000));
    for (const standins::ChildProcess* const process : processes)
        process->signal(SIGCONT);
    const Response response = slow.get();
    CHECK(response.status == 200);
    CHECK(response.body.view() == "answer w ");
}

TEST_CASE("faults: links are cut again and again", "[system]")
{
    TestDeployment deployment({ .proxied = true });
    CallerLoad load(mixedLoad(deployment));
    load.start();
    for (std::size_t round = 0; round < 8; ++round) {
        sleepFor(std::chrono::milliseconds(300));
        deployment.proxy(round % 2).dropConnections();
    }
    stopAndCheckLoad(load, deployment);
}

TEST_CASE("faults: links are half-open, and found", "[system]")
{
    TestDeployment deployment({ .proxied = true });
    CallerLoad load(mixedLoad(deployment));
    load.start();
    sleepFor(std::chrono::milliseconds(500));
    deployment.proxy(0).setFaults({ .halfOpen = true });
    // Whichever end finds the silence first closes the link, and the other sees its end.
    const std::vector<std::string> logs { deployment.logPath("entry", 0), deployment.logPath("agent", 0), deployment.logPath("agent", 1), deployment.logPath("agent", 2) };
    Deployment::await("the silence to be found", [&logs]() {
        return std::any_of(logs.begin(), logs.end(), [](const std::string& log) { return readText(log).find("E304 link_silent") != std::string::npos; });
    });
    deployment.proxy(0).setFaults({});
    deployment.awaitAgents(3);
    stopAndCheckLoad(load, deployment);
}

TEST_CASE("faults: answers come late, out of order and twice", "[system]")
{
    TestDeployment deployment({ .proxied = true });
    for (std::size_t entry = 0; entry < 2; ++entry)
        deployment.proxy(entry).setFaults({ .repeatedAnswersPercent = 30, .delayedAnswersPercent = 30 });
    CallerLoad load(mixedLoad(deployment));
    load.start();
    sleepFor(std::chrono::milliseconds(2000));
    stopAndCheckLoad(load, deployment);
    std::uint64_t dropped = 0;
    for (const std::string& admin : deployment.entryAdmins())
        dropped += Deployment::status(admin).at("late_answers_dropped").get<std::uint64_t>();
    CHECK(dropped > 0);
}

TEST_CASE("faults: a restarted agent gives the VM no more work while old work runs", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1, .slots = 4 });
    std::vector<std::future<Response>> old;
    for (int number = 0; number < 4; ++number)
        old.push_back(deployment.callLater(0, "/batch?n=old" + std::to_string(number) + "&ms=2500"));
    Deployment::await("old work", [&deployment]() { return deployment.counts().running == 4; });
    deployment.agent(0).signal(SIGKILL);
    deployment.agent(0).wait();
    deployment.startAgent(0);
    for (std::future<Response>& request : old)
        CHECK(request.get().status == 200);
    CHECK(deployment.counts().overfilled == 0);
    CHECK(deployment.counts().peakSlots == 4);
}

TEST_CASE("faults: a tally whose agent is killed is unknown, not doubled, and its copy does not run", "[system]")
{
    TestDeployment deployment({});
    std::future<Response> tally = deployment.callLater(0, "/tally?n=t&ms=1500", "key");
    Deployment::await("the tally", [&deployment]() { return deployment.startsOf("t") == 1; });
    for (std::size_t agent = 0; agent < 3; ++agent) {
        if (Deployment::status(deployment.agentAdmins().at(agent)).at("active_calls") != 1)
            continue;
        deployment.agent(agent).signal(SIGKILL);
        deployment.agent(agent).wait();
    }
    CHECK(outcomeOf(tally.get()) == "unknown");
    for (std::size_t entry = 0; entry < 2; ++entry)
        CHECK(outcomeOf(deployment.call(entry, "/tally?n=t&ms=1500", "key")) == "unknown");
    CHECK(deployment.startsOf("t") == 1);
}
