#pragma once

/// @file
/// @brief Graceful shutdown of a process: drains on the first signal, aborts the drain on the second.

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

/// @brief Waits for SIGTERM or SIGINT, drains, and stops the context.
/// @code
/// GracefulShutdown shutdown(context, log, { drain, describeInFlight });
/// shutdown.start();
/// context.run();
/// return shutdown.exitCode();
/// @endcode
class GracefulShutdown {
public:
    /// @param context stopped at the end; must outlive this object
    /// @param log receives an event if the drain is aborted
    /// @param actions functions of the process
    GracefulShutdown(asio::io_context& context, const Log& log, GracefulShutdownActions actions);

    /// @brief Starts waiting for signals.
    void start();

    /// @return 0, or exitFailure if the drain was aborted
    [[nodiscard]] int exitCode() const noexcept { return this->code; }

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
