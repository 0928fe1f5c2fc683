#include "cowslipdoor/scheduling/PaceControl.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace cowslipdoor {

namespace {

    constexpr std::uint32_t fullPace = 100;

    /// Pressure under which a run cannot be told from one without any.
    constexpr double leastPressure = 0.01;

}

PaceControl::PaceControl(PaceConfig config)
    : config(config)
    , currentBudget(config.firstBudget)
    , unusedBudget(config.firstBudget)
{
}

void PaceControl::describe(const RunId& run, const PaceTraits& described)
{
    this->traits.insert_or_assign(run, described);
}

void PaceControl::forget(const RunId& run)
{
    this->traits.erase(run);
    this->inForce.erase(run);
}

std::vector<PaceOrder> PaceControl::started(const RunId& run)
{
    const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(run);
    if (it == this->traits.end() || !it->second.fills)
        return {};
    this->inForce.try_emplace(run, fullPace);
    return this->share();
}

std::vector<PaceOrder> PaceControl::update(const std::vector<RunStatus>& running, TimePoint now)
{
    this->worstTail = this->worstShare(running);
    this->regulate(this->worstTail, now);
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it != this->traits.end() && it->second.fills)
            this->inForce.try_emplace(status.run, fullPace);
    }
    return this->share();
}

std::uint32_t PaceControl::paceOf(const RunId& run) const
{
    const std::map<RunId, std::uint32_t>::const_iterator it = this->inForce.find(run);
    return it == this->inForce.end() ? fullPace : it->second;
}

void PaceControl::regulate(double worst, TimePoint now)
{
    if (worst <= 1)
        this->overSince.reset();
    else if (!this->overSince)
        this->overSince = now;
    if (now < this->changedAt + this->config.figureLag)
        return;
    const double before = this->currentBudget;
    if (this->overSince && now >= *this->overSince + this->config.stopAllAfter)
        this->currentBudget = 0;
    else if (worst > this->config.slowAbove)
        this->currentBudget *= std::min(this->config.slowFactor, std::pow(this->config.slowAbove / worst, 2));
    else if (worst < this->config.quickenBelow)
        this->currentBudget = std::min(this->config.largestBudget, this->currentBudget + this->config.quickenStep);
    if (this->currentBudget != before)
        this->changedAt = now;
}

std::vector<PaceOrder> PaceControl::share()
{
    std::vector<std::pair<double, RunId>> byPressure;
    for (const std::map<RunId, std::uint32_t>::value_type& item : this->inForce) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(item.first);
        byPressure.emplace_back(it == this->traits.end() ? 0 : it->second.pressure, item.first);
    }
    std::sort(byPressure.begin(), byPressure.end());
    const bool serving = std::any_of(this->traits.begin(), this->traits.end(), [](const std::map<RunId, PaceTraits>::value_type& item) { return item.second.target > Duration {}; });
    double left = this->currentBudget;
    std::vector<PaceOrder> orders;
    for (const std::pair<double, RunId>& item : byPressure) {
        const double pressure = std::max(item.first, leastPressure);
        const double share = serving ? std::min(1.0, left / pressure) : 1.0;
        left -= share * pressure;
        const std::uint32_t percent = static_cast<std::uint32_t>(share * fullPace);
        if (std::exchange(this->inForce[item.second], percent) != percent)
            orders.push_back({ item.second, percent });
    }
    this->unusedBudget = std::max(0.0, left);
    return orders;
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
