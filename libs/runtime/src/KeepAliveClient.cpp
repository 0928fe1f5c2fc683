#include "cowslipdoor/runtime/KeepAliveClient.h"
#include "cowslipdoor/runtime/Address.h"
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    /// Largest answer that is taken: a page of 500 rows of the store with room to spare.
    constexpr std::uint64_t largestAnswer = 8 * 1024 * 1024;

}

KeepAliveClient::Connection::Connection(const asio::any_io_executor& executor)
    : stream(executor)
{
}

KeepAliveClient::KeepAliveClient(asio::any_io_executor executor, std::string address)
    : executor(std::move(executor))
    , address(std::move(address))
{
}

asio::awaitable<PeerResult> KeepAliveClient::call(PeerCall call)
{
    ConnectionHandle connection;
    const bool fresh = this->idle.empty();
    if (fresh) {
        connection = std::make_shared<Connection>(this->executor);
    } else {
        connection = this->idle.back();
        this->idle.pop_back();
    }
    connection->stream.expires_after(call.timeout);
    if (fresh) {
        const std::tuple<error_code> connected = co_await connection->stream.async_connect(parseAddress(this->address), asTuple);
        if (std::get<0>(connected))
            co_return PeerFailure { false, "connecting to " + this->address + ": " + std::get<0>(connected).message() };
        error_code ignored;
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    co_return co_await this->exchange(std::move(connection), std::move(call), fresh);
}

asio::awaitable<PeerResult> KeepAliveClient::exchange(ConnectionHandle connection, PeerCall call, bool fresh)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, this->address);
    for (const Header& header : call.headers)
        request.set(header.name, header.value);
    request.body() = std::move(call.body);
    request.keep_alive(true);
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    parser.body_limit(largestAnswer);
    const std::tuple<error_code, std::size_t> written = co_await http::async_write(connection->stream, request, asTuple);
    if (std::get<0>(written))
        co_return PeerFailure { true, std::string(fresh ? "writing" : "writing on a kept connection") + ": " + std::get<0>(written).message() };
    const std::tuple<error_code, std::size_t> read = co_await http::async_read(connection->stream, connection->buffer, parser, asTuple);
    if (std::get<0>(read))
        co_return PeerFailure { true, std::string(fresh ? "reading" : "reading on a kept connection") + ": " + std::get<0>(read).message() };
    connection->stream.expires_never();
    if (parser.get().keep_alive())
        this->idle.push_back(connection);
    co_return PeerAnswer { parser.get().result_int(), std::move(parser.get().body()) };
}

}
