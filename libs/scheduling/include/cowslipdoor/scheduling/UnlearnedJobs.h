#pragma once

/// @file
/// @brief Jobs that an entry has stored and the leader has not learned, and the rejection of further ones.

#include "Job.h"
#include "Store.h"
#include <cowslipdoor/core/EventCatalogue.h>
#include <cowslipdoor/core/Time.h>
#include <deque>
#include <optional>

namespace cowslipdoor {

/// @brief Settings of UnlearnedJobs.
struct UnlearnedJobsConfig {
    /// Lag of the leader from which jobs are rejected: two thirds of the 3 s within which the platform requires a job to be
    /// visible.
    Duration maximumLag = std::chrono::seconds(2);
    /// Maximum number of jobs that are remembered; the oldest is dropped first.
    std::size_t most = 4096;

    bool operator==(const UnlearnedJobsConfig&) const = default;
};

/// @brief Tells how far the leader lags behind the jobs that one entry has stored, and whether the entry must reject new ones.
///
/// Store and leader state versions, so no clocks of different VMs are compared. The lag is measured only when the leader shows
/// a sign of life: while nobody leads, jobs wait in the store for the next leader and are accepted.
/// @code
/// unlearned.stored(version, now);
/// const std::optional<RecordEvent> event = unlearned.learned(leaderVersion, now);
/// @endcode
class UnlearnedJobs {
public:
    /// @param config settings
    explicit UnlearnedJobs(UnlearnedJobsConfig config = {});

    /// @brief Notes a job that this entry has stored.
    /// @param version version of the store that contains it
    /// @param now current time
    void stored(RowVersion version, TimePoint now);

    /// @brief Notes how much the leader has learned, on fresh evidence.
    /// @param upTo version up to which it knows all jobs
    /// @param now current time
    /// @return E617 when rejections begin or end, else std::nullopt
    [[nodiscard]] std::optional<RecordEvent> learned(RowVersion upTo, TimePoint now);

    /// @return how long the oldest job had been stored and not learned at the last evidence; zero if all were learned
    [[nodiscard]] Duration lag() const noexcept { return this->measuredLag; }

    /// @return whether new jobs must be rejected because the leader would learn them too late
    [[nodiscard]] bool rejecting() const noexcept { return this->measuredLag > this->config.maximumLag; }

    /// @param job a rejected job
    /// @return when its caller should retry: the leader needs about its lag to catch up, and callers return spread over as long
    [[nodiscard]] Duration retryAfter(const JobId& job) const;

private:
    struct Job {
        RowVersion version = 0;
        TimePoint storedAt {};
    };

    UnlearnedJobsConfig config;
    /// In the order in which the store answered, which is that of versions but for answers that overtake each other.
    std::deque<Job> jobs;
    Duration measuredLag {};
};

}
