#pragma once

/// @file
/// @brief Operations of callers on jobs: submit, cancel, query.

#include "Asio.h"
#include "Log.h"
#include "Metrics.h"
#include "StorePort.h"
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/scheduling/RecentInsertions.h>
#include <cowslipdoor/scheduling/RowInsertion.h>
#include <cowslipdoor/scheduling/Rows.h>
#include <cowslipdoor/scheduling/UnlearnedJobs.h>
#include <variant>

namespace cowslipdoor::runtime {

/// @brief The job, or its cancellation, is stored.
struct IntakeAccepted {
    /// Version of the store that contains the row; zero if an earlier request stored it.
    RowVersion version = 0;

    bool operator==(const IntakeAccepted&) const = default;
};

/// @brief Result of submitting or cancelling a job.
using IntakeResult = std::variant<IntakeAccepted, FailureReason>;

/// @brief Result of reading the state of a job.
using StateResult = std::variant<JobState, FailureReason>;

/// @brief Result of reading the number of pending jobs of a queue.
using PendingResult = std::variant<std::uint32_t, FailureReason>;

/// @brief Applies callers' requests for jobs to the store. Each entry does so itself, whether it leads or not.
/// @code
/// const IntakeResult result = co_await intake.submit(spec, deadline);
/// @endcode
class JobIntake {
public:
    /// @param store the store
    /// @param storeReachable returns whether the store has answered this process recently
    /// @param log receives the events
    /// @param metrics receives the counts
    JobIntake(StorePort store, std::function<bool()> storeReachable, const Log& log, Metrics& metrics);

    /// @brief Stores a job unless it is stored already.
    /// @param deadline when the caller stops waiting, on the clock of bootTimeNow()
    /// @return IntakeAccepted if the job is stored; JobCancelled if its identifier was cancelled before; SchedulingBehind or
    ///         StoreUnavailable if it is not stored and this request will not store it later; StoreUnsettled if that is unknown
    [[nodiscard]] asio::awaitable<IntakeResult> submit(JobSpec spec, TimePoint deadline);

    /// @brief Stores the cancellation of a job. If there is no such job, the cancellation prevents that one is stored later, as its
    /// submission may still be under way.
    /// @param deadline when the caller stops waiting, on the clock of bootTimeNow()
    /// @return as submit() for the cancellation, or JobUnknown if there is no such job and the cancellation is stored
    [[nodiscard]] asio::awaitable<IntakeResult> cancel(JobId job, TimePoint deadline);

    /// @brief Notes how much the leader has learned, on fresh evidence.
    /// @param upTo version of the store up to which it knows all jobs
    void learned(RowVersion upTo);

    /// @return how far the leader lags behind the jobs that this entry has stored, at the last evidence
    [[nodiscard]] Duration learningLag() const noexcept { return this->unlearned.lag(); }

    /// @brief Reads the state of a job.
    /// @return the state, or why it is unknown
    [[nodiscard]] asio::awaitable<StateResult> state(JobId job);

    /// @brief Reads how many jobs of a queue have not started.
    /// @param queue name of the queue
    /// @return the number, or why it is unknown
    [[nodiscard]] asio::awaitable<PendingResult> pending(std::string queue);

private:
    /// Which rows of a job exist, apart from its progress.
    struct JobRows {
        bool present = false;
        bool cancelled = false;
    };

    /// Row to insert, and a row that must not exist either.
    struct Insertion {
        RowWrite row;
        std::optional<RowKey> blockedBy {};
    };

    using JobRowsResult = std::variant<JobRows, FailureReason>;
    using InsertionResult = std::variant<IntakeAccepted, RowBlocked, FailureReason>;

    asio::awaitable<IntakeResult> insertUnlessBehind(RowWrite row, JobId job, TimePoint deadline);
    asio::awaitable<IntakeResult> cancelKnown(JobId job, TimePoint deadline);
    asio::awaitable<IntakeResult> cancelUnknown(JobId job, TimePoint deadline);
    asio::awaitable<InsertionResult> insert(Insertion insertion, TimePoint deadline);
    asio::awaitable<InsertionResult> insertUntilSettled(Insertion insertion, TimePoint deadline);
    [[nodiscard]] FailureReason refusal(const RowKey& key, ErrorKind kind, const std::string& reason, Duration retryAfter = {}) const;
    asio::awaitable<JobRowsResult> readJob(JobId job);
    asio::awaitable<ReadResult> readRow(RowKey key);
    void record(EventId event, const std::string& detail);

    StorePort store;
    RecentInsertions recent;
    UnlearnedJobs unlearned;
    std::function<bool()> storeReachable;
    const Log& log;
    Metrics& metrics;
};

}
