#include "cowslipdoor/scheduling/StoreContact.h"
#include <utility>

namespace cowslipdoor {

StoreContact::StoreContact(std::string subject)
    : subject(std::move(subject))
{
}

std::optional<RecordEvent> StoreContact::failed(const std::string& reason, TimePoint now)
{
    this->lastReason = reason;
    if (this->failures++ > 0)
        return std::nullopt;
    this->failingSince = now;
    return RecordEvent { EventId::StoreLost, this->subject + ": " + reason };
}

std::optional<RecordEvent> StoreContact::answered(TimePoint now)
{
    const std::size_t failed = std::exchange(this->failures, 0);
    if (failed == 0)
        return std::nullopt;
    return RecordEvent { EventId::StoreRegained, this->subject + ": after " + std::to_string(failed) + " failed calls in " + std::to_string(toMilliseconds(now - this->failingSince)) + " ms, the last one: " + this->lastReason };
}

}
