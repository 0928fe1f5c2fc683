#pragma once

/// @file
/// @brief Log events for calls to the store that fail in a series.

#include <cowslipdoor/core/EventCatalogue.h>
#include <cowslipdoor/core/Time.h>
#include <optional>
#include <string>

namespace cowslipdoor {

/// @brief Turns the results of calls to the store into one event at the start and one at the end of each series of failures.
/// @code
/// StoreContact contact("leader row");
/// const std::optional<RecordEvent> event = contact.failed("timed out", now);
/// @endcode
class StoreContact {
public:
    /// @param subject what the calls are about; begins the detail of each event
    explicit StoreContact(std::string subject);

    /// @brief Notes a call without a usable answer.
    /// @param reason why there was none
    /// @param now current time
    /// @return E603 for the first failure of a series, else std::nullopt
    [[nodiscard]] std::optional<RecordEvent> failed(const std::string& reason, TimePoint now);

    /// @brief Notes an answered call.
    /// @param now current time
    /// @return E604 with the length of the series and the last reason if calls have failed before, else std::nullopt
    [[nodiscard]] std::optional<RecordEvent> answered(TimePoint now);

private:
    std::string subject;
    std::size_t failures = 0;
    TimePoint failingSince {};
    std::string lastReason {};
};

}
