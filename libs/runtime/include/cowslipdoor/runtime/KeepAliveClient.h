#pragma once

/// @file
/// @brief HTTP client for one peer, with connections that are kept open.

#include "HttpConnection.h"
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/core/Time.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief One request to a peer.
struct PeerCall {
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers {};
    std::string body {};
    /// Longest silence of the peer, from the sending of the request on.
    Duration timeout = std::chrono::seconds(1);
    /// Longest time for the whole answer; if not set, the timeout.
    std::optional<Duration> totalTimeout {};

    bool operator==(const PeerCall&) const = default;
};

/// @brief Complete answer of a peer.
struct PeerAnswer {
    unsigned status = 0;
    std::string body {};

    bool operator==(const PeerAnswer&) const = default;
};

/// @brief Why there is no complete answer.
struct PeerFailure {
    /// Whether the peer may have read the request.
    bool sent = false;
    std::string reason {};

    bool operator==(const PeerFailure&) const = default;
};

/// @brief Receives the status of an answer and the next bytes of its body, which are not empty; none of them are kept.
using BodySink = std::function<void(unsigned, std::string_view)>;

/// @brief Result of a call.
using PeerResult = std::variant<PeerAnswer, PeerFailure>;

/// @brief Calls one peer. A connection carries one call at a time and is reused for later calls.
///
/// Connections often break together, and a silent one is recognised only by a call that fails. A call that fails on an open
/// connection therefore closes all idle ones; a connection whose call is answered later is kept again.
/// @code
/// KeepAliveClient client(executor, "10.0.0.7:8169");
/// const PeerCall call { .method = "GET", .target = "/health" };
/// const PeerResult result = co_await client.call(call);
/// @endcode
class KeepAliveClient {
public:
    /// @param executor runs the calls
    /// @param address IP address and port of the peer
    KeepAliveClient(asio::any_io_executor executor, std::string address);

    /// @brief Sends a request and waits for the answer.
    /// @return the answer, or why there is none
    [[nodiscard]] asio::awaitable<PeerResult> call(PeerCall call);

    /// @brief Sends a request and passes the body of the answer on while it arrives.
    /// @param sink receives the body, also that of an answer that is not completed in the end
    /// @return the answer without its body, or why there is no complete one
    [[nodiscard]] asio::awaitable<PeerResult> stream(PeerCall call, BodySink sink);

private:
    using ConnectionHandle = std::shared_ptr<HttpConnection>;

    asio::awaitable<error_code> readAnswer(ConnectionHandle connection, http::response_parser<http::string_body>& parser, Duration timeout, TimePoint deadline, const BodySink& sink);
    asio::awaitable<PeerResult> exchange(ConnectionHandle connection, PeerCall call, bool fresh, BodySink sink);

    asio::any_io_executor executor;
    std::string address;
    std::vector<ConnectionHandle> idle;
};

}
