#include "cowslipdoor/scheduling/RowInsertion.h"

namespace cowslipdoor {

namespace {

    /// Delay between attempts of an insertion; about ten attempts fit into a caller's usual three seconds.
    constexpr Duration insertRetryDelay = std::chrono::milliseconds(100);

}

InsertVerdict RowInsertion::decide(const TransactionResult& result, TimePoint now)
{
    if (std::holds_alternative<Applied>(result) || std::holds_alternative<Conflict>(result))
        return RowStored {};
    const StoreRefused* const refused = std::get_if<StoreRefused>(&result);
    if (refused && !this->ambiguous)
        return RowNotStored { refused->reason };
    this->ambiguous = true;
    if (now + insertRetryDelay >= this->deadline)
        return RowUnsettled {};
    return InsertAgain { insertRetryDelay };
}

}
