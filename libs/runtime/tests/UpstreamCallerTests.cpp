#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/UpstreamCaller.h>
#include <optional>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

namespace {

/// Upstream that reads one request on each connection, sends the prepared bytes and closes the connection.
class ScriptedUpstream {
public:
    ScriptedUpstream(asio::io_context& context, std::vector<std::string> answers)
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , answers(std::move(answers))
    {
        asio::co_spawn(context, this->serve(), asio::detached);
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    std::vector<std::string> requests;

private:
    asio::awaitable<void> serve()
    {
        for (const std::string& answer : this->answers) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            std::array<char, 4096> buffer {};
            const std::size_t count = co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
            this->requests.emplace_back(buffer.data(), count);
            co_await asio::async_write(socket, asio::buffer(answer), asTuple);
        }
    }

    tcp::acceptor acceptor;
    std::vector<std::string> answers;
};

CallUpstream callTo(const std::string& address, bool idempotent, Duration timeout = std::chrono::seconds(10))
{
    return { { 1, 2 }, { { Incarnation { 3 }, 1 }, 1 }, address, { "GET", "/x", "siti", { { "X-User", "siti" } } }, Bytes(), defaultDemand, idempotent, timeout };
}

std::vector<Completion> endsOf(asio::io_context& context, const std::vector<CallUpstream>& calls, const UpstreamCallerConfig& config = {})
{
    std::vector<Completion> ends;
    const Log log("test", LogForm::Text, EventLevel::Error);
    Metrics metrics;
    UpstreamCaller caller(
        context.get_executor(), config, [&ends](UpstreamCallEnded ended) -> asio::awaitable<void> {
            ends.push_back(ended.completion);
            co_return;
        },
        log, metrics);
    for (const CallUpstream& call : calls) {
        caller.start(call);
        context.restart();
        const std::size_t before = ends.size();
        while (ends.size() == before && context.run_one_for(std::chrono::seconds(20)) > 0) { }
    }
    return ends;
}

/// Address of a closed listener.
std::string closedAddress()
{
    asio::io_context context(1);
    const tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

ErrorKind kindOf(const Completion& completion)
{
    return std::get<FailureReason>(completion).kind;
}

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nok";

}

TEST_CASE("upstream caller: a complete answer is returned, and the request carries its identifier", "[upstream]")
{
    asio::io_context context(1);
    ScriptedUpstream upstream(context, { whole });
    const std::vector<Completion> ends = endsOf(context, { callTo(upstream.address(), false) });
    const Response& response = std::get<Response>(ends.at(0));
    CHECK(response.body.view() == "ok");
    CHECK(response.headers == std::vector<Header> { { "X-A", "b" } });
    CHECK(upstream.requests.at(0).find("Cowslipdoor-Request-Id: 00000000000000010000000000000002\r\n") != std::string::npos);
    CHECK(upstream.requests.at(0).find("Cowslipdoor-Idempotent: no\r\n") != std::string::npos);
}

TEST_CASE("upstream caller: each failure has its own error kind", "[upstream]")
{
    asio::io_context context(1);
    SECTION("truncated")
    {
        ScriptedUpstream upstream(context, { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" });
        CHECK(kindOf(endsOf(context, { callTo(upstream.address(), true) }).at(0)) == ErrorKind::UpstreamTruncated);
    }
    SECTION("closed without a byte")
    {
        ScriptedUpstream upstream(context, { "" });
        CHECK(kindOf(endsOf(context, { callTo(upstream.address(), false) }).at(0)) == ErrorKind::UpstreamTruncated);
    }
    SECTION("not HTTP")
    {
        ScriptedUpstream upstream(context, { "garbage\r\n\r\n" });
        CHECK(kindOf(endsOf(context, { callTo(upstream.address(), true) }).at(0)) == ErrorKind::UpstreamBadAnswer);
    }
    SECTION("too large")
    {
        ScriptedUpstream upstream(context, { "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + std::string(99, 'x') });
        CHECK(kindOf(endsOf(context, { callTo(upstream.address(), true) }, { .bodyBytes = 50 }).at(0)) == ErrorKind::AnswerTooLarge);
    }
    SECTION("unreachable")
    {
        const std::string address = closedAddress();
        CHECK(kindOf(endsOf(context, { callTo(address, true) }).at(0)) == ErrorKind::UpstreamUnreachable);
    }
    SECTION("silent")
    {
        tcp::acceptor silent(context, { asio::ip::make_address("127.0.0.1"), 0 });
        const std::string address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
        CHECK(kindOf(endsOf(context, { callTo(address, true, std::chrono::milliseconds(30)) }).at(0)) == ErrorKind::UpstreamTimeout);
    }
}

TEST_CASE("upstream caller: a stale keep-alive connection is replaced for idempotent calls", "[upstream]")
{
    asio::io_context context(1);
    ScriptedUpstream upstream(context, { whole, whole });
    const CallUpstream call = callTo(upstream.address(), true);
    const std::vector<Completion> ends = endsOf(context, { call, call });
    REQUIRE(ends.size() == 2);
    CHECK(std::holds_alternative<Response>(ends[1]));
}

TEST_CASE("upstream caller: a call that ends with an unexpected error is reported as an internal error with unknown outcome", "[upstream]")
{
    // Such a call was never reported, so the agent kept its capacity allocated and its drain waited for it.
    asio::io_context context(1);
    const std::vector<Completion> ends = endsOf(context, { callTo("not an address", true) });
    REQUIRE(ends.size() == 1);
    const FailureReason* const failure = std::get_if<FailureReason>(&ends.front());
    REQUIRE(failure);
    CHECK(failure->kind == ErrorKind::Internal);
    CHECK(describeError(failure->kind).outcome == Outcome::Unknown);
}
