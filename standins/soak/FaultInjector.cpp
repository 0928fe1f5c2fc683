#include "FaultInjector.h"
#include <utility>

namespace cowslipdoor::soak {

using standins::ProxyFaults;

FaultInjector::FaultInjector(ProxyLookup proxyOf)
    : proxyOf(std::move(proxyOf))
{
}

void FaultInjector::inject(const Kill& fault, TimePoint now)
{
    this->victims.kill(fault.process, now + fault.downFor);
}

void FaultInjector::inject(const Replace& fault, TimePoint)
{
    this->victims.replace(fault.process);
}

void FaultInjector::inject(const Freeze& fault, TimePoint now)
{
    this->victims.freeze(fault.process, now + fault.length);
}

void FaultInjector::inject(const CutConnections& fault, TimePoint)
{
    this->proxyOf(fault.process).cutAll();
}

void FaultInjector::inject(const HoldOneWay& fault, TimePoint now)
{
    this->disturb(fault.process, now + fault.length, [toServer = fault.toServer](ProxyFaults& faults) { (toServer ? faults.heldToServer : faults.heldToClient) = true; });
}

void FaultInjector::inject(const SlowConnections& fault, TimePoint now)
{
    this->disturb(fault.process, now + fault.length, [delay = fault.delay](ProxyFaults& faults) { faults.delay = delay; });
}

void FaultInjector::disturb(const ProcessName& process, TimePoint until, std::function<void(ProxyFaults&)> apply)
{
    this->disturbances.add(this->proxyOf(process), until, std::move(apply));
}

void FaultInjector::tick(TimePoint now)
{
    this->victims.tick(now);
    this->disturbances.tick(now);
}

void FaultInjector::heal()
{
    // Processes that drain need working connections to finish their requests in flight.
    this->disturbances.heal();
    this->victims.heal();
}

}
