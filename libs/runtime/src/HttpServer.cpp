#include "cowslipdoor/runtime/HttpServer.h"
#include "cowslipdoor/runtime/HttpReceiver.h"
#include "cowslipdoor/runtime/SocketDeadline.h"
#include <algorithm>
#include <array>
#include <cowslipdoor/core/Error.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    HttpReadFailure failureOf(error_code error, bool tooSlow)
    {
        if (tooSlow)
            return { ErrorKind::BadRequest, "the request was not complete within the time limit" };
        if (error == http::error::header_limit)
            return { ErrorKind::HeaderTooLarge, "the header exceeds the size limit" };
        if (error == http::error::body_limit)
            return { ErrorKind::BodyTooLarge, "the body exceeds the size limit" };
        if (error == boost::system::errc::not_enough_memory)
            return { ErrorKind::Busy, "the request does not fit into the memory for requests beside others" };
        if (error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message)
            return { ErrorKind::BadRequest, error.message() };
        return { std::nullopt, error.message() };
    }

    /// Reads what follows a header within the time limit of a body.
    asio::awaitable<HttpReadResult> readRest(beast::tcp_stream& stream, HttpReceiver& receiver, const HttpLimits& limits)
    {
        SocketDeadline deadline(stream.socket(), limits.bodyTimeout);
        error_code fault;
        if (receiver.expectsContinue())
            fault = co_await receiver.writeContinue();
        if (!fault)
            fault = co_await receiver.readBody();
        if (fault)
            co_return failureOf(fault, deadline.passed());
        co_return receiver.takeRequest();
    }

}

std::string_view HttpRequest::header(std::string_view name) const noexcept
{
    return findHeader(this->headers, name);
}

asio::awaitable<HttpReadResult> readHttpRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits)
{
    ClientTicket unlimited;
    const HttpReadResult result = co_await readHttpRequest(stream, buffer, limits, unlimited);
    co_return result;
}

asio::awaitable<HttpReadResult> readHttpRequest(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits, ClientTicket& ticket)
{
    HttpReceiver receiver(stream, buffer, limits, ticket);
    const error_code idle = co_await receiver.awaitFirstByte();
    if (idle)
        co_return failureOf(idle, false);
    SocketDeadline deadline(stream.socket(), limits.headerTimeout);
    const error_code header = co_await receiver.readHeader();
    if (header)
        co_return failureOf(header, deadline.passed());
    deadline.end();
    if (receiver.done())
        co_return receiver.takeRequest();
    co_return co_await readRest(stream, receiver, limits);
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
