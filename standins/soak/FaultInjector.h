#pragma once

/// @file
/// @brief The faults that befall every kind of deployment: signals to processes, and proxies that misbehave.

#include "ProxyDisturbances.h"
#include "Victims.h"

namespace cowslipdoor::soak {

/// @brief Injects faults into the processes of a deployment and the proxies before their connections.
/// @code
/// FaultInjector injector([&deployment](const ProcessName& process) -> FaultProxy& { return deployment.proxy(process.index); });
/// injector.add(Role::Entry, 2, deployment, &Deployment::entry, &Deployment::startEntry);
/// injector.inject(Kill { { Role::Entry, 0 }, downFor }, now);
/// @endcode
class FaultInjector {
public:
    using ProxyLookup = std::function<standins::FaultProxy&(const ProcessName&)>;

    /// @param proxyOf gives the proxy before the connections of a process
    explicit FaultInjector(ProxyLookup proxyOf);

    /// @brief Takes in all processes of a role.
    /// @param role the role
    /// @param count how many there are
    /// @param deployment the deployment, which outlives the injector's use
    /// @param process gives a process by its number
    /// @param start starts a process by its number
    template <typename Deployment>
    void add(Role role, std::size_t count, Deployment& deployment, standins::ChildProcess& (Deployment::*process)(std::size_t), void (Deployment::*start)(std::size_t))
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->supervisor.add({ role, index },
                { [&deployment, process, index]() -> standins::ChildProcess& { return (deployment.*process)(index); },
                    [&deployment, start, index]() { (deployment.*start)(index); } });
        }
    }

    /// @brief Injects a fault.
    /// @param fault the fault
    /// @param now the present
    void inject(const Kill& fault, TimePoint now);
    void inject(const Replace& fault, TimePoint now);
    void inject(const Freeze& fault, TimePoint now);
    void inject(const DropConnections& fault, TimePoint now);
    void inject(const HoldOneWay& fault, TimePoint now);
    void inject(const SlowConnections& fault, TimePoint now);

    /// @brief Adds a fault to those of the proxy of a process.
    /// @param process the process
    /// @param until when it ends
    /// @param apply sets the fault among the others
    void addProxyFault(const ProcessName& process, TimePoint until, std::function<void(standins::ProxyFaults&)> apply);

    /// @brief Takes back what is over, and brings processes back as far as that is due.
    /// @param now the present
    void tick(TimePoint now);

    /// @brief Takes everything back and waits until all processes run.
    void recover();

    /// @return whether no fault lasts
    [[nodiscard]] bool quiet() const { return this->supervisor.quiet() && this->proxyFaults.quiet(); }

    /// @return ends of processes that nobody asked for, as lines of text
    [[nodiscard]] const std::vector<std::string>& unexpectedExits() const noexcept { return this->supervisor.unexpectedExits(); }

private:
    ProxyLookup proxyOf;
    ProcessSupervisor supervisor;
    TimedProxyFaults proxyFaults;
};

}
