#pragma once

/// @file
/// @brief Wiring of an entry that takes in jobs and may lead their scheduling.

#include <cowslipdoor/platform/CallerAdapter.h>
#include <cowslipdoor/platform/ConfigurationAdapter.h>
#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/JobIntake.h>
#include <cowslipdoor/runtime/PlannedStop.h>
#include <cowslipdoor/runtime/SchedulerTask.h>
#include <cowslipdoor/runtime/Settings.h>
#include <vector>

namespace cowslipdoor::entry {

/// @return every setting of `cowslipdoor jobs entry`
[[nodiscard]] std::vector<runtime::SettingSpec> jobsEntrySettings();

/// @brief One run of the entry for jobs.
class JobsEntryProcess {
public:
    /// @param settings checked settings
    /// @throws Error when an address cannot be listened on, or the times do not fit together
    explicit JobsEntryProcess(const runtime::Settings& settings);

    /// @brief Runs until a planned stop has finished.
    /// @return the exit code
    [[nodiscard]] int run();

private:
    void addAdminHandlers();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool storeReachable() const;
    void onStoreContact(bool answered);
    runtime::asio::awaitable<bool> drain();
    runtime::asio::awaitable<std::string> describeInFlight();
    runtime::asio::awaitable<runtime::SchedulerStatus> status();
    runtime::asio::awaitable<runtime::JobList> jobs();
    runtime::asio::awaitable<std::vector<BurnSeries>> burn();

    runtime::Settings settings;
    std::string name;
    runtime::Log log;
    runtime::Metrics metrics;
    runtime::asio::io_context context;
    runtime::StorePort store;
    runtime::JobIntake intake;
    platform::CallerAdapter callers;
    platform::ConfigurationFeed configuration;
    runtime::SchedulerTask scheduler;
    runtime::AdminServer readiness;
    runtime::AdminServer admin;
    runtime::GracefulShutdown stop;
    TimePoint storeAnsweredAt {};
    bool storeAnswered = false;
    bool stopping = false;
};

}
