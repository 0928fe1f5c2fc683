#pragma once

/// @file
/// @brief What the tasks ask of the store; an adapter gives the functions.

#include "Asio.h"
#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/scheduling/Store.h>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Keys of one part of a table, from the first one up to but without the end; empty texts do not bound.
struct RowRange {
    std::string table;
    std::string part;
    std::string first;
    std::string end;

    bool operator==(const RowRange&) const = default;
};

/// @param key place of a row
/// @return the range of just this row
[[nodiscard]] inline RowRange rangeOf(const RowKey& key)
{
    // No key of ours goes on with this byte.
    constexpr char afterKey = '\x01';
    return { key.table, key.part, key.key, key.key + afterKey };
}

/// @brief Rows as of one moment.
struct RowPage {
    std::vector<Row> rows;
    /// Newest version of the store at that moment.
    RowVersion version = 0;
    /// Rows that cannot be read.
    std::vector<RowKey> unreadable {};

    bool operator==(const RowPage&) const = default;
};

/// @brief The changes that were asked for are forgotten; the table has to be read again.
struct HistoryGone {
    bool operator==(const HistoryGone&) const = default;
};

using ReadResult = std::variant<RowPage, StoreRefused>;
using FeedResult = std::variant<RowPage, HistoryGone, StoreRefused>;
using PartsResult = std::variant<std::vector<std::string>, StoreRefused>;

/// @brief Longest time of a call that is answered at once: sixty times the usual 4 ms on a slow day, twice for several
/// parts, with room to spare.
constexpr Duration storeCallLimit = std::chrono::milliseconds(800);

/// @brief Functions of the store.
struct StorePort {
    /// Applies a transaction whole or not at all; gives up waiting for the answer after the limit.
    std::function<asio::awaitable<TransactionResult>(Transaction, Duration limit)> transact;
    /// Reads all rows of a range.
    std::function<asio::awaitable<ReadResult>(RowRange)> read;
    /// Waits for changes of a table after a version.
    std::function<asio::awaitable<FeedResult>(std::string table, RowVersion after)> follow;
    /// Lists the parts of a table.
    std::function<asio::awaitable<PartsResult>(std::string table)> parts;
};

}
