#include "JobsDeployment.h"
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <thread>

using namespace cowslipdoor;
using namespace cowslipdoor::platform;

namespace {

using Clock = std::chrono::steady_clock;

/// Time after the acknowledgement of an evacuation from which no task may start there, as the platform requires.
constexpr std::chrono::seconds evacuationBound { 5 };

JobsDeploymentConfig configFor(const std::string& name)
{
    JobsDeploymentConfig config;
    config.folder = (std::filesystem::temp_directory_path() / ("cowslipdoor-evacuation-" + name)).string();
    std::filesystem::remove_all(config.folder);
    config.zones = 2;
    config.evacuationLimit = evacuationBound;
    return config;
}

/// Submits jobs of 12 tasks, more than one worker takes at once, until a time; returns the number of the next job.
unsigned submitUntil(JobsDeployment& deployment, Clock::time_point end, unsigned number)
{
    while (Clock::now() < end) {
        CHECK(deployment.submit(jobId(number++), 12));
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    return number;
}

std::size_t startsOn(JobsDeployment& deployment, std::size_t worker)
{
    return deployment.worker(worker).counts().started;
}

/// Whether the leader lists a failure domain as evacuated.
bool listsEvacuation(JobsDeployment& deployment, const std::string& zone)
{
    const nlohmann::json page = deployment.status(deployment.leader().value_or(0));
    return page.is_object() && std::any_of(page.at("evacuated_domains").begin(), page.at("evacuated_domains").end(), [&zone](const nlohmann::json& domain) { return domain.at("failure_domain") == zone; });
}

}

TEST_CASE("evacuation: nothing starts in an evacuated failure domain although the leader is killed, until it is restored", "[system][evacuation]")
{
    JobsDeployment deployment(configFor("leader"));
    unsigned number = submitUntil(deployment, Clock::now() + std::chrono::seconds(1), 0);
    REQUIRE(startsOn(deployment, 0) > 0);
    deployment.evacuate(deployment.zoneOf(0));
    const Clock::time_point acknowledged = Clock::now();
    deployment.entry(*deployment.leader()).signal(SIGKILL);
    number = submitUntil(deployment, acknowledged + evacuationBound, number);
    const std::size_t before = startsOn(deployment, 0);
    const std::size_t elsewhere = startsOn(deployment, 1);
    number = submitUntil(deployment, Clock::now() + std::chrono::seconds(4), number);
    CHECK(startsOn(deployment, 0) == before);
    CHECK(startsOn(deployment, 1) > elsewhere);
    CHECK(listsEvacuation(deployment, deployment.zoneOf(0)));
    // The feed delivers the removal, or the table is read again without the row.
    deployment.restore(deployment.zoneOf(0));
    deployment.store().dropHistory();
    const Clock::time_point restored = Clock::now();
    while (startsOn(deployment, 0) == before && Clock::now() < restored + std::chrono::seconds(5))
        number = submitUntil(deployment, Clock::now() + std::chrono::milliseconds(1), number);
    CHECK(startsOn(deployment, 0) > before);
    CHECK_FALSE(listsEvacuation(deployment, deployment.zoneOf(0)));
    for (unsigned job = 0; job < number; ++job)
        JobsDeployment::await("job " + jobId(job), [&deployment, job]() { return deployment.state(jobId(job)) == "done"; });
    CHECK(deployment.overfilled() == 0);
    CHECK(deployment.completedTwice().empty());
}

TEST_CASE("evacuation: long-running tasks move to other failure domains one after the other, while finite ones run to their end", "[system][evacuation]")
{
    JobsDeploymentConfig config = configFor("moves");
    config.taskTime = std::chrono::seconds(4);
    JobsDeployment deployment(config);
    REQUIRE(deployment.submitLongRunning(jobId(0), 3));
    REQUIRE(deployment.submit(jobId(1), 2));
    JobsDeployment::await("the tasks to run", [&deployment]() { return deployment.workerStates()[0].running.size() + deployment.workerStates()[1].running.size() == 5; });
    const std::size_t source = deployment.workerStates()[0].running.empty() ? 1 : 0;
    const std::size_t target = 1 - source;
    deployment.evacuate(deployment.zoneOf(source));
    std::size_t least = 5;
    JobsDeployment::await("the long-running tasks to run elsewhere", [&deployment, &least, target]() {
        const std::vector<WorkerStandinState> states = deployment.workerStates();
        const auto longRunning = [](const WorkerStandinState& state) { return std::count_if(state.running.begin(), state.running.end(), [](const std::string& task) { return task.starts_with(jobId(0)); }); };
        least = std::min<std::size_t>(least, static_cast<std::size_t>(longRunning(states[0]) + longRunning(states[1])));
        return longRunning(states[target]) == 3;
    });
    CHECK(least >= 2);
    JobsDeployment::await("the finite job", [&deployment]() { return deployment.state(jobId(1)) == "done"; });
    const std::map<std::string, std::size_t> done = deployment.done();
    for (const std::map<std::string, std::size_t>::value_type& item : done)
        CHECK(item.second == 1);
    JobsDeployment::await("nothing left there", [&deployment, source]() { return deployment.workerStates()[source].running.empty(); });
}
