#pragma once

/// @file
/// @brief Planned stop of a process: drains on the first signal, cuts off on a second one.

#include "Asio.h"
#include "Log.h"
#include <functional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief What a stop needs to know of a process.
struct PlannedStopActions {
    /// Finishes what is held; gives whether all was finished in time.
    std::function<asio::awaitable<bool>()> drain;
    /// Says what is held now, such as "3 calls".
    std::function<asio::awaitable<std::string>()> describeHeld;
};

/// @brief Waits for SIGTERM or SIGINT, drains, and stops the context.
/// @code
/// PlannedStop stop(context, log, { drain, describeHeld });
/// stop.start();
/// context.run();
/// return stop.exitCode();
/// @endcode
class PlannedStop {
public:
    /// @param context stopped at the end; must outlive this object
    /// @param log where a cut is told
    /// @param actions what the process does
    PlannedStop(asio::io_context& context, const Log& log, PlannedStopActions actions);

    /// @brief Starts waiting for signals.
    void start();

    /// @return 0, or exitFailure when something was cut off
    [[nodiscard]] int exitCode() const noexcept { return this->code; }

private:
    asio::awaitable<void> awaitFirstSignal();
    asio::awaitable<void> awaitSecondSignal();
    asio::awaitable<void> cut(std::string why);

    asio::io_context& context;
    const Log& log;
    PlannedStopActions actions;
    int code = 0;
};

}
