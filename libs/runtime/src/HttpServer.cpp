#include "cowslipdoor/runtime/HttpServer.h"
#include "cowslipdoor/runtime/SocketDeadline.h"
#include <algorithm>
#include <array>
#include <cowslipdoor/core/Error.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    HttpReadFailure failureOf(error_code error, bool tooSlow)
    {
        if (tooSlow)
            return { ErrorKind::BadRequest, "the request was not complete within the time limit" };
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return { ErrorKind::HeaderTooLarge, "the header exceeds the size limit" };
        if (error == http::error::body_limit)
            return { ErrorKind::BodyTooLarge, "the body exceeds the size limit" };
        if (error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message)
            return { ErrorKind::BadRequest, error.message() };
        return { std::nullopt, error.message() };
    }

    HttpRequest toRequest(http::request<http::string_body> message)
    {
        std::vector<Header> headers;
        for (const http::fields::value_type& field : message)
            headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        return { std::string(message.method_string()), std::string(message.target()), headers, Bytes(std::move(message.body())), message.keep_alive() };
    }

}

std::string_view HttpRequest::header(std::string_view name) const noexcept
{
    return findHeader(this->headers, name);
}

asio::awaitable<HttpReadResult> readHttpRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits)
{
    BodyBudget unlimited(std::numeric_limits<std::size_t>::max());
    BodyReservation reservation(unlimited);
    const HttpReadResult result = co_await readHttpRequest(stream, buffer, limits, reservation);
    co_return result;
}

asio::awaitable<HttpReadResult> readHttpRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits, BodyReservation& reservation)
{
    const std::size_t largestBody = std::min(limits.bodyBytes, reservation.source().bytes());
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(largestBody);
    if (buffer.size() == 0) {
        stream.expires_after(limits.idle);
        const std::tuple<error_code, std::size_t> first = co_await stream.async_read_some(buffer.prepare(limits.headerBytes), asTuple);
        if (std::get<0>(first))
            co_return failureOf(std::get<0>(first), false);
        buffer.commit(std::get<1>(first));
        stream.expires_never();
    }
    SocketDeadline headerDeadline(stream.socket(), limits.headerTimeout);
    const std::tuple<error_code, std::size_t> header = co_await http::async_read_header(stream, buffer, parser, asTuple);
    if (std::get<0>(header))
        co_return failureOf(std::get<0>(header), headerDeadline.passed());
    headerDeadline.end();
    // A chunked body may take all that one body may.
    const std::size_t expected = parser.chunked() ? largestBody : static_cast<std::size_t>(parser.content_length().value_or(0));
    if (!reservation.renew(expected))
        co_return HttpReadFailure { ErrorKind::Busy, "a body of " + std::to_string(expected) + " bytes does not fit beside those of other requests" };
    if (parser.chunked())
        parser.get().body().reserve(expected);
    SocketDeadline bodyDeadline(stream.socket(), limits.bodyTimeout);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> continueResponse(http::status::continue_, parser.get().version());
        const std::tuple<error_code, std::size_t> written = co_await http::async_write(stream, continueResponse, asTuple);
        if (std::get<0>(written))
            co_return failureOf(std::get<0>(written), false);
    }
    const std::tuple<error_code, std::size_t> body = co_await http::async_read(stream, buffer, parser, asTuple);
    if (std::get<0>(body))
        co_return failureOf(std::get<0>(body), bodyDeadline.passed());
    co_return toRequest(parser.release());
}

asio::awaitable<bool> writeHttpResponse(beast::tcp_stream& stream, const Response& response, bool keepAlive, const HttpLimits& limits)
{
    http::response<http::span_body<const char>> message(static_cast<http::status>(response.status), 11);
    for (const Header& header : response.headers)
        message.insert(header.name, header.value);
    const std::string_view body = response.body.view();
    message.body() = { body.data(), body.size() };
    message.keep_alive(keepAlive);
    message.prepare_payload();
    stream.expires_after(limits.writeTimeout);
    const std::tuple<error_code, std::size_t> written = co_await http::async_write(stream, message, asTuple);
    stream.expires_never();
    co_return !std::get<0>(written);
}

Response errorResponse(ErrorKind kind, const std::string& detail, const std::string& requestId)
{
    const ErrorDescription& row = describeError(kind);
    const nlohmann::ordered_json body {
        { "error", row.name },
        { "outcome", toString(row.outcome) },
        { "meaning", row.meaning },
        { "detail", detail },
        { "request_id", requestId },
    };
    return {
        row.httpStatus,
        { { "Content-Type", "application/json" }, { "Cowslipdoor-Error", std::string(row.name) }, { "Cowslipdoor-Outcome", std::string(toString(row.outcome)) }, { "Cowslipdoor-Request-Id", requestId } },
        Bytes(body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n"),
    };
}

Response plainResponse(std::uint16_t status, const std::string& contentType, std::string body)
{
    return { status, { { "Content-Type", contentType } }, Bytes(std::move(body)) };
}

bool isHopByHop(std::string_view name) noexcept
{
    constexpr std::array<std::string_view, 10> names { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };
    return std::any_of(names.begin(), names.end(), [name](std::string_view known) { return equalIgnoringCase(name, known); });
}

}
