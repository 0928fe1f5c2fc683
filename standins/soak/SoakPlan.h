#pragma once

/// @file
/// @brief Which faults come when: drawn from a seed, without input or output.

#include "Fault.h"
#include <cstdint>

namespace cowslipdoor::soak {

/// @brief Size and length of a soak.
struct SoakSize {
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t agents = 3;
    /// How long faults come.
    Duration length = std::chrono::seconds(10);

    bool operator==(const SoakSize&) const = default;
};

/// @brief Draws the faults of a deployment that serves requests.
/// @param size size and seed
/// @return the faults in the order of their times; the same for the same size and seed
[[nodiscard]] std::vector<Planned<RequestFault>> planRequestFaults(const SoakSize& size);

/// @brief Draws the faults of a deployment that runs jobs.
/// @param size size and seed
/// @return the faults in the order of their times; the same for the same size and seed
[[nodiscard]] std::vector<Planned<JobFault>> planJobFaults(const SoakSize& size);

}
