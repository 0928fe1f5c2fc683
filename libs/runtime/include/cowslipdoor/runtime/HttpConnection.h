#pragma once

/// @file
/// @brief What the HTTP clients share: a connection that can be kept, and the making of requests.

#include "Asio.h"
#include <cowslipdoor/core/Request.h>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Connection of a client; serves one call at a time.
struct HttpConnection {
    /// @param executor executor of the calls
    explicit HttpConnection(const asio::any_io_executor& executor);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/// @brief Connects, within the time that the stream was given; small requests leave at once.
/// @param connection a connection that is not open
/// @param address IP number and port of the peer
/// @return the error, if any
[[nodiscard]] asio::awaitable<error_code> connect(HttpConnection& connection, const std::string& address);

/// @brief Makes a request to a host.
/// @param host value of the host field
/// @param method the method
/// @param target path and query
/// @param headers further fields
/// @param body the body
/// @param keepAlive whether the connection is to be kept
/// @return the request, ready to be written
[[nodiscard]] http::request<http::string_body> makeRequest(const std::string& host, const std::string& method, const std::string& target, const std::vector<Header>& headers, std::string body, bool keepAlive);

}
