#include "ProxyDisturbances.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor::soak {

void ProxyDisturbances::add(standins::FaultProxy& proxy, TimePoint until, std::function<void(standins::ProxyFaults&)> apply)
{
    std::vector<Disturbance>& disturbances = this->present[&proxy];
    disturbances.push_back({ until, std::move(apply) });
    ProxyDisturbances::tell(proxy, disturbances);
}

void ProxyDisturbances::tick(TimePoint now)
{
    for (std::map<standins::FaultProxy*, std::vector<Disturbance>>::value_type& item : this->present) {
        if (std::erase_if(item.second, [now](const Disturbance& disturbance) { return now >= disturbance.until; }) > 0)
            ProxyDisturbances::tell(*item.first, item.second);
    }
}

void ProxyDisturbances::heal()
{
    for (std::map<standins::FaultProxy*, std::vector<Disturbance>>::value_type& item : this->present) {
        item.second.clear();
        ProxyDisturbances::tell(*item.first, item.second);
    }
}

bool ProxyDisturbances::calm() const
{
    return std::all_of(this->present.begin(), this->present.end(), [](const std::map<standins::FaultProxy*, std::vector<Disturbance>>::value_type& item) { return item.second.empty(); });
}

void ProxyDisturbances::tell(standins::FaultProxy& proxy, const std::vector<Disturbance>& disturbances)
{
    standins::ProxyFaults faults;
    for (const Disturbance& disturbance : disturbances)
        disturbance.apply(faults);
    proxy.setFaults(faults);
}

}
