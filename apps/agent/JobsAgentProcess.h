#pragma once

/// @file
/// @brief The agent process for jobs.

#include <cowslipdoor/platform/WorkerAdapter.h>
#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/GracefulShutdown.h>
#include <cowslipdoor/runtime/Settings.h>
#include <cowslipdoor/runtime/WorkerTask.h>
#include <vector>

namespace cowslipdoor::agent {

/// @return all settings of `cowslipdoor-agent jobs`
[[nodiscard]] std::vector<runtime::SettingSpec> jobsAgentSettings();

/// @brief Owns the tasks of an agent that runs jobs on its worker, connects their inboxes and provides the admin endpoints.
class JobsAgentProcess {
public:
    /// @param settings validated values of jobsAgentSettings()
    /// @throws Error when a listen address cannot be bound, or `lease-limit` is shorter than a lease that covers a restart of the agent
    explicit JobsAgentProcess(const runtime::Settings& settings);

    /// @brief Starts all tasks and runs the event loop until a graceful shutdown or a failed task ends it.
    /// @return process exit code: 0 after a graceful shutdown, 1 when a task failed
    [[nodiscard]] int run();

private:
    void addAdminHandlers();
    runtime::asio::awaitable<runtime::WorkerTaskStatus> status();

    runtime::Settings settings;
    std::string name;
    runtime::Log log;
    runtime::Metrics metrics;
    /// Declared before the context, whose destructor ends the connections.
    runtime::ClientLimiter limiter;
    runtime::asio::io_context context;
    runtime::StorePort store;
    runtime::WorkerTask task;
    runtime::LeaderLinkServer leaders;
    platform::RegistryServer registry;
    runtime::AdminServer admin;
    runtime::GracefulShutdown stop;
};

}
