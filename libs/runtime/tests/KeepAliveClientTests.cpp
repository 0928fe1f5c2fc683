#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/KeepAliveClient.h>
#include <cowslipdoor/runtime/Process.h>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using std::chrono::milliseconds;

namespace {

constexpr Duration pieceInterval = milliseconds(100);
constexpr Duration timeout = milliseconds(300);
constexpr Duration answerDelay = milliseconds(50);
/// Delay of the answer to a request for lateTarget.
constexpr Duration lateAnswerDelay = milliseconds(200);
constexpr const char* lateTarget = "/late";

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

/// Answers one request with a body of the given size.
asio::awaitable<void> answerWithBody(tcp::acceptor& acceptor, std::size_t bytes)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> buffer {};
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
    co_await asio::async_write(socket, asio::buffer(answer), asTuple);
}

/// Reads an answer with a body of the given size.
/// @return the number of handlers that the event loop has run, those of the peer included
std::size_t handlersToRead(std::size_t bytes)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::co_spawn(
        context, [&]() { return answerWithBody(acceptor, bytes); }, asio::detached);
    KeepAliveClient client(context.get_executor(), "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    std::size_t received = 0;
    const auto call = [&]() -> asio::awaitable<void> {
        const PeerCall request { .timeout = std::chrono::seconds(5) };
        const PeerResult answer = co_await client.call(request);
        received = std::get<PeerAnswer>(answer).body.size();
        context.stop();
    };
    asio::co_spawn(context, call, asio::detached);
    const std::size_t handlers = context.run_for(std::chrono::seconds(10));
    REQUIRE(received == bytes);
    return handlers;
}

/// What a server does with all connections that it has accepted so far.
enum class OldConnections : unsigned char {
    /// Their requests are read and never answered.
    Silent,
    Closed,
};

/// Answers requests on connections that are kept open.
class KeepAliveServer {
public:
    explicit KeepAliveServer(asio::io_context& context)
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        asio::co_spawn(
            context, [this]() { return this->acceptAll(); }, asio::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }
    std::size_t accepted() const { return this->connections.size(); }

    /// Applies to the connections that are open now; later ones are answered.
    void end(OldConnections fate)
    {
        for (const std::shared_ptr<Connection>& connection : this->connections) {
            connection->silent = true;
            if (fate == OldConnections::Closed)
                connection->socket.close();
        }
    }

private:
    struct Connection {
        tcp::socket socket;
        bool silent = false;
    };

    asio::awaitable<void> acceptAll()
    {
        while (true) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            const std::shared_ptr<Connection> connection = std::make_shared<Connection>(Connection { std::move(socket) });
            this->connections.push_back(connection);
            asio::co_spawn(this->acceptor.get_executor(), KeepAliveServer::serve(connection), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<Connection> connection)
    {
        std::array<char, 4096> buffer {};
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        while (true) {
            const std::tuple<error_code, std::size_t> read = co_await connection->socket.async_read_some(asio::buffer(buffer), asTuple);
            if (std::get<0>(read))
                co_return;
            const bool late = std::string_view(buffer.data(), std::get<1>(read)).find(lateTarget) != std::string_view::npos;
            co_await pauseFor(late ? lateAnswerDelay : answerDelay);
            if (!connection->silent)
                co_await asio::async_write(connection->socket, asio::buffer(answer), asTuple);
        }
    }

    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<Connection>> connections;
};

/// Calls one after the other.
/// @return the number of calls that failed
asio::awaitable<std::size_t> failuresOf(KeepAliveClient& client, std::size_t calls, std::string target = "/")
{
    std::size_t failures = 0;
    for (std::size_t number = 0; number < calls; ++number) {
        const PeerCall request { .target = target, .timeout = timeout };
        const PeerResult result = co_await client.call(request);
        failures += std::holds_alternative<PeerFailure>(result) ? 1 : 0;
    }
    co_return failures;
}

/// Calls at the same time, so that the client opens one connection for each call.
asio::awaitable<void> fillPool(KeepAliveClient& client, const KeepAliveServer& server, std::size_t calls)
{
    std::size_t answered = 0;
    const auto callOnce = [&client, &answered]() -> asio::awaitable<void> {
        const std::size_t failures = co_await failuresOf(client, 1);
        answered += 1 - failures;
    };
    for (std::size_t number = 0; number < calls; ++number)
        asio::co_spawn(co_await asio::this_coro::executor, callOnce, asio::detached);
    const bool filled = co_await waitUntil([&answered, calls]() { return answered == calls; }, std::chrono::seconds(5));
    CHECK(filled);
    CHECK(server.accepted() == calls);
}

/// Number of connections in the pool of a client, and of calls after these have been ended.
constexpr std::size_t burst = 12;

/// Fills the pool of a client, plays what follows, and then calls as often as the client had connections.
/// @return the number of these calls that failed
std::size_t failuresAfter(const std::function<asio::awaitable<void>(KeepAliveClient&, KeepAliveServer&)>& play)
{
    asio::io_context context(1);
    KeepAliveServer server(context);
    KeepAliveClient client(context.get_executor(), server.address());
    std::optional<std::size_t> failures;
    const auto playAndCall = [&]() -> asio::awaitable<void> {
        co_await fillPool(client, server, burst);
        co_await play(client, server);
        const std::size_t failed = co_await failuresOf(client, burst);
        failures.emplace(failed);
        context.stop();
    };
    asio::co_spawn(context, playAndCall, asio::detached);
    context.run_for(std::chrono::seconds(20));
    REQUIRE(failures);
    return *failures;
}

asio::awaitable<void> silenceAll(KeepAliveClient&, KeepAliveServer& server)
{
    server.end(OldConnections::Silent);
    co_return;
}

asio::awaitable<void> closeAll(KeepAliveClient&, KeepAliveServer& server)
{
    server.end(OldConnections::Closed);
    co_return;
}

/// Silences all connections while a late answer is awaited and after another call has been answered; ends when the late call has failed.
asio::awaitable<void> silenceAllDuringLateCall(KeepAliveClient& client, KeepAliveServer& server)
{
    std::optional<std::size_t> lateFailures;
    const auto callLate = [&client, &lateFailures]() -> asio::awaitable<void> {
        const std::size_t failed = co_await failuresOf(client, 1, lateTarget);
        lateFailures.emplace(failed);
    };
    asio::co_spawn(co_await asio::this_coro::executor, callLate, asio::detached);
    const std::size_t failed = co_await failuresOf(client, 1);
    CHECK(failed == 0);
    server.end(OldConnections::Silent);
    const bool ended = co_await waitUntil([&lateFailures]() { return lateFailures.has_value(); }, std::chrono::seconds(5));
    CHECK(ended);
    CHECK(lateFailures == 1);
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

TEST_CASE("keep-alive client: a page of 500 rows is read in few turns of the event loop", "[calls]")
{
    constexpr std::size_t pageBytes = 500 * 1000;
    CHECK(handlersToRead(pageBytes) < 100);
}

TEST_CASE("keep-alive client: at most one call fails after all open connections fell silent and new ones work", "[calls]")
{
    CHECK(failuresAfter(silenceAll) <= 1);
}

TEST_CASE("keep-alive client: at most one call fails after the peer closed all open connections", "[calls]")
{
    CHECK(failuresAfter(closeAll) <= 1);
}

TEST_CASE("keep-alive client: no call fails after one that was under way when all open connections fell silent", "[calls]")
{
    CHECK(failuresAfter(silenceAllDuringLateCall) == 0);
}
