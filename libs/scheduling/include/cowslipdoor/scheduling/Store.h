#pragma once

/// @file
/// @brief Rows and conditional transactions of the platform's store, independent of the platform's protocol.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Version of a row; a row that does not exist has version zero.
using RowVersion = std::uint64_t;

/// @brief Key of a row.
struct RowKey {
    std::string table;
    std::string part;
    std::string key;

    std::strong_ordering operator<=>(const RowKey&) const = default;
};

/// @brief Row as held by the store.
struct Row {
    RowKey key;
    std::string value;
    RowVersion version = 0;
    bool deleted = false;

    bool operator==(const Row&) const = default;
};

/// @brief Version that a row must have for a transaction to apply.
struct RowCondition {
    RowKey key;
    RowVersion version = 0;

    bool operator==(const RowCondition&) const = default;
};

/// @brief New content of a row.
struct RowWrite {
    RowKey key;
    std::string value;

    bool operator==(const RowWrite&) const = default;
};

/// @brief Atomic change of rows.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    std::vector<RowKey> removals;

    bool operator==(const Transaction&) const = default;
};

/// @brief The transaction applied.
struct Applied {
    RowVersion version = 0;

    bool operator==(const Applied&) const = default;
};

/// @brief A condition did not hold; nothing was changed.
struct Conflict {
    /// Current rows that the conditions name, without those that do not exist.
    std::vector<Row> rows;

    bool operator==(const Conflict&) const = default;
};

/// @brief The store refused the transaction and changed nothing; a retry is safe.
struct StoreRefused {
    std::string reason;
    /// Whether the store was busy rather than unavailable.
    bool busy = false;
    /// Whether the store refuses this transaction for what it contains, so that each repetition would be refused.
    bool invalid = false;

    bool operator==(const StoreRefused&) const = default;
};

/// @brief No answer came; the transaction may have applied, or may yet apply while its conditions hold.
struct OutcomeAmbiguous {
    std::string reason;

    bool operator==(const OutcomeAmbiguous&) const = default;
};

/// @brief Result of a transaction.
using TransactionResult = std::variant<Applied, Conflict, StoreRefused, OutcomeAmbiguous>;

/// @brief Maximum size of a value that entries and agents write to the store.
constexpr std::size_t maximumRowBytes = 65'536;

/// @brief Maximum number of writes, conditions and removals together in one transaction of the store.
constexpr std::size_t maximumTransactionEntries = 100;

/// @brief Maximum size of one transaction of the store, with values in base64.
constexpr std::size_t maximumTransactionBytes = 1'000'000;

}
