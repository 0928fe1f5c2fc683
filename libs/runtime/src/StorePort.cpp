#include "cowslipdoor/runtime/StorePort.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <memory>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    /// A port and where its errors are recorded.
    struct GuardedStore {
        StorePort store;
        const Log& log;
        Metrics& metrics;

        /// Records the error that is being handled.
        /// @return the reason for the result of the call
        [[nodiscard]] std::string record(const std::string& operation, const std::exception& error) const
        {
            recordConnectionFault(this->log, this->metrics, operation + ": " + error.what());
            return std::string("internal error: ") + error.what();
        }
    };

    using GuardedStoreHandle = std::shared_ptr<const GuardedStore>;

    asio::awaitable<TransactionResult> transact(GuardedStoreHandle guarded, Transaction transaction, Duration limit)
    {
        try {
            TransactionResult result = co_await guarded->store.transact(std::move(transaction), limit);
            co_return result;
        } catch (const std::exception& error) {
            co_return OutcomeAmbiguous { guarded->record("transaction", error) };
        }
    }

    asio::awaitable<ReadResult> read(GuardedStoreHandle guarded, RowRange range)
    {
        try {
            ReadResult result = co_await guarded->store.read(std::move(range));
            co_return result;
        } catch (const std::exception& error) {
            co_return StoreRefused { guarded->record("reading of rows", error) };
        }
    }

    asio::awaitable<FeedResult> follow(GuardedStoreHandle guarded, std::string table, RowVersion after, Duration wait)
    {
        try {
            FeedResult result = co_await guarded->store.follow(std::move(table), after, wait);
            co_return result;
        } catch (const std::exception& error) {
            co_return StoreRefused { guarded->record("feed", error) };
        }
    }

    asio::awaitable<PartsResult> parts(GuardedStoreHandle guarded, std::string table)
    {
        try {
            PartsResult result = co_await guarded->store.parts(std::move(table));
            co_return result;
        } catch (const std::exception& error) {
            co_return StoreRefused { guarded->record("listing of parts", error) };
        }
    }

}

StorePort guardedStorePort(StorePort store, const Log& log, Metrics& metrics)
{
    const GuardedStoreHandle guarded = std::make_shared<const GuardedStore>(GuardedStore { std::move(store), log, metrics });
    return {
        [guarded](Transaction transaction, Duration limit) { return transact(guarded, std::move(transaction), limit); },
        [guarded](RowRange range) { return read(guarded, std::move(range)); },
        [guarded](std::string table, RowVersion after, Duration wait) { return follow(guarded, std::move(table), after, wait); },
        [guarded](std::string table) { return parts(guarded, std::move(table)); },
    };
}

}
