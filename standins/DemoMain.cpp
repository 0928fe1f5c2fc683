#include "CallerLoad.h"
#include "Deployment.h"
#include "JobsDeployment.h"
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

namespace {

using namespace cowslipdoor;
using namespace cowslipdoor::standins;
using std::chrono::steady_clock;

const std::string firstRules = "version 1\n"
                               "# The weekly rota of the co-operative.\n"
                               "rule rota-today path=/rota/* class=quick deadline=1s objective=99.9%<200ms reserve=2 retry=2 # Siti, mill liaison: a gang without an answer leaves lorries idle\n"
                               "rule tally path=/tally/* class=tally deadline=3s # Ahmad, treasurer: a doubled tally pays a member twice\n"
                               "rule rota-rebuild path=/rebuild/* class=batch deadline=30s retry=3 team=rota quota=200 # Siti, mill liaison: rain shifts the plan\n";

const std::string secondRules = "version 2\n"
                                "# The weekly rota of the co-operative.\n"
                                "rule rota-today path=/rota/* class=quick deadline=1s objective=99.9%<200ms reserve=3 retry=2 # Siti, mill liaison: harvest peak, one more slot for gang leaders\n"
                                "rule tally path=/tally/* class=tally deadline=3s # Ahmad, treasurer: a doubled tally pays a member twice\n"
                                "rule rota-rebuild path=/rebuild/* class=batch deadline=30s retry=3 team=rota quota=200 # Siti, mill liaison: rain shifts the plan\n";

void printLine(const std::string& text)
{
    std::cout << "demo: " << text << std::endl;
}

void sleepFor(std::chrono::milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

CallerLoadConfig loadFor(const Deployment& deployment)
{
    return {
        .entries = deployment.callerAddresses(),
        .entryAdmins = deployment.entryAdmins(),
        .classes = {
            { .name = "quick", .path = "/rota/today", .perSecond = 150, .milliseconds = 8, .answerBytes = 2000 },
            { .name = "tally", .path = "/tally/block-7", .keyed = true, .perSecond = 40, .milliseconds = 12, .callTimeout = std::chrono::seconds(8) },
            { .name = "batch", .path = "/rebuild/week", .perSecond = 12, .milliseconds = 400, .answerBytes = 100'000, .callTimeout = std::chrono::seconds(40) },
        },
    };
}

void killAndReplaceAgent(Deployment& deployment)
{
    printLine("agent 1 is killed (SIGKILL)");
    deployment.agent(1).signal(SIGKILL);
    deployment.agent(1).wait();
    sleepFor(std::chrono::milliseconds(700));
    deployment.startAgent(1);
    printLine("agent 1 is started again");
}

bool replaceEntry(Deployment& deployment)
{
    printLine("entry 0 is stopped (SIGTERM)");
    deployment.entry(0).signal(SIGTERM);
    const int code = deployment.entry(0).wait();
    deployment.startEntry(0);
    printLine("entry 0 ended with exit code " + std::to_string(code) + " and is replaced");
    return code == 0;
}

bool changeRule(Deployment& deployment)
{
    deployment.writeRules(secondRules);
    const steady_clock::time_point begun = steady_clock::now();
    deployment.entry(1).signal(SIGHUP);
    Deployment::await("rules version 2 to be in force everywhere", [&deployment]() { return deployment.rulesInForceEverywhere(2); });
    const std::chrono::milliseconds took = std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - begun);
    printLine("rules version 2, given to entry 1 alone, is in force at all 5 processes after " + std::to_string(took.count()) + " ms");
    return took < std::chrono::seconds(4);
}

/// Violations found in the part of the demo that runs jobs.
struct JobsResult {
    std::size_t lost = 0;
    std::size_t doubled = 0;
    std::size_t overfilled = 0;
};

JobsResult runJobs(const std::string& folder)
{
    constexpr unsigned jobCount = 12;
    constexpr unsigned tasksPerJob = 6;
    platform::JobsDeployment deployment({ .folder = folder });
    printLine("jobs: 2 entries, 2 agents, stand-ins for the store and for 2 workers");
    unsigned accepted = 0;
    for (unsigned number = 0; number < jobCount; ++number) {
        if (number == jobCount / 3) {
            printLine("jobs: the leader is killed (SIGKILL)");
            deployment.entry(*deployment.leader()).signal(SIGKILL);
        }
        if (number == 2 * jobCount / 3) {
            printLine("jobs: the store is unavailable for 1 s");
            deployment.store().setDown(true);
            sleepFor(std::chrono::seconds(1));
            deployment.store().setDown(false);
        }
        platform::JobsDeployment::await("a job to be accepted", [&deployment, number]() { return deployment.submit(platform::jobId(number), tasksPerJob); });
        ++accepted;
    }
    JobsResult result;
    for (unsigned number = 0; number < accepted; ++number)
        platform::JobsDeployment::await("job " + platform::jobId(number), [&deployment, number]() { return deployment.state(platform::jobId(number)) == "done"; });
    const std::map<std::string, std::size_t> done = deployment.done();
    result.lost = accepted * tasksPerJob - std::min<std::size_t>(done.size(), accepted * tasksPerJob);
    for (const std::map<std::string, std::size_t>::value_type& item : done)
        result.doubled += item.second - 1;
    result.overfilled = deployment.overfilled();
    printLine("jobs: " + std::to_string(accepted) + " jobs accepted, " + std::to_string(done.size()) + " tasks done");
    return result;
}

int runDemo()
{
    const std::string folder = std::filesystem::temp_directory_path() / ("cowslipdoor-demo-" + std::to_string(::getpid()));
    Deployment deployment({ .rules = firstRules, .folder = folder, .entryFlags = { "--drain-grace=1s" } });
    printLine("starting 3 upstreams with agents, and 2 entries; logs are in " + folder);
    deployment.startAll();
    CallerLoad load(loadFor(deployment));
    load.start();
    printLine("mixed load runs: quick answers, tallies that are not idempotent, batch rebuilds");
    sleepFor(std::chrono::seconds(4));
    killAndReplaceAgent(deployment);
    sleepFor(std::chrono::seconds(3));
    const bool cleanStop = replaceEntry(deployment);
    sleepFor(std::chrono::seconds(3));
    const bool propagated = changeRule(deployment);
    sleepFor(std::chrono::seconds(3));
    load.stop();
    Deployment::await("upstreams to finish", [&deployment]() { return deployment.counts().running == 0; });
    const LoadResult result = evaluate(load.records(), deployment.counts());
    std::cout << "\n"
              << summarize(load.records()) << "\n";
    for (const std::string& reason : result.reasons)
        printLine(reason);
    const JobsResult jobs = runJobs(folder + "/jobs");
    const std::size_t lost = result.lost + jobs.lost;
    const std::size_t doubled = result.doubled + jobs.doubled;
    const std::size_t overfilled = result.overfilled + jobs.overfilled;
    const bool ok = lost == 0 && doubled == 0 && overfilled == 0 && cleanStop && propagated;
    std::cout << "demo: lost " << lost << " doubled " << doubled << " overfilled " << overfilled << (ok ? " ok" : " failed") << std::endl;
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int main()
{
    try {
        return runDemo();
    } catch (const std::exception& error) {
        std::cerr << "demo: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
