#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/AgentDialer.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using std::chrono::milliseconds;

namespace {

/// A dialer, and a listener that accepts its links and keeps them open.
struct DialerUnderTest {
    asio::io_context context { 1 };
    Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics {};
    tcp::acceptor acceptor { this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::vector<tcp::socket> accepted {};
    /// Whether links are closed as soon as they are accepted.
    bool refuses = false;
    AgentDialer dialer { this->context.get_executor(), AgentDialerConfig {}, [](const SchedulerEvent&) -> asio::awaitable<void> { co_return; }, this->log, this->metrics };

    DialerUnderTest()
    {
        asio::co_spawn(
            this->context, [this]() { return this->acceptAll(); }, asio::detached);
    }

    asio::awaitable<void> acceptAll()
    {
        while (true) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            if (this->refuses)
                socket.close();
            this->accepted.push_back(std::move(socket));
        }
    }

    void keepLinked() { this->dialer.keepLinked("agent", "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port())); }
};

}

TEST_CASE("agent dialer: an agent has one link, even if all links are closed and it is linked again at once", "[jobs]")
{
    DialerUnderTest test;
    test.keepLinked();
    test.keepLinked();
    test.context.run_for(milliseconds(100));
    CHECK(test.accepted.size() == 1);
    test.dialer.closeAll();
    test.keepLinked();
    // Longer than the delay after which the task of the first link would dial again.
    test.context.run_for(milliseconds(600));
    CHECK(test.accepted.size() == 2);
}

TEST_CASE("agent dialer: an agent that refuses links is dialled with growing delays, and with the shortest one after a link that it kept", "[jobs]")
{
    // A leader that the store refuses does not learn that it has lost leadership. Agents that follow its successor refuse
    // its links; without backoff each did so five times a second.
    DialerUnderTest test;
    test.refuses = true;
    test.keepLinked();
    test.context.run_for(milliseconds(3100));
    // Dialled at 0, 0.2, 0.6, 1.4 and 2.4 s.
    CHECK(test.accepted.size() == 5);
    test.refuses = false;
    test.context.run_for(milliseconds(1600));
    REQUIRE(test.accepted.size() == 6);
    test.accepted.back().close();
    test.context.run_for(milliseconds(700));
    CHECK(test.accepted.size() == 7);
}

TEST_CASE("agent dialer: a malformed address is counted and ignored, and the agent's next address is used", "[jobs]")
{
    // The agents' table may hold rows of another writer.
    DialerUnderTest test;
    for (const char* const address : { "127.0.0.1:99999", "127.0.0.1:-1", "somewhere:80", "127.0.0.1", "" })
        test.dialer.keepLinked("agent", address);
    test.context.run_for(milliseconds(300));
    CHECK(test.metrics.expose().find("event=\"row_ignored\"} 5") != std::string::npos);
    CHECK(test.accepted.empty());
    test.keepLinked();
    test.context.run_for(milliseconds(300));
    CHECK(test.accepted.size() == 1);
}

// Guards against orders that are lost with a full outbox without a trace in logs and metrics.
TEST_CASE("agent dialer: a link that is closed for a full outbox is counted once", "[jobs]")
{
    DialerUnderTest test;
    test.keepLinked();
    test.context.run_for(milliseconds(100));
    REQUIRE(test.accepted.size() == 1);
    for (std::size_t number = 0; number <= maximumOutboxMessages + 10; ++number)
        test.dialer.send(LinkId { 1 }, Pong { 1 });
    CHECK(test.metrics.expose().find("event=\"outbox_full\"} 1") != std::string::npos);
}
