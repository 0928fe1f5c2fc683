#pragma once

/// @file
/// @brief Interface of the tasks to the store, implemented by an adapter.

#include "Asio.h"
#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/scheduling/Store.h>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Half-open range of keys in one part of a table; an empty text is no bound.
struct RowRange {
    std::string table;
    std::string part;
    std::string first;
    std::string end;

    bool operator==(const RowRange&) const = default;
};

/// @brief Makes the range of a single row.
/// @param key key of the row
[[nodiscard]] inline RowRange rangeOf(const RowKey& key)
{
    // No stored key continues another key with this byte.
    constexpr char afterKey = '\x01';
    return { key.table, key.part, key.key, key.key + afterKey };
}

/// @brief Rows that were read from the store.
struct RowPage {
    std::vector<Row> rows;
    /// Version of the store up to which the rows hold all changes; a feed continues after it.
    RowVersion version = 0;
    /// Rows that cannot be decoded.
    std::vector<RowKey> unreadable {};
    /// Whether the store has further changes up to its current version that are not among the rows.
    bool hasMore = false;
    /// Rows with a value over the limit of the port; only the beginning of the value is there.
    std::vector<Row> truncated {};

    bool operator==(const RowPage&) const = default;
};

/// @brief The store no longer has the requested changes; the table must be read again.
struct HistoryGone {
    bool operator==(const HistoryGone&) const = default;
};

/// @brief Result of reading rows.
using ReadResult = std::variant<RowPage, StoreRefused>;
/// @brief Result of waiting for changes of a table.
using FeedResult = std::variant<RowPage, HistoryGone, StoreRefused>;
/// @brief Result of listing the parts of a table.
using PartsResult = std::variant<std::vector<std::string>, StoreRefused>;

/// @brief Longest time of a call that does not wait for changes. The usual 4 ms may grow sixtyfold on a slow day, and
/// several parts take twice as long; the rest is a margin.
constexpr Duration storeCallLimit = std::chrono::milliseconds(800);

/// @brief Operations of the store.
struct StorePort {
    /// Applies a transaction atomically; stops waiting for the answer after the limit.
    std::function<asio::awaitable<TransactionResult>(Transaction, Duration limit)> transact;
    /// Reads all rows of a range.
    std::function<asio::awaitable<ReadResult>(RowRange)> read;
    /// Waits for changes of a table after a version; without any, the store answers after the wait.
    std::function<asio::awaitable<FeedResult>(std::string table, RowVersion after, Duration wait)> follow;
    /// Lists the parts of a table.
    std::function<asio::awaitable<PartsResult>(std::string table)> parts;
};

/// @brief Makes a port whose operations do not throw: an unexpected error is logged and becomes a result.
///
/// A transaction that ends with such an error may have been applied, so its outcome is ambiguous; other calls count as refused.
/// @param store the port to call
/// @param log receives the errors; must outlive the port
/// @param metrics counts the errors; must outlive the port
[[nodiscard]] StorePort guardedStorePort(StorePort store, const Log& log, Metrics& metrics);

}
