#pragma once

/// @file
/// @brief What an operator sees of the jobs that the leader knows.

#include "JobBook.h"

namespace cowslipdoor {

/// @brief One job as an operator sees it.
struct JobSummary {
    JobId job;
    std::string queue;
    std::string service;
    std::uint32_t priority = 0;
    JobState state = JobState::Queued;
    /// Since an entry took it in.
    Duration age {};
    /// Until its objective; below zero when it is late, and nothing for jobs that last or have ended.
    std::optional<Duration> untilDue {};
    /// Tasks of all steps: how many there are, have a place, and are done.
    std::uint32_t tasks = 0;
    std::uint32_t placed = 0;
    std::uint32_t done = 0;

    bool operator==(const JobSummary&) const = default;
};

/// @brief Makes the list of jobs: those with work to do in the order of their objectives, then those that last, then ended ones.
/// @param jobRegistry the jobs
/// @param now the present
/// @return a line for each job
[[nodiscard]] std::vector<JobSummary> listJobs(const JobRegistry& jobRegistry, TimePoint now);

}
