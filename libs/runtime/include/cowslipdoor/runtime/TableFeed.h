#pragma once

/// @file
/// @brief Reading of whole tables of the store, and feeds of their changes.

#include "Asio.h"
#include "Log.h"
#include "Metrics.h"
#include "StorePort.h"
#include <cowslipdoor/scheduling/StoreContact.h>
#include <functional>
#include <memory>
#include <optional>

namespace cowslipdoor::runtime {

/// @brief Wait of a feed whose contents orders depend on. Orders need knowledge that is at most 2 s old, also when each answer takes
/// 400 ms longer.
constexpr Duration orderFeedWait = std::chrono::milliseconds(400);

/// @brief Parts of a table.
struct TableParts {
    std::vector<std::string> names {};
    /// Version of the store from before the listing. A part that gets its first row later is not listed, so a feed must deliver
    /// all changes after this version.
    RowVersion version = 0;

    bool operator==(const TableParts&) const = default;
};

/// @brief Result of listing the parts of a table together with a version to follow it from.
using TablePartsResult = std::variant<TableParts, StoreRefused>;

/// @brief Lists the parts of a table.
/// @return the parts, and a version from before the listing, or why a call failed
[[nodiscard]] asio::awaitable<TablePartsResult> listTableParts(const StorePort& store, std::string table);

/// @brief Adds the rows of a part to those of a table.
/// @param whole rows of the parts before
/// @param page rows of the part
void appendPage(RowPage& whole, RowPage page);

/// @brief Reads the rows of all parts of a table.
/// @return the rows with the version from before the parts were listed, or why a call failed
[[nodiscard]] asio::awaitable<ReadResult> readTable(const StorePort& store, std::string table);

/// @brief Logs and counts a row that cannot be decoded and is ignored.
/// @param key key of the row
/// @param log receives the event
/// @param metrics counts the event
void recordIgnored(const RowKey& key, const Log& log, Metrics& metrics);

/// @brief Logs and counts an event of the contact with the store, if there is one.
/// @param event the event
/// @param log receives the event
/// @param metrics counts the event
void recordContact(const std::optional<RecordEvent>& event, const Log& log, Metrics& metrics);

/// @brief Settings of a feed.
struct TableFeedConfig {
    std::string table {};
    /// Delay after a failed call.
    Duration retryDelay = std::chrono::milliseconds(150);
    /// How long the store waits for a change before it answers. A dead connection is detected only after this wait, which is
    /// therefore well under the 2 s within which the platform requires a new configuration to be in force.
    Duration wait = std::chrono::milliseconds(800);
    /// Selects rows that are delivered before the others of an answer; may be null.
    bool (*comesFirst)(const Row&) = nullptr;

    bool operator==(const TableFeedConfig&) const = default;
};

/// @brief Delivers each row of a table at least once and then each change, until it is stopped.
///
/// A row may be delivered again, so the handler must compare versions or accept duplicates.
/// @code
/// TableFeed feed(store, { .table = "op" }, onRow, log, metrics);
/// co_await feed.run(std::nullopt);
/// @endcode
class TableFeed {
public:
    using RowHandler = std::function<asio::awaitable<void>(Row)>;
    using ContactHandler = std::function<void(bool)>;
    using CaughtUpHandler = std::function<asio::awaitable<void>(RowVersion, TimePoint)>;

    /// @param onRow called with each row
    /// @param onContact called after each call with whether the store answered; may be empty
    /// @param log receives the events
    /// @param metrics receives the counts
    TableFeed(StorePort store, TableFeedConfig config, RowHandler onRow, ContactHandler onContact, const Log& log, Metrics& metrics);

    /// @brief Sets what is called after all rows of an answer have been delivered.
    /// @param handler receives the version up to which all changes have been delivered, and a time on the clock of bootTimeNow()
    ///        at which the store certainly had no later ones
    void onCaughtUp(CaughtUpHandler handler) { this->caughtUp = std::move(handler); }

    /// @brief Sets what is called before the rows of the whole table are delivered, at first or after the store has lost its
    /// history. Rows that were removed in between are not delivered.
    void onWholeRead(std::function<void()> handler) { this->wholeRead = std::move(handler); }

    /// @brief Sets what is called with the key of each row that cannot be decoded, after the rows of its answer.
    void onUnreadable(std::function<void(const RowKey&)> handler) { this->unreadable = std::move(handler); }

    /// @brief Sets what is called with each row whose value is over the limit of the store's port. Without it, such a row counts as
    /// one that cannot be decoded.
    void onTruncated(std::function<void(const Row&)> handler) { this->truncated = std::move(handler); }

    /// @brief Follows the table until stop().
    /// @param after version up to which the table has been read, or nothing to read the table first
    [[nodiscard]] asio::awaitable<void> run(std::optional<RowVersion> after);

    /// @brief Ends run() after its current call.
    void stop() noexcept { this->stopped = true; }

private:
    asio::awaitable<void> readWhole();
    asio::awaitable<void> followOnce();
    asio::awaitable<void> deliverRows(RowPage page, TimePoint asOf);
    void deliverTruncated(const Row& row);
    asio::awaitable<void> pauseAfterFailure(std::string reason);
    void noteAnswer();

    StorePort store;
    TableFeedConfig config;
    RowHandler onRow;
    ContactHandler onContact;
    CaughtUpHandler caughtUp;
    std::function<void()> wholeRead;
    std::function<void(const RowKey&)> unreadable;
    std::function<void(const Row&)> truncated;
    const Log& log;
    Metrics& metrics;
    std::optional<RowVersion> knownVersion;
    StoreContact contact;
    bool stopped = false;
};

}
