#pragma once

/// @file
/// @brief Capacity that best-effort tasks can use at a useful pace beside serving tasks.

#include "InterferenceModel.h"
#include "Workers.h"
#include <compare>
#include <map>
#include <string>

namespace cowslipdoor {

/// @brief Best-effort tasks that the same workers can run at the same pace.
struct TaskKind {
    /// Pool of workers.
    std::string service;
    std::string image;
    /// Label that a worker must have, or empty.
    std::string requiredLabel;

    std::strong_ordering operator<=>(const TaskKind&) const = default;
};

/// @brief Use of the workers of a service.
struct ServiceUse {
    /// Milli-cores and memory of the usable workers, and how much of them is reserved.
    ResourceVector capacity {};
    ResourceVector used {};
    /// Milli-cores that best-effort tasks can use, whatever their kind.
    double milliCores = 0;

    bool operator==(const ServiceUse&) const = default;

    /// @return the greater of the reserved shares of cores and of memory
    [[nodiscard]] double reservedShare() const noexcept;
};

/// @brief Capacity for best-effort tasks.
struct BestEffortRoom {
    /// Milli-cores that tasks of a kind can use at a useful pace if no other kind needs them.
    std::map<TaskKind, double> byKind {};
    std::map<std::string, ServiceUse> byService {};

    bool operator==(const BestEffortRoom&) const = default;

    /// @return the milli-cores that best-effort tasks of all kinds can use
    [[nodiscard]] double milliCores() const;
};

/// @brief Measures the capacity for best-effort tasks on all usable workers.
///
/// What runs counts with its measured pace, so the result does not depend on learnt losses alone; what is unused counts as far
/// as placement would use it. Each worker and kind is visited once.
/// @param kinds the kinds of task, each with a typical step
/// @param workers all workers
/// @param interference effect of best-effort tasks on serving ones
/// @param now current time
/// @return the capacity
[[nodiscard]] BestEffortRoom measureBestEffortRoom(const std::map<TaskKind, StepSpec>& kinds, const Workers& workers, const InterferenceModel& interference, TimePoint now);

}
