#include "cowslipdoor/scheduling/RecentInsertions.h"

namespace cowslipdoor {

RecentInsertions::RecentInsertions(RecentInsertionsConfig config)
    : config(config)
{
}

void RecentInsertions::note(const RowKey& key, InsertionOutcome outcome, TimePoint now)
{
    const std::map<RowKey, Remembered>::iterator known = this->insertions.find(key);
    if (known != this->insertions.end()) {
        const bool stored = known->second.outcome == InsertionOutcome::Stored || outcome == InsertionOutcome::Stored;
        known->second = { stored ? InsertionOutcome::Stored : InsertionOutcome::Unsettled, now };
        return;
    }
    this->insertions.emplace(key, Remembered { outcome, now });
    this->order.push_back(key);
    while (this->order.size() > this->config.most) {
        this->insertions.erase(this->order.front());
        this->order.pop_front();
    }
}

std::optional<InsertionOutcome> RecentInsertions::find(const RowKey& key, TimePoint now) const
{
    const std::map<RowKey, Remembered>::const_iterator it = this->insertions.find(key);
    if (it == this->insertions.end() || now > it->second.at + this->config.keepFor)
        return std::nullopt;
    return it->second.outcome;
}

}
