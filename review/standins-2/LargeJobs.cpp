#include "Cases.h"
#include "MemoryLimit.h"
#include <cstdio>
#include <utility>

namespace review {

namespace {

    constexpr const char* jobBefore = "00000000000000f1";
    constexpr const char* jobAfter = "00000000000000f2";

    /// memory-mb of the machines that run entries.
    constexpr long memoryLimitMb = 260;

    constexpr std::size_t entries = 3;

    /// The largest job that the entries accept.
    constexpr unsigned stepsEach = 64;
    constexpr unsigned tasksOfStep = 1000;
    constexpr unsigned jobsSent = 18;

    /// finish_s of the deployment, and the 3 s in which a job must have something running.
    constexpr long long finishMs = 14000;
    constexpr long long windowMs = 3000;

    std::string largeJob()
    {
        nlohmann::json steps = nlohmann::json::array();
        for (unsigned step = 0; step < stepsEach; ++step) {
            nlohmann::json next { { "count", tasksOfStep }, { "cpu", 100 }, { "mem-mb", 10 }, { "estimate-ms", 200 } };
            if (step > 0)
                next["after"] = { step - 1 };
            steps.push_back(std::move(next));
        }
        return nlohmann::json { { "spec", "work-ms=200 cpu=100" }, { "phases", steps } }.dump();
    }

    std::string largeJobId(unsigned number)
    {
        char text[17];
        static_cast<void>(std::snprintf(text, sizeof(text), "00000000000aa%03u", number));
        return text;
    }

    std::size_t runsOf(Deployment& deployment, const std::string& job, long long from)
    {
        std::size_t count = 0;
        for (const WorkerRun& run : deployment.runs())
            count += run.task.starts_with(job) && run.startedAt >= from ? 1 : 0;
        return count;
    }

}

Verdict largeJobs(const CaseInput& input, Record& record)
{
    Deployment deployment({ .root = input.root, .folder = input.folder, .entries = entries }, record);
    if (!deployment.waitUntilReady(30000)) {
        record.line("the deployment is not ready in time");
        return Verdict::CouldNotRun;
    }
    std::vector<WatchedProcess> watched;
    for (std::size_t number = 0; number < entries; ++number) {
        watched.push_back({ "entry " + std::to_string(number), [&deployment, number]() -> Process& { return deployment.entry(number); },
            [&deployment, number]() { deployment.startEntry(number); } });
    }
    const MemoryLimit platform(memoryLimitMb, std::move(watched), record);
    if (deployment.call(0, "POST", jobBefore, jobBody(2, 500, 500), 3000).status != 200)
        return Verdict::CouldNotRun;
    const std::string body = largeJob();
    unsigned accepted = 0;
    for (unsigned number = 0; number < jobsSent && input.trouble; ++number) {
        for (std::size_t attempt = 0; attempt < entries; ++attempt) {
            if (deployment.call((number + attempt) % entries, "POST", largeJobId(number), body, 3000).status == 200) {
                ++accepted;
                break;
            }
            sleepMs(300);
        }
        sleepMs(100);
    }
    bool handedIn = false;
    for (std::size_t attempt = 0; attempt < 10 && !handedIn; ++attempt) {
        handedIn = deployment.call(attempt % entries, "POST", jobAfter, jobBody(2, 500, 500), 3000).status == 200;
        if (!handedIn)
            sleepMs(500);
    }
    record.line("the traffic ends; " + std::to_string(accepted) + " large jobs of " + std::to_string(body.size()) + " bytes were accepted");
    if (!handedIn)
        return Verdict::CouldNotRun;
    sleepMs(finishMs + windowMs);
    for (std::size_t number = 0; number < entries; ++number)
        record.line("entry " + std::to_string(number) + " ended " + std::to_string(platform.ends(number)) + " times; its peak was " + std::to_string(platform.peakMb(number)) + " MB");
    static_cast<void>(deployment.call(0, "GET", jobAfter, "", 3000));
    if (runsOf(deployment, jobBefore, 0) < 2) {
        record.line("the first job did not run");
        return Verdict::CouldNotRun;
    }
    const bool lost = runsOf(deployment, jobAfter, 0) == 0;
    if (lost)
        record.line("the last job has nothing running until " + std::to_string(finishMs + windowMs) + " ms after the end of the traffic: LOST is broken");
    return lost ? Verdict::Broken : Verdict::Held;
}

}
