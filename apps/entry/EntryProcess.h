#pragma once

/// @file
/// @brief Wiring of the entry's tasks.

#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/CallerServer.h>
#include <cowslipdoor/runtime/EntryTask.h>
#include <cowslipdoor/runtime/LinkServer.h>
#include <cowslipdoor/runtime/PlannedStop.h>
#include <cowslipdoor/runtime/Settings.h>
#include <vector>

namespace cowslipdoor::entry {

/// @return every setting of `cowslipdoor entry`
[[nodiscard]] std::vector<runtime::SettingSpec> entrySettings();

/// @brief One run of the entry.
class EntryProcess {
public:
    /// @param settings checked settings
    /// @throws Error when the rules file has faults or an address cannot be listened on
    explicit EntryProcess(const runtime::Settings& settings);

    /// @brief Runs until a planned stop has finished.
    /// @return the exit code
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
    runtime::asio::io_context context;
    runtime::EntryTask task;
    runtime::CallerServer callers;
    runtime::LinkServer links;
    runtime::AdminServer admin;
    runtime::GracefulShutdown stop;
};

}
