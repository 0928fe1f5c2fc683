#pragma once

/// @file
/// @brief Wiring of an agent that runs jobs on its worker.

#include <cowslipdoor/platform/WorkerAdapter.h>
#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/PlannedStop.h>
#include <cowslipdoor/runtime/Settings.h>
#include <cowslipdoor/runtime/WorkerTask.h>
#include <vector>

namespace cowslipdoor::agent {

/// @return every setting of `cowslipdoor-agent jobs`
[[nodiscard]] std::vector<runtime::SettingSpec> jobsAgentSettings();

/// @brief One run of the agent for jobs.
class JobsAgentProcess {
public:
    /// @param settings checked settings
    /// @throws Error when an address cannot be listened on, or the times do not fit together
    explicit JobsAgentProcess(const runtime::Settings& settings);

    /// @brief Runs until a planned stop.
    /// @return the exit code
    [[nodiscard]] int run();

private:
    void addAdminHandlers();
    runtime::asio::awaitable<runtime::WorkerTaskStatus> status();

    runtime::Settings settings;
    std::string name;
    runtime::Log log;
    runtime::Metrics metrics;
    runtime::asio::io_context context;
    runtime::StorePort store;
    runtime::WorkerTask task;
    runtime::LeaderLinkServer leaders;
    platform::RegistryServer registry;
    runtime::AdminServer admin;
    runtime::GracefulShutdown stop;
};

}
