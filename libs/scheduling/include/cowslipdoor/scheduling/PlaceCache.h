#pragma once

/// @file
/// @brief Results of one placement pass that hold for many tasks, so that a small leader computes them once.

#include "BestEffortPace.h"
#include "InterferenceModel.h"
#include "Workers.h"
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace cowslipdoor {

/// @brief Worker that a task can take, and how slow the task would be there.
struct Place {
    const TrackedWorker* worker = nullptr;
    /// Time that the task takes there, as a multiple of its time near its data at full pace.
    double slowdown = 1;

    bool operator==(const Place&) const = default;
};

/// @brief Requirements by which tasks of different jobs have the same best place.
struct PlaceKey {
    std::string service;
    std::string requiredLabel;
    std::string nearRack;
    std::string image;
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;
    bool bestEffort = false;
    /// Whether stalled workers count as well.
    bool takesStalled = false;

    std::strong_ordering operator<=>(const PlaceKey&) const = default;
};

/// @brief Caches slowdowns and best places until the load of a worker changes.
class PlaceCache {
public:
    using Slowdowns = std::unordered_map<const TrackedWorker*, double>;

    /// @brief Forgets everything; a new pass begins.
    void clear();

    /// @brief Notes that a task has been assigned to a worker.
    /// @param worker the worker
    void loadChanged(const TrackedWorker& worker);

    /// @param step step of a best-effort task
    /// @return the known slowdowns of such a task, by worker
    [[nodiscard]] Slowdowns& slowdownsOf(const StepSpec& step);

    /// @param key requirements of a task
    /// @return the best place; std::nullopt inside if no worker can take the task; nullptr if it is not known
    [[nodiscard]] const std::optional<Place>* find(const PlaceKey& key) const;

    /// @param key requirements of a task
    /// @param place the best place for it
    void remember(const PlaceKey& key, const std::optional<Place>& place);

private:
    std::map<std::pair<std::string, std::uint32_t>, Slowdowns> slowdowns;
    std::map<PlaceKey, std::optional<Place>> places;
};

}
