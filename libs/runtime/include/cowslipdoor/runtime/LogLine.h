#pragma once

/// @file
/// @brief Parsing of log lines in either format.

#include <cowslipdoor/core/EventCatalogue.h>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipdoor::runtime {

/// @brief Log line of a process.
struct LogLine {
    /// UTC time, as text that sorts chronologically.
    std::string time;
    std::string process;
    EventId event {};
    std::string detail;

    bool operator==(const LogLine&) const = default;
};

/// @brief Parses a line that a Log wrote, as text or JSON.
/// @return the parts of the line, or nothing if it is from another program or has an unknown event number
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view text);

/// @brief Returns whether a line is about a request or job.
/// @param id identifier of a request or job; the identifiers of a job's tasks and runs contain that of the job
/// @return whether the detail contains the identifier, other than as part of a longer word
[[nodiscard]] bool isAbout(const LogLine& line, std::string_view id);

}
