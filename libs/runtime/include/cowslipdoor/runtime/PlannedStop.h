#pragma once

/// @file
/// @brief Planned stop of a process: drains on the first signal, cuts off on a second one.

#include "Asio.h"
#include "Log.h"
#include <functional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief What a stop needs to know of a process.
struct GracefulShutdownActions {
    /// Finishes what is held; gives whether all was finished in time.
    std::function<asio::awaitable<bool>()> drain;
    /// Says what is held now, such as "3 calls".
    std::function<asio::awaitable<std::string>()> describeInFlight;
};

/// @brief Waits for SIGTERM or SIGINT, drains, and stops the context.
/// @code
/// GracefulShutdown stop(context, log, { drain, describeInFlight });
/// stop.start();
/// context.run();
/// return stop.exitCode();
/// @endcode
class GracefulShutdown {
public:
    /// @param context stopped at the end; must outlive this object
    /// @param log where a cut is told
    /// @param actions what the process does
    GracefulShutdown(asio::io_context& context, const Log& log, GracefulShutdownActions actions);

    /// @brief Starts waiting for signals.
    void start();

    /// @return 0, or exitFailure when something was cut off
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
