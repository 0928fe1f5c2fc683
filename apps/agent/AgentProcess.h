#pragma once

/// @file
/// @brief Wiring of the agent's tasks.

#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/AgentTask.h>
#include <cowslipdoor/runtime/EntryLinker.h>
#include <cowslipdoor/runtime/PlannedStop.h>
#include <cowslipdoor/runtime/Settings.h>

namespace cowslipdoor::agent {

/// @brief One run of the agent.
class AgentProcess {
public:
    /// @param settings checked settings
    /// @throws Error when an address cannot be listened on
    explicit AgentProcess(const runtime::Settings& settings);

    /// @brief Runs until a planned stop has finished.
    /// @return the exit code
    [[nodiscard]] int run();

private:
    void addAdminHandlers();
    runtime::asio::awaitable<bool> drain();
    runtime::asio::awaitable<std::string> describeInFlight();
    runtime::asio::awaitable<Response> announce(const runtime::HttpRequest& request);
    runtime::asio::awaitable<runtime::AgentStatus> status();

    runtime::Settings settings;
    std::string name;
    runtime::Log log;
    runtime::Metrics metrics;
    runtime::asio::io_context context;
    Incarnation incarnation;
    runtime::AgentTask task;
    runtime::EntryDialer entryDialer;
    runtime::AdminServer admin;
    runtime::GracefulShutdown stop;
};

}
