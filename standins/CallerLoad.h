#pragma once

/// @file
/// @brief Load generator: simulates callers and the platform's balancer in front of the entries and records every answer.

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

/// @brief One kind of request that a load repeats.
struct LoadClass {
    std::string name;
    std::string path;
    /// Whether requests carry an idempotency key.
    bool keyed = false;
    /// Requests per second, each on its own connection.
    std::uint32_t perSecond = 0;
    /// Time that the upstream takes for the request.
    std::uint32_t milliseconds = 0;
    std::size_t answerBytes = 0;
    /// Timeout of each attempt.
    Duration callTimeout = std::chrono::seconds(5);
    /// Number of further callers, each of which sends its requests one after another on one keep-alive connection.
    std::uint32_t keepAliveConnections = 0;

    bool operator==(const LoadClass&) const = default;
};

/// @brief Targets and request classes of a load.
struct CallerLoadConfig {
    std::vector<std::string> entries;
    std::vector<std::string> entryAdmins;
    std::vector<LoadClass> classes;
    /// Maximum number of attempts for each request; after a failed attempt the balancer picks another entry.
    std::uint32_t maximumAttempts = 3;
    std::uint64_t seed = 1;

    bool operator==(const CallerLoadConfig&) const = default;
};

/// @brief Result of one request as its caller saw it.
struct CallRecord {
    std::string number;
    std::string className;
    bool keyed = false;
    bool answered = false;
    /// Whether the body is complete and belongs to this request.
    bool bodyMatches = false;
    /// Number of attempts up to the one that was answered.
    std::uint32_t attempts = 0;
    std::uint16_t status = 0;
    std::string outcome;
    std::string error;
    /// Request identifier in the answer, and the first bytes of its body.
    std::string requestId;
    std::string bodyStart;
    Duration latency {};

    bool operator==(const CallRecord&) const = default;
};

/// @brief Violations found by comparing the records of callers with the counts of upstreams.
struct LoadResult {
    /// Requests without an answer, or with one that does not agree with what ran.
    std::uint64_t lost = 0;
    /// Keyed requests that ran more than once.
    std::uint64_t doubled = 0;
    /// Requests that exceeded the capacity of an upstream.
    std::uint64_t overfilled = 0;
    std::vector<std::string> reasons;

    bool operator==(const LoadResult&) const = default;
};

/// @brief Sends requests at constant rates from its own thread.
/// @code
/// CallerLoad load(config);
/// load.start();
/// load.stop();
/// const LoadResult result = evaluate(load.records(), deployment.counts());
/// @endcode
class CallerLoad {
public:
    /// @param config targets and request classes
    explicit CallerLoad(CallerLoadConfig config);
    ~CallerLoad();

    CallerLoad(const CallerLoad&) = delete;
    CallerLoad& operator=(const CallerLoad&) = delete;

    /// @brief Starts the thread that sends requests.
    void start();

    /// @brief Stops sending and waits until every request has been answered or has failed.
    void stop();

    /// @return results of all requests; valid only after stop()
    [[nodiscard]] const std::vector<CallRecord>& records() const noexcept { return this->finished; }

private:
    /// Keep-alive connection of one caller, null when none is open, and the entry that it leads to.
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

/// @brief Compares the answers that callers got with the requests that upstreams ran.
/// @param records results of all requests
/// @param counts counts of all upstreams
/// @return numbers of requests that were lost, ran more than once or exceeded a capacity, and a reason for each of the first two kinds
[[nodiscard]] LoadResult evaluate(const std::vector<CallRecord>& records, const UpstreamCounts& counts);

/// @brief Formats a table with one row for each class: sent, answered, not run, unknown, p50 and p99 latency of successful answers.
/// @param records results of all requests
/// @return the table as text
[[nodiscard]] std::string summarize(const std::vector<CallRecord>& records);

}
