#include "cowslipdoor/runtime/HttpClient.h"
#include "cowslipdoor/runtime/Address.h"
#include "cowslipdoor/runtime/HttpConnection.h"
#include <cowslipdoor/core/Error.h>
#include <exception>
#include <optional>

namespace cowslipdoor::runtime {

asio::awaitable<Response> asyncFetch(HttpCall call)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(call.timeout);
    const std::tuple<error_code> connected = co_await stream.async_connect(parseAddress(call.address), asTuple);
    if (std::get<0>(connected))
        throw Error(ErrorKind::UpstreamUnreachable, call.address + ": " + std::get<0>(connected).message());
    const http::request<http::string_body> request = makeRequest(call.address, call.method, call.target, call.headers, call.body, false);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    const std::tuple<error_code, std::size_t> written = co_await http::async_write(stream, request, asTuple);
    const std::tuple<error_code, std::size_t> read = co_await http::async_read(stream, buffer, parser, asTuple);
    const error_code error = std::get<0>(written) ? std::get<0>(written) : std::get<0>(read);
    if (error)
        throw Error(error == beast::error::timeout ? ErrorKind::UpstreamTimeout : ErrorKind::UpstreamTruncated, call.address + ": " + error.message());
    std::vector<Header> headers;
    for (const http::fields::value_type& field : parser.get())
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    co_return Response { static_cast<std::uint16_t>(parser.get().result_int()), headers, Bytes(parser.get().body()) };
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
