#pragma once

/// @file
/// @brief Rows and conditional transactions of the platform's store, in the product's terms.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Version of a row; a row that does not exist has version zero.
using RowVersion = std::uint64_t;

/// @brief Place of a row.
struct RowKey {
    std::string table;
    std::string part;
    std::string key;

    std::strong_ordering operator<=>(const RowKey&) const = default;
};

/// @brief Row as the store holds it.
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

/// @brief Change that applies whole or not at all.
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

/// @brief A condition did not hold; nothing was done.
struct Conflict {
    /// Present rows of the conditions; rows that do not exist are left out.
    std::vector<Row> rows;

    bool operator==(const Conflict&) const = default;
};

/// @brief Nothing was done; it may be tried again.
struct StoreRefused {
    std::string reason;

    bool operator==(const StoreRefused&) const = default;
};

/// @brief No answer came; the transaction applied, or may yet apply while its conditions hold.
struct OutcomeAmbiguous {
    std::string reason;

    bool operator==(const OutcomeAmbiguous&) const = default;
};

/// @brief What became of a transaction.
using TransactionResult = std::variant<Applied, Conflict, StoreRefused, OutcomeAmbiguous>;

/// @brief Most rows, conditions and removals together in one transaction of the store.
constexpr std::size_t maximumTransactionEntries = 100;

}
