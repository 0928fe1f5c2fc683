#pragma once

/// @file
/// @brief What callers may do with jobs: hand in, cancel, ask.

#include "Asio.h"
#include "Log.h"
#include "Metrics.h"
#include "StorePort.h"
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/scheduling/RecentInsertions.h>
#include <cowslipdoor/scheduling/Rows.h>
#include <cowslipdoor/scheduling/Submission.h>
#include <variant>

namespace cowslipdoor::runtime {

/// @brief The job, or its cancellation, is stored.
struct IntakeAccepted {
    bool operator==(const IntakeAccepted&) const = default;
};

/// @brief What became of a job that was handed in or cancelled.
using IntakeResult = std::variant<IntakeAccepted, FailureReason>;

/// @brief What the store says of a job.
using StateResult = std::variant<JobState, FailureReason>;

/// @brief What the store says of a queue.
using PendingResult = std::variant<std::uint32_t, FailureReason>;

/// @brief Carries out callers' requests on the store; every entry does so by itself, whoever leads.
/// @code
/// const IntakeResult result = co_await intake.submit(spec, deadline);
/// @endcode
class JobIntake {
public:
    /// @param store the store
    /// @param storeReachable tells whether the store has answered this process of late
    /// @param log where events go
    /// @param metrics where counts go
    JobIntake(StorePort store, std::function<bool()> storeReachable, const Log& log, Metrics& metrics);

    /// @brief Stores a job unless it is stored already.
    /// @param spec the job
    /// @param deadline when the caller stops waiting, by bootTimeNow()
    /// @return whether it is stored; a refusal is true for good
    [[nodiscard]] asio::awaitable<IntakeResult> submit(JobSpec spec, TimePoint deadline);

    /// @brief Stores the cancellation of a job.
    /// @param job the job
    /// @param deadline when the caller stops waiting
    /// @return whether it is stored, or that there is no such job
    [[nodiscard]] asio::awaitable<IntakeResult> cancel(JobId job, TimePoint deadline);

    /// @brief Reads the state of a job.
    /// @param job the job
    /// @return its state, or why it is not known
    [[nodiscard]] asio::awaitable<StateResult> state(JobId job);

    /// @brief Reads how many jobs of a queue have not begun.
    /// @param queue name of the queue
    /// @return the number, or why it is not known
    [[nodiscard]] asio::awaitable<PendingResult> pending(std::string queue);

private:
    /// What the store holds of a job besides its progress.
    struct JobRows {
        bool present = false;
        bool cancelled = false;
    };

    using JobRowsResult = std::variant<JobRows, FailureReason>;

    asio::awaitable<IntakeResult> insert(RowWrite row, TimePoint deadline);
    asio::awaitable<IntakeResult> insertUntilSettled(RowWrite row, TimePoint deadline);
    [[nodiscard]] FailureReason refusal(const RowKey& key, const std::string& reason) const;
    asio::awaitable<JobRowsResult> readJob(JobId job);
    asio::awaitable<ReadResult> readRow(RowKey key);
    void record(EventId event, const std::string& detail);

    StorePort store;
    RecentInsertions recent;
    std::function<bool()> storeReachable;
    const Log& log;
    Metrics& metrics;
};

}
