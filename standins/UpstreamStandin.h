#pragma once

/// @file
/// @brief Stand-in for a users' upstream: announces itself, runs requests, and counts what it ran.

#include <cowslipdoor/core/Announcement.h>
#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/runtime/HttpServer.h>
#include <cowslipdoor/runtime/Listener.h>
#include <deque>
#include <map>
#include <string>

namespace cowslipdoor::standins {

/// @brief Settings of a stand-in.
struct UpstreamStandinConfig {
    std::string listen;
    std::string agent;
    std::string failureDomain;
    Capacity capacity;
    bool remembers = true;

    bool operator==(const UpstreamStandinConfig&) const = default;
};

/// @brief Upstream that takes its orders from the request's query.
///
/// `ms` is the time that the request takes, `bytes` the length of the answer, `n` a number that the answer
/// repeats, `fault` one of truncate, garbage, hang or close. GET /standin/stats gives the counts as JSON.
class UpstreamStandin {
public:
    /// @param executor executor of the tasks
    /// @param config settings
    UpstreamStandin(runtime::asio::any_io_executor executor, UpstreamStandinConfig config);

    /// @brief Starts taking requests and announcing.
    void start();

    /// @brief Announces that the upstream is leaving, and waits until nothing runs.
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
