#include "OutputCapture.h"
#include <boost/asio/experimental/channel_error.hpp>
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Clock.h>
#include <cowslipdoor/runtime/GracefulShutdown.h>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/runtime/SchedulerTask.h>
#include <cowslipdoor/runtime/SpawnTask.h>
#include <cowslipdoor/runtime/WorkerTask.h>
#include <cowslipdoor/scheduling/Rows.h>
#include <csignal>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using std::chrono::milliseconds;

namespace {

const Log& quietLog()
{
    static const Log log("test", LogForm::Text, EventLevel::Error);
    return log;
}

/// Lets other handlers run, and then throws.
template <typename Failure>
TaskBody throwing(const Failure& failure)
{
    return [failure]() -> asio::awaitable<void> {
        co_await pauseFor(milliseconds(1));
        throw failure;
    };
}

GracefulShutdownActions actions(const std::function<asio::awaitable<bool>()>& drain)
{
    return { drain, []() -> asio::awaitable<std::string> { co_return "nothing"; } };
}

asio::awaitable<bool> drainAtOnce()
{
    co_return true;
}

asio::awaitable<bool> failToDrain()
{
    throw std::out_of_range("no such row");
    co_return true;
}

/// Answers all reads of the leader's row with one value and a version that increases, and never ends other calls.
StorePort storeWithLeaderRow(std::string value, std::size_t& reads)
{
    StorePort store;
    store.read = [value = std::move(value), &reads](RowRange) -> asio::awaitable<ReadResult> {
        ++reads;
        co_return RowPage { { { leaderRowKey(), value, reads, false } }, reads };
    };
    store.transact = [](Transaction, Duration) -> asio::awaitable<TransactionResult> { co_return StoreRefused { "not now" }; };
    store.follow = [](std::string, RowVersion, Duration) -> asio::awaitable<FeedResult> { co_return StoreRefused { "not now" }; };
    store.parts = [](std::string) -> asio::awaitable<PartsResult> { co_return StoreRefused { "not now" }; };
    return store;
}

/// Runs a process that should end by itself, and stops it if it does not.
int runBounded(asio::io_context& context, GracefulShutdown& shutdown)
{
    asio::steady_timer limit(context, std::chrono::seconds(2));
    limit.async_wait([&context](error_code error) {
        if (!error)
            context.stop();
    });
    return shutdown.run();
}

std::string failureOf(asio::io_context& context)
{
    try {
        context.run_for(milliseconds(400));
    } catch (const TaskFailure& failure) {
        return failure.what();
    }
    return "";
}

}

TEST_CASE("spawn task: an unexpected error leaves the event loop with the task's name, and nothing else runs", "[task]")
{
    // With asio::detached the error was lost, and the process went on without the task.
    asio::io_context context(1);
    bool ranOn = false;
    spawnTask(context.get_executor(), "AnyTask", throwing(std::out_of_range("no such row")));
    spawnTask(context.get_executor(), "OtherTask", [&ranOn]() -> asio::awaitable<void> {
        co_await pauseFor(milliseconds(50));
        ranOn = true;
    });
    CHECK(failureOf(context) == "AnyTask: no such row");
    CHECK_FALSE(ranOn);
}

TEST_CASE("spawn task: an error before the first wait and one that is no std::exception end the event loop too", "[task]")
{
    asio::io_context context(1);
    SECTION("before the first wait")
    {
        spawnTask(context.get_executor(), "AnyTask", []() -> asio::awaitable<void> {
            throw Error(ErrorKind::BadSetting, "odd");
            co_return;
        });
        CHECK(failureOf(context) == "AnyTask: odd");
    }
    SECTION("no std::exception")
    {
        spawnTask(context.get_executor(), "AnyTask", throwing(1));
        CHECK(failureOf(context) == "AnyTask: an error of unknown type");
    }
}

TEST_CASE("spawn task: cancelled operations, closed mailboxes and the end of the body are no errors", "[task]")
{
    asio::io_context context(1);
    const error_code code = GENERATE(error_code(asio::error::operation_aborted), error_code(asio::experimental::error::channel_closed), error_code(asio::experimental::error::channel_cancelled));
    spawnTask(context.get_executor(), "AnyTask", throwing(boost::system::system_error(code)));
    spawnTask(context.get_executor(), "OtherTask", []() -> asio::awaitable<void> { co_await pauseFor(milliseconds(1)); });
    asio::steady_timer timer(context, std::chrono::hours(1));
    spawnTask(context.get_executor(), "WaitingTask", [&timer]() -> asio::awaitable<void> { co_await timer.async_wait(asio::use_awaitable); });
    asio::steady_timer end(context, milliseconds(50));
    end.async_wait([&timer](error_code) { timer.cancel(); });
    CHECK(failureOf(context).empty());
}

