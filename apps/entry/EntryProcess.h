#pragma once

/// @file
/// @brief The entry process for requests.

#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/CallerServer.h>
#include <cowslipdoor/runtime/EntryTask.h>
#include <cowslipdoor/runtime/GracefulShutdown.h>
#include <cowslipdoor/runtime/LinkServer.h>
#include <cowslipdoor/runtime/Settings.h>
#include <vector>

namespace cowslipdoor::entry {

/// @return all settings of `cowslipdoor entry`
[[nodiscard]] std::vector<runtime::SettingSpec> entrySettings();

/// @brief Owns the tasks of an entry that serves requests, connects their inboxes and provides the admin endpoints.
class EntryProcess {
public:
    /// @param settings validated values of entrySettings()
    /// @throws Error when the rules file is invalid or a listen address cannot be bound
    explicit EntryProcess(const runtime::Settings& settings);

    /// @brief Starts all tasks and runs the event loop until a graceful shutdown or a failed task ends it.
    /// @return process exit code: 0 after a complete drain, 1 when the drain was aborted or a task failed
    [[nodiscard]] int run();

private:
    void addAdminHandlers();
    runtime::asio::awaitable<void> loadRules();
    runtime::asio::awaitable<void> reloadOnHangup();
    runtime::asio::awaitable<bool> drain();
    runtime::asio::awaitable<std::string> describeInFlight();
    runtime::asio::awaitable<runtime::EntryStatus> status();
    runtime::asio::awaitable<std::vector<BurnSeries>> burn();

    runtime::Settings settings;
    std::string name;
    RuleSet firstRules;
    runtime::Log log;
    runtime::Metrics metrics;
    /// Declared before the context, whose destructor ends the connections.
    runtime::ClientLimiter limiter;
    runtime::asio::io_context context;
    runtime::EntryTask task;
    runtime::CallerServer callers;
    runtime::LinkServer links;
    runtime::AdminServer admin;
    runtime::GracefulShutdown stop;
};

}
