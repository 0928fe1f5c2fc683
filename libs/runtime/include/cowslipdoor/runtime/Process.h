#pragma once

/// @file
/// @brief Functions that both programs use: common settings, incarnations, signals, waiting.

#include "Asio.h"
#include "HttpServer.h"
#include "Log.h"
#include "Settings.h"
#include <cowslipdoor/core/Ids.h>
#include <functional>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Exit code for invalid settings or operands.
constexpr int exitBadUsage = 2;

/// @brief Exit code for an aborted drain and for other failures.
constexpr int exitFailure = 1;

/// @brief Lists the settings that every long-running program has.
/// @return name, failure-domain, admin-listen, log-form, log-level, drain-limit
[[nodiscard]] std::vector<SettingSpec> commonSettings();

/// @brief Creates the log.
/// @param settings validated settings that include log-form and log-level
/// @param process name of the process
/// @return the log
[[nodiscard]] Log makeLog(const Settings& settings, const std::string& process);

/// @brief Creates the number of this incarnation of the process, greater than that of any earlier incarnation.
/// @return microseconds since 1970, on the wall clock
[[nodiscard]] Incarnation newIncarnation();

/// @brief Creates the number of this incarnation of an entry, which differs from those of other entries even if they start at the same instant.
/// @return microseconds since 1970, on the wall clock, followed by random bits
[[nodiscard]] Incarnation newEntryIncarnation();

/// @brief Reads the HTTP limits from the settings header-limit, body-limit, idle-limit and slow-limit.
/// @param settings validated settings
/// @return the limits
[[nodiscard]] HttpLimits httpLimits(const Settings& settings);

/// @brief Lists the settings that httpLimits() reads.
[[nodiscard]] std::vector<SettingSpec> httpSettings();

/// @brief Makes the setting of the memory for requests.
/// @param minimum smallest value in bytes; one request within the other limits must fit
/// @param bytes default in bytes
[[nodiscard]] SettingSpec receiveLimitSetting(std::uint64_t minimum, std::uint64_t bytes);

/// @brief Reads the memory for requests of a program that has the settings httpSettings().
/// @param settings validated settings
/// @return the memory in bytes
/// @throws Error with ErrorKind::BadSetting if the largest request does not fit
[[nodiscard]] std::size_t receiveLimit(const Settings& settings);

/// @brief Makes the setting of the number of links that have not sent their first message.
/// @param links default
[[nodiscard]] SettingSpec helloLimitSetting(std::uint64_t links);

/// @brief Logs each SIGHUP until the context stops, for programs whose settings are flags and cannot be reread.
/// @param log receives the event
[[nodiscard]] asio::awaitable<void> recordHangups(const Log& log);

/// @brief Waits for a duration.
[[nodiscard]] asio::awaitable<void> pauseFor(Duration duration);

/// @brief Waits until a condition holds; evaluates it every 10 ms.
/// @param limit longest wait
/// @return whether the condition held in time
[[nodiscard]] asio::awaitable<bool> waitUntil(std::function<bool()> condition, Duration limit);

/// @brief Concatenates two lists of settings.
[[nodiscard]] std::vector<SettingSpec> joinSettings(std::vector<SettingSpec> first, const std::vector<SettingSpec>& second);

/// @brief Runs the body of main() and turns exceptions into messages on standard error and exit codes.
/// @param program name that begins each message
/// @param body returns the exit code
/// @return the exit code
[[nodiscard]] int guardedMain(const std::string& program, const std::function<int()>& body);

}
