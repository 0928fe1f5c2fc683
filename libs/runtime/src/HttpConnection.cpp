#include "cowslipdoor/runtime/HttpConnection.h"
#include "cowslipdoor/runtime/Address.h"
#include <utility>

namespace cowslipdoor::runtime {

HttpConnection::HttpConnection(const asio::any_io_executor& executor)
    : stream(executor)
{
}

asio::awaitable<error_code> connect(HttpConnection& connection, const std::string& address)
{
    const std::tuple<error_code> connected = co_await connection.stream.async_connect(parseAddress(address), asTuple);
    if (std::get<0>(connected))
        co_return std::get<0>(connected);
    error_code ignored;
    connection.stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return error_code();
}

http::request<http::string_body> makeRequest(const std::string& host, const std::string& method, const std::string& target, const std::vector<Header>& headers, std::string body, bool keepAlive)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, host);
    for (const Header& header : headers)
        request.set(header.name, header.value);
    request.body() = std::move(body);
    request.keep_alive(keepAlive);
    request.prepare_payload();
    return request;
}

}
