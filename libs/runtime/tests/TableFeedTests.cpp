#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/runtime/TableFeed.h>

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
    store.follow = [&odd, &good](std::string, RowVersion after) -> asio::awaitable<FeedResult> {
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
