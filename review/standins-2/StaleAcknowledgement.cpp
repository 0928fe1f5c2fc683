#include "Cases.h"
#include "Deployment.h"
#include <map>

namespace review {

namespace {

    constexpr const char* jobBefore = "00000000000000a1";
    constexpr const char* jobAfter = "00000000000000a2";

    /// Label of the two workers that may run the jobs.
    constexpr const char* sharedLabel = "b";

    /// How long the worker is down.
    constexpr long long downMs = 200;

    /// When the worker sends its first heartbeat after its start; one follows each 1.5 s.
    constexpr long long firstHeartbeatMs = 400;

    constexpr unsigned tasks = 4;
    constexpr long long workMs = 100;

}

Verdict staleAcknowledgement(const CaseInput& input, Record& record)
{
    DeploymentConfig config { .root = input.root, .folder = input.folder };
    config.extraLabels = { { 0, { sharedLabel } }, { 1, { sharedLabel } } };
    config.workersKeepAlive = false;
    Deployment deployment(config, record);
    if (!deployment.waitUntilReady(30000)) {
        record.line("the deployment is not ready in time");
        return Verdict::CouldNotRun;
    }
    if (deployment.call(0, "POST", jobBefore, jobBody(tasks, 500, workMs, sharedLabel), 3000).status != 200)
        return Verdict::CouldNotRun;
    sleepMs(6000);
    if (input.trouble) {
        deployment.worker(0).losePower();
        sleepMs(downMs);
        deployment.worker(0).startAgain(firstHeartbeatMs);
    }
    if (deployment.call(0, "POST", jobAfter, jobBody(tasks, 500, workMs, sharedLabel), 3000).status != 200)
        return Verdict::CouldNotRun;
    sleepMs(8000);
    static_cast<void>(deployment.call(0, "GET", jobAfter, "", 3000));
    std::map<std::string, std::vector<WorkerRun>> byTask;
    for (const WorkerRun& run : deployment.runs())
        byTask[run.task].push_back(run);
    bool broken = false;
    for (const std::map<std::string, std::vector<WorkerRun>>::value_type& item : byTask) {
        for (std::size_t index = 1; index < item.second.size(); ++index) {
            const WorkerRun& earlier = item.second[index - 1];
            const WorkerRun& later = item.second[index];
            if (earlier.how != "done" || earlier.acknowledgedAt < 0 || later.startedAt < earlier.endedAt)
                continue;
            broken = true;
            record.line(item.first + ": run " + std::to_string(earlier.number) + " ended done on " + earlier.worker + " and was acknowledged; run " + std::to_string(later.number) + " started on " + later.worker + " "
                + std::to_string(later.startedAt - earlier.endedAt) + " ms after that end: TWICE is broken");
        }
    }
    if (byTask.size() != std::size_t { 2 } * tasks) {
        record.line("not all tasks ran");
        return Verdict::CouldNotRun;
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

}
