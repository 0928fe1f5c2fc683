#pragma once

/// @file
/// @brief Callers and the platform's balancer in front of the entries, with a record of every answer.

#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/runtime/Asio.h>
#include <cowslipdoor/runtime/HttpClient.h>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cowslipdoor::standins {

struct UpstreamCounts;

/// @brief One kind of request that is sent again and again.
struct LoadClass {
    std::string name;
    std::string path;
    bool keyed = false;
    /// Requests a second, each on a connection of its own.
    std::uint32_t perSecond = 0;
    std::uint32_t milliseconds = 0;
    std::size_t answerBytes = 0;
    Duration callTimeout = std::chrono::seconds(5);
    /// Callers that send one request after another on one connection, as long as it is open.
    std::uint32_t keepAliveConnections = 0;

    bool operator==(const LoadClass&) const = default;
};

/// @brief Settings of a load.
struct CallerLoadConfig {
    std::vector<std::string> entries;
    std::vector<std::string> entryAdmins;
    std::vector<LoadClass> classes;
    /// Tries of the balancer at most, each on another entry.
    std::uint32_t maximumAttempts = 3;
    std::uint64_t seed = 1;

    bool operator==(const CallerLoadConfig&) const = default;
};

/// @brief How one request ended for its caller.
struct CallRecord {
    std::string number;
    std::string className;
    bool keyed = false;
    bool answered = false;
    bool bodyMatches = false;
    /// How often it was sent until an answer came.
    std::uint32_t attempts = 0;
    std::uint16_t status = 0;
    std::string outcome;
    std::string error;
    /// Identifier that the answer names, and the begin of its body.
    std::string requestId;
    std::string begin;
    Duration latency {};

    bool operator==(const CallRecord&) const = default;
};

/// @brief What the counts of callers and upstreams say together.
struct LoadResult {
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    std::uint64_t overfilled = 0;
    std::vector<std::string> reasons;

    bool operator==(const LoadResult&) const = default;
};

/// @brief Sends requests at steady rates in a thread of its own.
/// @code
/// CallerLoad load(config);
/// load.start();
/// load.stop();
/// const LoadResult verdict = evaluate(load.records(), deployment.counts());
/// @endcode
class CallerLoad {
public:
    /// @param config settings
    explicit CallerLoad(CallerLoadConfig config);
    ~CallerLoad();

    CallerLoad(const CallerLoad&) = delete;
    CallerLoad& operator=(const CallerLoad&) = delete;

    /// @brief Starts sending.
    void start();

    /// @brief Stops sending and waits for every answer.
    void stop();

    /// @return how every request ended; call after stop()
    [[nodiscard]] const std::vector<CallRecord>& records() const noexcept { return this->finished; }

private:
    /// Connection that a caller keeps, if it is open, and the entry that it leads to.
    struct KeepAliveConnection {
        std::size_t entry = 0;
        std::unique_ptr<runtime::HttpConnection> connection;
    };

    runtime::asio::awaitable<void> sendClass(LoadClass loadClass);
    runtime::asio::awaitable<void> sendOnKeepAlive(LoadClass loadClass);
    runtime::asio::awaitable<void> sendOne(LoadClass loadClass, std::string number, KeepAliveConnection* keepAlive);
    runtime::asio::awaitable<Response> callOnce(runtime::HttpCall call, KeepAliveConnection* keepAlive);
    runtime::asio::awaitable<Response> callOnKeepAlive(KeepAliveConnection& keepAlive, runtime::HttpCall call);
    [[nodiscard]] std::string nextNumber(const LoadClass& loadClass);
    runtime::asio::awaitable<void> watchReadiness(std::size_t entry);
    [[nodiscard]] std::size_t pickEntry(std::size_t avoided);

    CallerLoadConfig config;
    runtime::asio::io_context context;
    std::thread thread;
    std::vector<bool> ready;
    std::vector<CallRecord> finished;
    std::size_t nextEntry = 0;
    std::size_t sent = 0;
    bool stopping = false;
};

/// @brief Compares what callers were told with what upstreams ran.
/// @param records ends of all requests
/// @param counts counts of all upstreams
/// @return requests lost, doubled and overfilled, with a reason for each
[[nodiscard]] LoadResult evaluate(const std::vector<CallRecord>& records, const UpstreamCounts& counts);

/// @brief Writes a table by class: sent, answered, not run, unknown, p50 and p99 of answers.
/// @param records ends of all requests
/// @return lines of text
[[nodiscard]] std::string summarize(const std::vector<CallRecord>& records);

}
