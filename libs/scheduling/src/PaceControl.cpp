#include "cowslipdoor/scheduling/PaceControl.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Percentage points under which a change of pace is not worth a call, as figures vary by as much.
    constexpr std::uint32_t leastChange = 4;

    bool worthACall(std::optional<std::uint32_t> before, std::uint32_t after)
    {
        if (!before)
            return true;
        const std::uint32_t change = *before > after ? *before - after : after - *before;
        return change >= leastChange || (change > 0 && (after == 0 || after == fullPace));
    }

}

PaceControl::PaceControl(PaceConfig config)
    : config(config)
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
    if (it == this->traits.end() || !it->second.bestEffort)
        return {};
    this->inForce.try_emplace(run, fullPace);
    return this->share();
}

std::vector<PaceOrder> PaceControl::update(const std::vector<RunStatus>& running, TimePoint now)
{
    this->measure(running);
    this->adjustCaution(now);
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it != this->traits.end() && it->second.bestEffort)
            this->inForce.try_emplace(status.run, std::nullopt);
    }
    return this->share();
}

void PaceControl::doubt(const RunId& run)
{
    const std::map<RunId, std::optional<std::uint32_t>>::iterator it = this->inForce.find(run);
    if (it != this->inForce.end())
        it->second.reset();
}

std::uint32_t PaceControl::paceOf(const RunId& run) const
{
    const std::map<RunId, std::optional<std::uint32_t>>::const_iterator it = this->inForce.find(run);
    return it == this->inForce.end() ? fullPace : it->second.value_or(fullPace);
}

void PaceControl::measure(const std::vector<RunStatus>& running)
{
    this->allowances.clear();
    this->worst.reset();
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it == this->traits.end() || it->second.target <= Duration {} || status.percent < runAtWork)
            continue;
        const double slack = slackOf(status.measurement, it->second.target);
        this->worst = this->worst ? std::min(*this->worst, slack) : slack;
        const double alone = slack + this->lostTo(running, it->second.image);
        this->allowances.push_back({ it->second.image, std::max(0.0, alone - this->config.leastSlack) });
    }
}

void PaceControl::adjustCaution(TimePoint now)
{
    if (!this->worst || *this->worst >= 1)
        this->overSince.reset();
    else if (!this->overSince)
        this->overSince = now;
    if (this->overSince && now >= *this->overSince + this->config.stopAllAfter) {
        this->shared = 0;
        this->adjustedAt = now;
        return;
    }
    if (now < this->adjustedAt + this->config.figureLag)
        return;
    const double before = this->shared;
    if (this->overSince && *this->overSince < now)
        this->shared *= this->config.cautionCut;
    else if (!this->worst || *this->worst >= this->config.recoveredSlack)
        this->shared = std::min(1.0, this->shared + this->config.cautionStep);
    if (this->shared != before)
        this->adjustedAt = now;
}

double PaceControl::lostTo(const std::vector<RunStatus>& running, const std::string& image) const
{
    double lost = 0;
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it == this->traits.end() || !it->second.bestEffort || it->second.milliCores == 0)
            continue;
        const double used = static_cast<double>(status.measurement) / static_cast<double>(it->second.milliCores);
        lost += it->second.lossFor(image) * std::min(1.0, used);
    }
    return lost;
}

double PaceControl::paceFor(const PaceTraits& filling, const std::vector<Allowance>& left) const
{
    if (this->harmOf(filling) <= this->config.negligibleLoss)
        return this->shared > 0 ? 1 : 0;
    double pace = 1;
    for (const Allowance& allowance : left) {
        const double loss = filling.lossFor(allowance.image);
        if (loss * pace > allowance.slack)
            pace = allowance.slack / loss;
    }
    return pace;
}

double PaceControl::harmOf(const PaceTraits& filling) const
{
    double harm = 0;
    for (const Allowance& allowance : this->allowances)
        harm = std::max(harm, filling.lossFor(allowance.image));
    return harm;
}

std::vector<PaceOrder> PaceControl::share()
{
    std::vector<std::pair<double, RunId>> byHarm;
    for (const std::map<RunId, std::optional<std::uint32_t>>::value_type& item : this->inForce) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(item.first);
        if (it != this->traits.end())
            byHarm.emplace_back(this->harmOf(it->second), item.first);
    }
    std::sort(byHarm.begin(), byHarm.end());
    std::vector<Allowance> left = this->allowances;
    for (Allowance& allowance : left)
        allowance.slack *= this->shared;
    std::vector<PaceOrder> orders;
    for (const std::pair<double, RunId>& item : byHarm) {
        const PaceTraits& filling = this->traits.at(item.second);
        const double pace = this->paceFor(filling, left);
        for (Allowance& allowance : left)
            allowance.slack = std::max(0.0, allowance.slack - pace * filling.lossFor(allowance.image));
        const std::uint32_t percent = static_cast<std::uint32_t>(pace * fullPace);
        std::optional<std::uint32_t>& current = this->inForce[item.second];
        if (!worthACall(current, percent))
            continue;
        current = percent;
        orders.push_back({ item.second, percent });
    }
    return orders;
}

}
