#include "FaultProxy.h"
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cowslipdoor/core/Messages.h>
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/wire/Codec.h>
#include <cowslipdoor/wire/Frame.h>
#include <utility>

namespace cowslipdoor::standins {

using namespace runtime;

namespace {

    constexpr Duration releaseCheckInterval = std::chrono::milliseconds(10);

}

struct FaultProxy::Session {
    explicit Session(tcp::socket client, asio::io_context& context)
        : client(std::move(client))
        , server(context)
    {
    }

    tcp::socket& from(bool fromClient) { return fromClient ? this->client : this->server; }
    tcp::socket& to(bool fromClient) { return fromClient ? this->server : this->client; }

    /// Closes both sockets, or on a silent connection only the one that has ended.
    void closeFrom(bool fromClient)
    {
        error_code ignored;
        if (this->silent)
            this->from(fromClient).close(ignored);
        else
            this->close();
    }

    void close()
    {
        error_code ignored;
        this->client.close(ignored);
        this->server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    bool silent = false;
    /// Decoders by direction: index 0 for frames from the server, 1 for frames from the client.
    std::array<wire::FrameDecoder, 2> decoders;
};

FaultProxy::FaultProxy(const std::string& listen, std::string server, ProxyUnit unit, std::uint64_t seed)
    : server(std::move(server))
    , unit(unit)
    , context(1)
    , acceptor(this->context, parseAddress(listen))
    , random(seed)
{
    asio::co_spawn(this->context, this->acceptAll(), asio::detached);
    this->thread = std::thread([this]() { this->context.run(); });
}

FaultProxy::~FaultProxy()
{
    this->context.stop();
    this->thread.join();
}

void FaultProxy::setFaults(const ProxyFaults& faults)
{
    asio::post(this->context, [this, faults]() { this->faults = faults; });
}

void FaultProxy::dropConnections()
{
    asio::post(this->context, [this]() {
        for (const std::shared_ptr<Session>& session : this->sessions)
            session->close();
    });
}

void FaultProxy::silenceConnections()
{
    asio::post(this->context, [this]() {
        for (const std::shared_ptr<Session>& session : this->sessions)
            session->silent = true;
    });
}

asio::awaitable<void> FaultProxy::acceptAll()
{
    while (true) {
        std::tuple<error_code, tcp::socket> accepted = co_await this->acceptor.async_accept(asTuple);
        if (std::get<0>(accepted))
            continue;
        const std::shared_ptr<Session> session = std::make_shared<Session>(std::move(std::get<1>(accepted)), this->context);
        asio::co_spawn(this->context, this->serve(session), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::serve(std::shared_ptr<Session> session)
{
    const std::tuple<error_code> connected = co_await session->server.async_connect(parseAddress(this->server), asTuple);
    if (std::get<0>(connected)) {
        session->close();
        co_return;
    }
    this->sessions.insert(session);
    asio::co_spawn(this->context, this->forward(session, false), asio::detached);
    co_await this->forward(session, true);
    this->sessions.erase(session);
}

asio::awaitable<void> FaultProxy::forward(std::shared_ptr<Session> session, bool fromClient)
{
    std::array<char, 64 * 1024> buffer {};
    bool open = true;
    while (open) {
        const std::tuple<error_code, std::size_t> read = co_await session->from(fromClient).async_read_some(asio::buffer(buffer), asTuple);
        if (std::get<0>(read))
            break;
        if (this->faults.delay > Duration::zero())
            co_await pauseFor(this->faults.delay);
        co_await this->awaitRelease(session, fromClient);
        const std::string_view bytes(buffer.data(), std::get<1>(read));
        if (!session->silent)
            open = co_await this->forwardBytes(session, fromClient, bytes);
    }
    session->closeFrom(fromClient);
}

asio::awaitable<bool> FaultProxy::forwardBytes(std::shared_ptr<Session> session, bool fromClient, std::string_view bytes)
{
    if (this->unit == ProxyUnit::Bytes) {
        const std::tuple<error_code, std::size_t> written = co_await asio::async_write(session->to(fromClient), asio::buffer(bytes), asTuple);
        co_return !std::get<0>(written);
    }
    wire::FrameDecoder& decoder = session->decoders[fromClient ? 1 : 0];
    decoder.append(bytes);
    for (std::optional<std::string> payload = decoder.next(); payload; payload = decoder.next())
        co_await this->forwardFrame(session, fromClient, *payload);
    co_return true;
}

asio::awaitable<void> FaultProxy::forwardFrame(std::shared_ptr<Session> session, bool fromClient, std::string payload)
{
    if (this->faults.halfOpen)
        co_return;
    const std::string frame = wire::frame(payload);
    const bool isAnswer = std::holds_alternative<Answer>(wire::decode(payload));
    if (isAnswer && this->chance(this->faults.delayedAnswersPercent)) {
        asio::co_spawn(this->context, this->sendLater(session, frame), asio::detached);
        co_return;
    }
    const int copies = isAnswer && this->chance(this->faults.repeatedAnswersPercent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
        co_await asio::async_write(session->to(fromClient), asio::buffer(frame), asTuple);
}

asio::awaitable<void> FaultProxy::awaitRelease(std::shared_ptr<Session> session, bool fromClient)
{
    while ((fromClient ? this->faults.heldToServer : this->faults.heldToClient) && session->client.is_open())
        co_await pauseFor(releaseCheckInterval);
}

asio::awaitable<void> FaultProxy::sendLater(std::shared_ptr<Session> session, std::string frame)
{
    co_await pauseFor(this->faults.answerDelay);
    if (!session->silent)
        co_await asio::async_write(session->server, asio::buffer(frame), asTuple);
}

bool FaultProxy::chance(std::uint32_t percent)
{
    std::uniform_int_distribution<std::uint32_t> distribution(0, 99);
    return distribution(this->random) < percent;
}

}
