#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Clock.h>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/runtime/TableFeed.h>
#include <set>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using std::chrono::milliseconds;

TEST_CASE("table feed: rows that cannot be decoded are counted, and the others are delivered", "[jobs]")
{
    asio::io_context context { 1 };
    const Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics;
    const RowKey odd { "t", "", "odd" };
    const Row good { { "t", "", "good" }, "x", 4, false };
    StorePort store;
    store.parts = [](std::string) -> asio::awaitable<PartsResult> { co_return std::vector<std::string> { "" }; };
    store.read = [&odd, &good](RowRange) -> asio::awaitable<ReadResult> { co_return RowPage { { good }, 4, { odd } }; };
    store.follow = [&odd, &good](std::string, RowVersion after, Duration) -> asio::awaitable<FeedResult> {
        co_await pauseFor(milliseconds(1));
        const bool news = after < 6;
        co_return RowPage { news ? std::vector<Row> { good } : std::vector<Row> {}, std::max<RowVersion>(after, 6), news ? std::vector<RowKey> { odd } : std::vector<RowKey> {} };
    };
    std::size_t delivered = 0;
    TableFeed feed(
        store, { .table = "t" }, [&delivered](Row) -> asio::awaitable<void> { ++delivered; co_return; }, TableFeed::ContactHandler(), log, metrics);
    asio::co_spawn(
        context, [&feed]() { return feed.run(std::nullopt); }, asio::detached);
    context.run_for(milliseconds(50));
    CHECK(delivered == 2);
    CHECK(metrics.expose().find("event=\"row_ignored\"} 2") != std::string::npos);
}

TEST_CASE("table feed: selected rows come first, and the end of an answer tells since when it is complete", "[jobs]")
{
    asio::io_context context { 1 };
    const Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics;
    const std::vector<Row> page { { { "t", "", "a" }, "", 1, false }, { { "t", "", "b" }, "", 2, false }, { { "t", "", "urgent" }, "", 3, false } };
    StorePort store;
    store.follow = [&page](std::string, RowVersion after, Duration wait) -> asio::awaitable<FeedResult> {
        co_await pauseFor(after < 3 ? Duration {} : wait);
        co_return RowPage { after < 3 ? page : std::vector<Row> {}, 3 };
    };
    std::vector<std::string> keys;
    std::vector<TimePoint> complete;
    const TableFeedConfig config { .table = "t", .wait = milliseconds(40), .comesFirst = [](const Row& row) { return row.key.key == "urgent"; } };
    TableFeed feed(
        store, config, [&keys](Row row) -> asio::awaitable<void> { keys.push_back(row.key.key); co_return; }, TableFeed::ContactHandler(), log, metrics);
    feed.onCaughtUp([&complete](RowVersion, TimePoint asOf) -> asio::awaitable<void> { complete.push_back(asOf); co_return; });
    const TimePoint begin = bootTimeNow();
    asio::co_spawn(
        context, [&feed]() { return feed.run(0); }, asio::detached);
    context.run_for(milliseconds(100));
    CHECK(keys == std::vector<std::string> { "urgent", "a", "b" });
    REQUIRE(complete.size() == 3);
    CHECK(complete[0] - begin < milliseconds(30));
    CHECK(complete[1] >= begin + milliseconds(40));
    CHECK(complete[2] >= begin + milliseconds(80));
}

// Guards against the loss of an accepted job whose part gets its first row while a table is being read.
TEST_CASE("table feed: a row that is stored in a new part after the parts were listed is delivered", "[jobs]")
{
    asio::io_context context { 1 };
    const Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics;
    const Row early { { "t", "p0", "early" }, "x", 10, false };
    const Row late { { "t", "p1", "late" }, "x", 11, false };
    RowVersion version = early.version;
    StorePort store;
    store.parts = [&version, &late](std::string) -> asio::awaitable<PartsResult> {
        version = late.version;
        co_return std::vector<std::string> { "p0" };
    };
    store.read = [&version, &early](RowRange range) -> asio::awaitable<ReadResult> {
        co_return RowPage { range.part == "p0" ? std::vector<Row> { early } : std::vector<Row> {}, version };
    };
    store.follow = [&late](std::string, RowVersion after, Duration) -> asio::awaitable<FeedResult> {
        co_await pauseFor(milliseconds(1));
        co_return RowPage { after < late.version ? std::vector<Row> { late } : std::vector<Row> {}, late.version };
    };
    std::set<std::string> keys;
    TableFeed feed(
        store, { .table = "t" }, [&keys](Row row) -> asio::awaitable<void> { keys.insert(row.key.key); co_return; }, TableFeed::ContactHandler(), log, metrics);
    asio::co_spawn(
        context, [&feed]() { return feed.run(std::nullopt); }, asio::detached);
    context.run_for(milliseconds(50));
    CHECK(keys == std::set<std::string> { "early", "late" });
}
