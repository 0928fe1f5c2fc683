#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/KeepAliveClient.h>
#include <cowslipdoor/runtime/Process.h>
#include <optional>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using std::chrono::milliseconds;

namespace {

constexpr Duration pieceInterval = milliseconds(100);
constexpr Duration timeout = milliseconds(300);

/// Answers one request with a response of six pieces, of which it sends only the given number.
asio::awaitable<void> answerInPieces(tcp::acceptor& acceptor, std::size_t piecesSent)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> buffer {};
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
    std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n";
    for (std::size_t piece = 0; piece < piecesSent; ++piece) {
        next += "0123456789";
        co_await asio::async_write(socket, asio::buffer(next), asTuple);
        next.clear();
        co_await pauseFor(pieceInterval);
    }
    co_await pauseFor(std::chrono::seconds(1));
}

/// Calls a peer that sends the given number of its six pieces.
PeerResult callPeer(std::size_t piecesSent, std::optional<Duration> totalTimeout)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::co_spawn(
        context, [&]() { return answerInPieces(acceptor, piecesSent); }, asio::detached);
    KeepAliveClient client(context.get_executor(), "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    std::optional<PeerResult> result;
    const auto call = [&]() -> asio::awaitable<void> {
        const PeerCall request { .timeout = timeout, .totalTimeout = totalTimeout };
        const PeerResult answer = co_await client.call(request);
        result.emplace(answer);
        context.stop();
    };
    asio::co_spawn(context, call, asio::detached);
    context.run_for(std::chrono::seconds(10));
    REQUIRE(result);
    return *result;
}

}

TEST_CASE("keep-alive client: an answer that keeps arriving is accepted even if it takes longer than the timeout", "[calls]")
{
    const PeerResult result = callPeer(6, std::chrono::seconds(5));
    REQUIRE(std::holds_alternative<PeerAnswer>(result));
    CHECK(std::get<PeerAnswer>(result).body.size() == 60);
}

TEST_CASE("keep-alive client: an answer that stops arriving, or arrives for too long, times out", "[calls]")
{
    for (const std::size_t pieces : { 0, 1, 5 })
        CHECK(std::holds_alternative<PeerFailure>(callPeer(pieces, std::chrono::seconds(5))));
    CHECK(std::holds_alternative<PeerFailure>(callPeer(6, milliseconds(400))));
    CHECK(std::holds_alternative<PeerFailure>(callPeer(6, std::nullopt)));
}
