#pragma once

/// @file
/// @brief Clocks of the process.

#include <chrono>
#include <cowslipdoor/core/Time.h>
#include <ctime>

namespace cowslipdoor::runtime {

/// @brief Reads the monotonic clock, which stops while the VM is suspended.
/// @return the current time
[[nodiscard]] inline TimePoint monotonicNow() noexcept
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// @brief Reads the monotonic clock that also counts the time while the VM is suspended.
///
/// Leases use it, so that a process sees after a suspension that its lease has expired.
/// @return the current time
[[nodiscard]] inline TimePoint bootTimeNow() noexcept
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// @brief Reads the wall clock, which differs between VMs and may jump.
/// @return milliseconds since 1970
[[nodiscard]] inline std::int64_t timeOfDayMs() noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// @brief Converts an instant of monotonicNow() for a timer.
/// @return the same instant on the steady clock
[[nodiscard]] inline std::chrono::steady_clock::time_point toSteady(TimePoint instant) noexcept
{
    return std::chrono::steady_clock::time_point(instant.time_since_epoch());
}

}
