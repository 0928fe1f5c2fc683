#include "Support.h"

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

TEST_CASE("stops: every entry and agent is replaced under load without a failed request", "[system]")
{
    TestDeployment deployment({ .entryFlags = { "--drain-grace=1s" } });
    CallerLoad load(mixedLoad(deployment));
    load.start();
    sleepFor(std::chrono::milliseconds(300));
    for (std::size_t agent = 0; agent < 3; ++agent) {
        deployment.agent(agent).signal(SIGTERM);
        CHECK(deployment.agent(agent).wait() == 0);
        deployment.startAgent(agent);
        deployment.awaitAgents(3);
    }
    for (std::size_t entry = 0; entry < 2; ++entry) {
        deployment.entry(entry).signal(SIGTERM);
        CHECK(deployment.entry(entry).wait() == 0);
        deployment.startEntry(entry);
        deployment.awaitAgents(3);
    }
    stopAndCheckLoad(load, deployment);
    for (const standins::CallRecord& record : load.records()) {
        INFO(record.number << " " << record.status << " " << record.error);
        CHECK(record.status == 200);
    }
}

TEST_CASE("stops: a draining agent finishes its requests in flight and accepts no new ones", "[system]")
{
    TestDeployment deployment({ .agents = 2, .entries = 1 });
    std::vector<std::future<Response>> held;
    for (int number = 0; number < 6; ++number)
        held.push_back(deployment.callLater(0, "/batch?n=h" + std::to_string(number) + "&ms=1500"));
    Deployment::await("the requests to run", [&deployment]() { return deployment.counts().running == 6; });
    deployment.agent(0).signal(SIGTERM);
    Deployment::await("the entry to report the drain", [&deployment]() {
        const nlohmann::json status = Deployment::status(deployment.entryAdmins().at(0));
        for (const nlohmann::json& agent : status.at("agents")) {
            if (agent.at("agent") == "agent-0")
                return agent.at("draining").get<bool>();
        }
        return true;
    });
    for (int number = 0; number < 20; ++number)
        CHECK(deployment.call(0, "/quick?n=" + std::to_string(number)).status == 200);
    for (std::future<Response>& request : held)
        CHECK(request.get().status == 200);
    CHECK(deployment.agent(0).wait() == 0);
    for (int number = 0; number < 6; ++number)
        CHECK(deployment.startsOf("h" + std::to_string(number)) == 1);
}

TEST_CASE("stops: a leaving upstream finishes its running requests and gets no new ones", "[system]")
{
    TestDeployment deployment({ .agents = 2, .entries = 1 });
    std::vector<std::future<Response>> held;
    for (int number = 0; number < 6; ++number)
        held.push_back(deployment.callLater(0, "/batch?n=h" + std::to_string(number) + "&ms=1000"));
    Deployment::await("the requests to run", [&deployment]() { return deployment.counts().running == 6; });
    deployment.upstream(0).signal(SIGTERM);
    for (std::future<Response>& request : held)
        CHECK(request.get().status == 200);
    CHECK(deployment.upstream(0).wait() == 0);
    for (int number = 0; number < 20; ++number)
        CHECK(deployment.call(0, "/quick?n=" + std::to_string(number)).status == 200);
}

TEST_CASE("stops: a second signal aborts the drain and logs how many requests were cut off", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1 });
    std::future<Response> aborted = deployment.callLater(0, "/batch?n=c&ms=20000");
    Deployment::await("the long request to run", [&deployment]() { return deployment.counts().running == 1; });
    deployment.entry(0).signal(SIGTERM);
    Deployment::await("the drain to start", [&deployment]() { return Deployment::status(deployment.entryAdmins().at(0)).at("stopping").get<bool>(); });
    deployment.entry(0).signal(SIGTERM);
    CHECK(deployment.entry(0).wait() == 1);
    CHECK_THROWS_AS(aborted.get(), Error);
    CHECK(readText(deployment.logPath("entry", 0)).find("E104 drain_cut [entry-0] second signal, 1 requests cut off") != std::string::npos);
}

TEST_CASE("stops: an agent logs how many calls and links a second signal cut off", "[system]")
{
    // An agent whose links stay open after its last call exits with code 1, and the log said only that no call was cut off.
    TestDeployment deployment({ .agents = 1, .entries = 1 });
    std::future<Response> aborted = deployment.callLater(0, "/batch?n=c&ms=20000");
    Deployment::await("the long request to run", [&deployment]() { return deployment.counts().running == 1; });
    deployment.agent(0).signal(SIGTERM);
    Deployment::await("the drain to start", [&deployment]() { return readText(deployment.logPath("agent", 0)).find("E102 drain_started") != std::string::npos; });
    deployment.agent(0).signal(SIGTERM);
    CHECK(deployment.agent(0).wait() == 1);
    CHECK(readText(deployment.logPath("agent", 0)).find("E104 drain_cut [agent-0] second signal, 1 calls and 1 links cut off") != std::string::npos);
    deployment.entry(0).signal(SIGKILL);
    CHECK_THROWS_AS(aborted.get(), Error);
}
