#pragma once

/// @file
/// @brief Checks that long-running tasks are restarted in time; without input or output.

#include <cowslipdoor/core/Time.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// Required by the platform (2026-12-05): a long-running task restarts within 6 s, and must run at some moment of
/// each 3 s window that begins at least 4 s after the last fault.
constexpr Duration longRunningRestartLimit = std::chrono::seconds(6);
constexpr Duration longRunningWindow = std::chrono::seconds(3);
constexpr Duration quietPeriod = std::chrono::seconds(4);

/// @brief State of a deployment at one moment.
struct LongRunningTaskObservation {
    /// Names of the running tasks.
    std::set<std::string> running {};
    /// Whether a worker has headroom for two more tasks.
    bool headroom = false;
    /// Whether a fault is active or was injected since the last observation.
    bool faultActive = false;

    bool operator==(const LongRunningTaskObservation&) const = default;
};

/// @brief Monitors long-running tasks.
///
/// Each task must run at some moment of every window of longRunningWindow that begins at least longRunningRestartLimit after the task last
/// ran and at least quietPeriod after the last fault, while there has been headroom for two more tasks since its begin.
/// @code
/// monitor.track("0000000000000001.0.0.0", now);
/// monitor.observe(observation, now);
/// @endcode
class LongRunningTaskMonitor {
public:
    /// @brief Monitors a task from now on.
    /// @param task name of the task
    /// @param now current monotonic time
    void track(const std::string& task, TimePoint now);

    /// @brief Evaluates one observation of the deployment.
    /// @param observation the observation
    /// @param now current monotonic time
    void observe(const LongRunningTaskObservation& observation, TimePoint now);

    /// @return violations, one line for each task at most until it runs again
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
