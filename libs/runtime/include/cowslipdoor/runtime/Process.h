#pragma once

/// @file
/// @brief What both programs do alike: common settings, names, incarnations, waiting.

#include "Asio.h"
#include "HttpServer.h"
#include "Log.h"
#include "Settings.h"
#include <cowslipdoor/core/Ids.h>
#include <functional>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Exit code for bad settings or operands.
constexpr int exitBadUsage = 2;

/// @brief Exit code for a stop that cut something off, and for other failures.
constexpr int exitFailure = 1;

/// @return the settings that every long-running program has: name, failure-domain, admin-listen, log-form, log-level, drain-limit
[[nodiscard]] std::vector<SettingSpec> commonSettings();

/// @brief Makes the log that the settings ask for.
/// @param settings checked settings with log-form and log-level
/// @param process name of the process
/// @return the log
[[nodiscard]] Log makeLog(const Settings& settings, const std::string& process);

/// @brief Makes a number for this run of the process that is greater than that of an earlier run.
/// @return microseconds of the wall clock
[[nodiscard]] Incarnation newIncarnation();

/// @brief Makes a number for this run of an entry that no other entry has, started in the same instant or not.
/// @return microseconds of the wall clock, then random bits
[[nodiscard]] Incarnation newEntryIncarnation();

/// @brief Makes HTTP limits from the settings header-limit, body-limit and idle-limit.
/// @param settings checked settings
/// @return the limits
[[nodiscard]] HttpLimits httpLimits(const Settings& settings);

/// @return the settings that httpLimits() reads
[[nodiscard]] std::vector<SettingSpec> httpSettings();

/// @brief Records each SIGHUP, until the context stops; for programs whose settings are flags.
/// @param log where it is told
[[nodiscard]] asio::awaitable<void> recordHangups(const Log& log);

/// @brief Waits.
/// @param duration how long
[[nodiscard]] asio::awaitable<void> pauseFor(Duration duration);

/// @brief Waits until a condition holds, looking every few milliseconds.
/// @param condition the condition
/// @param limit longest wait
/// @return whether it holds
[[nodiscard]] asio::awaitable<bool> waitUntil(std::function<bool()> condition, Duration limit);

/// @brief Puts lists of settings together.
/// @param first one list
/// @param second the other
/// @return all of them
[[nodiscard]] std::vector<SettingSpec> joinSettings(std::vector<SettingSpec> first, const std::vector<SettingSpec>& second);

/// @brief Runs the body of main() and turns errors into exit codes and messages.
/// @param program name to show
/// @param body what main does
/// @return the exit code
[[nodiscard]] int guardedMain(const std::string& program, const std::function<int()>& body);

}
