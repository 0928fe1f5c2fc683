#pragma once

/// @file
/// @brief Deferral of timer events after the process was stalled.

#include "Time.h"
#include <algorithm>
#include <optional>

namespace cowslipdoor {

/// Lateness of a wakeup from which the process counts as stalled; ten times the scheduling delay on a busy VM.
inline constexpr Duration stallThreshold = std::chrono::milliseconds(100);

/// Time after a stall in which the messages that arrived meanwhile are processed; reading what the sockets have buffered takes
/// milliseconds.
inline constexpr Duration stallCatchUpTime = std::chrono::milliseconds(100);

/// @brief Defers a wakeup while a process that was stalled processes the messages that arrived meanwhile.
///
/// After a stall, deadlines are due together with answers that arrived in time. The answers are processed first, so that
/// they are delivered and no caller gets an unknown outcome although its answer has arrived.
/// @code
/// StallGuard guard;
/// if (guard.dueAt(*machine.nextWakeup(), now) <= now) {
///     guard.reset();
///     machine.step(TimePassed {}, now);
/// }
/// @endcode
class StallGuard {
public:
    /// @brief Computes when the state machine may be woken; a deferral stays the same until reset() is called.
    /// @param wakeup when the state machine asked to be woken
    /// @param now current time
    /// @return the wakeup, or the end of the time to catch up if that is later
    [[nodiscard]] TimePoint dueAt(TimePoint wakeup, TimePoint now) noexcept
    {
        if (!this->deferredUntil && now - wakeup >= stallThreshold)
            this->deferredUntil = now + stallCatchUpTime;
        return std::max(this->deferredUntil.value_or(wakeup), wakeup);
    }

    /// @brief Ends the deferral; called when the state machine is woken.
    void reset() noexcept { this->deferredUntil.reset(); }

    /// @return whether a wakeup is deferred
    [[nodiscard]] bool deferring() const noexcept { return this->deferredUntil.has_value(); }

    friend bool operator==(const StallGuard&, const StallGuard&) = default;

private:
    std::optional<TimePoint> deferredUntil;
};

}
