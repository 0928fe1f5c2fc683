#pragma once

/// @file
/// @brief Messages on a TCP connection: links of requests, and links of jobs.

#include "Asio.h"
#include "Clock.h"
#include <cowslipdoor/core/Messages.h>
#include <cowslipdoor/scheduling/JobMessages.h>
#include <cowslipdoor/wire/Frame.h>
#include <functional>
#include <optional>

namespace cowslipdoor::runtime {

/// @brief Messages that wait at most to be written on one link; a reader slower than that loses its link.
constexpr std::size_t maximumOutboxMessages = 4096;

/// @brief Ends a link once everything before it is written.
struct EndLink { };

/// @brief What waits to be written on a link.
template <typename Message>
using BasicOutboxMessage = std::variant<Message, EndLink>;

/// @brief Where tasks put what they have for a peer.
template <typename Message>
using BasicOutbox = Mailbox<BasicOutboxMessage<Message>>;

/// @brief Counts the bytes of messages written; called with the message and its bytes on the wire.
template <typename Message>
using BasicWriteObserver = std::function<void(const Message&, std::size_t)>;

/// @brief One end of a link; belongs to one task, which reads, and whose writer empties the outbox.
/// @code
/// const std::shared_ptr<FramedStream> stream = std::make_shared<FramedStream>(std::move(socket), observer);
/// stream->startWriter();
/// const LinkMessage message = co_await stream->receive();
/// @endcode
/// @tparam Message LinkMessage or JobMessage
template <typename Message>
class BasicFramedStream : public std::enable_shared_from_this<BasicFramedStream<Message>> {
public:
    using OutboxMessage = BasicOutboxMessage<Message>;
    using Outbox = BasicOutbox<Message>;
    using WriteObserver = BasicWriteObserver<Message>;

    /// @param socket the connected socket
    /// @param observer told of each message written
    BasicFramedStream(tcp::socket socket, WriteObserver observer);

    /// @brief Starts writing what comes to the outbox, and watching for silence.
    void startWriter();

    /// @brief Reads the next message.
    /// @return the message
    /// @throws boost::system::system_error when the connection ends
    /// @throws Error with ErrorKind::BadFrame when the bytes are not a message
    [[nodiscard]] asio::awaitable<Message> receive();

    /// @return where to send messages for the peer
    [[nodiscard]] const Outbox& outbox() const noexcept { return this->messages; }

    /// @brief Sets how long the peer may be silent before the connection is closed.
    /// @param limit the longest silence
    void setSilenceLimit(Duration limit) noexcept { this->silenceLimit = limit; }

    /// @brief Lengthens the allowed silence where heartbeats come seldom; a Welcome that is written does so by itself.
    /// @param interval time between heartbeats of the peer
    void extendSilenceLimit(Duration interval) noexcept;

    /// @return whether the connection was closed for silence
    [[nodiscard]] bool closedForSilence() const noexcept { return this->silent; }

    /// @brief Closes the connection; the reader and the writer end.
    void close() noexcept;

private:
    asio::awaitable<void> writeAll();
    bool encodeBatch(const OutboxMessage& first, std::string& batch);
    asio::awaitable<void> watchSilence();

    tcp::socket socket;
    WriteObserver observer;
    Outbox messages;
    asio::steady_timer watchdog;
    wire::FrameDecoder decoder;
    std::array<char, 64 * 1024> buffer {};
    TimePoint lastReceivedAt;
    Duration silenceLimit = std::chrono::seconds(4);
    bool silent = false;
    bool closed = false;
};

/// @brief Link between an entry and an agent for requests.
using FramedStream = BasicFramedStream<LinkMessage>;
using OutboxMessage = FramedStream::OutboxMessage;
using Outbox = FramedStream::Outbox;
using WriteObserver = FramedStream::WriteObserver;

/// @brief Link between the leader and an agent for jobs.
using JobStream = BasicFramedStream<JobMessage>;
using JobOutboxMessage = JobStream::OutboxMessage;
using JobOutbox = JobStream::Outbox;

/// @brief Tells whether a message belongs to control rather than to a request.
/// @param message the message
/// @return whether it is counted as control traffic
[[nodiscard]] bool isControl(const LinkMessage& message) noexcept;

}
