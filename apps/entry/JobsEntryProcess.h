#pragma once

/// @file
/// @brief The entry process for jobs.

#include <cowslipdoor/platform/CallerAdapter.h>
#include <cowslipdoor/platform/ConfigurationAdapter.h>
#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/GracefulShutdown.h>
#include <cowslipdoor/runtime/JobIntake.h>
#include <cowslipdoor/runtime/SchedulerTask.h>
#include <cowslipdoor/runtime/Settings.h>
#include <vector>

namespace cowslipdoor::entry {

/// @return all settings of `cowslipdoor jobs entry`
[[nodiscard]] std::vector<runtime::SettingSpec> jobsEntrySettings();

/// @brief Owns the tasks of an entry that accepts jobs and may lead their scheduling, connects their inboxes and provides
/// the readiness probe and the admin endpoints.
class JobsEntryProcess {
public:
    /// @param settings validated values of jobsEntrySettings()
    /// @throws Error when a listen address cannot be bound
    explicit JobsEntryProcess(const runtime::Settings& settings);

    /// @brief Starts all tasks and runs the event loop until a graceful shutdown or a failed task ends it.
    /// @return process exit code: 0 after a complete drain, 1 when the drain was aborted or a task failed
    [[nodiscard]] int run();

private:
    [[nodiscard]] runtime::StorePort operatorStore();
    [[nodiscard]] platform::ConfigurationHandlers configurationHandlers();
    runtime::asio::awaitable<void> postEvacuations(EvacuationsFollowed followed);
    void addAdminHandlers();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool storeReachable() const;
    void onStoreContact(bool answered);
    runtime::asio::awaitable<bool> drain();
    runtime::asio::awaitable<std::string> describeInFlight();
    runtime::asio::awaitable<runtime::SchedulerStatus> status();
    runtime::asio::awaitable<runtime::JobList> jobs();
    runtime::asio::awaitable<std::vector<BurnSeries>> burn();
    /// Answers where the tasks of a job would go now. The body states the queue and the job's own body as texts.
    runtime::asio::awaitable<Response> explain(const runtime::HttpRequest& request);
    [[nodiscard]] JobSpecHandle jobToExplain(std::string_view body) const;

    runtime::Settings settings;
    std::string name;
    runtime::Log log;
    runtime::Metrics metrics;
    /// Declared before the context, whose destructor ends the connections.
    runtime::ClientLimiter limiter;
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
