#include "LastingWatch.h"
#include <algorithm>

namespace cowslipdoor::soak {

void LastingWatch::expect(const std::string& task, TimePoint now)
{
    this->tasks.try_emplace(task, Task { now });
}

void LastingWatch::see(const LastingView& view, TimePoint now)
{
    if (view.disturbed)
        this->calmSince = now;
    if (!view.room)
        this->roomSince = now;
    for (std::map<std::string, Task>::value_type& item : this->tasks) {
        if (view.running.contains(item.first))
            item.second = { now };
        else
            this->judge(item.first, item.second, now);
    }
}

void LastingWatch::judge(const std::string& name, Task& task, TimePoint now)
{
    const TimePoint windowBegin = std::max({ task.lastRun + lastingRestart, this->calmSince + lastingCalm, this->roomSince });
    if (task.told || now < windowBegin + lastingWindow)
        return;
    task.told = true;
    this->lines.push_back("long-running task " + name + " does not run although there is headroom for it");
}

}
