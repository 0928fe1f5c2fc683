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
class TimedProxyFaults {
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
    void recover();

    /// @return whether no fault lasts
    [[nodiscard]] bool quiet() const;

private:
    struct TimedFault {
        TimePoint until;
        std::function<void(standins::ProxyFaults&)> apply;
    };

    static void applyFaults(standins::FaultProxy& proxy, const std::vector<TimedFault>& proxyFaults);

    std::map<standins::FaultProxy*, std::vector<TimedFault>> active;
};

}
