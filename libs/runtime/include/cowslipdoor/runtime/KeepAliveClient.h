#pragma once

/// @file
/// @brief HTTP calls to one peer on connections that are kept open.

#include "HttpConnection.h"
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/core/Time.h>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief One request to a peer.
struct PeerCall {
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers {};
    std::string body {};
    /// How long the peer may say nothing, from the sending of the request on.
    Duration timeout = std::chrono::seconds(1);
    /// How long an answer may take in all while more of it keeps coming; nothing means no longer than the timeout.
    std::optional<Duration> totalTimeout {};

    bool operator==(const PeerCall&) const = default;
};

/// @brief Whole answer of a peer.
struct PeerAnswer {
    unsigned status = 0;
    std::string body {};

    bool operator==(const PeerAnswer&) const = default;
};

/// @brief Why there is no whole answer.
struct PeerFailure {
    /// Whether the peer may have read the request.
    bool sent = false;
    std::string reason {};

    bool operator==(const PeerFailure&) const = default;
};

/// @brief What became of a call.
using PeerResult = std::variant<PeerAnswer, PeerFailure>;

/// @brief Calls one peer; a connection serves one call at a time and is kept for the next one.
/// @code
/// KeepAliveClient client(executor, "10.0.0.7:8169");
/// const PeerCall call { .method = "GET", .target = "/health" };
/// const PeerResult result = co_await client.call(call);
/// @endcode
class KeepAliveClient {
public:
    /// @param executor executor of the calls
    /// @param address IP number and port of the peer
    KeepAliveClient(asio::any_io_executor executor, std::string address);

    /// @brief Calls the peer.
    /// @param call the request
    /// @return the answer, or why there is none
    [[nodiscard]] asio::awaitable<PeerResult> call(PeerCall call);

private:
    using ConnectionHandle = std::shared_ptr<HttpConnection>;

    asio::awaitable<error_code> readAnswer(ConnectionHandle connection, http::response_parser<http::string_body>& parser, Duration timeout, TimePoint deadline);
    asio::awaitable<PeerResult> exchange(ConnectionHandle connection, PeerCall call, bool fresh);

    asio::any_io_executor executor;
    std::string address;
    std::vector<ConnectionHandle> idle;
};

}
