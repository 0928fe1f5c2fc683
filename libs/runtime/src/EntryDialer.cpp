#include "cowslipdoor/runtime/EntryDialer.h"
#include "cowslipdoor/runtime/Address.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/core/Rendezvous.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr Duration firstReconnectDelay = std::chrono::milliseconds(50);
    constexpr Duration longestReconnectDelay = std::chrono::milliseconds(1000);

}

EntryDialer::EntryDialer(asio::any_io_executor executor, EntryDialerConfig config, Mailbox<AgentInput> agent, const Log& log, Metrics& metrics)
    : executor(std::move(executor))
    , config(std::move(config))
    , agent(std::move(agent))
    , log(log)
    , metrics(metrics)
    , random(std::random_device {}())
{
}

void EntryDialer::start()
{
    for (const std::string& address : chooseNodes(this->config.agent, this->config.entries, this->config.maximumLinks))
        spawnTask(this->executor, "EntryDialer", [this, address]() { return this->keepLinked(address); });
}

asio::awaitable<void> EntryDialer::keepLinked(std::string address)
{
    asio::steady_timer pause(this->executor);
    std::uint32_t failures = 0;
    while (!this->stopping) {
        const std::uint64_t linksBefore = this->lastLink;
        co_await this->linkOnce(address);
        failures = this->lastLink == linksBefore ? failures + 1 : 0;
        pause.expires_after(this->reconnectDelay(failures));
        co_await pause.async_wait(asTuple);
    }
}

asio::awaitable<void> EntryDialer::linkOnce(std::string address)
{
    tcp::socket socket(this->executor);
    const std::tuple<error_code> connected = co_await socket.async_connect(parseAddress(address), asTuple);
    if (std::get<0>(connected))
        co_return;
    const std::shared_ptr<FramedStream> stream = std::make_shared<FramedStream>(std::move(socket), [this](const LinkMessage& message, std::size_t bytes) {
        if (isControl(message))
            this->metrics.countControlBytes(bytes);
    });
    stream->setSilenceLimit(this->config.silenceLimit);
    stream->startWriter();
    std::optional<LinkId> link;
    try {
        const Mailbox<Hello> reply = makeMailbox<Hello>(this->executor, 1);
        const AgentInput helloQuery(HelloQuery { reply });
        co_await send(this->agent, helloQuery);
        const std::tuple<error_code, Hello> hello = co_await reply->async_receive(asTuple);
        trySend(*stream->outbox(), OutboxMessage(LinkMessage(std::get<1>(hello))));
        const LinkMessage first = co_await stream->receive();
        const Welcome* const welcome = std::get_if<Welcome>(&first);
        if (!welcome)
            throw Error(ErrorKind::BadFrame, "the first message from the entry is not a Welcome");
        // The links have been asked to close already, so nothing would close this one.
        if (this->stopping) {
            stream->close();
            co_return;
        }
        stream->extendSilenceLimit(welcome->heartbeatInterval);
        link = LinkId { ++this->lastLink };
        this->log.record(EventId::LinkOpened, welcome->entry + " at " + address);
        ++this->open;
        const AgentInput entryAttached(EntryAttached { *link, *welcome, stream->outbox() });
        co_await send(this->agent, entryAttached);
        while (true) {
            const LinkMessage message = co_await stream->receive();
            const AgentInput entryMessage(AgentEvent(EntryMessage { *link, message }));
            co_await send(this->agent, entryMessage);
        }
    } catch (const Error& error) {
        this->metrics.countEvent(EventId::FrameRefused);
        this->log.record(EventId::FrameRefused, address + ": " + error.what());
    } catch (const boost::system::system_error& error) {
        this->log.record(stream->closedForSilence() ? EventId::LinkSilent : EventId::LinkClosed, address + ": " + error.code().message());
    } catch (const std::exception& error) {
        recordConnectionFault(this->log, this->metrics, "link to " + address + ": " + error.what());
    }
    stream->close();
    if (!link)
        co_return;
    --this->open;
    const AgentInput entryLinkClosed(AgentEvent(EntryLinkClosed { *link }));
    co_await send(this->agent, entryLinkClosed);
}

Duration EntryDialer::reconnectDelay(std::uint32_t failures)
{
    const Duration whole = exponentialBackoff(firstReconnectDelay, failures, longestReconnectDelay);
    std::uniform_int_distribution<Duration::rep> distribution(whole.count() / 2, whole.count());
    return Duration(distribution(this->random));
}

}
