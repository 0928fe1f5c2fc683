#pragma once

/// @file
/// @brief The leader's links to agents.

#include "Asio.h"
#include "FramedStream.h"
#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/scheduling/Scheduler.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Settings of the links.
struct AgentDialerConfig {
    /// Pause before an agent is dialled again.
    Duration redialDelay = std::chrono::milliseconds(200);
    /// A link that ends sooner was refused: an agent refuses a leader of the past as soon as it has said its epoch.
    Duration shortestLink = std::chrono::milliseconds(1000);
    /// Longest pause after refusals in a row, each of which doubles it; one line a second of each agent is enough.
    Duration longestRedialDelay = std::chrono::milliseconds(1000);
    /// Longest time to connect. A machine without power gives no answer at all.
    Duration connectTimeout = std::chrono::milliseconds(700);
    /// Silence that closes a link; agents ask for a word every 400 ms.
    Duration silenceLimit = std::chrono::milliseconds(1300);

    bool operator==(const AgentDialerConfig&) const = default;
};

/// @brief Takes an event of a link.
using SchedulerEventSink = std::function<asio::awaitable<void>(SchedulerEvent)>;

/// @brief Keeps one link to each agent; each link is a task that owns its socket.
/// @code
/// AgentDialer dialer(executor, AgentDialerConfig {}, sink, log, metrics);
/// dialer.keepLinked("agent-1", "10.0.0.9:7720");
/// @endcode
class AgentDialer {
public:
    /// @param executor executor of the tasks
    /// @param config settings
    /// @param sink told of each link and message
    /// @param log where events go
    /// @param metrics where counts go
    AgentDialer(asio::any_io_executor executor, AgentDialerConfig config, SchedulerEventSink sink, const Log& log, Metrics& metrics);

    /// @brief Keeps a link to an agent; a new address replaces the old one, one that cannot be read is told and passed over.
    /// @param agent name of the agent
    /// @param address where it takes links
    void keepLinked(const std::string& agent, const std::string& address);

    /// @brief Sends a message; a link that is gone loses it, and the loss of the link is told.
    /// @param link the link
    /// @param message the message
    void send(LinkId link, const JobMessage& message);

    /// @brief Closes all links and dials no more.
    void closeAll();

private:
    /// Where an agent is dialled, and by which task: one that was told to end may still be waiting.
    struct DialTarget {
        std::string address;
        tcp::endpoint endpoint {};
        std::uint64_t task = 0;
    };

    [[nodiscard]] std::optional<tcp::endpoint> readAddress(const std::string& agent, const std::string& address);
    asio::awaitable<void> maintainLink(std::string agent, DialTarget target);
    /// Gives whether a link came about and was refused.
    asio::awaitable<bool> linkOnce(std::string agent, DialTarget target);
    asio::awaitable<void> relayAll(std::string agent, LinkId link, std::shared_ptr<JobStream> stream);
    [[nodiscard]] bool isCurrent(const std::string& agent, std::uint64_t task) const;

    asio::any_io_executor executor;
    AgentDialerConfig config;
    SchedulerEventSink sink;
    const Log& log;
    Metrics& metrics;
    std::map<std::string, DialTarget> agents;
    std::uint64_t lastTask = 0;
    std::map<LinkId, std::shared_ptr<JobStream>> links;
    std::uint64_t lastLink = 0;
};

}
