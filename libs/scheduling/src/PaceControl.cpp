#include "cowslipdoor/scheduling/PaceControl.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    constexpr std::uint32_t fullPace = 100;
    constexpr std::uint32_t fullLevel = 2 * fullPace;

    /// Pace of pressing runs under which slowing them further gains nothing and the others are slowed.
    constexpr std::uint32_t leastPressingPace = 5;

}

std::uint32_t Throttle::paceOf(bool presses) const noexcept
{
    if (!presses)
        return std::min(this->level, fullPace);
    return this->level > fullPace ? this->level - fullPace : 0;
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
    if (worst <= 1)
        this->overSince.reset();
    else if (!this->overSince)
        this->overSince = now;
    if (now >= this->changedAt + this->config.figureLag) {
        const Throttle before = this->current;
        if (this->overFor(this->config.stopAllAfter, now))
            this->current.level = 0;
        else if (this->overFor(this->config.stopPressingAfter, now))
            this->current.level = std::min(this->current.level, fullPace);
        else if (worst > this->config.slowAbove)
            this->slow();
        else if (worst < this->config.quickenBelow)
            this->quicken();
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
        const std::uint32_t wanted = this->current.paceOf(it->second.presses);
        if ((old == this->inForce.end() ? fullPace : old->second) != wanted)
            orders.push_back({ status.run, wanted });
        present.emplace(status.run, wanted);
    }
    this->inForce = std::move(present);
    return orders;
}

bool PaceControl::overFor(Duration time, TimePoint now) const
{
    return this->overSince && now >= *this->overSince + time;
}

void PaceControl::quicken()
{
    if (this->current.level < fullPace)
        this->current.level = std::min(fullPace, this->current.level + this->config.quickenHarmlessStep);
    else
        this->current.level = std::min(fullLevel, this->current.level + this->config.quickenStep);
}

void PaceControl::slow()
{
    const std::uint32_t pressing = this->current.paceOf(true);
    if (pressing > leastPressingPace)
        this->current.level = fullPace + static_cast<std::uint32_t>(pressing * this->config.slowFactor);
    else
        this->current.level = static_cast<std::uint32_t>(std::min(this->current.level, fullPace) * this->config.slowFactor);
}

std::optional<PaceOrder> PaceControl::started(const RunId& run)
{
    const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(run);
    if (it == this->traits.end() || !it->second.fills)
        return std::nullopt;
    const std::uint32_t wanted = this->current.paceOf(it->second.presses);
    this->inForce.insert_or_assign(run, wanted);
    return wanted == fullPace ? std::nullopt : std::optional<PaceOrder>({ run, wanted });
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
