#pragma once

/// @file
/// @brief Simulated upstream: announces itself to its agent, runs requests and counts them.

#include <cowslipdoor/core/Announcement.h>
#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/runtime/HttpServer.h>
#include <cowslipdoor/runtime/Listener.h>
#include <deque>
#include <map>
#include <string>

namespace cowslipdoor::standins {

/// @brief Settings of a stand-in upstream.
struct UpstreamStandinConfig {
    /// Address for requests.
    std::string listen;
    /// Admin address of the agent.
    std::string agent;
    std::string failureDomain;
    Capacity capacity;
    /// Whether announcements name finished non-idempotent requests.
    bool remembers = true;

    bool operator==(const UpstreamStandinConfig&) const = default;
};

/// @brief Upstream whose behaviour is set by the query parameters of each request.
///
/// `ms` is the processing time in milliseconds, `bytes` the minimum length of the body, `n` a request number that the body
/// repeats, and `fault` one of truncate, garbage, hang and close. GET /standin/stats returns the counts as JSON.
class UpstreamStandin {
public:
    /// @param executor executor of all tasks
    /// @param config settings
    /// @throws Error when the address cannot be bound
    UpstreamStandin(runtime::asio::any_io_executor executor, UpstreamStandinConfig config);

    /// @brief Starts to accept requests and to send announcements.
    void start();

    /// @brief Announces that the upstream is leaving, then waits up to 1 min until no request runs.
    [[nodiscard]] runtime::asio::awaitable<void> leave();

private:
    struct Run {
        std::uint32_t starts = 0;
        std::uint32_t finishes = 0;
    };

    runtime::asio::awaitable<void> serve(runtime::tcp::socket socket);
    runtime::asio::awaitable<bool> serveOne(runtime::beast::tcp_stream& stream, const runtime::HttpRequest& request);
    runtime::asio::awaitable<bool> work(runtime::beast::tcp_stream& stream, const runtime::HttpRequest& request);
    runtime::asio::awaitable<bool> injectFault(runtime::beast::tcp_stream& stream, const std::string& fault, Duration time);
    runtime::asio::awaitable<void> announceAll();
    runtime::asio::awaitable<void> announceOnce();
    [[nodiscard]] Announcement announcement();
    [[nodiscard]] bool fromForeignAgent(const runtime::HttpRequest& request) const;
    void begin(const RequestId& id, const Capacity& demand, const std::string& number);
    void end(const RequestId& id, const Capacity& demand, const std::string& number, bool idempotent);
    [[nodiscard]] std::string stats() const;

    runtime::asio::any_io_executor executor;
    UpstreamStandinConfig config;
    runtime::Listener listener;
    runtime::HttpLimits limits { .bodyBytes = 8 * 1024 * 1024 };
    std::uint64_t instance;
    std::uint64_t sequence = 0;
    AnnouncementToken echo;
    Duration interval = std::chrono::milliseconds(50);
    std::map<RequestId, Capacity> running;
    std::deque<RequestId> finishedKeyed;
    std::map<std::string, Run> runs;
    Capacity used;
    std::uint32_t peakSlots = 0;
    std::uint64_t overfilled = 0;
    std::uint64_t started = 0;
    bool leaving = false;
};

}
