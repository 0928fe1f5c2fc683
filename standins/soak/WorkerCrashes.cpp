#include "WorkerCrashes.h"

namespace cowslipdoor::soak {

WorkerCrashes::WorkerCrashes(platform::JobsDeployment& deployment)
    : deployment(deployment)
{
}

void WorkerCrashes::inject(const CrashWorker& fault, TimePoint now)
{
    this->deployment.worker(fault.worker).crash();
    this->crashes.insert_or_assign(fault.worker, Crash { fault, fault.times, true, now + fault.downFor });
}

void WorkerCrashes::tick(TimePoint now)
{
    for (std::map<std::size_t, Crash>::value_type& item : this->crashes) {
        Crash& crash = item.second;
        if (now < crash.nextTransitionAt)
            continue;
        if (crash.down) {
            this->bringUp(crash.fault);
            --crash.timesLeft;
        } else {
            this->deployment.worker(item.first).crash();
        }
        crash.down = !crash.down;
        crash.nextTransitionAt = now + crash.fault.downFor;
    }
    std::erase_if(this->crashes, [](const std::map<std::size_t, Crash>::value_type& item) { return item.second.timesLeft == 0; });
}

void WorkerCrashes::recover()
{
    for (const std::map<std::size_t, Crash>::value_type& item : this->crashes) {
        if (item.second.down)
            this->bringUp(item.second.fault);
    }
    this->crashes.clear();
}

void WorkerCrashes::bringUp(const CrashWorker& fault)
{
    platform::RestartOptions next { .clockStep = fault.clockStep };
    if (fault.otherId)
        next.id = "worker-" + std::to_string(fault.worker) + "-" + std::to_string(++this->incarnations);
    this->deployment.worker(fault.worker).restart(next);
}

}
