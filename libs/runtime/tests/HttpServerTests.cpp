#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/AdminServer.h>
#include <cowslipdoor/runtime/HttpServer.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

namespace {

asio::awaitable<void> readInto(tcp::socket socket, HttpLimits limits, std::vector<HttpReadResult>& results)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        results.push_back(co_await readHttpRequest(stream, buffer, limits));
        open = std::holds_alternative<HttpRequest>(results.back());
    }
}

/// Reads all requests from the bytes of one connection, whose peer then closes it or sends nothing more.
std::vector<HttpReadResult> readAll(const std::string& bytes, const HttpLimits& limits, bool end)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    std::vector<HttpReadResult> results;
    asio::co_spawn(context, readInto(acceptor.accept(), limits, results), asio::detached);
    asio::write(peer, asio::buffer(bytes));
    if (end)
        peer.shutdown(tcp::socket::shutdown_send);
    context.run_for(std::chrono::seconds(20));
    return results;
}

std::optional<ErrorKind> answerIn(const HttpReadResult& result)
{
    return std::get<HttpReadFailure>(result).answer;
}

const HttpLimits small { .headerBytes = 1024, .bodyBytes = 16, .idle = std::chrono::milliseconds(50), .headerTimeout = std::chrono::milliseconds(50), .bodyTimeout = std::chrono::milliseconds(50) };

}

TEST_CASE("http: consecutive requests on one connection are read completely", "[http]")
{
    const std::vector<HttpReadResult> results = readAll("GET /a HTTP/1.1\r\nX-User: siti\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", small, true);
    REQUIRE(results.size() == 3);
    const HttpRequest& first = std::get<HttpRequest>(results[0]);
    CHECK(first.target == "/a");
    CHECK(first.header("x-user") == "siti");
    CHECK(std::get<HttpRequest>(results[1]).body.view() == "abc");
    CHECK(answerIn(results[2]) == std::nullopt);
}

TEST_CASE("http: invalid requests are answered with their error", "[http]")
{
    CHECK(answerIn(readAll("no http at all\r\n\r\n", small, true).back()) == ErrorKind::BadRequest);
    CHECK(answerIn(readAll("GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n", small, true).back()) == ErrorKind::HeaderTooLarge);
    CHECK(answerIn(readAll("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n" + std::string(17, 'x'), small, true).back()) == ErrorKind::BodyTooLarge);
    CHECK(answerIn(readAll("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1f\r\n" + std::string(31, 'x') + "\r\n0\r\n\r\n", small, true).back()) == ErrorKind::BodyTooLarge);
    CHECK(answerIn(readAll("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", small, true).back()) == ErrorKind::BadRequest);
}

TEST_CASE("http: slow senders time out with an answer, idle connections without", "[http]")
{
    CHECK(answerIn(readAll("GET / HT", small, false).back()) == ErrorKind::BadRequest);
    CHECK(answerIn(readAll("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", small, false).back()) == ErrorKind::BadRequest);
    CHECK(answerIn(readAll("", small, false).back()) == std::nullopt);
}

TEST_CASE("http: the time limit of the header does not apply to the body", "[http]")
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    HttpLimits limits = small;
    limits.bodyTimeout = std::chrono::seconds(20);
    std::vector<HttpReadResult> results;
    asio::co_spawn(context, readInto(acceptor.accept(), limits, results), asio::detached);
    asio::write(peer, asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc")));
    asio::steady_timer later(context, 4 * limits.headerTimeout);
    later.async_wait([&peer](error_code) { asio::write(peer, asio::buffer(std::string("def"))); });
    context.run_for(std::chrono::seconds(1));
    REQUIRE_FALSE(results.empty());
    CHECK(std::get<HttpRequest>(results[0]).body.view() == "abcdef");
}

