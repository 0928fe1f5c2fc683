#pragma once

/// @file
/// @brief The process's monotonic clock.

#include <chrono>
#include <cowslipdoor/core/Time.h>
#include <ctime>

namespace cowslipdoor::runtime {

/// @brief Reads the monotonic clock.
/// @return the present as the core counts it
[[nodiscard]] inline TimePoint monotonicNow() noexcept
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// @brief Reads the monotonic clock that also counts the time in which the VM was suspended.
///
/// Leases are judged by it: a process that wakes up must see that its lease has ended.
/// @return the present
[[nodiscard]] inline TimePoint bootTimeNow() noexcept
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// @brief Reads the time of day, which differs between VMs and may jump.
/// @return milliseconds since 1970
[[nodiscard]] inline std::int64_t timeOfDayMs() noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// @brief Converts an instant of the core for a timer.
/// @param instant the instant
/// @return the same instant of the steady clock
[[nodiscard]] inline std::chrono::steady_clock::time_point toSteady(TimePoint instant) noexcept
{
    return std::chrono::steady_clock::time_point(instant.time_since_epoch());
}

}
