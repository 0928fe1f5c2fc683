#pragma once

/// @file
/// @brief What a caller is told of a row that has to be inserted: a job or a cancellation.

#include "Store.h"
#include <cowslipdoor/core/Time.h>
#include <variant>

namespace cowslipdoor {

/// @brief The row is stored, by this or by an earlier request.
struct RowStored {
    bool operator==(const RowStored&) const = default;
};

/// @brief The row is not stored and never will be by this request.
struct RowNotStored {
    std::string reason;

    bool operator==(const RowNotStored&) const = default;
};

/// @brief Whether the row is stored could not be settled in time.
struct RowUnsettled {
    bool operator==(const RowUnsettled&) const = default;
};

/// @brief The transaction has to be sent again.
struct InsertAgain {
    Duration pause {};

    bool operator==(const InsertAgain&) const = default;
};

/// @brief What follows from a result of the store.
using InsertVerdict = std::variant<RowStored, RowNotStored, RowUnsettled, InsertAgain>;

/// @brief Decides what follows each try to insert one row if it is absent.
///
/// A caller that is told "not stored" may rely on it. So once a try has had no answer, a later refusal proves nothing:
/// the insertion is repeated until it is settled or the time is over.
/// @code
/// Submission submission(deadline);
/// const InsertVerdict verdict = submission.decide(result, now);
/// @endcode
class RowInsertion {
public:
    /// @param deadline when the caller stops waiting
    explicit RowInsertion(TimePoint deadline) noexcept
        : deadline(deadline)
    {
    }

    /// @brief Takes in the result of a try.
    /// @param result what the store said
    /// @param now the present
    /// @return what follows
    [[nodiscard]] InsertVerdict decide(const TransactionResult& result, TimePoint now);

private:
    TimePoint deadline;
    bool ambiguous = false;
};

}
