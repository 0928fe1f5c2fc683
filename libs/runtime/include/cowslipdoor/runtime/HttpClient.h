#pragma once

/// @file
/// @brief Small HTTP client for commands, stand-ins and tests.

#include "Asio.h"
#include "HttpConnection.h"
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/core/Time.h>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Request to a server.
struct HttpCall {
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(5);

    bool operator==(const HttpCall&) const = default;
};

/// @brief Sends a request on a new connection.
/// @return the response
/// @throws Error like fetch()
[[nodiscard]] asio::awaitable<Response> asyncFetch(HttpCall call);

/// @brief Response, and whether the server keeps the connection open.
struct KeepAliveResponse {
    Response response;
    bool keptOpen = false;

    bool operator==(const KeepAliveResponse&) const = default;
};

/// @brief Sends a request on a connection, which is opened first if it is new.
/// @param connection new, or left open by an earlier call; must outlive the call and carry no other call meanwhile
/// @param keepAlive whether to ask the server to keep the connection open
/// @return the response
/// @throws Error like fetch()
[[nodiscard]] asio::awaitable<KeepAliveResponse> asyncFetchOn(HttpConnection& connection, HttpCall call, bool keepAlive);

/// @brief Sends a request on a new connection and blocks the thread until the response is complete.
/// @return the response
/// @throws Error with ErrorKind::UpstreamUnreachable if nothing was sent, UpstreamTruncated or
///         UpstreamTimeout if no complete response was received
/// @code
/// const Response response = fetch({ .address = "127.0.0.1:9100", .target = "/healthz" });
/// @endcode
[[nodiscard]] Response fetch(const HttpCall& call);

}
