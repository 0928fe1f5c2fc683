#pragma once

/// @file
/// @brief Checks that tasks that last run again in time, without input or output.

#include <cowslipdoor/core/Time.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// Bounds of the platform's users (2026-12-05): a restart takes 6 s at most, the window is 3 s, and it counts after a calm of 4 s.
constexpr Duration longRunningRestartLimit = std::chrono::seconds(6);
constexpr Duration longRunningWindow = std::chrono::seconds(3);
constexpr Duration quietPeriod = std::chrono::seconds(4);

/// @brief What was seen of a deployment at a moment.
struct LongRunningTaskObservation {
    std::set<std::string> running {};
    /// Whether there is room for two more tasks.
    bool headroom = false;
    bool faultActive = false;

    bool operator==(const LongRunningTaskObservation&) const = default;
};

/// @brief Follows tasks that are to last: each must run at a moment of any window that begins a restart after its last run or
/// later and a calm after the last disturbance or later, while there is room for two.
/// @code
/// watch.track("0000000000000001.0.0.0", now);
/// watch.observe({ .running = running, .room = true }, now);
/// @endcode
class LongRunningTaskMonitor {
public:
    /// @brief Follows a task from now on.
    /// @param task its name
    /// @param now the present
    void track(const std::string& task, TimePoint now);

    /// @brief Takes in what is seen.
    /// @param view what is seen
    /// @param now the present
    void observe(const LongRunningTaskObservation& view, TimePoint now);

    /// @return tasks that did not run when they had to, each with a line of text
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return this->lines; }

private:
    struct Task {
        TimePoint lastRun;
        bool reported = false;
    };

    void evaluate(const std::string& name, Task& task, TimePoint now);

    std::map<std::string, Task> tasks;
    TimePoint quietSince {};
    TimePoint headroomSince {};
    std::vector<std::string> lines;
};

}
