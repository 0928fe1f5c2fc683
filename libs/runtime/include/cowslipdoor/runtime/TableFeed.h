#pragma once

/// @file
/// @brief Reading whole tables of the store, and following their changes.

#include "Asio.h"
#include "Log.h"
#include "Metrics.h"
#include "StorePort.h"
#include <functional>
#include <memory>
#include <optional>

namespace cowslipdoor::runtime {

/// @param store the store
/// @param table a table
/// @return its parts, the unnamed one for a table without rows
[[nodiscard]] asio::awaitable<PartsResult> listPartsToRead(const StorePort& store, std::string table);

/// @brief Adds the rows of a part to those of a table, which is as old as its oldest part.
/// @param whole the table so far
/// @param page the part
/// @param first whether it is the first part
void appendPage(RowPage& whole, const RowPage& page, bool first);

/// @brief Reads all rows of a table, in all its parts.
/// @param store the store
/// @param table the table
/// @return the rows, with a version no newer than the oldest of the readings; or why they could not be read
[[nodiscard]] asio::awaitable<ReadResult> readTable(const StorePort& store, std::string table);

/// @brief Tells of a row that cannot be read and is left out.
/// @param key its place
/// @param log where the event goes
/// @param metrics where it is counted
void recordIgnored(const RowKey& key, const Log& log, Metrics& metrics);

/// @brief Settings of a feed.
struct TableFeedConfig {
    std::string table {};
    /// Pause after a failed call.
    Duration retryDelay = std::chrono::milliseconds(150);

    bool operator==(const TableFeedConfig&) const = default;
};

/// @brief Tells each row of a table at least once and each change after it, until it is stopped.
///
/// A row may be told again; who listens goes by its version or takes it as known.
/// @code
/// TableFeed feed(store, { .table = "op" }, onRow, log, metrics);
/// co_await feed.run(std::nullopt);
/// @endcode
class TableFeed {
public:
    using RowHandler = std::function<asio::awaitable<void>(Row)>;
    using ContactHandler = std::function<void(bool)>;

    /// @param store the store
    /// @param config settings
    /// @param onRow told of each row
    /// @param onContact told after each call whether the store answered; may be empty
    /// @param log where events go
    /// @param metrics where counts go
    TableFeed(StorePort store, TableFeedConfig config, RowHandler onRow, ContactHandler onContact, const Log& log, Metrics& metrics);

    /// @brief Follows the table until stop().
    /// @param after version up to which the table is known, or nothing to read it first
    [[nodiscard]] asio::awaitable<void> run(std::optional<RowVersion> after);

    /// @brief Ends run() after its present call.
    void stop() noexcept { this->stopped = true; }

private:
    asio::awaitable<void> readWhole();
    asio::awaitable<void> followOnce();
    asio::awaitable<void> deliverRows(RowPage page);
    asio::awaitable<void> pauseAfterFailure(std::string reason);
    void noteContact(bool answered);

    StorePort store;
    TableFeedConfig config;
    RowHandler onRow;
    ContactHandler onContact;
    const Log& log;
    Metrics& metrics;
    std::optional<RowVersion> knownVersion;
    bool answering = true;
    bool stopped = false;
};

}
