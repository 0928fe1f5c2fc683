#pragma once

/// @file
/// @brief Keeps the agent's links to entries open.

#include "AgentTask.h"
#include "Asio.h"
#include "FramedStream.h"
#include "Log.h"
#include "Metrics.h"
#include <random>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Settings of links.
struct EntryDialerConfig {
    std::string agent;
    std::vector<std::string> entries;
    std::size_t maximumLinks = 0;
    Duration silenceLimit {};

    bool operator==(const EntryDialerConfig&) const = default;
};

/// @brief Links to a bounded set of entries; each link is a task that owns its socket and reconnects.
/// @code
/// EntryDialer linker(executor, config, agentTask.inbox(), log, metrics);
/// linker.start();
/// @endcode
class EntryDialer {
public:
    /// @param executor executor of the tasks
    /// @param config settings
    /// @param agent inbox of the agent's task
    /// @param log where events go
    /// @param metrics where counts go
    EntryDialer(asio::any_io_executor executor, EntryDialerConfig config, Mailbox<AgentInput> agent, const Log& log, Metrics& metrics);

    /// @brief Starts the links; the linker must outlive the executor's run.
    void start();

    /// @brief Opens no further links.
    void stop() noexcept { this->stopping = true; }

    /// @return the number of open links
    [[nodiscard]] std::size_t openLinks() const noexcept { return this->open; }

private:
    asio::awaitable<void> keepLinked(std::string address);
    asio::awaitable<void> linkOnce(std::string address);
    [[nodiscard]] Duration reconnectDelay(std::uint32_t failures);

    asio::any_io_executor executor;
    EntryDialerConfig config;
    Mailbox<AgentInput> agent;
    const Log& log;
    Metrics& metrics;
    std::mt19937_64 random;
    std::uint64_t lastLink = 0;
    std::size_t open = 0;
    bool stopping = false;
};

}
