#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/FramedStream.h>
#include <cowslipdoor/wire/Codec.h>
#include <optional>
#include <stdexcept>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

namespace {

/// Two sockets connected over loopback.
struct SocketPair {
    explicit SocketPair(asio::io_context& context)
        : near(context)
        , far(context)
    {
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        this->near.connect(acceptor.local_endpoint());
        this->far = acceptor.accept();
    }

    tcp::socket near;
    tcp::socket far;
};

std::shared_ptr<FramedStream> streamOn(tcp::socket socket)
{
    return std::make_shared<FramedStream>(std::move(socket), [](const LinkMessage&, std::size_t) {});
}

asio::awaitable<void> receiveInto(std::shared_ptr<FramedStream> stream, std::vector<LinkMessage>& messages, std::optional<ErrorKind>& failure)
{
    try {
        while (true)
            messages.push_back(co_await stream->receive());
    } catch (const Error& error) {
        failure = error.kind();
    } catch (const boost::system::system_error&) {
        failure = std::nullopt;
    }
    stream->close();
}

}

TEST_CASE("framed stream: messages arrive in order, and queued ones are written before the link is closed", "[stream]")
{
    asio::io_context context(1);
    SocketPair pair(context);
    const std::shared_ptr<FramedStream> sender = streamOn(std::move(pair.near));
    const std::shared_ptr<FramedStream> receiver = streamOn(std::move(pair.far));
    sender->startWriter();
    for (std::uint64_t version = 1; version <= 1000; ++version)
        REQUIRE(trySend(*sender->outbox(), OutboxMessage(LinkMessage(Heartbeat { version, 0 }))));
    REQUIRE(trySend(*sender->outbox(), OutboxMessage(EndLink {})));
    std::vector<LinkMessage> messages;
    std::optional<ErrorKind> failure;
    asio::co_spawn(context, receiveInto(receiver, messages, failure), asio::detached);
    context.run_for(std::chrono::seconds(20));
    REQUIRE(messages.size() == 1000);
    CHECK((messages.back() == LinkMessage(Heartbeat { 1000, 0 })));
}

TEST_CASE("framed stream: bytes that are not a frame end the link with an error", "[stream]")
{
    const std::string bytes = GENERATE(std::string("\xff\xff\xff\xff rest"), std::string("\x04\0\0\0junk", 8), std::string("GET / HTTP/1.1\r\n\r\n"));
    asio::io_context context(1);
    SocketPair pair(context);
    asio::write(pair.near, asio::buffer(bytes));
    std::vector<LinkMessage> messages;
    std::optional<ErrorKind> failure;
    asio::co_spawn(context, receiveInto(streamOn(std::move(pair.far)), messages, failure), asio::detached);
    context.run_for(std::chrono::seconds(20));
    CHECK(failure == ErrorKind::BadFrame);
    CHECK(messages.empty());
}

TEST_CASE("framed stream: a silent peer is detected", "[stream]")
{
    asio::io_context context(1);
    SocketPair pair(context);
    const std::shared_ptr<FramedStream> stream = streamOn(std::move(pair.far));
    stream->setSilenceLimit(std::chrono::milliseconds(1));
    stream->startWriter();
    std::vector<LinkMessage> messages;
    std::optional<ErrorKind> failure;
    asio::co_spawn(context, receiveInto(stream, messages, failure), asio::detached);
    context.run_for(std::chrono::seconds(20));
    CHECK(stream->closedForSilence());
}

TEST_CASE("framed stream: an outbox without a writer accepts a bounded number of messages", "[stream]")
{
    asio::io_context context(1);
    SocketPair pair(context);
    const std::shared_ptr<FramedStream> stream = streamOn(std::move(pair.far));
    std::size_t taken = 0;
    while (taken <= maximumOutboxMessages && trySend(*stream->outbox(), OutboxMessage(LinkMessage(Heartbeat { 1, 0 }))))
        ++taken;
    CHECK(taken == maximumOutboxMessages);
}

TEST_CASE("framed stream: an unexpected error of the writer closes the link and reaches its owner", "[stream]")
{
    // The link stayed open without a writer, and nothing was logged.
    asio::io_context context(1);
    SocketPair pair(context);
    const std::shared_ptr<FramedStream> stream = std::make_shared<FramedStream>(std::move(pair.far), [](const LinkMessage&, std::size_t) { throw std::length_error("too long"); });
    stream->startWriter();
    REQUIRE(trySend(*stream->outbox(), OutboxMessage(LinkMessage(Heartbeat { 1, 0 }))));
    std::string fault;
    const auto receive = [&stream, &fault]() -> asio::awaitable<void> {
        try {
            co_await stream->receive();
        } catch (const std::exception& error) {
            fault = error.what();
        }
    };
    asio::co_spawn(context, receive, asio::detached);
    context.run_for(std::chrono::seconds(2));
    CHECK(fault == "too long");
    std::array<char, 1> byte {};
    error_code end;
    pair.near.non_blocking(true);
    pair.near.read_some(asio::buffer(byte), end);
    CHECK((end && end != asio::error::would_block));
}
