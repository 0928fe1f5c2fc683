#pragma once

/// @file
/// @brief Bounds how often a limit is reported.

#include "Time.h"
#include <cstdint>
#include <optional>

namespace cowslipdoor {

/// @brief Counts how often a limit took effect, and says when to report that.
/// @code
/// LimitReports reports;
/// const std::optional<std::uint64_t> count = reports.count(now);
/// @endcode
class LimitReports {
public:
    /// Shortest time between two reports.
    static constexpr Duration interval = std::chrono::seconds(1);

    /// @brief Counts one time.
    /// @param now the time
    /// @return how often the limit took effect since the last report, if a report is due
    [[nodiscard]] std::optional<std::uint64_t> count(TimePoint now) noexcept
    {
        ++this->unreported;
        if (this->reportedAt && now - *this->reportedAt < LimitReports::interval)
            return std::nullopt;
        this->reportedAt = now;
        const std::uint64_t due = this->unreported;
        this->unreported = 0;
        return due;
    }

private:
    std::uint64_t unreported = 0;
    std::optional<TimePoint> reportedAt {};
};

}