// Guards against: what the limit of a body does not cover is kept without a limit.
TEST_CASE("http: a header, a trailer and the header of a chunk have the limit of a header", "[http]")
{
    const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string fields;
    while (fields.size() < small.headerBytes)
        fields += "a: " + std::string(20, 'x') + "\r\n";
    CHECK(answerIn(readAll("GET / HTTP/1.1\r\n" + fields + "\r\n", small, true).back()) == ErrorKind::HeaderTooLarge);
    CHECK(answerIn(readAll(chunked + "1\r\nx\r\n0\r\n" + fields, small, true).back()) == ErrorKind::HeaderTooLarge);
    CHECK(answerIn(readAll(chunked + "1;a=" + std::string(small.headerBytes, 'x'), small, true).back()) == ErrorKind::HeaderTooLarge);
}

TEST_CASE("http: a header of the largest size and a body with trailers are read", "[http]")
{
    const std::string begin = "GET / HTTP/1.1\r\nX: ";
    const std::string whole = begin + std::string(small.headerBytes - begin.size() - 4, 'x') + "\r\n\r\n";
    REQUIRE(whole.size() == small.headerBytes);
    const std::string trailers = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1;a=b\r\nx\r\n2\r\nyz\r\n0\r\nT: 1\r\n\r\n";
    const std::vector<HttpReadResult> results = readAll(whole + trailers + whole, small, true);
    REQUIRE(results.size() == 4);
    CHECK(std::holds_alternative<HttpRequest>(results[0]));
    CHECK(std::get<HttpRequest>(results[1]).body.view() == "xyz");
    CHECK(std::holds_alternative<HttpRequest>(results[2]));
}

namespace {

/// One connection whose requests are read within the limits of a process.
class LimitedConnection {
public:
    LimitedConnection(asio::io_context& context, tcp::acceptor& acceptor, ClientLimiter& limiter, ClientPortId port)
        : peer(context)
    {
        this->peer.connect(acceptor.local_endpoint());
        asio::co_spawn(context, this->serve(acceptor.accept(), limiter, port), asio::detached);
    }

    tcp::socket peer;
    std::vector<HttpReadResult> results;
    std::size_t heldBytes = 0;

private:
    asio::awaitable<void> serve(tcp::socket socket, ClientLimiter& limiter, ClientPortId port)
    {
        beast::tcp_stream stream(std::move(socket));
        const std::unique_ptr<ClientTicket> ticket = limiter.admit(port, [&stream]() { closeSocket(stream.socket()); });
        beast::flat_buffer buffer;
        while (ticket && (this->results.empty() || std::holds_alternative<HttpRequest>(this->results.back()))) {
            const HttpReadResult result = co_await readHttpRequest(stream, buffer, HttpLimits { .bodyTimeout = std::chrono::milliseconds(200) }, *ticket);
            this->results.push_back(result);
            this->heldBytes = buffer.capacity();
        }
    }
};

/// Limits of a process with one port.
struct Limited {
    const Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics {};
    ClientLimiter limiter;
    ClientPortId port;
    asio::io_context context { 1 };
    tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };

    Limited(std::size_t bytes, std::size_t connections)
        : limiter(bytes, this->log, this->metrics)
        , port(this->limiter.addPort("connections", connections))
    {
    }

    void run(Duration time)
    {
        this->context.restart();
        this->context.run_for(time);
    }
};

constexpr std::size_t kibibyte = 1024;

}

// Guards against: bodies that together exceed the memory for requests are kept, or refused although they fit.
TEST_CASE("http: a body is refused as busy once the memory for requests does not hold what has arrived", "[http]")
{
    Limited limited(256 * kibibyte, 10);
    const std::unique_ptr<ClientTicket> other = limited.limiter.admit(limited.port, []() {});
    REQUIRE(other->reserve(160 * kibibyte));
    other->complete();
    const std::string head = GENERATE("Content-Length: 65536\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n10000\r\n");
    LimitedConnection refused(limited.context, limited.acceptor, limited.limiter, limited.port);
    asio::write(refused.peer, asio::buffer("POST / HTTP/1.1\r\n" + head + std::string(64 * kibibyte, 'x') + "\r\n0\r\n\r\n"));
    limited.run(std::chrono::milliseconds(300));
    REQUIRE(refused.results.size() == 1);
    CHECK(answerIn(refused.results[0]) == ErrorKind::Busy);
    CHECK(limited.metrics.expose().find(R"(cowslipdoor_limited_clients_total{limit="receive-limit"} 1)") != std::string::npos);
    other->awaitRequest();
    LimitedConnection served(limited.context, limited.acceptor, limited.limiter, limited.port);
    asio::write(served.peer, asio::buffer("POST / HTTP/1.1\r\n" + head + std::string(64 * kibibyte, 'x') + "\r\n0\r\n\r\n"));
    limited.run(std::chrono::milliseconds(300));
    REQUIRE_FALSE(served.results.empty());
    CHECK(std::get<HttpRequest>(served.results[0]).body.size() == 64 * kibibyte);
}

