#include "WorkerCrashes.h"

namespace cowslipdoor::soak {

WorkerCrashes::WorkerCrashes(platform::JobsDeployment& deployment)
    : deployment(deployment)
{
}

void WorkerCrashes::inject(const CrashWorker& fault, TimePoint now)
{
    this->deployment.worker(fault.worker).goDown();
    this->crashes.insert_or_assign(fault.worker, Crash { fault, fault.times, true, now + fault.downFor });
}

void WorkerCrashes::tick(TimePoint now)
{
    for (std::map<std::size_t, Crash>::value_type& item : this->crashes) {
        Crash& crash = item.second;
        if (now < crash.turnAt)
            continue;
        if (crash.down) {
            this->bringUp(crash.fault);
            --crash.timesLeft;
        } else {
            this->deployment.worker(item.first).goDown();
        }
        crash.down = !crash.down;
        crash.turnAt = now + crash.fault.downFor;
    }
    std::erase_if(this->crashes, [](const std::map<std::size_t, Crash>::value_type& item) { return item.second.timesLeft == 0; });
}

void WorkerCrashes::heal()
{
    for (const std::map<std::size_t, Crash>::value_type& item : this->crashes) {
        if (item.second.down)
            this->bringUp(item.second.fault);
    }
    this->crashes.clear();
}

void WorkerCrashes::bringUp(const CrashWorker& fault)
{
    platform::NextLife next { .timeOfDayStep = fault.timeOfDayStep };
    if (fault.otherId)
        next.id = "worker-" + std::to_string(fault.worker) + "-" + std::to_string(++this->lives);
    this->deployment.worker(fault.worker).comeUp(next);
}

}
