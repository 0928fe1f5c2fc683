#pragma once

/// @file
/// @brief Admission of jobs to placement, with the last decision.

#include "AdmissionDecision.h"
#include "RunTimeRatios.h"
#include <optional>

namespace cowslipdoor {

/// @brief Admission of jobs, with the last decision.
/// @code
/// if (admission.due(now))
///     changes = admission.update(registry, workers, interference, now);
/// const std::uint32_t limit = admission.taskLimitOf(job);
/// @endcode
class JobAdmission {
public:
    /// Job whose verdict has changed between admitted and held.
    struct Change {
        JobId job {};
        AdmissionVerdict verdict {};
    };

    /// @param config settings
    explicit JobAdmission(AdmissionConfig config = {});

    /// @param now current time
    /// @return whether the last decision is old enough for another
    [[nodiscard]] bool due(TimePoint now) const noexcept { return now >= this->decidedAt + this->config.interval; }

    /// @brief Decides anew.
    /// @param jobs all jobs
    /// @param workers all workers
    /// @param interference effect of best-effort tasks on serving ones
    /// @param now current time
    /// @return jobs that are held or admitted now and were not before
    std::vector<Change> update(const JobRegistry& jobs, const Workers& workers, const InterferenceModel& interference, TimePoint now);

    /// @brief Tells how many tasks of a job may have assignments; a job that is newer than the decision takes its part of what is
    /// spare, or waits for the next decision.
    /// @param job the job
    /// @param now current time
    [[nodiscard]] std::uint32_t taskLimitOf(const TrackedJob& job, TimePoint now);

    /// @param job a job
    /// @return whether its runs should give back their places
    [[nodiscard]] bool yields(const JobId& job) const;

    /// @brief Notes the run time of a task that is done.
    /// @param queue queue of the job
    /// @param estimate estimated run time
    /// @param actual run time
    void noteRunTime(const std::string& queue, Duration estimate, Duration actual) { this->ratios.note(queue, estimate, actual); }

    /// @return the last decision
    [[nodiscard]] const AdmissionDecision& decision() const noexcept { return this->lastDecision; }

    /// @return milli-cores for best-effort tasks as of the last decision; zero while no job needs any
    [[nodiscard]] double roomMilliCores() const { return this->lastRoom.milliCores(); }

    /// @return the settings
    [[nodiscard]] const AdmissionConfig& settings() const noexcept { return this->config; }

private:
    AdmissionConfig config;
    RunTimeRatios ratios;
    AdmissionDecision lastDecision;
    BestEffortRoom lastRoom;
    AdmissionHistory history;
    TimePoint decidedAt {};
    std::optional<TimePoint> firstDecidedAt {};
};

}
