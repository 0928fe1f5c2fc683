#pragma once

/// @file
/// @brief Reusable connections and building of requests, shared by the HTTP clients.

#include "Asio.h"
#include <cowslipdoor/core/Request.h>
#include <string>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Client connection; carries one call at a time.
struct HttpConnection {
    /// @param executor runs the calls
    explicit HttpConnection(const asio::any_io_executor& executor);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/// @brief Connects within the expiry time of the stream, and disables Nagle's algorithm so that small requests are sent at once.
/// @param connection a connection that is not open
/// @param address IP address and port of the peer
/// @return the error code; zero on success
[[nodiscard]] asio::awaitable<error_code> connect(HttpConnection& connection, const std::string& address);

/// @brief Builds an HTTP/1.1 request.
/// @param host value of the Host field
/// @param target path and query
/// @param headers further fields
/// @param keepAlive whether to ask the server to keep the connection open
/// @return the request, with the field that states the length of its body
[[nodiscard]] http::request<http::string_body> makeRequest(const std::string& host, const std::string& method, const std::string& target, const std::vector<Header>& headers, std::string body, bool keepAlive);

}
