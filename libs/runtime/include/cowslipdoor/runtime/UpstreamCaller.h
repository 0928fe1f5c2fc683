#pragma once

/// @file
/// @brief HTTP calls of the agent to its upstream.

#include "HttpConnection.h"
#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/core/AgentMachine.h>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Settings of calls to the upstream.
struct UpstreamCallerConfig {
    Incarnation incarnation {};
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Duration connectTimeout = std::chrono::milliseconds(500);
    std::size_t idleConnections = 16;

    bool operator==(const UpstreamCallerConfig&) const = default;
};

/// @brief Receives the result of a call.
using CallEndHandler = std::function<asio::awaitable<void>(UpstreamCallEnded)>;

/// @brief Runs each call as a task that owns its connection. Idle connections are reused for idempotent calls only.
/// @code
/// UpstreamCaller caller(executor, config, onEnd);
/// caller.start(callUpstream);
/// @endcode
class UpstreamCaller {
public:
    /// @param executor runs the tasks
    /// @param onEnd called when a call ends, also after an unexpected error
    /// @param log receives unexpected errors
    /// @param metrics counts unexpected errors
    UpstreamCaller(asio::any_io_executor executor, UpstreamCallerConfig config, CallEndHandler onEnd, const Log& log, Metrics& metrics);

    /// @brief Starts a call.
    void start(const CallUpstream& call);

    /// @brief Closes the connection of a call, if the call has not ended.
    void abandon(const AbandonCall& call);

private:
    using ConnectionHandle = std::shared_ptr<HttpConnection>;
    using CallKey = std::pair<RequestId, AttemptId>;

    struct CallResult {
        Completion completion;
        bool reusable = false;
        /// Whether a reused connection ended before any byte of an answer.
        bool staleConnection = false;
    };

    asio::awaitable<void> run(CallUpstream call);
    asio::awaitable<CallResult> callOnce(const CallUpstream& call, bool reuse);
    asio::awaitable<std::optional<FailureReason>> connectTo(HttpConnection& connection, const std::string& address);
    /// Ends a call with ErrorKind::Internal after an unexpected error, which is logged.
    asio::awaitable<CallResult> exchangeGuarded(HttpConnection& connection, const CallUpstream& call, bool reused);
    asio::awaitable<CallResult> exchange(HttpConnection& connection, const CallUpstream& call, bool reused);
    [[nodiscard]] http::request<http::string_body> makeRequest(const CallUpstream& call) const;
    [[nodiscard]] ConnectionHandle takeIdle(const std::string& address);

    asio::any_io_executor executor;
    UpstreamCallerConfig config;
    CallEndHandler onEnd;
    const Log& log;
    Metrics& metrics;
    std::string idleAddress;
    std::vector<ConnectionHandle> idle;
    std::map<CallKey, ConnectionHandle> active;
};

}
