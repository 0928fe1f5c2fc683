#pragma once

/// @file
/// @brief Random plans of faults, determined by a seed; without input or output.

#include "Fault.h"
#include <cstdint>

namespace cowslipdoor::soak {

/// Number of failure domains over which the agents of a soak are spread.
constexpr std::size_t soakZones = 2;

/// @brief Seed, size and length of a soak.
struct SoakSize {
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    /// Time during which faults are injected.
    Duration length = std::chrono::seconds(10);

    bool operator==(const SoakSize&) const = default;
};

/// @brief Draws the faults of a deployment that serves requests.
/// @param size size and seed
/// @return faults in order of time; equal for equal sizes and seeds
[[nodiscard]] std::vector<Planned<RequestFault>> planRequestFaults(const SoakSize& size);

/// @brief Draws the faults of a deployment that runs jobs.
/// @param size size and seed
/// @return faults in order of time; equal for equal sizes and seeds
[[nodiscard]] std::vector<Planned<JobFault>> planJobFaults(const SoakSize& size);

}
