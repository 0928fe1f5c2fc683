#pragma once

/// @file
/// @brief Racks of workers, and the rack on which all tasks of a step can end first.

#include "ExpectedRelease.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Labels that name racks, by agent.
using RacksByAgent = std::map<std::string, std::string>;

/// @brief Finds out which labels name racks.
///
/// Workers state their rack as one label among others. Labels that differ only in their numbers form a group. A group of which
/// each worker has exactly one label divides the workers into places; racks are the smallest such places that hold more than one
/// worker.
/// @param workers all workers
/// @param service the service whose workers are looked at
/// @return the rack of each worker of the service; empty if the labels do not tell
[[nodiscard]] RacksByAgent racksOf(const Workers& workers, const std::string& service);

/// @brief Places for tasks of one step on a rack.
struct RackPlaces {
    std::string rack;
    /// Times at which places are expected to be available, in order.
    std::vector<TimePoint> places {};
    /// Number of tasks that the rack holds when all its finite runs have ended.
    std::size_t capacity = 0;

    bool operator==(const RackPlaces&) const = default;
};

/// @param job the job
/// @param step number of the step
/// @param racks racks of the workers
/// @param workers all workers
/// @param jobRegistry registry that holds the jobs
/// @param interference effect of best-effort tasks on serving ones
/// @param now current time
/// @return the places on each rack
[[nodiscard]] std::vector<RackPlaces> rackPlaces(const TrackedJob& job, std::uint32_t step, const RacksByAgent& racks, const Workers& workers, const JobRegistry& jobRegistry, const InterferenceModel& interference, TimePoint now);

/// @param racks places on each rack
/// @param tasks number of tasks
/// @return the rack that has a place for the last of the tasks first, or std::nullopt if no rack holds them all
[[nodiscard]] std::optional<std::string> firstRackFor(const std::vector<RackPlaces>& racks, std::size_t tasks);

}
