#pragma once

/// @file
/// @brief Lines of the log, read back in either form.

#include <cowslipdoor/core/EventCatalogue.h>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipdoor::runtime {

/// @brief One line that a process has logged.
struct LogLine {
    /// Time of day in UTC, as text that sorts by time.
    std::string time;
    std::string process;
    EventId event {};
    std::string detail;

    bool operator==(const LogLine&) const = default;
};

/// @brief Reads a line that a Log wrote, in the text or the JSON form.
/// @param text the line
/// @return the line's parts, or nothing when it is of another program or names no known event
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view text);

/// @brief Tells whether a line is about a request or job.
/// @param line the line
/// @param id identifier of a request, or of a job, whose runs and tasks belong to it
/// @return whether the detail names the identifier, not only a longer one
[[nodiscard]] bool isAbout(const LogLine& line, std::string_view id);

}
