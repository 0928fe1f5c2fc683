#pragma once

/// @file
/// @brief Failure domains that the operator evacuates, as known to an entry.

#include <cowslipdoor/core/Time.h>
#include <optional>
#include <set>
#include <string>

namespace cowslipdoor {

/// @brief Settings of evacuations.
struct EvacuationConfig {
    /// Time after the store's answer to the operator from which no task may start in an evacuated failure domain; zero if the
    /// deployment has no such bound.
    Duration limit {};
    /// Part of the limit that a start may take after its decision: 1.5 s for which an agent accepts orders, 0.5 s to store and
    /// send an order, and 1 s for its execution.
    Duration startTime = std::chrono::milliseconds(3000);

    bool operator==(const EvacuationConfig&) const = default;

    /// @return the age of the knowledge up to which tasks may be placed and ordered, or std::nullopt if any age will do
    [[nodiscard]] std::optional<Duration> maximumAge() const noexcept
    {
        return this->limit > Duration {} ? std::optional<Duration>(this->limit - this->startTime) : std::nullopt;
    }
};

/// @brief The evacuated failure domains, and the time as of which the set is complete.
struct Evacuations {
    std::set<std::string> failureDomains {};
    /// Time by the clock of the entry; std::nullopt until the set has been read.
    std::optional<TimePoint> asOf {};

    bool operator==(const Evacuations&) const = default;

    /// @brief Tells whether nothing may start in a failure domain.
    ///
    /// An unknown failure domain may be one that is evacuated, so nothing starts there while any is.
    /// @param failureDomain name of the failure domain, or empty if it is unknown
    [[nodiscard]] bool cover(const std::string& failureDomain) const
    {
        return failureDomain.empty() ? !this->failureDomains.empty() : this->failureDomains.contains(failureDomain);
    }

    /// @param now current time
    /// @return how long ago the set was certainly complete, or std::nullopt until it has been read
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const noexcept { return this->asOf ? std::optional<Duration>(now - *this->asOf) : std::nullopt; }

    /// @param config settings
    /// @param now current time
    /// @return whether the set is recent enough to place and order tasks
    [[nodiscard]] bool isCurrent(const EvacuationConfig& config, TimePoint now) const noexcept
    {
        const std::optional<Duration> maximumAge = config.maximumAge();
        return !maximumAge || (this->asOf && now <= *this->asOf + *maximumAge);
    }
};

}
