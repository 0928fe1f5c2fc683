#include "Support.h"
#include <algorithm>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("faults: no request is lost or doubled when agents are killed under load", "[system]")
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

TEST_CASE("faults: no request is lost or doubled when agents are suspended and resumed, with upstreams that remember no finished requests", "[system]")
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

TEST_CASE("faults: no request is lost or doubled when one entry is suspended and resumed and another is killed", "[system]")
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

TEST_CASE("faults: a resumed entry delivers an answer that has already arrived, although the deadline has passed", "[system]")
{
    const std::chrono::milliseconds suspendedFor(GENERATE(3000, 6000));
    TestDeployment deployment({ .agents = 2, .entries = 1 });
    std::future<Response> slow = deployment.callLater(0, "/quick?n=f&ms=300");
    Deployment::await("the request to run", [&deployment]() { return deployment.counts().running == 1; });
    deployment.entry(0).signal(SIGSTOP);
    sleepFor(suspendedFor);
    deployment.entry(0).signal(SIGCONT);
    const Response response = slow.get();
    CHECK(response.status == 200);
    CHECK(response.body.view() == "answer f ");
    CHECK(deployment.startsOf("f") == 1);
}

TEST_CASE("faults: a request succeeds after all processes were suspended for 3 s", "[system]")
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

TEST_CASE("faults: no request is lost or doubled when links are closed repeatedly", "[system]")
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

TEST_CASE("faults: half-open links are detected, and no request is lost or doubled", "[system]")
{
    TestDeployment deployment({ .proxied = true });
    CallerLoad load(mixedLoad(deployment));
    load.start();
    sleepFor(std::chrono::milliseconds(500));
    deployment.proxy(0).setFaults({ .halfOpen = true });
    // The end that first detects the silence logs it and closes the link; the other end only sees the link closed.
    const std::vector<std::string> logs { deployment.logPath("entry", 0), deployment.logPath("agent", 0), deployment.logPath("agent", 1), deployment.logPath("agent", 2) };
    Deployment::await("a process to detect the silent link", [&logs]() {
        return std::any_of(logs.begin(), logs.end(), [](const std::string& log) { return readText(log).find("E304 link_silent") != std::string::npos; });
    });
    deployment.proxy(0).setFaults({});
    deployment.awaitAgents(3);
    stopAndCheckLoad(load, deployment);
}

TEST_CASE("faults: no request is lost or doubled when answers are delayed, reordered and duplicated", "[system]")
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

TEST_CASE("faults: a restarted agent does not exceed the capacity of the VM while requests of its previous incarnation run", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1, .slots = 4 });
    std::vector<std::future<Response>> old;
    for (int number = 0; number < 4; ++number)
        old.push_back(deployment.callLater(0, "/batch?n=old" + std::to_string(number) + "&ms=2500"));
    Deployment::await("the requests of the previous incarnation to run", [&deployment]() { return deployment.counts().running == 4; });
    deployment.agent(0).signal(SIGKILL);
    deployment.agent(0).wait();
    deployment.startAgent(0);
    for (std::future<Response>& request : old)
        CHECK(request.get().status == 200);
    CHECK(deployment.counts().overfilled == 0);
    CHECK(deployment.counts().peakSlots == 4);
}

TEST_CASE("faults: a keyed request whose agent is killed has an unknown outcome, and its copies do not run", "[system]")
{
    TestDeployment deployment({});
    std::future<Response> tally = deployment.callLater(0, "/tally?n=t&ms=1500", "key");
    Deployment::await("the keyed request to run", [&deployment]() { return deployment.startsOf("t") == 1; });
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
