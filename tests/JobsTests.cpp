#include "JobsDeployment.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>

using namespace cowslipdoor;
using namespace cowslipdoor::platform;

namespace {

JobsDeploymentConfig configFor(const std::string& name)
{
    JobsDeploymentConfig config;
    config.folder = (std::filesystem::temp_directory_path() / ("cowslipdoor-jobs-" + name)).string();
    std::filesystem::remove_all(config.folder);
    return config;
}

std::string jobId(unsigned number)
{
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

/// Waits until all jobs are done, and checks that each task ran to its end just once.
void expectAllDoneOnce(JobsDeployment& deployment, unsigned jobs, unsigned tasks)
{
    for (unsigned number = 0; number < jobs; ++number)
        JobsDeployment::await("job " + jobId(number), [&deployment, number]() { return deployment.state(jobId(number)) == "done"; });
    const std::map<std::string, std::size_t> done = deployment.done();
    CHECK(done.size() == jobs * tasks);
    for (const std::map<std::string, std::size_t>::value_type& item : done) {
        INFO(item.first);
        CHECK(item.second == 1);
    }
    CHECK(deployment.overfilled() == 0);
}

}

TEST_CASE("jobs: a job runs to its end, is shown, and a copy of it is the same job", "[system][jobs]")
{
    JobsDeployment deployment(configFor("path"));
    REQUIRE(deployment.submit(jobId(0), 5));
    REQUIRE(deployment.submit(jobId(0), 5));
    expectAllDoneOnce(deployment, 1, 5);
    CHECK(deployment.call(0, "GET", jobId(99)).first == 410);
    CHECK(deployment.call(0, "GET", "").second.at("pending") == 0);
    CHECK(deployment.call(0, "POST", jobId(1), "not json").first == 400);
    CHECK(deployment.call(0, "POST", "short", "{}").first == 400);
    CHECK(deployment.call(0, "DELETE", jobId(98)).first == 410);
}

TEST_CASE("jobs: a cancelled job ends and starts no more", "[system][jobs]")
{
    JobsDeploymentConfig config = configFor("cancel");
    config.taskTime = std::chrono::seconds(20);
    JobsDeployment deployment(config);
    REQUIRE(deployment.submit(jobId(0), 6));
    JobsDeployment::await("tasks at work", [&deployment]() { return deployment.worker(0).counts().running + deployment.worker(1).counts().running == 6; });
    CHECK(deployment.call(1, "DELETE", jobId(0)).first == 200);
    JobsDeployment::await("tasks stopped", [&deployment]() { return deployment.worker(0).counts().running + deployment.worker(1).counts().running == 0; });
    CHECK(deployment.state(jobId(0)) == "cancelled");
}

TEST_CASE("jobs: every job is done once when the leader is killed", "[system][jobs]")
{
    JobsDeployment deployment(configFor("leader"));
    for (unsigned number = 0; number < 8; ++number) {
        REQUIRE(deployment.submit(jobId(number), 6));
        if (number == 3)
            deployment.entry(*deployment.leader()).signal(SIGKILL);
    }
    expectAllDoneOnce(deployment, 8, 6);
}

TEST_CASE("jobs: every job is done once through an outage of the store and lost answers", "[system][jobs]")
{
    JobsDeployment deployment(configFor("store"));
    for (unsigned number = 0; number < 3; ++number)
        REQUIRE(deployment.submit(jobId(number), 6));
    deployment.store().setDown(true);
    CHECK_FALSE(deployment.submit(jobId(50), 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    deployment.store().setDown(false);
    deployment.store().dropHistory();
    deployment.store().loseAnswers(5);
    for (unsigned number = 3; number < 6; ++number)
        JobsDeployment::await("a job accepted", [&deployment, number]() { return deployment.submit(jobId(number), 6); });
    expectAllDoneOnce(deployment, 6, 6);
}

TEST_CASE("jobs: every job is done once when an agent is killed and orders lose their answers", "[system][jobs]")
{
    JobsDeployment deployment(configFor("agent"));
    deployment.worker(0).loseAnswers(2);
    for (unsigned number = 0; number < 6; ++number)
        REQUIRE(deployment.submit(jobId(number), 6));
    deployment.agent(1).signal(SIGKILL);
    deployment.agent(1).wait();
    deployment.startAgent(1);
    expectAllDoneOnce(deployment, 6, 6);
}

TEST_CASE("jobs: a planned stop of the leader hands over at once and exits cleanly", "[system][jobs]")
{
    JobsDeployment deployment(configFor("stop"));
    const std::size_t first = *deployment.leader();
    deployment.entry(first).signal(SIGTERM);
    JobsDeployment::await("the other entry leads", [&deployment, first]() { return deployment.leader() == 1 - first; });
    CHECK(deployment.entry(first).wait() == 0);
    REQUIRE(deployment.submit(jobId(0), 3));
    expectAllDoneOnce(deployment, 1, 3);
}
