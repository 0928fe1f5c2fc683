#include "JobsDeployment.h"
#include "ProcessMemory.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/HttpClient.h>
#include <csignal>
#include <filesystem>

using namespace cowslipdoor;
using namespace cowslipdoor::platform;

namespace {

/// The smallest memory-mb of the VMs that run entries.
constexpr std::size_t entryMemoryMb = 160;

JobsDeploymentConfig configFor(const std::string& name)
{
    JobsDeploymentConfig config;
    config.folder = (std::filesystem::temp_directory_path() / ("cowslipdoor-configuration-" + name)).string();
    std::filesystem::remove_all(config.folder);
    return config;
}

void restartAll(JobsDeployment& deployment)
{
    for (std::size_t index = 0; index < 2; ++index) {
        deployment.entry(index).signal(SIGKILL);
        deployment.agent(index).signal(SIGKILL);
    }
    for (std::size_t index = 0; index < 2; ++index) {
        (void)deployment.entry(index).wait();
        (void)deployment.agent(index).wait();
        deployment.startEntry(index);
        deployment.startAgent(index);
    }
}

void awaitQueue(const JobsDeployment& deployment, std::size_t queue)
{
    JobsDeployment::await("all entries to serve queue " + std::to_string(queue), [&deployment, queue]() {
        return deployment.askQueue(0, queue).status == 200 && deployment.askQueue(1, queue).status == 200;
    });
}

/// Returns the row version of the configuration that is in force at an entry, as its metrics state it.
double rowInForce(const JobsDeployment& deployment, std::size_t index)
{
    const std::string name = "\ncowslipdoor_configuration_row_in_force ";
    const Response page = runtime::fetch({ .address = deployment.adminAddress(index), .method = "GET", .target = "/metrics", .timeout = std::chrono::seconds(4) });
    const std::string text(page.body.view());
    const std::size_t found = text.find(name);
    return found == std::string::npos ? 0 : std::stod(text.substr(found + name.size()));
}

void checkMemory(JobsDeployment& deployment)
{
    for (std::size_t index = 0; index < 2; ++index) {
        INFO("entry " << index << ": " << peakMemoryMb(deployment.entry(index).pid()) << " MB");
        CHECK(deployment.entry(index).running());
        CHECK(peakMemoryMb(deployment.entry(index).pid()) <= entryMemoryMb);
    }
}

}

// Guards against: after a large configuration and a restart, no entry serves any job.
TEST_CASE("configuration: entries serve every queue of a large configuration, also after all processes were killed", "[system][jobs]")
{
    JobsDeployment deployment(configFor("large"));
    REQUIRE(deployment.submit(jobId(0), 6));
    std::uint64_t version = 8;
    for (const std::size_t queues : { std::size_t { 9'000 }, std::size_t { 60'000 } }) {
        deployment.configure(version++, queues);
        awaitQueue(deployment, queues - 1);
        checkMemory(deployment);
        restartAll(deployment);
        awaitQueue(deployment, queues - 1);
        // Processes are killed while they read the next configuration.
        deployment.configure(version++, queues + 1);
        restartAll(deployment);
        awaitQueue(deployment, queues);
        checkMemory(deployment);
    }
    JobsDeployment::await("the job to be done", [&deployment]() { return deployment.state(jobId(0)) == "done"; });
    REQUIRE(deployment.submit(jobId(1), 6));
    JobsDeployment::await("a later job to be done", [&deployment]() { return deployment.state(jobId(1)) == "done"; });
}

// Guards against: an entry refuses all jobs, as if it had lost the store, while a configuration takes longer to arrive than the
// contact with the store stays valid.
TEST_CASE("configuration: jobs are accepted while a large configuration arrives over a slow link", "[system][jobs]")
{
    JobsDeploymentConfig config = configFor("slow");
    config.proxied = true;
    JobsDeployment deployment(config);
    for (std::size_t index = 0; index < 2; ++index)
        deployment.storeProxyOfEntry(index).setFaults({ .delay = std::chrono::milliseconds(20) });
    constexpr std::size_t queues = 40'000;
    deployment.configure(8, queues);
    unsigned number = 0;
    unsigned refused = 0;
    JobsDeployment::await("all entries to serve the last queue", [&deployment, &number, &refused]() {
        for (std::size_t index = 0; index < 2; ++index) {
            const unsigned status = deployment.call(index, "POST", jobId(number++), R"({"spec":"text","phases":[{"count":1,"cpu":1000,"mem-mb":1}]})").first;
            refused += status == 503 ? 1 : 0;
        }
        return deployment.askQueue(0, queues - 1).status == 200 && deployment.askQueue(1, queues - 1).status == 200;
    });
    INFO(number << " jobs");
    CHECK(refused == 0);
}

TEST_CASE("configuration: of one beyond all limits the first queues are served, and others are refused as not known yet", "[system][jobs]")
{
    constexpr std::size_t queues = 130'000;
    JobsDeployment deployment(configFor("beyond"));
    for (const std::size_t extra : { 0, 1 }) {
        const double before = rowInForce(deployment, 0);
        deployment.configure(8 + extra, queues + extra);
        JobsDeployment::await("all entries to have the newer configuration", [&deployment, before]() { return rowInForce(deployment, 0) > before && rowInForce(deployment, 1) > before; });
        checkMemory(deployment);
    }
    for (const bool restarted : { false, true }) {
        if (restarted)
            restartAll(deployment);
        awaitQueue(deployment, 50'000);
        const Response missing = deployment.askQueue(0, queues - 1);
        CHECK(missing.status == 503);
        CHECK(std::any_of(missing.headers.begin(), missing.headers.end(), [](const Header& header) { return header.name == "Retry-After"; }));
        CHECK(deployment.readiness(0) == 200);
        checkMemory(deployment);
    }
    deployment.configure(10, 1);
    JobsDeployment::await("the smaller configuration", [&deployment]() { return deployment.askQueue(0, 1).status == 404; });
    CHECK(deployment.askQueue(0, 0).status == 200);
}

TEST_CASE("configuration: while the newest one cannot be used, known queues are served, and a restarted entry is not ready", "[system][jobs]")
{
    JobsDeployment deployment(configFor("unusable"));
    deployment.configure(8, 1);
    awaitQueue(deployment, 0);
    CHECK(deployment.askQueue(0, 1).status == 404);
    deployment.store().put("op", "config", "not json");
    JobsDeployment::await("an unknown queue to be refused for now", [&deployment]() { return deployment.askQueue(0, 1).status == 503; });
    CHECK(deployment.askQueue(0, 0).status == 200);
    CHECK(deployment.readiness(0) == 200);
    restartAll(deployment);
    JobsDeployment::await("the restarted entry to refuse", [&deployment]() { return deployment.askQueue(0, 0).status == 503; });
    CHECK(deployment.readiness(0) == 503);
    deployment.configure(9, 1);
    awaitQueue(deployment, 0);
    CHECK(deployment.readiness(0) == 200);
}
