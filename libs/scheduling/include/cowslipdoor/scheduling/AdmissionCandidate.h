#pragma once

/// @file
/// @brief Jobs as admission sees them.

#include "BestEffortRoom.h"
#include "JobRegistry.h"
#include <cowslipdoor/core/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Best-effort tasks of one kind that a job has to run now.
struct AdmissionDemand {
    TaskKind kind {};
    /// Milli-cores of tasks that run, of tasks that have an assignment but starve, and of those without an assignment.
    double running = 0;
    double starving = 0;
    double waiting = 0;
    /// Resources of one task.
    ResourceVector task {};

    bool operator==(const AdmissionDemand&) const = default;

    /// @return the milli-cores of all tasks
    [[nodiscard]] double total() const noexcept { return this->running + this->starving + this->waiting; }
};

/// @brief Job that admission may hold.
struct AdmissionCandidate {
    JobId job {};
    std::string queue {};
    std::string service {};
    std::uint32_t priority = 0;
    TimePoint arrived {};
    TimePoint due {};
    /// Whether a substantial part of its tasks has been assigned.
    bool begun = false;
    /// Expected time to its end if each of its tasks runs at full pace from now on.
    Duration remainingTime {};
    /// Milli-core seconds of what is left, and of the whole job.
    double remainingWork = 0;
    double totalWork = 0;
    std::uint32_t tasksAssigned = 0;
    /// Since when it has had nothing running, if so.
    std::optional<TimePoint> idleSince {};
    std::vector<AdmissionDemand> demands {};

    bool operator==(const AdmissionCandidate&) const = default;

    /// @return the milli-cores of all its ready tasks
    [[nodiscard]] double milliCores() const noexcept;
};

/// @brief Describes a job for admission.
/// @param job the job
/// @param ratio correction of its estimates
/// @param now current time
/// @return the candidate, or std::nullopt for a job that admission does not concern
[[nodiscard]] std::optional<AdmissionCandidate> admissionCandidate(const TrackedJob& job, double ratio, TimePoint now);

}
