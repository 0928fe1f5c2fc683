#include "EvacuationMonitor.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor::soak {

void EvacuationMonitor::evacuate(const std::string& zone, TimePoint now, TimePoint until)
{
    Evacuation& evacuation = this->evacuations.try_emplace(zone, Evacuation { now, until }).first->second;
    evacuation.until = std::max(evacuation.until, until);
}

std::vector<std::string> EvacuationMonitor::takeEnded(TimePoint now)
{
    std::vector<std::string> ended;
    for (const std::map<std::string, Evacuation>::value_type& item : this->evacuations) {
        if (now >= item.second.until)
            ended.push_back(item.first);
    }
    for (const std::string& zone : ended)
        this->evacuations.erase(zone);
    return ended;
}

void EvacuationMonitor::observe(const std::string& zone, std::size_t worker, std::size_t starts, TimePoint now)
{
    const std::map<std::string, Evacuation>::iterator evacuation = this->evacuations.find(zone);
    if (evacuation == this->evacuations.end() || now < evacuation->second.since + evacuationBound)
        return;
    std::size_t& before = evacuation->second.starts.try_emplace(worker, starts).first->second;
    if (starts > before)
        this->lines.push_back(std::to_string(starts - before) + " tasks started on worker " + std::to_string(worker) + " at most " + std::to_string(toMilliseconds(now - evacuation->second.since)) + " ms after the evacuation of " + zone);
    before = starts;
}

}
