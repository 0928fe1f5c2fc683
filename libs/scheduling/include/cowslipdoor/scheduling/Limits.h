#pragma once

/// @file
/// @brief Largest numbers that are read from rows, reports and requests; what is over them comes of another writer.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cowslipdoor {

/// @brief Steps of one job at most: its progress must fit into one row of the store.
constexpr std::size_t maximumSteps = 64;

/// @brief Tasks of one step at most, for the same reason.
constexpr std::uint32_t maximumTasks = 1000;

/// @brief Most milli-cores, megabytes or accelerators of a worker or task; sums over 200 tasks stay within 32 bits.
constexpr std::uint32_t maximumResourceAmount = 1U << 24U;

/// @brief Longest estimate, target, limit or objective; sums over all steps stay within 64 bits of microseconds, also times
/// the largest stretch.
constexpr std::chrono::milliseconds maximumDuration = std::chrono::hours(24 * 366);

/// @brief Largest multiple of the longest chain that an objective has.
constexpr double maximumStretch = 1000;

/// @brief Largest number of epochs, writes, versions, ends and clocks: the largest that each JSON reader holds exactly.
constexpr std::uint64_t maximumCount = 1ULL << 53U;

/// @brief Largest generation of an agent: the fencing tokens, 2^20 for each, stay within maximumCount.
constexpr std::uint64_t maximumGeneration = 1ULL << 32U;

/// @brief Largest number of a run.
constexpr std::uint32_t maximumRunNumber = 1U << 31U;

/// @brief Longest name of a worker, as long as a key of the store may be.
constexpr std::size_t maximumNameBytes = 200;

}
