#include "Cases.h"
#include "Deployment.h"
#include <csignal>

namespace review {

namespace {

    constexpr const char* cancelledJob = "00000000000000c1";
    constexpr const char* otherJob = "00000000000000c2";

    /// cancel_ms and stop-ms of the deployment.
    constexpr long long cancelMs = 3000;
    constexpr long long stopMs = 200;

    /// Length of the freeze: that of the site's node_freeze.
    constexpr long long freezeMs = 4000;

    /// The client leaves after this time, before its deadline of 3 s: half of the objective of 1000 ms.
    constexpr int patienceMs = 500;

    /// How long each task works.
    constexpr long long workMs = 20000;

    /// How long the case goes on after the freeze, beyond contact-ms.
    constexpr long long watchMs = 8000;

    bool ofJob(const WorkerRun& run, const std::string& job)
    {
        return run.task.starts_with(job);
    }

}

Verdict cancelDuringFreeze(const CaseInput& input, Record& record)
{
    Deployment deployment({ .root = input.root, .folder = input.folder }, record);
    if (!deployment.waitUntilReady(30000)) {
        record.line("the deployment is not ready in time");
        return Verdict::CouldNotRun;
    }
    const std::size_t leader = deployment.leader();
    const std::size_t frozen = (leader + 1) % 3;
    const std::size_t other = (leader + 2) % 3;
    record.line("entry " + std::to_string(leader) + " leads; entry " + std::to_string(frozen) + " takes the submission");
    // A job that nobody cancels shows that the deployment works.
    if (deployment.call(other, "POST", otherJob, jobBody(4, 500, 1000), 3000).status != 200)
        return Verdict::CouldNotRun;
    sleepMs(3000);
    const long long frozenAt = nowMs();
    if (input.trouble) {
        deployment.entry(frozen).signal(SIGSTOP);
        record.line("entry " + std::to_string(frozen) + " stands still (SIGSTOP)");
    }
    const int submitted = deployment.call(frozen, "POST", cancelledJob, jobBody(4, 500, workMs), patienceMs).status;
    const int cancelled = deployment.call(other, "DELETE", cancelledJob, "", 3000).status;
    const long long cancelledAt = nowMs();
    if (input.trouble) {
        sleepMs(frozenAt + freezeMs - nowMs());
        deployment.entry(frozen).signal(SIGCONT);
        record.line("entry " + std::to_string(frozen) + " goes on (SIGCONT)");
    }
    sleepMs(frozenAt + freezeMs + watchMs - nowMs());
    const HttpAnswer state = deployment.call(other, "GET", cancelledJob, "", 3000);
    const long long checkedAt = nowMs();
    if ((cancelled != 200 && cancelled != 410) || (submitted != 200 && !input.trouble)) {
        record.line("the submission or the cancellation has no answer that this case needs");
        return Verdict::CouldNotRun;
    }
    std::size_t others = 0;
    bool broken = false;
    for (const WorkerRun& run : deployment.runs()) {
        others += ofJob(run, otherJob) ? 1 : 0;
        if (!ofJob(run, cancelledJob))
            continue;
        const long long end = run.endedAt < 0 ? checkedAt : run.endedAt;
        const bool late = run.startedAt > cancelledAt + cancelMs;
        const bool runsOn = end > cancelledAt + cancelMs + stopMs;
        record.line(run.task + " started " + std::to_string(run.startedAt - cancelledAt) + " ms after the answer " + std::to_string(cancelled) + " to the cancellation, and "
            + (run.endedAt < 0 ? "still runs " : "ended ") + std::to_string(end - cancelledAt) + " ms after it" + (late || runsOn ? ": UNASKED is broken" : ""));
        broken = broken || late || runsOn;
    }
    record.line("the state of the cancelled job: " + std::to_string(state.status) + " " + state.body.substr(0, 80));
    if (others != 4) {
        record.line("the other job did not run");
        return Verdict::CouldNotRun;
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

}