TEST_CASE("spawn task: other system errors are errors", "[task]")
{
    asio::io_context context(1);
    spawnTask(context.get_executor(), "AnyTask", throwing(boost::system::system_error(asio::error::no_descriptors)));
    CHECK(failureOf(context).starts_with("AnyTask: "));
}

TEST_CASE("spawn operation: an unexpected error is logged and counted, and ends only the operation", "[task]")
{
    asio::io_context context(1);
    Metrics metrics;
    bool ranOn = false;
    const std::string text = outputOf([&context, &metrics, &ranOn]() {
        const Log log("test", LogForm::Text, EventLevel::Info);
        spawnOperation(context.get_executor(), "call", throwing(std::length_error("too long")), log, metrics);
        spawnOperation(context.get_executor(), "cancelled call", throwing(boost::system::system_error(asio::error::operation_aborted)), log, metrics);
        spawnTask(context.get_executor(), "OtherTask", [&ranOn]() -> asio::awaitable<void> {
            co_await pauseFor(milliseconds(20));
            ranOn = true;
        });
        CHECK(failureOf(context).empty());
    });
    CHECK(text.find("E646 connection_failed [test] call: too long") != std::string::npos);
    CHECK(text.find("cancelled") == std::string::npos);
    CHECK(metrics.expose().find("event=\"connection_failed\"} 1") != std::string::npos);
    CHECK(ranOn);
}

TEST_CASE("process end: a failed task is logged and ends the process with code 1", "[task]")
{
    int code = 0;
    const std::string text = outputOf([&code]() {
        const Log log("test", LogForm::Text, EventLevel::Info);
        asio::io_context context(1);
        GracefulShutdown shutdown(context, log, actions(drainAtOnce));
        shutdown.start();
        // A setting that is found to be wrong at this point is no wrong use of the command line, whose code is 2.
        spawnTask(context.get_executor(), "AnyTask", throwing(Error(ErrorKind::BadSetting, "odd")));
        code = runBounded(context, shutdown);
    });
    CHECK(code == exitFailure);
    CHECK(text.find("E107 task_failed [test] AnyTask: odd") != std::string::npos);
    CHECK(text.find("E101 process_stopped [test] exit code 1") != std::string::npos);
}

TEST_CASE("process end: a graceful shutdown with tasks that still wait is no failure", "[task]")
{
    int code = -1;
    const std::string text = outputOf([&code]() {
        const Log log("test", LogForm::Text, EventLevel::Info);
        asio::io_context context(1);
        const Mailbox<int> mailbox = makeMailbox<int>(context.get_executor(), 1);
        GracefulShutdown shutdown(context, log, actions(drainAtOnce));
        shutdown.start();
        spawnTask(context.get_executor(), "WaitingTask", [&mailbox]() -> asio::awaitable<void> { co_await mailbox->async_receive(asio::use_awaitable); });
        spawnTask(context.get_executor(), "SIGHUP handler", [&log]() { return recordHangups(log); });
        asio::steady_timer timer(context, milliseconds(20));
        timer.async_wait([](error_code) { std::raise(SIGTERM); });
        code = runBounded(context, shutdown);
    });
    CHECK(code == 0);
    CHECK(text.find("E107") == std::string::npos);
    CHECK(text.find("E101 process_stopped [test] exit code 0") != std::string::npos);
}

TEST_CASE("process end: a drain that fails ends the process with code 1", "[task]")
{
    // After a lost error of the drain the process ignored the signal that had asked it to stop.
    int code = 0;
    const std::string text = outputOf([&code]() {
        const Log log("test", LogForm::Text, EventLevel::Info);
        asio::io_context context(1);
        GracefulShutdown shutdown(context, log, actions(failToDrain));
        shutdown.start();
        asio::steady_timer timer(context, milliseconds(20));
        timer.async_wait([](error_code) { std::raise(SIGTERM); });
        code = runBounded(context, shutdown);
    });
    CHECK(code == exitFailure);
    CHECK(text.find("E107 task_failed [test] GracefulShutdown: no such row") != std::string::npos);
}

