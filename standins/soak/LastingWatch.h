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
constexpr Duration lastingRestart = std::chrono::seconds(6);
constexpr Duration lastingWindow = std::chrono::seconds(3);
constexpr Duration lastingCalm = std::chrono::seconds(4);

/// @brief What was seen of a deployment at a moment.
struct LastingView {
    std::set<std::string> running {};
    /// Whether there is room for two more tasks.
    bool room = false;
    bool disturbed = false;

    bool operator==(const LastingView&) const = default;
};

/// @brief Follows tasks that are to last: each must run at a moment of any window that begins a restart after its last run or
/// later and a calm after the last disturbance or later, while there is room for two.
/// @code
/// watch.expect("0000000000000001.0.0.0", now);
/// watch.see({ .running = running, .room = true }, now);
/// @endcode
class LastingWatch {
public:
    /// @brief Follows a task from now on.
    /// @param task its name
    /// @param now the present
    void expect(const std::string& task, TimePoint now);

    /// @brief Takes in what is seen.
    /// @param view what is seen
    /// @param now the present
    void see(const LastingView& view, TimePoint now);

    /// @return tasks that did not run when they had to, each with a line of text
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
