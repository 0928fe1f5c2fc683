#pragma once

/// @file
/// @brief Better places that the leader expects to become available, shared by all tasks that wait.

#include "JobRegistry.h"
#include "PlaceCache.h"
#include "PlaceOrWait.h"
#include "Placement.h"
#include "Racks.h"
#include <array>
#include <optional>
#include <vector>

namespace cowslipdoor {

/// @brief What the leader knows when it expects releases.
struct OutlookSources {
    const Workers& workers;
    const JobRegistry& jobRegistry;
    const InterferenceModel& interference;
    const PlacementConfig& config;
};

/// @brief Place that is better than the available one.
struct BetterPlace {
    double slowdown = 1;
    /// Time until it is expected to be available; std::nullopt if that is not known.
    std::optional<Duration> release {};

    bool operator==(const BetterPlace&) const = default;
};

/// @param step the step of a waiting task
/// @param task the task
/// @return the time that the rest of it takes at full pace; one second if its job does not estimate it
[[nodiscard]] Duration remainingTime(const StepSpec& step, const TaskState& task);

/// @param job the job
/// @param step number of the step
/// @param task a waiting task
/// @param place the best available place
/// @param better the better place
/// @param waited how long the task has waited for a better place
/// @param now current time
/// @return what placeOrWait() needs to know
[[nodiscard]] PlaceSituation situationOf(const TrackedJob& job, std::uint32_t step, const TaskState& task, const Place& place, const BetterPlace& better, Duration waited, TimePoint now);

/// @brief Outcome of weighing the best available place of a task against a better one.
struct WeighedPlace {
    PlaceDecision decision {};
    /// What the decision rests on; std::nullopt if no better place was weighed.
    std::optional<PlaceSituation> situation {};

    bool operator==(const WeighedPlace&) const = default;
};

/// @brief Expects when better places become available.
///
/// Tasks that wait take the expected releases in their order of placement, so that one release is not expected by all of them.
/// @code
/// outlook.beginPass();
/// const std::optional<BetterPlace> better = outlook.better(job, step, rack, 20, remaining, 2.5, sources, now);
/// @endcode
class PlaceOutlook {
public:
    /// @brief Makes all expected releases available again to the tasks of a new pass.
    void beginPass();

    /// @brief Forgets everything, as another process leads.
    void clear();

    /// @param job the job
    /// @param step number of a step whose tasks can wait for a place
    /// @param nearRack rack on which its tasks run fastest, or empty
    /// @param tasks number of its tasks that wait; the release is that for the last of them
    /// @param remaining time that the rest of a task takes at full pace
    /// @param slowdown slowdown of the best available place
    /// @param sources what the leader knows
    /// @param now current time
    /// @return the place on which a task that waits for it is expected to end first, or std::nullopt if there is none
    [[nodiscard]] std::optional<BetterPlace> better(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, std::size_t tasks, Duration remaining, double slowdown, const OutlookSources& sources, TimePoint now);

    /// @brief Notes that tasks wait, so that the next expected releases are theirs.
    /// @param job the job
    /// @param step number of a step for which better() was called in this pass
    /// @param nearRack rack on which its tasks run fastest, or empty
    /// @param tasks number of its tasks that wait
    void claim(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, std::size_t tasks);

    /// @param job the job
    /// @param step number of the step
    /// @param tasks number of its tasks that are not placed
    /// @param sources what the leader knows
    /// @param now current time
    /// @return the rack on which its tasks run fastest, or empty. For a colocated step that is the rack that its other tasks run
    /// on, or else the one on which all can end first; the rack of its data, if any, when they have to spread
    [[nodiscard]] std::string nearRackOf(const TrackedJob& job, std::uint32_t step, std::size_t tasks, const OutlookSources& sources, TimePoint now);

    /// @brief Decides whether a task takes the best available place or waits.
    /// @param job the job
    /// @param step number of the step
    /// @param task a waiting task of it
    /// @param nearRack rack on which it runs fastest, or empty
    /// @param place the best available place
    /// @param tasks number of tasks of the step that wait
    /// @param waited how long they have waited for a better place
    /// @param sources what the leader knows
    /// @param now current time
    /// @return the decision, and what it rests on
    [[nodiscard]] WeighedPlace weigh(const TrackedJob& job, std::uint32_t step, const TaskState& task, const std::string& nearRack, const Place& place, std::size_t tasks, Duration waited, const OutlookSources& sources, TimePoint now);

private:
    [[nodiscard]] std::string rackFor(const TrackedJob& job, std::uint32_t step, std::size_t tasks, const OutlookSources& sources, TimePoint now);

    /// Releases of places with the same slowdown.
    struct Group {
        double slowdown = 1;
        /// Expected releases, in order of time.
        std::vector<TimePoint> releases {};
        /// Whether some worker may have such a place at a time that is not known.
        bool unknown = false;

        /// Returns the time of the release that comes after as many others.
        [[nodiscard]] TimePoint release(std::size_t number, Duration estimate) const;
    };

    struct Entry {
        TimePoint computedAt {};
        /// Places near the data, and all others.
        std::array<Group, 2> groups {};
        std::size_t claimed = 0;
    };

    [[nodiscard]] static Entry compute(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, const OutlookSources& sources, TimePoint now);

    [[nodiscard]] const RacksByAgent& racksIn(const std::string& service, const OutlookSources& sources, TimePoint now);

    struct KnownRacks {
        TimePoint computedAt {};
        RacksByAgent byAgent {};
    };

    struct RackEntry {
        TimePoint computedAt {};
        std::vector<RackPlaces> places {};
    };

    std::map<PlaceKey, Entry> entries;
    /// Racks of the workers, by service.
    std::map<std::string, KnownRacks> racks;
    /// Places on racks for steps that are colocated.
    std::map<PlaceKey, RackEntry> rackEntries;
};

}
