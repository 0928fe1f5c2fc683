#pragma once

/// @file
/// @brief Upper bounds of values accepted from rows, reports and requests; larger ones were not written by this product.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cowslipdoor {

/// @brief Maximum number of steps of a job; the progress of a job must fit into one row of the store.
constexpr std::size_t mostSteps = 64;

/// @brief Maximum number of tasks of a step; the progress of a job must fit into one row of the store.
constexpr std::uint32_t mostTasks = 1000;

/// @brief Maximum milli-cores, megabytes or accelerators of a worker or task; sums over 200 tasks fit into 32 bits.
constexpr std::uint32_t largestAmount = 1U << 24U;

/// @brief Maximum estimate, target, limit or objective; the sum over all steps times the largest stretch fits into 64 bits
/// of microseconds.
constexpr std::chrono::milliseconds longestSpan = std::chrono::hours(24 * 366);

/// @brief Maximum ratio of an objective to the longest chain of steps.
constexpr double largestStretch = 1000;

/// @brief Maximum epoch, sequence number, version or clock value: the largest integer that every JSON reader represents
/// exactly.
constexpr std::uint64_t largestCount = 1ULL << 53U;

/// @brief Maximum generation of an agent; its fencing tokens, 2^20 for each generation, stay within largestCount.
constexpr std::uint64_t largestGeneration = 1ULL << 32U;

/// @brief Maximum number of a run.
constexpr std::uint32_t largestRun = 1U << 31U;

/// @brief Maximum length of a worker name in bytes, equal to the maximum length of a store key.
constexpr std::size_t longestName = 200;

}