TEST_CASE("scheduler task: an unexpected error in its loop ends the process", "[task][jobs]")
{
    asio::io_context context(1);
    Metrics metrics;
    std::size_t reads = 0;
    SchedulerConfig config;
    config.lease.holder = "entry-0";
    const std::string row = print(LeaderRecord { .epoch = 3, .holder = "entry-1", .incarnation = 1, .sequence = 1, .learnedVersion = 5 });
    SchedulerTask task(
        context.get_executor(), config, storeWithLeaderRow(row, reads), [](RowVersion) { throw std::out_of_range("no such row"); }, quietLog(), metrics);
    task.start();
    CHECK(failureOf(context) == "SchedulerTask: no such row");
}

TEST_CASE("scheduler task: malformed rows and calls of the store that throw do not end the process", "[task][jobs]")
{
    asio::io_context context(1);
    Metrics metrics;
    std::size_t reads = 0;
    const std::string row = GENERATE(std::string(), std::string("{"), std::string("[[[["), std::string(R"({"epoch":-1,"holder":7})"), std::string("\xff\xfe"), std::string("null"));
    StorePort store = storeWithLeaderRow(row, reads);
    std::size_t writes = 0;
    store.transact = [&writes](Transaction, Duration) -> asio::awaitable<TransactionResult> {
        ++writes;
        throw std::length_error("too long");
        co_return Applied { 1 };
    };
    SchedulerConfig config;
    config.lease.holder = "entry-0";
    SchedulerTask task(
        context.get_executor(), config, guardedStorePort(store, quietLog(), metrics), [](RowVersion) {}, quietLog(), metrics);
    task.start();
    CHECK(failureOf(context).empty());
    // Without a readable leader it goes on trying to become the leader.
    CHECK(reads > 0);
    CHECK(writes > 1);
}

TEST_CASE("store port: an unexpected error of a call becomes a result that claims nothing about the store", "[task][jobs]")
{
    asio::io_context context(1);
    Metrics metrics;
    StorePort store;
    store.transact = [](Transaction, Duration) -> asio::awaitable<TransactionResult> { throw std::length_error("too long"); co_return Applied { 1 }; };
    store.read = [](RowRange) -> asio::awaitable<ReadResult> { throw std::length_error("too long"); co_return RowPage {}; };
    store.follow = [](std::string, RowVersion, Duration) -> asio::awaitable<FeedResult> { throw std::length_error("too long"); co_return HistoryGone {}; };
    store.parts = [](std::string) -> asio::awaitable<PartsResult> { throw std::length_error("too long"); co_return std::vector<std::string> {}; };
    const StorePort guarded = guardedStorePort(store, quietLog(), metrics);
    bool done = false;
    spawnTask(context.get_executor(), "test", [&guarded, &done]() -> asio::awaitable<void> {
        const Transaction transaction;
        const TransactionResult written = co_await guarded.transact(transaction, storeCallLimit);
        CHECK(std::holds_alternative<OutcomeAmbiguous>(written));
        const RowRange range;
        const ReadResult read = co_await guarded.read(range);
        CHECK(std::holds_alternative<StoreRefused>(read));
        const std::string table = "t";
        const FeedResult followed = co_await guarded.follow(table, 1, storeCallLimit);
        CHECK(std::holds_alternative<StoreRefused>(followed));
        const PartsResult parts = co_await guarded.parts(table);
        CHECK(std::holds_alternative<StoreRefused>(parts));
        done = true;
    });
    CHECK(failureOf(context).empty());
    CHECK(done);
    CHECK(metrics.expose().find("event=\"connection_failed\"} 4") != std::string::npos);
}

TEST_CASE("worker task: a call that throws counts as unanswered, and the worker is called again", "[task][jobs]")
{
    // The agent waited without end for the answer to the call.
    asio::io_context context(1);
    Metrics metrics;
    std::size_t polls = 0;
    WorkerPort worker;
    worker.poll = [&polls](CallPoll) -> asio::awaitable<WorkerEvent> {
        ++polls;
        throw std::length_error("too long");
        co_return TimePassed {};
    };
    WorkerMachineConfig config;
    config.agent = "agent";
    WorkerTask task(context.get_executor(), config, worker, quietLog(), metrics);
    task.start();
    WorkerInfo info;
    info.identity = { "worker", 1'000 };
    REQUIRE(trySend(*task.inbox(), WorkerInput(WorkerEvent(GenerationGranted { 1 }))));
    REQUIRE(trySend(*task.inbox(), WorkerInput(WorkerEvent(WorkerHeartbeat { info }))));
    CHECK(failureOf(context).empty());
    CHECK(polls > 1);
    CHECK(metrics.expose().find("event=\"connection_failed\"} " + std::to_string(polls)) != std::string::npos);
}
