#include "TimedProxyFaults.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor::soak {

void TimedProxyFaults::add(standins::FaultProxy& proxy, TimePoint until, std::function<void(standins::ProxyFaults&)> apply)
{
    std::vector<TimedFault>& proxyFaults = this->active[&proxy];
    proxyFaults.push_back({ until, std::move(apply) });
    TimedProxyFaults::applyFaults(proxy, proxyFaults);
}

void TimedProxyFaults::tick(TimePoint now)
{
    for (std::map<standins::FaultProxy*, std::vector<TimedFault>>::value_type& item : this->active) {
        if (std::erase_if(item.second, [now](const TimedFault& timedFault) { return now >= timedFault.until; }) > 0)
            TimedProxyFaults::applyFaults(*item.first, item.second);
    }
}

void TimedProxyFaults::recover()
{
    for (std::map<standins::FaultProxy*, std::vector<TimedFault>>::value_type& item : this->active) {
        item.second.clear();
        TimedProxyFaults::applyFaults(*item.first, item.second);
    }
}

bool TimedProxyFaults::quiet() const
{
    return std::all_of(this->active.begin(), this->active.end(), [](const std::map<standins::FaultProxy*, std::vector<TimedFault>>::value_type& item) { return item.second.empty(); });
}

void TimedProxyFaults::applyFaults(standins::FaultProxy& proxy, const std::vector<TimedFault>& proxyFaults)
{
    standins::ProxyFaults faults;
    for (const TimedFault& timedFault : proxyFaults)
        timedFault.apply(faults);
    proxy.setFaults(faults);
}

}
