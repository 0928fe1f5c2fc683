#pragma once

/// @file
/// @brief Insertion of a row on behalf of a caller: a job or a cancellation.

#include "Store.h"
#include <cowslipdoor/core/Time.h>
#include <variant>

namespace cowslipdoor {

/// @brief The row is stored, by this or by an earlier request.
struct RowStored {
    /// Version of the store that contains the row; zero if an earlier request stored it.
    RowVersion version = 0;

    bool operator==(const RowStored&) const = default;
};

/// @brief The row is not stored, and this request can no longer store it.
struct RowNotStored {
    std::string reason;

    bool operator==(const RowNotStored&) const = default;
};

/// @brief The row is not stored, and is not stored while another row exists whose absence the insertion requires.
struct RowBlocked {
    bool operator==(const RowBlocked&) const = default;
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
using InsertVerdict = std::variant<RowStored, RowNotStored, RowBlocked, RowUnsettled, InsertAgain>;

/// @brief Settings of RowInsertion.
struct RowInsertionConfig {
    /// Delay between attempts; about ten attempts fit into a caller's usual three seconds.
    Duration retryDelay = std::chrono::milliseconds(100);
    /// Delay after the first refusal of a busy store, doubled after each further one.
    Duration busyDelay = std::chrono::milliseconds(100);
    /// Share of the caller's time that attempts at a busy store may take; the rest is for a retry at another entry.
    double busyShare = 0.5;

    bool operator==(const RowInsertionConfig&) const = default;
};

/// @brief Decides the next action after each attempt to insert a row that must not exist yet. The transaction may require that
/// other rows do not exist either.
///
/// A caller may rely on the answer "not stored". Once an attempt had no answer, a later refusal does not show that the row
/// is absent, so the insertion is retried until its outcome is known or the deadline is near. A busy store has done nothing and
/// may accept the row a moment later; an unavailable one refuses for long, and the caller is told at once.
/// @code
/// RowInsertion insertion(key, now, deadline);
/// const InsertVerdict verdict = insertion.decide(result, now);
/// @endcode
class RowInsertion {
public:
    /// @param key key of the row
    /// @param now current time
    /// @param deadline when the caller stops waiting
    /// @param config settings
    RowInsertion(RowKey key, TimePoint now, TimePoint deadline, RowInsertionConfig config = {});

    /// @brief Processes the result of an attempt.
    /// @param result result of the transaction
    /// @param now current time
    /// @return the next action
    [[nodiscard]] InsertVerdict decide(const TransactionResult& result, TimePoint now);

private:
    RowKey key;
    RowInsertionConfig config;
    TimePoint deadline;
    /// When attempts at a busy store end.
    TimePoint busyUntil;
    Duration nextBusyDelay;
    bool ambiguous = false;
};

}
