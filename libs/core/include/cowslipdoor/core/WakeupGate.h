#pragma once

/// @file
/// @brief Deferral of timer events after the process was stalled.

#include "Time.h"
#include <algorithm>
#include <optional>

namespace cowslipdoor {

/// Lateness of a wakeup from which the process counts as stalled; ten times the scheduling delay on a busy VM.
inline constexpr Duration standstillFrom = std::chrono::milliseconds(100);

/// Time after a stall in which the messages that arrived meanwhile are processed; reading what the sockets have buffered takes
/// milliseconds.
inline constexpr Duration catchUpTime = std::chrono::milliseconds(100);

/// @brief Defers a wakeup while a process that was stalled processes the messages that arrived meanwhile.
///
/// After a stall, deadlines are due together with answers that arrived in time. The answers are processed first, so that
/// they are delivered and no caller gets an unknown outcome although its answer is there.
/// @code
/// WakeupGate gate;
/// if (gate.opensAt(*machine.nextWakeup(), now) <= now) {
///     gate.told();
///     machine.step(TimePassed {}, now);
/// }
/// @endcode
class WakeupGate {
public:
    /// @brief Computes when the state machine may be woken; a deferral stays the same until told() is called.
    /// @param wakeup when the state machine asked to be woken
    /// @param now current time
    /// @return the wakeup, or the end of the time to catch up if that is later
    [[nodiscard]] TimePoint opensAt(TimePoint wakeup, TimePoint now) noexcept
    {
        if (!this->heldUntil && now - wakeup >= standstillFrom)
            this->heldUntil = now + catchUpTime;
        return std::max(this->heldUntil.value_or(wakeup), wakeup);
    }

    /// @brief Ends the deferral; called when the state machine is woken.
    void told() noexcept { this->heldUntil.reset(); }

    /// @return whether a wakeup is deferred
    [[nodiscard]] bool holds() const noexcept { return this->heldUntil.has_value(); }

    friend bool operator==(const WakeupGate&, const WakeupGate&) = default;

private:
    std::optional<TimePoint> heldUntil;
};

}
