#include "Cases.h"
#include "Deployment.h"
#include "HeartbeatLink.h"

namespace review {

namespace {

    constexpr const char* jobBefore = "00000000000000d1";
    constexpr const char* jobAfter = "00000000000000d2";

    /// Label that only the worker has that leaves.
    constexpr const char* rareLabel = "b";

    /// drain-ms of the deployment.
    constexpr long long drainMs = 2000;

    /// Length of the cut; two heartbeats are sent meanwhile, one each 1.5 s.
    constexpr long long cutMs = 3050;

    /// From the end of the cut to the draining.
    constexpr long long pauseMs = 1000;

    /// From the draining to the arrival of the late heartbeats: in the pause between two later ones, and more than contact-ms after
    /// the end of the cut.
    constexpr long long latenessMs = 3300;

}

Verdict lateHeartbeats(const CaseInput& input, Record& record)
{
    constexpr std::size_t agents = 6;
    DeploymentConfig config { .root = input.root, .folder = input.folder, .agents = agents };
    for (std::size_t number = 0; number < agents; ++number)
        config.registryPorts.push_back(freePort());
    config.heartbeatPorts = config.registryPorts;
    config.heartbeatPorts[0] = freePort();
    config.extraLabels[0] = { rareLabel };
    HeartbeatLink link(config.heartbeatPorts[0], config.registryPorts[0], record);
    Deployment deployment(config, record);
    if (!deployment.waitUntilReady(30000)) {
        record.line("the deployment is not ready in time");
        return Verdict::CouldNotRun;
    }
    if (deployment.call(0, "POST", jobBefore, jobBody(2, 500, 300, rareLabel), 3000).status != 200)
        return Verdict::CouldNotRun;
    sleepMs(4000);
    if (input.trouble) {
        link.cut();
        deployment.worker(0).setCut(true);
    }
    sleepMs(cutMs);
    if (input.trouble) {
        deployment.worker(0).setCut(false);
        link.heal();
    }
    sleepMs(pauseMs);
    deployment.worker(0).drain();
    record.line("the worker begins to drain");
    const long long drainsAt = nowMs();
    sleepMs(latenessMs - 1000);
    if (deployment.call(0, "POST", jobAfter, jobBody(2, 500, 300, rareLabel), 3000).status != 200)
        return Verdict::CouldNotRun;
    sleepMs(drainsAt + latenessMs - nowMs());
    if (input.trouble)
        link.deliver();
    sleepMs(3000);
    const long long acknowledgedAt = deployment.worker(0).drainingAcknowledgedAt();
    std::size_t before = 0;
    bool broken = false;
    for (const WorkerRun& run : deployment.runs()) {
        before += run.task.starts_with(jobBefore) ? 1 : 0;
        if (acknowledgedAt < 0 || run.startedAt <= acknowledgedAt + drainMs)
            continue;
        broken = true;
        record.line(run.task + " started on " + run.worker + " " + std::to_string(run.startedAt - acknowledgedAt) + " ms after the acknowledgement that it is draining: DRAIN is broken");
    }
    if (before != 2 || acknowledgedAt < 0) {
        record.line("the first job did not run, or the draining was not acknowledged");
        return Verdict::CouldNotRun;
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

}
