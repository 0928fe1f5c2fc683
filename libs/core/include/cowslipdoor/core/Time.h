#pragma once

/// @file
/// @brief Monotonic time of the core, which reads no clock: each call receives the current time.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cowslipdoor {

/// @brief Duration in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Clock of TimePoint; it has no now(), adapters convert from the system's monotonic clock.
struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/// @brief Monotonic point in time; the origin is arbitrary and differs between processes.
using TimePoint = MonotonicClock::time_point;

/// @brief Timer event: all wakeups up to the current time are due.
struct TimePassed { };

/// @brief Exponential backoff with a maximum.
/// @param initial delay before any doubling
/// @param doublings number of doublings
/// @param maximum maximum delay
/// @return the doubled delay, at most the maximum
[[nodiscard]] constexpr Duration exponentialBackoff(Duration initial, std::uint32_t doublings, Duration maximum) noexcept
{
    // Keeps the shift within the type of the factor; every maximum in use is reached with fewer doublings.
    constexpr std::uint32_t maximumDoublings = 10;
    return std::min(initial * (1 << std::min(doublings, maximumDoublings)), maximum);
}

/// @brief Whole milliseconds of a duration, rounded down.
/// @param duration duration to convert
/// @return the number of milliseconds
[[nodiscard]] constexpr long long toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}
