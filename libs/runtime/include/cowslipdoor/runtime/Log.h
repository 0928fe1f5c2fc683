#pragma once

/// @file
/// @brief Structured log of numbered events.

#include <cowslipdoor/core/EventCatalogue.h>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
namespace details {
    class thread_pool;
}
}

namespace cowslipdoor::runtime {

/// @brief Format of the log lines.
enum class LogForm : unsigned char {
    Text,
    Json,
};

/// @brief Writes numbered events to standard output on a separate thread.
///
/// Lines wait in a bounded queue. If standard output is read too slowly, the oldest lines are dropped, so that record()
/// never blocks.
/// @code
/// Log log("entry-1", LogForm::Text, EventLevel::Info);
/// log.record(EventId::ProcessStarted, "listening on 127.0.0.1:8080");
/// @endcode
class Log {
public:
    /// @param process name of the process, written on each line
    /// @param form format of the lines
    /// @param minimumLevel lowest level that is written
    Log(std::string process, LogForm form, EventLevel minimumLevel);

    /// @brief Writes one event, unless its level is too low.
    /// @param detail text that follows the event's name
    void record(EventId event, std::string_view detail) const;

private:
    std::string process;
    LogForm form;
    EventLevel minimumLevel;
    /// Declared before the logger in order to outlive it; its destructor writes the queued lines.
    std::shared_ptr<spdlog::details::thread_pool> writer;
    std::shared_ptr<spdlog::logger> logger;
};

/// @brief Parses the name of a level.
/// @param text "debug", "info", "warning" or "error"
/// @return the level
/// @throws Error with ErrorKind::BadSetting if the text is none of these
[[nodiscard]] EventLevel eventLevelFromString(std::string_view text);

}
