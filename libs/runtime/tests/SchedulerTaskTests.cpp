#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/runtime/SchedulerTask.h>
#include <set>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using std::chrono::milliseconds;

// Guards against a takeover that takes the round trips of all tables one after the other.
TEST_CASE("scheduler task: a new leader asks for all tables before one of them is answered", "[jobs]")
{
    asio::io_context context { 1 };
    const Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics;
    std::set<std::string> asked;
    StorePort store;
    store.transact = [](Transaction, Duration) -> asio::awaitable<TransactionResult> { co_return Applied { 1 }; };
    store.read = [](RowRange) -> asio::awaitable<ReadResult> { co_return RowPage {}; };
    store.follow = [](std::string, RowVersion, Duration wait) -> asio::awaitable<FeedResult> {
        co_await pauseFor(wait);
        co_return RowPage {};
    };
    store.parts = [&asked](std::string table) -> asio::awaitable<PartsResult> {
        asked.insert(table);
        co_await pauseFor(std::chrono::seconds(10));
        co_return std::vector<std::string> {};
    };
    SchedulerTask task(
        context.get_executor(), SchedulerConfig { .lease = { .holder = "me", .incarnation = 1, .milliCores = 1000 } }, store, [](RowVersion) {}, log, metrics);
    task.start();
    context.run_for(milliseconds(500));
    CHECK(asked == std::set<std::string> { agentTable, jobTable, progressTable, modelTable });
}
