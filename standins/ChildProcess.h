#pragma once

/// @file
/// @brief Child processes for tests, soaks and the demo.

#include <string>
#include <sys/types.h>
#include <vector>

namespace cowslipdoor::standins {

/// @brief A child process. The destructor kills it if it still runs.
class ChildProcess {
public:
    /// @brief Starts a program.
    /// @param program path of the program
    /// @param arguments command line without the program name
    /// @param logPath file to which standard output and standard error are appended
    /// @throws std::runtime_error when the program cannot be started
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// @brief Sends a signal, unless the process is known to have ended.
    /// @param number signal number
    void signal(int number) const;

    /// @brief Blocks until the process has ended.
    /// @return exit code, or the negated number of the signal that ended it
    int wait();

    /// @return whether the process still runs; reaps it when it has ended
    [[nodiscard]] bool running();

    /// @return process id, also after the process has ended
    [[nodiscard]] pid_t pid() const noexcept { return this->child; }

private:
    pid_t child = -1;
    bool ended = false;
    int result = 0;
};

/// @brief Finds a free port on 127.0.0.1; each call in this process returns another one.
/// @return address and port, not reserved until a process binds it
[[nodiscard]] std::string freeAddress();

}
