#include "cowslipdoor/runtime/LinkServer.h"
#include <cowslipdoor/core/Error.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr Duration helloLimit = std::chrono::seconds(5);

}

LinkServer::LinkServer(asio::any_io_executor executor, const std::string& address, Mailbox<EntryInput> entry, Duration silenceLimit, ClientLimiter& limiter, std::size_t helloLimit, const Log& log, Metrics& metrics)
    : entry(std::move(entry))
    , silenceLimit(silenceLimit)
    , limiter(limiter)
    , port(limiter.addPort(helloLimitName, helloLimit))
    , log(log)
    , metrics(metrics)
    , listener(std::move(executor), address, limiter.guarded([this](tcp::socket socket) { return this->serve(std::move(socket)); }))
{
}

void LinkServer::start()
{
    this->listener.start();
}

asio::awaitable<void> LinkServer::serve(tcp::socket socket)
{
    const std::shared_ptr<FramedStream> stream = std::make_shared<FramedStream>(std::move(socket), [this](const LinkMessage& message, std::size_t bytes) {
        if (isControl(message))
            this->metrics.countControlBytes(bytes);
    });
    std::unique_ptr<ClientTicket> ticket = this->limiter.admit(this->port, [stream]() { stream->close(); });
    if (!ticket)
        co_return;
    stream->setSilenceLimit(helloLimit);
    stream->setFrameLimit(firstFrameBytes);
    stream->startWriter();
    const LinkId link { ++this->lastLink };
    bool attached = false;
    try {
        const LinkMessage first = co_await stream->receive();
        const Hello* const hello = std::get_if<Hello>(&first);
        if (!hello || hello->agent.empty())
            throw Error(ErrorKind::BadFrame, "the first message from the agent is not a Hello with the agent's name");
        ticket.reset();
        stream->setFrameLimit(wire::maximumPayloadBytes);
        stream->setSilenceLimit(this->silenceLimit);
        const EntryInput agentAttached(AgentAttached { link, *hello, stream->outbox() });
        attached = co_await send(this->entry, agentAttached);
        co_await this->relayAll(*stream, link);
    } catch (const Error& error) {
        this->metrics.countEvent(attached ? EventId::FrameRefused : EventId::LinkRefused);
        this->log.record(attached ? EventId::FrameRefused : EventId::LinkRefused, error.what());
    } catch (const boost::system::system_error&) {
        if (stream->closedForSilence())
            this->log.record(EventId::LinkSilent, "link of an agent");
    } catch (const std::exception& error) {
        this->limiter.recordFault(error.what());
    }
    stream->close();
    if (!attached)
        co_return;
    const EntryInput agentLinkClosed(EntryEvent(AgentLinkClosed { link }));
    co_await send(this->entry, agentLinkClosed);
}

asio::awaitable<void> LinkServer::relayAll(FramedStream& stream, LinkId link)
{
    bool taken = true;
    while (taken) {
        const LinkMessage message = co_await stream.receive();
        const EntryInput agentMessage(EntryEvent(AgentMessage { link, message }));
        taken = co_await send(this->entry, agentMessage);
    }
}

}
