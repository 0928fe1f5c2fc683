#pragma once

/// @file
/// @brief Insertion of a row on behalf of a caller: a job or a cancellation.

#include "Store.h"
#include <cowslipdoor/core/Time.h>
#include <variant>

namespace cowslipdoor {

/// @brief The row is stored, by this or by an earlier request.
struct RowStored {
    bool operator==(const RowStored&) const = default;
};

/// @brief The row is not stored, and this request can no longer store it.
struct RowNotStored {
    std::string reason;

    bool operator==(const RowNotStored&) const = default;
};

/// @brief Whether the row is stored could not be determined in time.
struct RowUnsettled {
    bool operator==(const RowUnsettled&) const = default;
};

/// @brief The transaction must be sent again after a pause.
struct InsertAgain {
    Duration pause {};

    bool operator==(const InsertAgain&) const = default;
};

/// @brief Next action after a result of the store.
using InsertVerdict = std::variant<RowStored, RowNotStored, RowUnsettled, InsertAgain>;

/// @brief Decides the next action after each attempt to insert a row that must not exist yet.
///
/// A caller may rely on the answer "not stored". Once an attempt had no answer, a later refusal does not show that the row
/// is absent, so the insertion is retried until its outcome is known or the deadline is near.
/// @code
/// RowInsertion insertion(deadline);
/// const InsertVerdict verdict = insertion.decide(result, now);
/// @endcode
class RowInsertion {
public:
    /// @param deadline when the caller stops waiting
    explicit RowInsertion(TimePoint deadline) noexcept
        : deadline(deadline)
    {
    }

    /// @brief Processes the result of an attempt.
    /// @param result result of the transaction
    /// @param now current time
    /// @return the next action
    [[nodiscard]] InsertVerdict decide(const TransactionResult& result, TimePoint now);

private:
    TimePoint deadline;
    bool ambiguous = false;
};

}
