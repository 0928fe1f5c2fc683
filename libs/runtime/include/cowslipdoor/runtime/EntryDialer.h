#pragma once

/// @file
/// @brief The agent's links to entries.

#include "AgentTask.h"
#include "Asio.h"
#include "FramedStream.h"
#include "Log.h"
#include "Metrics.h"
#include <random>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Settings of the links.
struct EntryDialerConfig {
    std::string agent;
    std::vector<std::string> entries;
    std::size_t maximumLinks = 0;
    Duration silenceLimit {};

    bool operator==(const EntryDialerConfig&) const = default;
};

/// @brief Keeps links to a bounded set of entries open; each link is a task that owns its socket and reconnects.
/// @code
/// EntryDialer dialer(executor, config, agentTask.inbox(), log, metrics);
/// dialer.start();
/// @endcode
class EntryDialer {
public:
    /// @param executor runs the tasks
    /// @param agent mailbox of the agent's task
    /// @param log receives the events
    /// @param metrics receives the counts
    EntryDialer(asio::any_io_executor executor, EntryDialerConfig config, Mailbox<AgentInput> agent, const Log& log, Metrics& metrics);

    /// @brief Starts the links; this object must outlive the run of the executor.
    void start();

    /// @brief Stops opening links; open ones stay, and a connection whose welcome arrives later is closed.
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
