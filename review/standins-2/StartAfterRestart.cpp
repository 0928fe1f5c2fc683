#include "Cases.h"
#include "Deployment.h"
#include <csignal>
#include <map>

namespace review {

namespace {

    constexpr const char* jobBefore = "00000000000000b1";
    constexpr const char* jobAfter = "00000000000000b2";

    /// Label of the two workers that may run the second job.
    constexpr const char* sharedLabel = "b";

    /// Label of the worker that runs the first job.
    constexpr const char* otherLabel = "c";

    /// How long the worker is down.
    constexpr long long downMs = 200;

    /// When the worker sends its first heartbeat after its start; one follows each 1.5 s.
    constexpr long long firstHeartbeatMs = 400;

    /// From the first start of the second job to the freeze.
    constexpr long long pauseMs = 100;

    /// Length of the freeze: the default of the bench's kinds.
    constexpr long long freezeMs = 5000;

    constexpr unsigned tasks = 4;
    constexpr long long workMs = 20000;

    bool startedOnFirst(Deployment& deployment)
    {
        const std::vector<WorkerRun> runs = deployment.worker(0).runs();
        return !runs.empty();
    }

}

Verdict startAfterRestart(const CaseInput& input, Record& record)
{
    DeploymentConfig config { .root = input.root, .folder = input.folder };
    config.extraLabels = { { 0, { sharedLabel } }, { 1, { sharedLabel } }, { 2, { otherLabel } } };
    Deployment deployment(config, record);
    if (!deployment.waitUntilReady(30000)) {
        record.line("the deployment is not ready in time");
        return Verdict::CouldNotRun;
    }
    if (deployment.call(0, "POST", jobBefore, jobBody(tasks, 500, 500, otherLabel), 3000).status != 200)
        return Verdict::CouldNotRun;
    // The clock of the worker's first life is well ahead of that of its second.
    sleepMs(10000);
    if (input.trouble) {
        deployment.worker(0).losePower();
        sleepMs(downMs);
        deployment.worker(0).startAgain(firstHeartbeatMs);
    }
    if (deployment.call(0, "POST", jobAfter, jobBody(tasks, 500, workMs, sharedLabel), 3000).status != 200)
        return Verdict::CouldNotRun;
    const long long patience = nowMs() + 2000;
    while (!startedOnFirst(deployment) && nowMs() < patience)
        sleepMs(1);
    if (!startedOnFirst(deployment)) {
        record.line("the second job did not start on the first worker");
        return Verdict::CouldNotRun;
    }
    sleepMs(pauseMs);
    if (input.trouble) {
        deployment.agent(0).signal(SIGSTOP);
        record.line("agent 0 stands still (SIGSTOP)");
    }
    sleepMs(freezeMs);
    if (input.trouble) {
        deployment.agent(0).signal(SIGCONT);
        record.line("agent 0 goes on (SIGCONT)");
    }
    sleepMs(3000);
    const long long checkedAt = nowMs();
    std::map<std::string, std::vector<WorkerRun>> byTask;
    for (const WorkerRun& run : deployment.runs())
        byTask[run.task].push_back(run);
    bool broken = false;
    for (const std::map<std::string, std::vector<WorkerRun>>::value_type& item : byTask) {
        for (std::size_t index = 1; index < item.second.size(); ++index) {
            const WorkerRun& earlier = item.second[index - 1];
            const WorkerRun& later = item.second[index];
            const long long end = earlier.endedAt < 0 ? checkedAt : earlier.endedAt;
            if (later.startedAt >= end)
                continue;
            broken = true;
            record.line(item.first + " ran twice at once for " + std::to_string(end - later.startedAt) + " ms: run " + std::to_string(earlier.number) + " on " + earlier.worker + " and run " + std::to_string(later.number) + " on " + later.worker + ": TWICE is broken");
        }
    }
    if (byTask.size() != std::size_t { 2 } * tasks) {
        record.line("not all tasks ran");
        return Verdict::CouldNotRun;
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

}
