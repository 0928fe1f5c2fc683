#pragma once

/// @file
/// @brief Kills, replaces and suspends the processes of a deployment, and restarts them.

#include "ChildProcess.h"
#include "Fault.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// @brief Access to a process of a deployment.
struct SupervisedProcess {
    /// Returns the process last started.
    std::function<standins::ChildProcess&()> process;
    /// Starts a new process after the last one has ended.
    std::function<void()> start;
};

/// @brief Sends signals to processes and restarts those that have ended; signals may overlap on one process.
/// @code
/// supervisor.kill({ Role::Agent, 1 }, now + downFor);
/// supervisor.tick(monotonicNow());
/// @endcode
class ProcessSupervisor {
public:
    /// @brief Adds a process.
    /// @param name the process
    /// @param supervised access to the process
    void add(const ProcessName& name, SupervisedProcess supervised);

    /// @brief Kills a process with SIGKILL.
    /// @param name the process
    /// @param until earliest time of its restart
    void kill(const ProcessName& name, TimePoint until);

    /// @brief Sends SIGTERM to a process; it is restarted once it has ended. Has no effect while a restart is pending.
    /// @param name the process
    void replace(const ProcessName& name);

    /// @brief Suspends a process with SIGSTOP; has no effect on a killed process.
    /// @param name the process
    /// @param until time at which it is resumed
    void suspend(const ProcessName& name, TimePoint until);

    /// @brief Resumes the suspended processes and restarts the ended ones that are due.
    /// @param now current monotonic time
    void tick(TimePoint now);

    /// @brief Resumes all processes and waits until every pending restart is done.
    /// @throws std::runtime_error when a process that got SIGTERM does not end within 90 s
    void recover();

    /// @return whether no process is suspended and no restart is pending
    [[nodiscard]] bool quiet() const;

    /// @return exits that no signal of this object caused, and requested exits with an unexpected result, one line each
    [[nodiscard]] const std::vector<std::string>& unexpectedExits() const noexcept { return this->unexpected; }

private:
    struct State {
        SupervisedProcess supervised;
        std::optional<TimePoint> resumeAt;
        /// Earliest time of a restart after the process has ended; nothing when no exit was requested.
        std::optional<TimePoint> startAt;
        bool killed = false;
    };

    void resume(State& state) const;
    void restart(const ProcessName& name, State& state);

    std::map<ProcessName, State> states;
    std::vector<std::string> unexpected;
};

}
