#pragma once

/// @file
/// @brief Child processes of tests and the demo.

#include <string>
#include <sys/types.h>
#include <vector>

namespace cowslipdoor::standins {

/// @brief Process that a test started; killed when the object goes, if it still runs.
class ChildProcess {
public:
    /// @brief Starts a program.
    /// @param program path of the program
    /// @param arguments its command line
    /// @param logPath file that its output is added to
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// @brief Sends a signal to the process, if it still runs.
    /// @param number the signal
    void signal(int number) const;

    /// @brief Waits for the end of the process.
    /// @return its exit code, or minus the signal that ended it
    int wait();

    /// @return whether the process still runs
    [[nodiscard]] bool running();

    /// @return its process id
    [[nodiscard]] pid_t pid() const noexcept { return this->child; }

private:
    pid_t child = -1;
    bool ended = false;
    int result = 0;
};

/// @brief Finds a free port on 127.0.0.1.
/// @return an address for a process that is about to start
[[nodiscard]] std::string freeAddress();

}
