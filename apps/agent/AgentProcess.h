#pragma once

/// @file
/// @brief The agent process for requests.

#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/AgentTask.h>
#include <cowslipdoor/runtime/EntryDialer.h>
#include <cowslipdoor/runtime/GracefulShutdown.h>
#include <cowslipdoor/runtime/Settings.h>

namespace cowslipdoor::agent {

/// @brief Owns the tasks of an agent that serves requests, connects their inboxes and provides the admin endpoints.
class AgentProcess {
public:
    /// @param settings validated values of agentSettings()
    /// @throws Error when a listen address cannot be bound
    explicit AgentProcess(const runtime::Settings& settings);

    /// @brief Starts all tasks and runs the event loop until a graceful shutdown or a failed task ends it.
    /// @return process exit code: 0 after a complete drain, 1 when the drain was aborted or a task failed
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
    /// Declared before the context, whose destructor ends the connections.
    runtime::ClientLimiter limiter;
    runtime::asio::io_context context;
    Incarnation incarnation;
    runtime::AgentTask task;
    runtime::EntryDialer entryDialer;
    runtime::AdminServer admin;
    runtime::GracefulShutdown stop;
};

}
