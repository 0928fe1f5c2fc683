#pragma once

/// @file
/// @brief List of the jobs that the leader knows, for operators.

#include "JobRegistry.h"

namespace cowslipdoor {

/// @brief Summary of a job for operators.
struct JobSummary {
    JobId job;
    std::string queue;
    std::string service;
    std::uint32_t priority = 0;
    JobState state = JobState::Queued;
    /// Time since an entry accepted the job.
    Duration age {};
    /// Time until the job is due; negative if it is late, std::nullopt for long-running and ended jobs.
    std::optional<Duration> untilDue {};
    /// Numbers of tasks of all steps: in total, assigned to a worker, and done.
    std::uint32_t tasks = 0;
    std::uint32_t placed = 0;
    std::uint32_t done = 0;

    bool operator==(const JobSummary&) const = default;
};

/// @brief Lists all jobs: unfinished ones by due time, then long-running ones, then ended ones.
/// @param jobRegistry the jobs
/// @param now current time
/// @return one summary for each job
[[nodiscard]] std::vector<JobSummary> listJobs(const JobRegistry& jobRegistry, TimePoint now);

}
