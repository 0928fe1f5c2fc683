#include "cowslipdoor/scheduling/RowInsertion.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

RowInsertion::RowInsertion(RowKey key, TimePoint now, TimePoint deadline, RowInsertionConfig config)
    : key(std::move(key))
    , config(config)
    , deadline(deadline)
    , busyUntil(now + std::chrono::duration_cast<Duration>((deadline - now) * config.busyShare))
    , nextBusyDelay(config.busyDelay)
{
}

InsertVerdict RowInsertion::decide(const TransactionResult& result, TimePoint now)
{
    const Applied* const applied = std::get_if<Applied>(&result);
    if (applied)
        return RowStored { applied->version };
    const Conflict* const conflict = std::get_if<Conflict>(&result);
    if (conflict) {
        const bool stored = conflict->rows.empty() || std::any_of(conflict->rows.begin(), conflict->rows.end(), [this](const Row& row) { return row.key == this->key; });
        return stored ? InsertVerdict(RowStored {}) : InsertVerdict(RowBlocked {});
    }
    const StoreRefused* const refused = std::get_if<StoreRefused>(&result);
    if (refused && !this->ambiguous) {
        if (!refused->busy || now + this->nextBusyDelay >= this->busyUntil)
            return RowNotStored { refused->reason };
        return InsertAgain { std::exchange(this->nextBusyDelay, this->nextBusyDelay * 2) };
    }
    this->ambiguous = true;
    if (now + this->config.retryDelay >= this->deadline)
        return RowUnsettled {};
    return InsertAgain { this->config.retryDelay };
}

}
