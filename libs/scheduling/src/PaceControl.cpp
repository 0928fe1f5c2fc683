#include "cowslipdoor/scheduling/PaceControl.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Minimum change of pace, in percentage points, that is worth a call; measurements vary by as much.
    constexpr std::uint32_t minimumPaceChange = 4;

    bool isWorthSending(std::optional<std::uint32_t> before, std::uint32_t after)
    {
        if (!before)
            return true;
        const std::uint32_t change = *before > after ? *before - after : after - *before;
        return change >= minimumPaceChange || (change > 0 && (after == 0 || after == fullPace));
    }

}

PaceControl::PaceControl(PaceConfig config)
    : config(config)
{
}

void PaceControl::describe(const RunId& run, const PaceTraits& traits)
{
    this->traits.insert_or_assign(run, traits);
}

void PaceControl::forget(const RunId& run)
{
    this->traits.erase(run);
    this->pacesInForce.erase(run);
    this->startingSince.erase(run);
}

std::vector<PaceOrder> PaceControl::started(const RunId& run, TimePoint now)
{
    const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(run);
    if (it == this->traits.end())
        return {};
    if (it->second.bestEffort) {
        this->pacesInForce.try_emplace(run, fullPace);
    } else if (it->second.target > Duration {}) {
        this->startingSince.try_emplace(run, now);
        this->allowances.push_back({ it->second.image, 0 });
    }
    return this->assignPaces();
}

std::vector<PaceOrder> PaceControl::update(const std::vector<RunStatus>& running, TimePoint now)
{
    this->measure(running, now);
    this->adjustSpareShare(now);
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it != this->traits.end() && it->second.bestEffort)
            this->pacesInForce.try_emplace(status.run, std::nullopt);
    }
    return this->assignPaces();
}

void PaceControl::markPaceUnknown(const RunId& run)
{
    const std::map<RunId, std::optional<std::uint32_t>>::iterator it = this->pacesInForce.find(run);
    if (it != this->pacesInForce.end())
        it->second.reset();
}

std::uint32_t PaceControl::paceOf(const RunId& run) const
{
    const std::map<RunId, std::optional<std::uint32_t>>::const_iterator it = this->pacesInForce.find(run);
    return it == this->pacesInForce.end() ? fullPace : it->second.value_or(fullPace);
}

bool PaceControl::awaitsMeasurement(TimePoint now) const
{
    return !this->pacesInForce.empty() && std::any_of(this->startingSince.begin(), this->startingSince.end(), [&](const std::map<RunId, TimePoint>::value_type& item) { return now < item.second + this->config.startLimit; });
}

void PaceControl::measure(const std::vector<RunStatus>& running, TimePoint now)
{
    this->allowances.clear();
    this->worst.reset();
    for (const RunStatus& status : running) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(status.run);
        if (it == this->traits.end() || it->second.target <= Duration {})
            continue;
        if (status.percent < readyPercent) {
            this->startingSince.try_emplace(status.run, now);
            continue;
        }
        this->startingSince.erase(status.run);
        const double slack = slackOf(status.measurement, it->second.target);
        this->worst = this->worst ? std::min(*this->worst, slack) : slack;
        const double alone = slack + this->slackLostBy(running, it->second.image);
        this->allowances.push_back({ it->second.image, std::max(0.0, alone - this->config.minimumSlack) });
    }
    for (const std::map<RunId, TimePoint>::value_type& item : this->startingSince) {
        if (now < item.second + this->config.startLimit)
            this->allowances.push_back({ this->traits.at(item.first).image, 0 });
    }
}

void PaceControl::adjustSpareShare(TimePoint now)
{
    if (!this->worst || *this->worst >= 1)
        this->overSince.reset();
    else if (!this->overSince)
        this->overSince = now;
    if (this->overSince && now >= *this->overSince + this->config.stopAllAfter) {
        this->spareShare = 0;
        this->adjustedAt = now;
        return;
    }
    if (now < this->adjustedAt + this->config.measurementLag)
        return;
    const double before = this->spareShare;
    if (this->overSince && *this->overSince < now)
        this->spareShare *= this->config.spareShareCut;
    else if (!this->worst || *this->worst >= this->config.recoveredSlack)
        this->spareShare = std::min(1.0, this->spareShare + this->config.spareShareStep);
    if (this->spareShare != before)
        this->adjustedAt = now;
}

double PaceControl::slackLostBy(const std::vector<RunStatus>& running, const std::string& image) const
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

double PaceControl::paceFor(const PaceTraits& bestEffort, const std::vector<Allowance>& left) const
{
    if (this->worstLossOf(bestEffort) <= this->config.negligibleLoss)
        return this->spareShare > 0 ? 1 : 0;
    double pace = 1;
    for (const Allowance& allowance : left) {
        const double loss = bestEffort.lossFor(allowance.image);
        if (loss * pace > allowance.slack)
            pace = allowance.slack / loss;
    }
    return pace;
}

double PaceControl::worstLossOf(const PaceTraits& bestEffort) const
{
    double worstLoss = 0;
    for (const Allowance& allowance : this->allowances)
        worstLoss = std::max(worstLoss, bestEffort.lossFor(allowance.image));
    return worstLoss;
}

std::vector<PaceOrder> PaceControl::assignPaces()
{
    std::vector<std::pair<double, RunId>> byWorstLoss;
    for (const std::map<RunId, std::optional<std::uint32_t>>::value_type& item : this->pacesInForce) {
        const std::map<RunId, PaceTraits>::const_iterator it = this->traits.find(item.first);
        if (it != this->traits.end())
            byWorstLoss.emplace_back(this->worstLossOf(it->second), item.first);
    }
    std::sort(byWorstLoss.begin(), byWorstLoss.end());
    std::vector<Allowance> left = this->allowances;
    for (Allowance& allowance : left)
        allowance.slack *= this->spareShare;
    std::vector<PaceOrder> orders;
    for (const std::pair<double, RunId>& item : byWorstLoss) {
        const PaceTraits& bestEffort = this->traits.at(item.second);
        const double pace = this->paceFor(bestEffort, left);
        for (Allowance& allowance : left)
            allowance.slack = std::max(0.0, allowance.slack - pace * bestEffort.lossFor(allowance.image));
        const std::uint32_t percent = static_cast<std::uint32_t>(pace * fullPace);
        std::optional<std::uint32_t>& current = this->pacesInForce[item.second];
        if (!isWorthSending(current, percent))
            continue;
        current = percent;
        orders.push_back({ item.second, percent });
    }
    return orders;
}

}
