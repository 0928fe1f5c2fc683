#include "cowslipdoor/runtime/KeepAliveClient.h"
#include "cowslipdoor/runtime/Clock.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    /// Largest accepted body of an answer that is kept in memory, in bytes.
    constexpr std::uint64_t largestAnswer = 8 * 1024 * 1024;

    /// Largest part of a body that one read takes. Beast reads at most the free capacity of the buffer, which is 512 bytes at
    /// first, and each read waits for its turn in the event loop.
    constexpr std::size_t bytesPerRead = 64 * 1024;

    /// Capacity that an idle connection may keep.
    constexpr std::size_t idleCapacity = 4096;

    /// Makes room for what is left of a body.
    void reserveForBody(beast::flat_buffer& buffer, const http::response_parser<http::string_body>& parser)
    {
        if (parser.is_header_done() && !parser.is_done())
            buffer.reserve(std::min<std::uint64_t>(parser.content_length_remaining().value_or(bytesPerRead), bytesPerRead));
    }

    void releaseCapacity(beast::flat_buffer& buffer)
    {
        if (buffer.size() == 0 && buffer.capacity() > idleCapacity)
            buffer.shrink_to_fit();
    }

}

KeepAliveClient::KeepAliveClient(asio::any_io_executor executor, std::string address)
    : executor(std::move(executor))
    , address(std::move(address))
{
}

asio::awaitable<PeerResult> KeepAliveClient::call(PeerCall call)
{
    return this->stream(std::move(call), nullptr);
}

asio::awaitable<PeerResult> KeepAliveClient::stream(PeerCall call, BodySink sink)
{
    ConnectionHandle connection;
    const bool fresh = this->idle.empty();
    if (fresh) {
        connection = std::make_shared<HttpConnection>(this->executor);
    } else {
        connection = this->idle.back();
        this->idle.pop_back();
    }
    connection->stream.expires_after(call.timeout);
    if (fresh) {
        const error_code error = co_await connect(*connection, this->address);
        if (error)
            co_return PeerFailure { false, "connecting to " + this->address + ": " + error.message() };
    }
    PeerResult result = co_await this->exchange(std::move(connection), std::move(call), fresh, std::move(sink));
    if (std::holds_alternative<PeerFailure>(result))
        this->idle.clear();
    co_return result;
}

asio::awaitable<error_code> KeepAliveClient::readAnswer(ConnectionHandle connection, http::response_parser<http::string_body>& parser, Duration timeout, TimePoint deadline, const BodySink& sink)
{
    while (!parser.is_done()) {
        connection->stream.expires_after(std::clamp(deadline - monotonicNow(), Duration {}, timeout));
        reserveForBody(connection->buffer, parser);
        const std::tuple<error_code, std::size_t> read = co_await http::async_read_some(connection->stream, connection->buffer, parser, asTuple);
        if (std::get<0>(read))
            co_return std::get<0>(read);
        if (sink && !parser.get().body().empty()) {
            sink(parser.get().result_int(), parser.get().body());
            parser.get().body().clear();
        }
    }
    co_return error_code {};
}

asio::awaitable<PeerResult> KeepAliveClient::exchange(ConnectionHandle connection, PeerCall call, bool fresh, BodySink sink)
{
    const http::request<http::string_body> request = makeRequest(this->address, call.method, call.target, call.headers, std::move(call.body), true);
    http::response_parser<http::string_body> parser;
    if (sink)
        parser.body_limit(boost::none);
    else
        parser.body_limit(largestAnswer);
    const std::tuple<error_code, std::size_t> written = co_await http::async_write(connection->stream, request, asTuple);
    if (std::get<0>(written))
        co_return PeerFailure { true, std::string(fresh ? "writing" : "writing on a reused connection") + ": " + std::get<0>(written).message() };
    parser.eager(true);
    const TimePoint deadline = monotonicNow() + call.totalTimeout.value_or(call.timeout);
    const error_code read = co_await this->readAnswer(connection, parser, call.timeout, deadline, sink);
    if (read)
        co_return PeerFailure { true, std::string(fresh ? "reading" : "reading on a reused connection") + ": " + read.message() };
    connection->stream.expires_never();
    releaseCapacity(connection->buffer);
    if (parser.get().keep_alive())
        this->idle.push_back(connection);
    co_return PeerAnswer { parser.get().result_int(), std::move(parser.get().body()) };
}

}
