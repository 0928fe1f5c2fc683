#pragma once

/// @file
/// @brief Message streams over TCP, for request links and job links.

#include "Asio.h"
#include "Clock.h"
#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/core/Messages.h>
#include <cowslipdoor/scheduling/JobMessages.h>
#include <cowslipdoor/wire/Frame.h>
#include <exception>
#include <functional>
#include <optional>

namespace cowslipdoor::runtime {

/// @brief Largest number of messages queued on one link; a link whose peer reads too slowly for that is closed.
constexpr std::size_t maximumOutboxMessages = 4096;

/// @brief Largest payload of a frame before the first message of a link is accepted, in bytes.
constexpr std::size_t firstFrameBytes = std::size_t { 64 } * 1024;

/// @brief Closes a link after everything queued before it is written.
struct EndLink { };

/// @brief Item in the outbox of a link.
template <typename Message>
using BasicOutboxMessage = std::variant<Message, EndLink>;

/// @brief Queue of messages to the peer of a link.
template <typename Message>
using BasicOutbox = Mailbox<BasicOutboxMessage<Message>>;

/// @brief Queues a message for the peer of a link without waiting. A full outbox is logged and counted as EventId::OutboxFull.
/// @param outbox outbox of the link
/// @param message the message
/// @param peer name of the peer in the log
/// @param log receives the event
/// @param metrics counts the event
/// @return whether the message was queued; if not, the link has to be closed, and the messages in the outbox are lost
template <typename Message>
[[nodiscard]] bool queueForPeer(const BasicOutbox<Message>& outbox, Message message, const std::string& peer, const Log& log, Metrics& metrics)
{
    if (trySend(*outbox, BasicOutboxMessage<Message>(std::move(message))))
        return true;
    if (outbox->is_open()) {
        metrics.countEvent(EventId::OutboxFull);
        log.record(EventId::OutboxFull, peer + ": " + std::to_string(maximumOutboxMessages) + " messages are lost");
    }
    return false;
}

/// @brief Called for each message to be written, with the size of its frame in bytes.
template <typename Message>
using BasicWriteObserver = std::function<void(const Message&, std::size_t)>;

/// @brief One end of a link. One task owns it and reads messages; a writer task sends the messages in the outbox.
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

    /// @param socket a connected socket
    /// @param observer called for each message to be written
    BasicFramedStream(tcp::socket socket, WriteObserver observer);

    /// @brief Starts the tasks that send the outbox and close the link when the peer is silent for too long.
    void startWriter();

    /// @brief Waits for the next message.
    /// @return the message
    /// @throws boost::system::system_error if the connection ends
    /// @throws Error with ErrorKind::BadFrame if the bytes are not a valid message
    /// @throws std::exception an unexpected error that ended the writer or the watch for silence
    [[nodiscard]] asio::awaitable<Message> receive();

    /// @return the mailbox for messages to the peer
    [[nodiscard]] const Outbox& outbox() const noexcept { return this->messages; }

    /// @brief Sets how long the peer may be silent before the connection is closed.
    void setSilenceLimit(Duration limit) noexcept { this->silenceLimit = limit; }

    /// @brief Sets the largest payload of the frames that follow, which is that of the protocol at first.
    /// @param bytes size in bytes
    void setFrameLimit(std::size_t bytes) noexcept { this->decoder.setLimit(bytes); }

    /// @brief Raises the silence limit to three heartbeat intervals of the peer, if it is lower. Writing a Welcome does so too.
    /// @param interval time between heartbeats of the peer
    void extendSilenceLimit(Duration interval) noexcept;

    /// @return whether the connection was closed for silence
    [[nodiscard]] bool closedForSilence() const noexcept { return this->silent; }

    /// @brief Closes the connection; pending reads and writes end with an error.
    void close() noexcept;

private:
    /// Closes the connection if an unexpected error ended the writer or the watch for silence; receive() throws the error.
    void endTask(const std::exception_ptr& error) noexcept;
    asio::awaitable<void> writeAll();
    /// Moves received bytes to the decoder.
    void readAvailable();
    bool encodeBatch(const OutboxMessage& first, std::string& batch);
    asio::awaitable<void> watchSilence();

    tcp::socket socket;
    WriteObserver observer;
    Outbox messages;
    asio::steady_timer watchdog;
    wire::FrameDecoder decoder;
    TimePoint lastReceivedAt;
    Duration silenceLimit = std::chrono::seconds(4);
    std::exception_ptr fault;
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

/// @brief Returns whether a message is control traffic rather than part of a request.
/// @return whether the metric of control bytes counts it
[[nodiscard]] bool isControl(const LinkMessage& message) noexcept;

}
