#include "cowslipdoor/scheduling/PaceControl.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    constexpr std::uint32_t fullPace = 100;

}

PaceControl::PaceControl(PaceConfig config)
    : config(config)
{
}

void PaceControl::describe(const RunId& run, const PaceTraits& traits)
{
    this->traits.insert_or_assign(run, traits);
}

std::vector<PaceOrder> PaceControl::update(const std::vector<RunStatus>& running, TimePoint now)
{
    const double worst = this->worstShare(running);
    this->worstTail = worst;
    if (now >= this->changedAt + this->config.figureLag) {
        const std::uint32_t before = this->current;
        if (worst > this->config.slowAbove)
            this->current = static_cast<std::uint32_t>(this->current * this->config.slowFactor);
        else if (worst < this->config.quickenBelow)
            this->current = std::min(fullPace, this->current + this->config.quickenStep);
        if (this->current != before)
            this->changedAt = now;
    }
    std::vector<PaceOrder> orders;
    std::map<RunId, std::uint32_t> present;
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it == this->traits.end())
            continue;
        if (!it->second.fills)
            continue;
        const std::map<RunId, std::uint32_t>::const_iterator old = this->inForce.find(status.run);
        if ((old == this->inForce.end() ? fullPace : old->second) != this->current)
            orders.push_back({ status.run, this->current });
        present.emplace(status.run, this->current);
    }
    this->inForce = std::move(present);
    return orders;
}

void PaceControl::forget(const RunId& run)
{
    this->traits.erase(run);
}

double PaceControl::worstShare(const std::vector<RunStatus>& running) const
{
    double worst = 0;
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it != this->traits.end() && it->second.target > Duration {})
            worst = std::max(worst, static_cast<double>(status.figure) / static_cast<double>(std::max(1LL, toMilliseconds(it->second.target))));
    }
    return worst;
}

}
