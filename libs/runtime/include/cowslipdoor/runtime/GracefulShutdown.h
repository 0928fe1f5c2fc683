#pragma once

/// @file
/// @brief End of a process: drains on the first signal, aborts the drain on the second, ends at once if a task fails.

#include "Asio.h"
#include "Log.h"
#include <functional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Functions of the process that a graceful shutdown calls.
struct GracefulShutdownActions {
    /// Finishes the work in progress; returns whether all of it ended in time.
    std::function<asio::awaitable<bool>()> drain;
    /// Describes the unfinished work, such as "3 calls".
    std::function<asio::awaitable<std::string>()> describeInFlight;
};

/// @brief Runs the context of a process; waits for SIGTERM or SIGINT, drains, and stops the context.
/// @code
/// GracefulShutdown shutdown(context, log, { drain, describeInFlight });
/// shutdown.start();
/// return shutdown.run();
/// @endcode
class GracefulShutdown {
public:
    /// @param context stopped at the end; must outlive this object
    /// @param log receives an event if the drain is aborted or a task fails, and when the process stops
    /// @param actions functions of the process
    GracefulShutdown(asio::io_context& context, const Log& log, GracefulShutdownActions actions);

    /// @brief Starts waiting for signals.
    void start();

    /// @brief Runs the context until a drain ends or a task started by spawnTask() fails; logs the failure and the exit code.
    /// @return exit code: 0, or exitFailure if the drain was aborted or a task failed
    [[nodiscard]] int run();

private:
    asio::awaitable<void> awaitFirstSignal();
    asio::awaitable<void> awaitSecondSignal();
    asio::awaitable<void> abortDrain(std::string why);

    asio::io_context& context;
    const Log& log;
    GracefulShutdownActions actions;
    int code = 0;
};

}
