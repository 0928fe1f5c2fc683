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
    this->supervisor.kill(fault.process, now + fault.downFor);
}

void FaultInjector::inject(const Replace& fault, TimePoint)
{
    this->supervisor.replace(fault.process);
}

void FaultInjector::inject(const Suspend& fault, TimePoint now)
{
    this->supervisor.suspend(fault.process, now + fault.length);
}

void FaultInjector::inject(const DropConnections& fault, TimePoint)
{
    this->proxyOf(fault.process).dropConnections();
}

void FaultInjector::inject(const HoldOneWay& fault, TimePoint now)
{
    this->addProxyFault(fault.process, now + fault.length, [toServer = fault.toServer](ProxyFaults& faults) { (toServer ? faults.heldToServer : faults.heldToClient) = true; });
}

void FaultInjector::inject(const SlowConnections& fault, TimePoint now)
{
    this->addProxyFault(fault.process, now + fault.length, [delay = fault.delay](ProxyFaults& faults) { faults.delay = delay; });
}

void FaultInjector::addProxyFault(const ProcessName& process, TimePoint until, std::function<void(ProxyFaults&)> apply)
{
    this->proxyFaults.add(this->proxyOf(process), until, std::move(apply));
}

void FaultInjector::tick(TimePoint now)
{
    this->supervisor.tick(now);
    this->proxyFaults.tick(now);
}

void FaultInjector::recover()
{
    // Processes that drain need working connections to finish their requests in flight.
    this->proxyFaults.recover();
    this->supervisor.recover();
}

}
