#pragma once

/// @file
/// @brief Injects the faults that all deployments have in common: signals to processes and network faults at proxies.

#include "ProcessSupervisor.h"
#include "TimedProxyFaults.h"

namespace cowslipdoor::soak {

/// @brief Injects faults into the processes of a deployment and into the proxies of their connections.
/// @code
/// FaultInjector injector([&deployment](const ProcessName& process) -> FaultProxy& { return deployment.proxy(process.index); });
/// injector.add(Role::Entry, 2, deployment, &Deployment::entry, &Deployment::startEntry);
/// injector.inject(Kill { { Role::Entry, 0 }, downFor }, now);
/// @endcode
class FaultInjector {
public:
    using ProxyLookup = std::function<standins::FaultProxy&(const ProcessName&)>;

    /// @param proxyOf returns the proxy of the connections of a process
    explicit FaultInjector(ProxyLookup proxyOf);

    /// @brief Adds all processes of a role.
    /// @param role the role
    /// @param count number of processes
    /// @param deployment the deployment; must outlive the last call of inject(), tick() or recover()
    /// @param process returns a process by its index
    /// @param start starts a process by its index
    template <typename Deployment>
    void add(Role role, std::size_t count, Deployment& deployment, standins::ChildProcess& (Deployment::*process)(std::size_t), void (Deployment::*start)(std::size_t))
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->supervisor.add({ role, index },
                { [&deployment, process, index]() -> standins::ChildProcess& { return (deployment.*process)(index); },
                    [&deployment, start, index]() { (deployment.*start)(index); } });
        }
    }

    /// @brief Starts a fault.
    /// @param fault the fault
    /// @param now current monotonic time
    void inject(const Kill& fault, TimePoint now);
    void inject(const Replace& fault, TimePoint now);
    void inject(const Suspend& fault, TimePoint now);
    void inject(const DropConnections& fault, TimePoint now);
    void inject(const HoldOneWay& fault, TimePoint now);
    void inject(const SlowConnections& fault, TimePoint now);

    /// @param process a process
    /// @return the proxy of its connections
    [[nodiscard]] standins::FaultProxy& proxy(const ProcessName& process) const { return this->proxyOf(process); }

    /// @brief Adds a fault to the active faults of the proxy of a process.
    /// @param process the process
    /// @param until end of the fault
    /// @param apply sets the fault in the faults of the proxy
    void addProxyFault(const ProcessName& process, TimePoint until, std::function<void(standins::ProxyFaults&)> apply);

    /// @brief Ends the faults whose time is over and restarts the processes that are due.
    /// @param now current monotonic time
    void tick(TimePoint now);

    /// @brief Ends all faults and waits until all processes run.
    /// @throws std::runtime_error when a process that got SIGTERM does not end within 90 s
    void recover();

    /// @return whether no fault is active
    [[nodiscard]] bool quiet() const { return this->supervisor.quiet() && this->proxyFaults.quiet(); }

    /// @return exits that no fault caused, one line each
    [[nodiscard]] const std::vector<std::string>& unexpectedExits() const noexcept { return this->supervisor.unexpectedExits(); }

private:
    ProxyLookup proxyOf;
    ProcessSupervisor supervisor;
    TimedProxyFaults proxyFaults;
};

}
