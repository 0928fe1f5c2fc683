#pragma once

/// @file
/// @brief The core's notion of time: a monotonic instant that is always passed in, never read.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cowslipdoor {

/// @brief Span of time in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Tag of the monotonic clock; the core never reads it, adapters convert to it.
struct MonotonicClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/// @brief Monotonic instant, counted from an arbitrary origin of the process.
using TimePoint = MonotonicClock::time_point;

/// @brief Time has passed.
struct TimePassed { };

/// @brief Pause that doubles each time.
/// @param initial the pause at the beginning
/// @param doublings how often it has doubled since
/// @param maximum the pause that it does not pass
/// @return the pause
[[nodiscard]] constexpr Duration exponentialBackoff(Duration initial, std::uint32_t doublings, Duration maximum) noexcept
{
    // Keeps the factor within its type; every longest pause here is reached long before.
    constexpr std::uint32_t maximumDoublings = 10;
    return std::min(initial * (1 << std::min(doublings, maximumDoublings)), maximum);
}

/// @brief Whole milliseconds of a duration, rounded down.
/// @param duration any duration
/// @return the number of milliseconds
[[nodiscard]] constexpr long long toMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}
