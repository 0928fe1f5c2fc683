#include "cowslipdoor/runtime/FramedStream.h"
#include <algorithm>
#include <boost/asio/write.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/core/StallGuard.h>
#include <cowslipdoor/wire/Codec.h>
#include <cowslipdoor/wire/JobCodec.h>

namespace cowslipdoor::runtime {

namespace {

    constexpr Duration silenceCheckInterval = std::chrono::milliseconds(250);
    constexpr int missedHeartbeatLimit = 3;
    constexpr std::size_t readBytes = std::size_t { 64 } * 1024;
    constexpr std::size_t writeBatchBytes = 256 * 1024;

    struct IsControl {
        bool operator()(const DispatchRequest&) const noexcept { return false; }
        bool operator()(const Answer&) const noexcept { return false; }
        bool operator()(const Cancel&) const noexcept { return false; }
        bool operator()(const Inquiry&) const noexcept { return false; }
        bool operator()(const Report&) const noexcept { return false; }
        bool operator()(const Release&) const noexcept { return false; }
        template <typename Control>
        bool operator()(const Control&) const noexcept { return true; }
    };

    void decodeInto(std::optional<LinkMessage>& message, const std::string& payload)
    {
        message.emplace(wire::decode(payload));
    }

    void decodeInto(std::optional<JobMessage>& message, const std::string& payload)
    {
        message.emplace(wire::decodeJobMessage(payload));
    }

    /// Returns the heartbeat interval that a message prescribes to the peer, if any.
    std::optional<Duration> announcedInterval(const LinkMessage& message)
    {
        const Welcome* const welcome = std::get_if<Welcome>(&message);
        return welcome ? std::optional<Duration>(welcome->heartbeatInterval) : std::nullopt;
    }

    std::optional<Duration> announcedInterval(const JobMessage&)
    {
        return std::nullopt;
    }

}

bool isControl(const LinkMessage& message) noexcept
{
    return std::visit(IsControl {}, message);
}

template <typename Message>
BasicFramedStream<Message>::BasicFramedStream(tcp::socket socket, WriteObserver observer)
    : socket(std::move(socket))
    , observer(std::move(observer))
    , messages(makeMailbox<OutboxMessage>(this->socket.get_executor(), maximumOutboxMessages))
    , watchdog(this->socket.get_executor())
    , lastReceivedAt(monotonicNow())
{
    error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
}

template <typename Message>
void BasicFramedStream<Message>::startWriter()
{
    const std::shared_ptr<BasicFramedStream> self = this->shared_from_this();
    const auto end = [self](const std::exception_ptr& error) { self->endTask(error); };
    asio::co_spawn(
        this->socket.get_executor(), [self]() { return self->writeAll(); }, end);
    asio::co_spawn(
        this->socket.get_executor(), [self]() { return self->watchSilence(); }, end);
}

template <typename Message>
asio::awaitable<Message> BasicFramedStream<Message>::receive()
{
    while (true) {
        const std::optional<std::string> payload = this->decoder.next();
        if (payload) {
            std::optional<Message> message;
            decodeInto(message, *payload);
            co_return *message;
        }
        // A link that waits holds no buffer.
        const std::tuple<error_code> readable = co_await this->socket.async_wait(tcp::socket::wait_read, asTuple);
        if (this->fault)
            std::rethrow_exception(this->fault);
        if (std::get<0>(readable))
            throw boost::system::system_error(std::get<0>(readable));
        this->readAvailable();
    }
}

template <typename Message>
void BasicFramedStream<Message>::readAvailable()
{
    std::array<char, readBytes> buffer;
    error_code error;
    const std::size_t count = this->socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block)
        return;
    if (error)
        throw boost::system::system_error(error);
    this->lastReceivedAt = monotonicNow();
    this->decoder.append({ buffer.data(), count });
}

template <typename Message>
void BasicFramedStream<Message>::extendSilenceLimit(Duration interval) noexcept
{
    this->silenceLimit = std::max(this->silenceLimit, interval * missedHeartbeatLimit);
}

template <typename Message>
void BasicFramedStream<Message>::close() noexcept
{
    if (this->closed)
        return;
    this->closed = true;
    error_code ignored;
    this->socket.close(ignored);
    this->messages->close();
    this->watchdog.cancel();
}

template <typename Message>
void BasicFramedStream<Message>::endTask(const std::exception_ptr& error) noexcept
{
    if (!error)
        return;
    this->fault = error;
    this->close();
}

template <typename Message>
asio::awaitable<void> BasicFramedStream<Message>::writeAll()
{
    std::string batch;
    bool more = true;
    while (more && !this->closed) {
        const std::tuple<error_code, OutboxMessage> received = co_await this->messages->async_receive(asTuple);
        if (std::get<0>(received))
            break;
        more = this->encodeBatch(std::get<1>(received), batch);
        const std::tuple<error_code, std::size_t> written = co_await asio::async_write(this->socket, asio::buffer(batch), asTuple);
        if (std::get<0>(written))
            this->close();
        batch.clear();
    }
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

template <typename Message>
bool BasicFramedStream<Message>::encodeBatch(const OutboxMessage& first, std::string& batch)
{
    bool ended = false;
    const auto append = [this, &batch, &ended](const OutboxMessage& item) {
        const Message* const message = std::get_if<Message>(&item);
        ended = !message;
        if (ended)
            return;
        const std::optional<Duration> interval = announcedInterval(*message);
        if (interval)
            this->extendSilenceLimit(*interval);
        const std::string bytes = wire::frame(wire::encode(*message));
        this->observer(*message, bytes.size());
        batch += bytes;
    };
    append(first);
    bool more = true;
    while (more && !ended && batch.size() < writeBatchBytes)
        more = this->messages->try_receive([&append](error_code, const OutboxMessage& item) { append(item); });
    return !ended;
}

template <typename Message>
asio::awaitable<void> BasicFramedStream<Message>::watchSilence()
{
    while (!this->closed) {
        const TimePoint due = monotonicNow() + silenceCheckInterval;
        this->watchdog.expires_after(silenceCheckInterval);
        const std::tuple<error_code> waited = co_await this->watchdog.async_wait(asTuple);
        if (std::get<0>(waited) || this->closed)
            co_return;
        const TimePoint now = monotonicNow();
        // Time in which this process was stalled does not count as silence of the peer.
        if (now - due >= stallThreshold)
            this->lastReceivedAt = std::min(now, this->lastReceivedAt + (now - due));
        this->silent = monotonicNow() - this->lastReceivedAt > this->silenceLimit;
        if (this->silent)
            this->close();
    }
}

template class BasicFramedStream<LinkMessage>;
template class BasicFramedStream<JobMessage>;

}
