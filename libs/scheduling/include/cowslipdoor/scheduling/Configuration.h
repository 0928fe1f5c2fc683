#pragma once

/// @file
/// @brief Queues and services as operators configure them.

#include <cowslipdoor/core/Time.h>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief Rule of one queue of jobs.
struct QueueRule {
    std::string name;
    /// Host that callers name, without regard to case.
    std::string host;
    /// What the path of a request begins with.
    std::string prefix;
    std::string service;
    /// Zero comes first.
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    double stretch = 1;
    /// Added to the objective of each job.
    Duration dueSlack {};
    /// Longest time that a caller's request may take.
    Duration timeout {};
    /// Whether starts need a ticket of the advice service.
    bool needsAdvice = false;

    bool operator==(const QueueRule&) const = default;
};

/// @brief Bounds of callers' requests.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTime = std::chrono::seconds(15);

    bool operator==(const CallerLimits&) const = default;
};

/// @brief Everything that operators configure, as of one version.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<QueueRule> queues;
    std::vector<std::string> services;
    CallerLimits limits {};

    bool operator==(const Configuration&) const = default;

    /// @brief Finds the queue of a request: the longest prefix of the host's queues.
    /// @param host host that the caller named, with or without a port
    /// @param path path of the request
    /// @return the queue, valid while the configuration lives, or nothing
    [[nodiscard]] const QueueRule* queueOf(std::string_view host, std::string_view path) const;
};

/// @brief Shared immutable configuration.
using ConfigurationHandle = std::shared_ptr<const Configuration>;

}