// Guards against: a body that is only announced takes memory from others.
TEST_CASE("http: an announced body takes no memory before it arrives", "[http]")
{
    Limited limited(256 * kibibyte, 10);
    std::vector<std::unique_ptr<LimitedConnection>> connections;
    for (int number = 0; number < 9; ++number) {
        connections.push_back(std::make_unique<LimitedConnection>(limited.context, limited.acceptor, limited.limiter, limited.port));
        asio::write(connections.back()->peer, asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 131072\r\n\r\nx")));
    }
    LimitedConnection served(limited.context, limited.acceptor, limited.limiter, limited.port);
    asio::write(served.peer, asio::buffer("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(64 * kibibyte, 'x')));
    limited.run(std::chrono::milliseconds(100));
    REQUIRE(served.results.size() == 1);
    CHECK(std::holds_alternative<HttpRequest>(served.results[0]));
    CHECK(served.heldBytes == 0);
}

// Guards against: at the limit of connections, a silent one stays and a new one is closed.
TEST_CASE("http: a silent connection is closed for a new one, a connection whose request is complete is not", "[http]")
{
    Limited limited(256 * kibibyte, 1);
    LimitedConnection silent(limited.context, limited.acceptor, limited.limiter, limited.port);
    limited.run(std::chrono::milliseconds(50));
    LimitedConnection next(limited.context, limited.acceptor, limited.limiter, limited.port);
    asio::write(next.peer, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    limited.run(std::chrono::milliseconds(50));
    REQUIRE(silent.results.size() == 1);
    CHECK(answerIn(silent.results[0]) == std::nullopt);
    REQUIRE(next.results.size() == 1);
    CHECK(std::holds_alternative<HttpRequest>(next.results[0]));
    CHECK(limited.metrics.expose().find(R"(cowslipdoor_limited_clients_total{limit="connections"} 1)") != std::string::npos);
}

// Guards against: an unexpected error of a handler is lost, and its connection is counted as open for ever.
TEST_CASE("http: an error of a handler is recorded and does not keep its connection", "[http]")
{
    Limited limited(256 * kibibyte, 1);
    Listener listener(limited.context.get_executor(), "127.0.0.1:0", limited.limiter.guarded([](tcp::socket) -> asio::awaitable<void> {
        throw std::runtime_error("fault");
        co_return;
    }));
    listener.start();
    tcp::socket peer(limited.context);
    peer.connect(listener.endpoint());
    limited.run(std::chrono::milliseconds(50));
    CHECK(listener.connections() == 0);
    CHECK(limited.metrics.expose().find(R"(event="connection_failed"} 1)") != std::string::npos);
}

TEST_CASE("http: a truncated request gets no answer", "[http]")
{
    CHECK(answerIn(readAll("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", small, true).back()) == std::nullopt);
}

TEST_CASE("http: an error answer states status and outcome", "[http]")
{
    const Response response = errorResponse(ErrorKind::QueueFull, "4096 requests wait", "id");
    CHECK(response.status == 503);
    CHECK(response.body.view().find(R"("outcome":"not run")") != std::string_view::npos);
    CHECK(response.headers.at(2) == Header { "Cowslipdoor-Outcome", "not run" });
}
