#pragma once

/// @file
/// @brief Checks that long-running tasks are restarted in time; without input or output.

#include <cowslipdoor/core/Time.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// Requirement of the platform's users (2026-12-05): a long-running task restarts within 6 s, and must run at some moment of
/// each 3 s window that begins at least 4 s after the last fault.
constexpr Duration lastingRestart = std::chrono::seconds(6);
constexpr Duration lastingWindow = std::chrono::seconds(3);
constexpr Duration lastingCalm = std::chrono::seconds(4);

/// @brief State of a deployment at one moment.
struct LastingView {
    /// Names of the running tasks.
    std::set<std::string> running {};
    /// Whether a worker has headroom for two more tasks.
    bool room = false;
    /// Whether a fault is active or was injected since the last observation.
    bool disturbed = false;

    bool operator==(const LastingView&) const = default;
};

/// @brief Monitors long-running tasks.
///
/// Each task must run at some moment of every window of lastingWindow that begins at least lastingRestart after the task last
/// ran and at least lastingCalm after the last fault, while there has been headroom for two more tasks since its begin.
/// @code
/// monitor.expect("0000000000000001.0.0.0", now);
/// monitor.see(view, now);
/// @endcode
class LastingWatch {
public:
    /// @brief Monitors a task from now on.
    /// @param task name of the task
    /// @param now current monotonic time
    void expect(const std::string& task, TimePoint now);

    /// @brief Evaluates one observation of the deployment.
    /// @param view the observation
    /// @param now current monotonic time
    void see(const LastingView& view, TimePoint now);

    /// @return violations, one line for each task at most until it runs again
    [[nodiscard]] const std::vector<std::string>& broken() const noexcept { return this->lines; }

private:
    struct Task {
        TimePoint lastRun;
        bool told = false;
    };

    void judge(const std::string& name, Task& task, TimePoint now);

    std::map<std::string, Task> tasks;
    TimePoint calmSince {};
    TimePoint roomSince {};
    std::vector<std::string> lines;
};

}
