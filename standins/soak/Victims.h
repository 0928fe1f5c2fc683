#pragma once

/// @file
/// @brief Processes of a deployment under signals: killed, replaced, frozen, and brought back.

#include "ChildProcess.h"
#include "Fault.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// @brief How a process of a deployment is reached and started.
struct SupervisedProcess {
    std::function<standins::ChildProcess&()> process;
    std::function<void()> start;
};

/// @brief Sends signals and brings processes back; signals may overlap on one process.
/// @code
/// victims.kill({ Role::Agent, 1 }, now + downFor);
/// victims.tick(monotonicNow());
/// @endcode
class ProcessSupervisor {
public:
    /// @brief Takes a process in.
    /// @param name its name
    /// @param supervised how it is reached
    void add(const ProcessName& name, SupervisedProcess supervised);

    /// @brief Kills a process.
    /// @param name the process
    /// @param until when it is started again
    void kill(const ProcessName& name, TimePoint until);

    /// @brief Asks a process to end; it is started again when it has.
    /// @param name the process
    void replace(const ProcessName& name);

    /// @brief Stops a process where it is.
    /// @param name the process
    /// @param until when it goes on
    void freeze(const ProcessName& name, TimePoint until);

    /// @brief Lets processes go on and starts ended ones again, as far as that is due.
    /// @param now the present
    void tick(TimePoint now);

    /// @brief Lets all processes go on, and waits until each one runs that is not asked to end.
    void recover();

    /// @return whether no process is down, frozen or ending because it was told to
    [[nodiscard]] bool quiet() const;

    /// @return ends that nobody asked for, as lines of text
    [[nodiscard]] const std::vector<std::string>& unexpectedExits() const noexcept { return this->unexpected; }

private:
    struct State {
        SupervisedProcess supervised;
        std::optional<TimePoint> thawAt;
        /// When it is started again, once it has ended; nothing when it is meant to run.
        std::optional<TimePoint> startAt;
        bool killed = false;
    };

    void thaw(State& state) const;
    void restart(const ProcessName& name, State& state);

    std::map<ProcessName, State> states;
    std::vector<std::string> unexpected;
};

}
