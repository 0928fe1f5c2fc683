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
    /// Delay before an agent is dialled again.
    Duration redialDelay = std::chrono::milliseconds(200);
    /// A link that ends sooner counts as refused: an agent closes the link of an earlier leader as soon as it learns the leader's epoch.
    Duration shortestLink = std::chrono::milliseconds(1000);
    /// Upper bound of the delay, which doubles with each refusal in a row. It limits the log to one line per second and agent.
    Duration longestRedialDelay = std::chrono::milliseconds(1000);
    /// Longest time to connect. A VM without power does not reply at all.
    Duration connectTimeout = std::chrono::milliseconds(700);
    /// Silence that closes a link; agents send a Ping every 400 ms to request a renewal grant.
    Duration silenceLimit = std::chrono::milliseconds(1300);

    bool operator==(const AgentDialerConfig&) const = default;
};

/// @brief Receives the events of links.
using SchedulerEventSink = std::function<asio::awaitable<void>(SchedulerEvent)>;

/// @brief Keeps one link to each agent open; each link is a task that owns its socket.
/// @code
/// AgentDialer dialer(executor, AgentDialerConfig {}, sink, log, metrics);
/// dialer.keepLinked("agent-1", "10.0.0.9:7720");
/// @endcode
class AgentDialer {
public:
    /// @param executor runs the tasks
    /// @param sink receives an event for each link opened or closed and each message
    /// @param log receives the events
    /// @param metrics receives the counts
    AgentDialer(asio::any_io_executor executor, AgentDialerConfig config, SchedulerEventSink sink, const Log& log, Metrics& metrics);

    /// @brief Keeps a link to an agent open. A new address replaces the old one; a malformed address is logged and ignored.
    /// @param agent name of the agent
    /// @param address IP address and port at which it accepts links of leaders
    void keepLinked(const std::string& agent, const std::string& address);

    /// @brief Queues a message for an agent. The message is lost if the link is closed; the sink is notified of the closed link.
    void send(LinkId link, const JobMessage& message);

    /// @brief Closes all links and stops dialling until the next keepLinked().
    void closeAll();

private:
    /// Address of an agent, and number of the task that dials it. A task that was replaced may still wait for its next attempt.
    struct DialTarget {
        std::string address;
        tcp::endpoint endpoint {};
        std::uint64_t task = 0;
    };

    struct OpenLink {
        std::string agent;
        std::shared_ptr<JobStream> stream;
    };

    [[nodiscard]] std::optional<tcp::endpoint> readAddress(const std::string& agent, const std::string& address);
    asio::awaitable<void> maintainLink(std::string agent, DialTarget target);
    /// Returns whether a link was opened and then refused.
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
    std::map<LinkId, OpenLink> links;
    std::uint64_t lastLink = 0;
};

}
