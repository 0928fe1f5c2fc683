#pragma once

/// @file
/// @brief Proxy faults of limited duration; several may overlap on one proxy.

#include "FaultProxy.h"
#include <cowslipdoor/core/Time.h>
#include <functional>
#include <map>
#include <vector>

namespace cowslipdoor::soak {

/// @brief Applies faults to proxies and removes each at its end.
class TimedProxyFaults {
public:
    /// @brief Adds a fault to the active faults of a proxy.
    /// @param proxy the proxy; must outlive this object
    /// @param until end of the fault
    /// @param apply sets the fault in the faults of the proxy
    void add(standins::FaultProxy& proxy, TimePoint until, std::function<void(standins::ProxyFaults&)> apply);

    /// @brief Removes the faults whose end has passed.
    /// @param now current monotonic time
    void tick(TimePoint now);

    /// @brief Removes all faults.
    void recover();

    /// @return whether no fault is active
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
