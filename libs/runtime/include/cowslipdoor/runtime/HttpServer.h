#pragma once

/// @file
/// @brief Bounded HTTP/1.1 server side: reading requests and writing answers.

#include "Asio.h"
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/core/Time.h>
#include <optional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Limits of one HTTP connection.
struct HttpLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Duration idle = std::chrono::seconds(60);
    Duration headerTimeout = std::chrono::seconds(10);
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration writeTimeout = std::chrono::seconds(30);

    bool operator==(const HttpLimits&) const = default;
};

/// @brief Request as read from a connection.
struct HttpRequest {
    const std::string method {};
    const std::string target {};
    const std::vector<Header> headers {};
    const Bytes body {};
    const bool keepAlive = false;

    bool operator==(const HttpRequest&) const = default;

    /// @param name header name, compared without regard to case
    /// @return the first value, or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// @brief Why no request was read.
struct HttpReadFailure {
    /// The answer to give before closing, or nothing when the peer is gone.
    const std::optional<ErrorKind> answer {};
    const std::string detail {};

    bool operator==(const HttpReadFailure&) const = default;
};

/// @brief What reading a request gave.
using HttpReadResult = std::variant<HttpRequest, HttpReadFailure>;

/// @brief Reads one request within the limits.
/// @param stream the connection
/// @param buffer bytes already read of the connection
/// @param limits the limits
/// @return the request, or why there is none
[[nodiscard]] asio::awaitable<HttpReadResult> readHttpRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits);

/// @brief Writes one response.
/// @param stream the connection
/// @param response the response
/// @param keepAlive whether the connection stays open after it
/// @param limits the limits
/// @return whether it was written whole
[[nodiscard]] asio::awaitable<bool> writeHttpResponse(beast::tcp_stream& stream, const Response& response, bool keepAlive, const HttpLimits& limits);

/// @brief Makes the response that tells a caller of an error.
/// @param kind the kind, which decides status and outcome
/// @param detail what exactly was wrong
/// @param requestId the identifier to quote, or empty
/// @return a response with a JSON body
[[nodiscard]] Response errorResponse(ErrorKind kind, const std::string& detail, const std::string& requestId);

/// @brief Makes a plain response.
/// @param status HTTP status
/// @param contentType media type
/// @param body the body
/// @return the response
[[nodiscard]] Response plainResponse(std::uint16_t status, const std::string& contentType, std::string body);

/// @brief Tells whether a header field is about one connection and must not be passed on.
/// @param name the field's name
/// @return whether it stays on this hop
[[nodiscard]] bool isHopByHop(std::string_view name) noexcept;

}
