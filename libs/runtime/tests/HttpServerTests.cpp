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

TEST_CASE("http: a body budget is shared by the requests in progress, and small bodies do not count", "[http]")
{
    constexpr std::size_t large = 2 * uncountedBodyBytes;
    BodyBudget budget(large + 1);
    BodyReservation first(budget);
    BodyReservation second(budget);
    CHECK(first.renew(large));
    CHECK(budget.bytesLeft() == 1);
    CHECK_FALSE(second.renew(large));
    CHECK(second.renew(uncountedBodyBytes));
    CHECK(first.renew(1));
    CHECK(second.renew(large));
    {
        BodyReservation third(budget);
        CHECK_FALSE(third.renew(large));
    }
    CHECK(budget.bytesLeft() == 1);
}

TEST_CASE("http: a body that does not fit into the budget is refused before it is read", "[http]")
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    BodyBudget budget(3 * uncountedBodyBytes);
    const auto read = [&context, &acceptor, &budget](const std::string& head) {
        tcp::socket peer(context);
        peer.connect(acceptor.local_endpoint());
        std::vector<HttpReadResult> results;
        const auto serve = [&budget, &results](tcp::socket socket) -> asio::awaitable<void> {
            beast::tcp_stream stream(std::move(socket));
            beast::flat_buffer buffer;
            BodyReservation reservation(budget);
            const HttpReadResult result = co_await readHttpRequest(stream, buffer, HttpLimits { .bodyTimeout = std::chrono::milliseconds(50) }, reservation);
            results.push_back(result);
        };
        asio::co_spawn(context, serve(acceptor.accept()), asio::detached);
        asio::write(peer, asio::buffer("POST / HTTP/1.1\r\n" + head + "\r\n\r\n"));
        context.restart();
        context.run();
        return answerIn(results.at(0));
    };
    BodyReservation other(budget);
    REQUIRE(other.renew(2 * uncountedBodyBytes));
    CHECK(read("Content-Length: " + std::to_string(2 * uncountedBodyBytes)) == ErrorKind::Busy);
    CHECK(read("Transfer-Encoding: chunked") == ErrorKind::Busy);
    CHECK(read("Content-Length: 100") == ErrorKind::BadRequest);
    CHECK(read("Content-Length: " + std::to_string(4 * uncountedBodyBytes)) == ErrorKind::BodyTooLarge);
    REQUIRE(other.renew(0));
    CHECK(read("Content-Length: " + std::to_string(2 * uncountedBodyBytes)) == ErrorKind::BadRequest);
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
