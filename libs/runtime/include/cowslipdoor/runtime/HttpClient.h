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

/// @brief Request of the client.
struct HttpCall {
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(5);

    bool operator==(const HttpCall&) const = default;
};

/// @brief Calls as part of a task, on a connection of its own.
/// @param call the request
/// @return the response
/// @throws Error as fetch() does
[[nodiscard]] asio::awaitable<Response> asyncFetch(HttpCall call);

/// @brief Response, and whether the server keeps the connection open.
struct KeepAliveResponse {
    Response response;
    bool keptOpen = false;

    bool operator==(const KeepAliveResponse&) const = default;
};

/// @brief Calls as part of a task, on a connection that is opened first if it is new.
/// @param connection the connection, new or left open by a call before; it stays in use until the call has ended
/// @param call the request
/// @param keepAlive whether the connection is to be kept
/// @return the response
/// @throws Error as fetch() does
[[nodiscard]] asio::awaitable<KeepAliveResponse> asyncFetchOn(HttpConnection& connection, HttpCall call, bool keepAlive);

/// @brief Calls and waits for the whole answer, on a connection of its own.
/// @param call the request
/// @return the response
/// @throws Error with ErrorKind::UpstreamUnreachable when nothing was sent, or UpstreamTruncated or
///         UpstreamTimeout when no whole answer came
/// @code
/// const Response response = fetch({ .address = "127.0.0.1:9100", .target = "/healthz" });
/// @endcode
[[nodiscard]] Response fetch(const HttpCall& call);

}
