#pragma once

/// @file
/// @brief Evacuations of failure domains during a soak, and the check that nothing starts there; without input or output.

#include <cowslipdoor/core/Time.h>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// Required by the platform: no task starts in a failure domain later than this after its evacuation was acknowledged.
constexpr Duration evacuationBound = std::chrono::seconds(5);

/// @brief Monitors the starts on the workers of evacuated failure domains.
/// @code
/// monitor.evacuate("zone-0", now, now + length);
/// monitor.observe("zone-0", 3, starts, now);
/// @endcode
class EvacuationMonitor {
public:
    /// @brief Notes that a failure domain is evacuated from now on; one that is evacuated already stays so until the later end.
    /// @param zone the failure domain
    /// @param now current monotonic time
    /// @param until when it is to be restored
    void evacuate(const std::string& zone, TimePoint now, TimePoint until);

    /// @brief Takes the failure domains that are to be restored.
    /// @param now current monotonic time
    /// @return the failure domains, which count as restored from now on
    [[nodiscard]] std::vector<std::string> takeEnded(TimePoint now);

    /// @param zone a failure domain
    /// @return whether it is evacuated
    [[nodiscard]] bool evacuated(const std::string& zone) const { return this->evacuations.contains(zone); }

    /// @brief Evaluates the number of starts on one worker.
    /// @param zone its failure domain
    /// @param worker number of the worker
    /// @param starts number of its starts so far
    /// @param now a monotonic time not after the one at which the starts were counted
    void observe(const std::string& zone, std::size_t worker, std::size_t starts, TimePoint now);

    /// @return violations, one line for each observation of further starts
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return this->lines; }

private:
    struct Evacuation {
        TimePoint since {};
        TimePoint until {};
        /// Starts of workers at their last observation after the bound.
        std::map<std::size_t, std::size_t> starts {};
    };

    std::map<std::string, Evacuation> evacuations;
    std::vector<std::string> lines;
};

}
