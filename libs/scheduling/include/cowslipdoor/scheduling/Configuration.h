#pragma once

/// @file
/// @brief Queues and services as operators configure them.

#include "QueueTable.h"
#include <cowslipdoor/core/Time.h>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief Limits of callers' requests.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTime = std::chrono::seconds(15);

    bool operator==(const CallerLimits&) const = default;
};

/// @brief Complete configuration by operators, as of one version.
struct Configuration {
    std::uint64_t version = 0;
    QueueTable queues;
    std::vector<std::string> services;
    CallerLimits limits {};

    bool operator==(const Configuration&) const = default;

    /// @brief Finds the queue of a request: among the queues of the host, the one with the longest matching prefix.
    /// @param host host that the request names, with or without a port
    /// @param path path of the request
    /// @return the queue, valid as long as the configuration exists, or nullptr if no queue matches
    [[nodiscard]] const QueueRule* queueOf(std::string_view host, std::string_view path) const;
};

/// @brief Shared immutable configuration.
using ConfigurationHandle = std::shared_ptr<const Configuration>;

/// @brief What is in force of the operators' configurations.
struct ConfigurationState {
    /// Configuration in force; null before the first usable one.
    ConfigurationHandle rules;
    /// Whether these are all rules of the newest known version. If not, a queue that they do not name may exist.
    bool complete = true;

    bool operator==(const ConfigurationState&) const = default;
};

}
