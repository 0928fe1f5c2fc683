#include "cowslipdoor/runtime/TableFeed.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/Process.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace cowslipdoor::runtime {

asio::awaitable<TablePartsResult> listTableParts(const StorePort& store, std::string table)
{
    // Reading a row that does not exist returns the version of the store and no rows.
    const RowRange none = rangeOf({ table, "", "" });
    const ReadResult before = co_await store.read(none);
    const RowPage* const versioned = std::get_if<RowPage>(&before);
    if (!versioned)
        co_return std::get<StoreRefused>(before);
    const PartsResult listed = co_await store.parts(table);
    const std::vector<std::string>* const names = std::get_if<std::vector<std::string>>(&listed);
    if (!names)
        co_return std::get<StoreRefused>(listed);
    co_return TableParts { *names, versioned->version };
}

void appendPage(RowPage& whole, RowPage page)
{
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(whole.rows));
    std::move(page.unreadable.begin(), page.unreadable.end(), std::back_inserter(whole.unreadable));
    std::move(page.truncated.begin(), page.truncated.end(), std::back_inserter(whole.truncated));
}

asio::awaitable<ReadResult> readTable(const StorePort& store, std::string table)
{
    const TablePartsResult listed = co_await listTableParts(store, table);
    const TableParts* const parts = std::get_if<TableParts>(&listed);
    if (!parts)
        co_return std::get<StoreRefused>(listed);
    RowPage whole { .rows = {}, .version = parts->version };
    for (const std::string& part : parts->names) {
        const RowRange range { table, part, "", "" };
        ReadResult page = co_await store.read(range);
        RowPage* const rows = std::get_if<RowPage>(&page);
        if (!rows)
            co_return page;
        appendPage(whole, std::move(*rows));
    }
    co_return whole;
}

void recordIgnored(const RowKey& key, const Log& log, Metrics& metrics)
{
    metrics.countEvent(EventId::RowIgnored);
    log.record(EventId::RowIgnored, key.table + "/" + key.key);
}

void recordContact(const std::optional<RecordEvent>& event, const Log& log, Metrics& metrics)
{
    if (!event)
        return;
    metrics.countEvent(event->event);
    log.record(event->event, event->detail);
}

TableFeed::TableFeed(StorePort store, TableFeedConfig config, RowHandler onRow, ContactHandler onContact, const Log& log, Metrics& metrics)
    : store(std::move(store))
    , config(std::move(config))
    , onRow(std::move(onRow))
    , onContact(std::move(onContact))
    , log(log)
    , metrics(metrics)
    , contact(this->config.table)
{
}

asio::awaitable<void> TableFeed::run(std::optional<RowVersion> after)
{
    this->knownVersion = after;
    while (!this->stopped) {
        if (this->knownVersion)
            co_await this->followOnce();
        else
            co_await this->readWhole();
    }
}

asio::awaitable<void> TableFeed::readWhole()
{
    const TimePoint asked = bootTimeNow();
    ReadResult result = co_await readTable(this->store, this->config.table);
    const StoreRefused* const refused = std::get_if<StoreRefused>(&result);
    if (refused) {
        co_await this->pauseAfterFailure(refused->reason);
        co_return;
    }
    this->noteAnswer();
    if (this->wholeRead)
        this->wholeRead();
    co_await this->deliverRows(std::move(std::get<RowPage>(result)), asked);
}

asio::awaitable<void> TableFeed::followOnce()
{
    const TimePoint asked = bootTimeNow();
    FeedResult result = co_await this->store.follow(this->config.table, *this->knownVersion, this->config.wait);
    if (this->stopped)
        co_return;
    const StoreRefused* const refused = std::get_if<StoreRefused>(&result);
    if (refused) {
        co_await this->pauseAfterFailure(refused->reason);
        co_return;
    }
    this->noteAnswer();
    if (std::holds_alternative<HistoryGone>(result)) {
        this->metrics.countEvent(EventId::FeedRestarted);
        this->log.record(EventId::FeedRestarted, this->config.table + ": the store no longer has the changes after version " + std::to_string(*this->knownVersion) + "; reading the table again");
        this->knownVersion.reset();
        co_return;
    }
    RowPage& page = std::get<RowPage>(result);
    // Without changes, the store answers only after the wait.
    const bool waited = page.rows.empty() && page.unreadable.empty() && page.truncated.empty() && bootTimeNow() - asked >= this->config.wait;
    co_await this->deliverRows(std::move(page), waited ? asked + this->config.wait : asked);
}

asio::awaitable<void> TableFeed::deliverRows(RowPage page, TimePoint asOf)
{
    this->knownVersion = std::max(this->knownVersion.value_or(0), page.version);
    for (const RowKey& key : page.unreadable)
        recordIgnored(key, this->log, this->metrics);
    for (const Row& row : page.truncated)
        this->deliverTruncated(row);
    if (this->config.comesFirst)
        std::stable_partition(page.rows.begin(), page.rows.end(), this->config.comesFirst);
    for (Row& row : page.rows) {
        if (this->stopped)
            co_return;
        co_await this->onRow(std::move(row));
    }
    for (const RowKey& key : page.unreadable) {
        if (this->unreadable)
            this->unreadable(key);
    }
    if (this->caughtUp && !this->stopped && !page.hasMore)
        co_await this->caughtUp(*this->knownVersion, asOf);
}

void TableFeed::deliverTruncated(const Row& row)
{
    if (this->truncated) {
        this->truncated(row);
        return;
    }
    recordIgnored(row.key, this->log, this->metrics);
    if (this->unreadable)
        this->unreadable(row.key);
}

asio::awaitable<void> TableFeed::pauseAfterFailure(std::string reason)
{
    recordContact(this->contact.failed(reason, bootTimeNow()), this->log, this->metrics);
    if (this->onContact)
        this->onContact(false);
    co_await pauseFor(this->config.retryDelay);
}

void TableFeed::noteAnswer()
{
    recordContact(this->contact.answered(bootTimeNow()), this->log, this->metrics);
    if (this->onContact)
        this->onContact(true);
}

}
