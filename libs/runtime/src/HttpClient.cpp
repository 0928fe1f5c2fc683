#include "cowslipdoor/runtime/HttpClient.h"
#include <cowslipdoor/core/Error.h>
#include <exception>
#include <optional>

namespace cowslipdoor::runtime {

asio::awaitable<Response> asyncFetch(HttpCall call)
{
    HttpConnection connection(co_await asio::this_coro::executor);
    const KeepAliveResponse answer = co_await asyncFetchOn(connection, call, false);
    co_return answer.response;
}

asio::awaitable<KeepAliveResponse> asyncFetchOn(HttpConnection& connection, HttpCall call, bool keepAlive)
{
    connection.stream.expires_after(call.timeout);
    if (!connection.stream.socket().is_open()) {
        const error_code unreachable = co_await connect(connection, call.address);
        if (unreachable)
            throw Error(ErrorKind::UpstreamUnreachable, call.address + ": " + unreachable.message());
    }
    const http::request<http::string_body> request = makeRequest(call.address, call.method, call.target, call.headers, call.body, keepAlive);
    http::response_parser<http::string_body> parser;
    const std::tuple<error_code, std::size_t> written = co_await http::async_write(connection.stream, request, asTuple);
    const std::tuple<error_code, std::size_t> read = co_await http::async_read(connection.stream, connection.buffer, parser, asTuple);
    const error_code error = std::get<0>(written) ? std::get<0>(written) : std::get<0>(read);
    if (error)
        throw Error(error == beast::error::timeout ? ErrorKind::UpstreamTimeout : ErrorKind::UpstreamTruncated, call.address + ": " + error.message());
    std::vector<Header> headers;
    for (const http::fields::value_type& field : parser.get())
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    const Response response { static_cast<std::uint16_t>(parser.get().result_int()), headers, Bytes(parser.get().body()) };
    co_return KeepAliveResponse { response, keepAlive && parser.get().keep_alive() };
}

Response fetch(const HttpCall& call)
{
    asio::io_context context(1);
    std::exception_ptr failure;
    std::optional<Completion> result;
    asio::co_spawn(context, asyncFetch(call), [&failure, &result](const std::exception_ptr& exception, const Response& response) {
        failure = exception;
        if (!exception)
            result.emplace(response);
    });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return std::get<Response>(*result);
}

}
