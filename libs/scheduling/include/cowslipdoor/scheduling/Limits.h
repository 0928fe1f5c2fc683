#pragma once

/// @file
/// @brief Upper bounds of values accepted from rows, reports and requests; larger ones were not written by this product.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cowslipdoor {

/// @brief Maximum number of steps of a job.
constexpr std::size_t maximumSteps = 64;

/// @brief Maximum number of tasks of a step.
constexpr std::uint32_t maximumTasks = 1000;

/// @brief Maximum milli-cores, megabytes or accelerators of a worker or task; sums over 200 tasks fit into 32 bits.
constexpr std::uint32_t maximumResourceAmount = 1U << 24U;

/// @brief Maximum estimate, target, limit or objective; the sum over all steps times the largest stretch fits into 64 bits
/// of microseconds.
constexpr std::chrono::milliseconds maximumDuration = std::chrono::hours(24 * 366);

/// @brief Maximum ratio of an objective to the longest chain of steps.
constexpr double maximumStretch = 1000;

/// @brief Maximum epoch, sequence number, version or clock value: the largest integer that every JSON reader represents
/// exactly.
constexpr std::uint64_t maximumCount = 1ULL << 53U;

/// @brief Maximum generation of an agent; its fencing tokens, 2^20 for each generation, stay within maximumCount.
constexpr std::uint64_t maximumGeneration = 1ULL << 32U;

/// @brief Maximum number of a run.
constexpr std::uint32_t maximumRunNumber = 1U << 31U;

/// @brief Maximum size of a checkpoint that is kept; a row holds the checkpoints of 64 tasks.
constexpr std::size_t maximumCheckpointBytes = 512;

/// @brief Maximum length of the name of a worker, service or label in bytes, equal to the maximum length of a store key.
constexpr std::size_t maximumNameBytes = 200;

/// @brief Maximum number of labels of a worker.
constexpr std::size_t maximumLabels = 64;

}
