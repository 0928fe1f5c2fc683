#pragma once

/// @file
/// @brief Faults of proxies that last for a while; several may overlap on one proxy.

#include "FaultProxy.h"
#include <cowslipdoor/core/Time.h>
#include <functional>
#include <map>
#include <vector>

namespace cowslipdoor::soak {

/// @brief Sets the faults of proxies, and takes each back when its time is over.
class ProxyDisturbances {
public:
    /// @brief Adds a fault to those of a proxy.
    /// @param proxy the proxy
    /// @param until when it ends
    /// @param apply sets the fault among the others
    void add(standins::FaultProxy& proxy, TimePoint until, std::function<void(standins::ProxyFaults&)> apply);

    /// @brief Takes back what is over.
    /// @param now the present
    void tick(TimePoint now);

    /// @brief Takes everything back.
    void heal();

    /// @return whether no fault lasts
    [[nodiscard]] bool calm() const;

private:
    struct Disturbance {
        TimePoint until;
        std::function<void(standins::ProxyFaults&)> apply;
    };

    static void tell(standins::FaultProxy& proxy, const std::vector<Disturbance>& disturbances);

    std::map<standins::FaultProxy*, std::vector<Disturbance>> present;
};

}
