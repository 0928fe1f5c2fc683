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

/// @brief Form of the log's lines.
enum class LogForm : unsigned char {
    Text,
    Json,
};

/// @brief Writes numbered events to standard output, on a thread of its own.
///
/// Lines wait in a bounded queue; when the reader of standard output is slower, the oldest lines are dropped and whoever
/// records an event never waits.
/// @code
/// Log log("entry-1", LogForm::Text, EventLevel::Info);
/// log.record(EventId::ProcessStarted, "listening on 127.0.0.1:8080");
/// @endcode
class Log {
public:
    /// @param process name of the process, on each line
    /// @param form form of the lines
    /// @param minimumLevel events below this level are left out
    Log(std::string process, LogForm form, EventLevel minimumLevel);

    /// @brief Writes one event.
    /// @param event its number
    /// @param detail what it is about
    void record(EventId event, std::string_view detail) const;

private:
    std::string process;
    LogForm form;
    EventLevel minimumLevel;
    /// Outlives the logger, and writes what waits before it ends.
    std::shared_ptr<spdlog::details::thread_pool> writer;
    std::shared_ptr<spdlog::logger> logger;
};

/// @param text "debug", "info", "warning" or "error"
/// @return the level
[[nodiscard]] EventLevel eventLevelFromString(std::string_view text);

}
