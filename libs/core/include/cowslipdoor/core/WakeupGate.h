#pragma once

/// @file
/// @brief When a machine is told that time has passed, in a process that may have stood still.

#include "Time.h"
#include <algorithm>
#include <optional>

namespace cowslipdoor {

/// Lateness of a wakeup from which the process counts as having stood still; ten times what a busy VM's scheduler takes.
inline constexpr Duration stallThreshold = std::chrono::milliseconds(100);

/// Time in which messages that came during a standstill are taken in; reading what sockets hold takes milliseconds.
inline constexpr Duration stallCatchUpTime = std::chrono::milliseconds(100);

/// @brief Holds a wakeup back while a process that stood still takes in what came meanwhile.
///
/// After a standstill the deadlines are due together with the answers that came in time. The answers go first, so that
/// a ready answer is delivered and no caller is told that its outcome is unknown.
/// @code
/// StallGuard gate;
/// if (gate.dueAt(*machine.nextWakeup(), now) <= now) {
///     gate.reset();
///     machine.step(TimePassed {}, now);
/// }
/// @endcode
class StallGuard {
public:
    /// @brief Says when the machine may be told; until it is told, the instant stays the same.
    /// @param wakeup when the machine wants to be told
    /// @param now the present
    /// @return the wakeup, or the end of the time to catch up
    [[nodiscard]] TimePoint dueAt(TimePoint wakeup, TimePoint now) noexcept
    {
        if (!this->deferredUntil && now - wakeup >= stallThreshold)
            this->deferredUntil = now + stallCatchUpTime;
        return std::max(this->deferredUntil.value_or(wakeup), wakeup);
    }

    /// @brief Takes note that the machine was told.
    void reset() noexcept { this->deferredUntil.reset(); }

    /// @return whether a wakeup is held back
    [[nodiscard]] bool deferring() const noexcept { return this->deferredUntil.has_value(); }

    friend bool operator==(const StallGuard&, const StallGuard&) = default;

private:
    std::optional<TimePoint> deferredUntil;
};

}
