#pragma once

/// @file
/// @brief Rule of a job queue as operators configure it.

#include <cowslipdoor/core/Time.h>
#include <cstdint>
#include <string>

namespace cowslipdoor {

/// @brief Rule of a job queue.
struct QueueRule {
    std::string name;
    /// Host that requests name, compared case-insensitively.
    std::string host;
    /// Prefix of the paths of requests.
    std::string prefix;
    std::string service;
    /// Zero is the highest priority.
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    double stretch = 1;
    /// Due slack: time added to the objective of each job.
    Duration dueSlack {};
    /// Maximum duration of a caller's request.
    Duration timeout {};
    /// Whether the start of a run requires a ticket from the advice service.
    bool needsAdvice = false;

    bool operator==(const QueueRule&) const = default;
};

}
