#include "LongRunningTaskMonitor.h"
#include <algorithm>

namespace cowslipdoor::soak {

void LongRunningTaskMonitor::track(const std::string& task, TimePoint now)
{
    this->tasks.try_emplace(task, Task { now });
}

void LongRunningTaskMonitor::observe(const LongRunningTaskObservation& observation, TimePoint now)
{
    if (observation.faultActive)
        this->quietSince = now;
    if (!observation.headroom)
        this->headroomSince = now;
    for (std::map<std::string, Task>::value_type& item : this->tasks) {
        if (observation.running.contains(item.first))
            item.second = { now };
        else
            this->evaluate(item.first, item.second, now);
    }
}

void LongRunningTaskMonitor::evaluate(const std::string& name, Task& task, TimePoint now)
{
    const TimePoint windowBegin = std::max({ task.lastRun + longRunningRestartLimit, this->quietSince + quietPeriod, this->headroomSince });
    if (task.reported || now < windowBegin + longRunningWindow)
        return;
    task.reported = true;
    this->lines.push_back("long-running task " + name + " does not run although there is headroom for it");
}

}
