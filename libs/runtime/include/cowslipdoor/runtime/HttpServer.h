#pragma once

/// @file
/// @brief Reading of HTTP/1.1 requests and writing of responses, within limits.

#include "Asio.h"
#include "ClientLimiter.h"
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/core/Time.h>
#include <optional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Limits of one HTTP connection.
struct HttpLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    /// Longest wait for the first byte of a request.
    Duration idle = std::chrono::seconds(60);
    Duration headerTimeout = std::chrono::seconds(10);
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration writeTimeout = std::chrono::seconds(30);

    bool operator==(const HttpLimits&) const = default;
};

/// @brief Request as received on a connection.
struct HttpRequest {
    const std::string method {};
    const std::string target {};
    const std::vector<Header> headers {};
    const Bytes body {};
    const bool keepAlive = false;

    bool operator==(const HttpRequest&) const = default;

    /// @param name header name, compared case-insensitively
    /// @return the first value, or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// @brief Why no request was read.
struct HttpReadFailure {
    /// Error for the response before closing; nothing if the connection is closed without a response.
    const std::optional<ErrorKind> answer {};
    const std::string detail {};

    bool operator==(const HttpReadFailure&) const = default;
};

/// @brief Result of reading a request.
using HttpReadResult = std::variant<HttpRequest, HttpReadFailure>;

/// @brief Reads one request within the limits.
/// @param buffer bytes of the connection that are received but not parsed; keeps those of later requests
/// @return the request, or why none was read
[[nodiscard]] asio::awaitable<HttpReadResult> readHttpRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits);

/// @brief Reads one request within the limits of the connection and of the process.
/// @param buffer bytes of the connection that are received but not parsed; keeps those of later requests
/// @param ticket gives memory for the request, which keeps it until the next one is read
/// @return the request, or why none was read: ErrorKind::Busy if the process has too little memory left for requests
[[nodiscard]] asio::awaitable<HttpReadResult> readHttpRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits, ClientTicket& ticket);

/// @brief Writes one response.
/// @param keepAlive whether the connection stays open after the response
/// @return whether the whole response was written
[[nodiscard]] asio::awaitable<bool> writeHttpResponse(beast::tcp_stream& stream, const Response& response, bool keepAlive, const HttpLimits& limits);

/// @brief Builds the response that reports an error.
/// @param kind determines the status, the outcome and its meaning
/// @param detail cause of the error
/// @param requestId identifier of the request, or empty
/// @return a response with a JSON body
[[nodiscard]] Response errorResponse(ErrorKind kind, const std::string& detail, const std::string& requestId);

/// @brief Builds a response with a status, media type and body.
[[nodiscard]] Response plainResponse(std::uint16_t status, const std::string& contentType, std::string body);

/// @brief Returns whether a header field applies to one connection only and must not be forwarded.
/// @param name field name, compared case-insensitively
[[nodiscard]] bool isHopByHop(std::string_view name) noexcept;

}
