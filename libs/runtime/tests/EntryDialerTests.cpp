#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/EntryDialer.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using std::chrono::milliseconds;

namespace {

/// A dialer with a task that stands in for the agent's, and an entry that sends its welcome only when the test asks for it.
struct EntryDialerUnderTest {
    asio::io_context context { 1 };
    Log log { "test", LogForm::Text, EventLevel::Error };
    Metrics metrics {};
    tcp::acceptor acceptor { this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
    Mailbox<AgentInput> agent = makeMailbox<AgentInput>(this->context.get_executor(), 16);
    EntryDialer dialer { this->context.get_executor(), this->config(), this->agent, this->log, this->metrics };
    /// The entry's end of the last link.
    std::shared_ptr<FramedStream> entry {};
    std::size_t hellos = 0;
    std::size_t attached = 0;
    std::size_t closed = 0;

    EntryDialerUnderTest()
    {
        asio::co_spawn(
            this->context, [this]() { return this->serveAgent(); }, asio::detached);
        asio::co_spawn(
            this->context, [this]() { return this->serveEntry(); }, asio::detached);
        this->dialer.start();
    }

    [[nodiscard]] EntryDialerConfig config() const
    {
        return { "agent", { "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) }, 1, std::chrono::seconds(4) };
    }

    asio::awaitable<void> serveAgent()
    {
        while (true) {
            const std::tuple<error_code, AgentInput> received = co_await this->agent->async_receive(asTuple);
            const HelloQuery* const query = std::get_if<HelloQuery>(&std::get<1>(received));
            if (query)
                trySend(*query->reply, Hello { "agent" });
            this->attached += std::holds_alternative<EntryAttached>(std::get<1>(received)) ? 1 : 0;
        }
    }

    asio::awaitable<void> serveEntry()
    {
        while (true) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            this->entry = std::make_shared<FramedStream>(std::move(socket), [](const LinkMessage&, std::size_t) {});
            this->entry->startWriter();
            try {
                while (true) {
                    const LinkMessage message = co_await this->entry->receive();
                    this->hellos += std::holds_alternative<Hello>(message) ? 1 : 0;
                }
            } catch (const boost::system::system_error&) {
                ++this->closed;
            }
            this->entry->close();
        }
    }

    void welcome()
    {
        const Welcome welcome { .entry = "entry", .heartbeatInterval = std::chrono::seconds(1) };
        REQUIRE(trySend(*this->entry->outbox(), OutboxMessage(LinkMessage(welcome))));
    }

    /// Runs until the entry has received the hello of the first link.
    void awaitHello()
    {
        for (int attempt = 0; attempt < 100 && this->hellos == 0; ++attempt)
            this->context.run_for(milliseconds(20));
        REQUIRE(this->hellos == 1);
    }
};

}

TEST_CASE("entry dialer: a link whose welcome arrives after the dialer was stopped is closed at once", "[link]")
{
    // An agent at the end of its drain asks its open links to close and waits 5 s for them. Such a link was opened after that,
    // so nothing closed it, and the process exited with code 1 although no call was cut off.
    EntryDialerUnderTest test;
    test.awaitHello();
    test.dialer.stop();
    test.welcome();
    test.context.run_for(milliseconds(300));
    CHECK(test.dialer.openLinks() == 0);
    CHECK(test.attached == 0);
    CHECK(test.closed == 1);
    CHECK(test.hellos == 1);
}

TEST_CASE("entry dialer: a link that was open when the dialer was stopped stays open and counts as open", "[link]")
{
    // The queued messages of such a link are written before it is closed, for which the process waits.
    EntryDialerUnderTest test;
    test.awaitHello();
    test.welcome();
    test.context.run_for(milliseconds(300));
    REQUIRE(test.dialer.openLinks() == 1);
    test.dialer.stop();
    test.context.run_for(milliseconds(300));
    CHECK(test.dialer.openLinks() == 1);
    CHECK(test.attached == 1);
    CHECK(test.closed == 0);
}
