#include "LinkProxy.h"
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

struct LinkProxy::Session {
    explicit Session(tcp::socket agent, asio::io_context& context)
        : agent(std::move(agent))
        , entry(context)
    {
    }

    void close()
    {
        error_code ignored;
        this->agent.close(ignored);
        this->entry.close(ignored);
    }

    tcp::socket agent;
    tcp::socket entry;
};

LinkProxy::LinkProxy(const std::string& listen, std::string entry, std::uint64_t seed)
    : entry(std::move(entry))
    , context(1)
    , acceptor(this->context, parseAddress(listen))
    , random(seed)
{
    asio::co_spawn(this->context, this->acceptAll(), asio::detached);
    this->thread = std::thread([this]() { this->context.run(); });
}

LinkProxy::~LinkProxy()
{
    this->context.stop();
    this->thread.join();
}

void LinkProxy::setFaults(const LinkProxyFaults& wanted)
{
    asio::post(this->context, [this, wanted]() { this->faults = wanted; });
}

void LinkProxy::cutAll()
{
    asio::post(this->context, [this]() {
        for (const std::shared_ptr<Session>& session : this->sessions)
            session->close();
    });
}

asio::awaitable<void> LinkProxy::acceptAll()
{
    while (true) {
        std::tuple<error_code, tcp::socket> accepted = co_await this->acceptor.async_accept(asTuple);
        if (std::get<0>(accepted))
            continue;
        const std::shared_ptr<Session> session = std::make_shared<Session>(std::move(std::get<1>(accepted)), this->context);
        asio::co_spawn(this->context, this->serve(session), asio::detached);
    }
}

asio::awaitable<void> LinkProxy::serve(std::shared_ptr<Session> session)
{
    const std::tuple<error_code> connected = co_await session->entry.async_connect(parseAddress(this->entry), asTuple);
    if (std::get<0>(connected)) {
        session->close();
        co_return;
    }
    this->sessions.insert(session);
    asio::co_spawn(this->context, this->forward(session, false), asio::detached);
    co_await this->forward(session, true);
    this->sessions.erase(session);
}

asio::awaitable<void> LinkProxy::forward(std::shared_ptr<Session> session, bool fromAgent)
{
    tcp::socket& from = fromAgent ? session->agent : session->entry;
    tcp::socket& to = fromAgent ? session->entry : session->agent;
    wire::FrameDecoder decoder;
    std::array<char, 64 * 1024> buffer {};
    while (true) {
        const std::tuple<error_code, std::size_t> read = co_await from.async_read_some(asio::buffer(buffer), asTuple);
        if (std::get<0>(read))
            break;
        decoder.append({ buffer.data(), std::get<1>(read) });
        for (std::optional<std::string> payload = decoder.next(); payload; payload = decoder.next()) {
            const std::string frame = wire::frame(*payload);
            const bool isAnswer = std::holds_alternative<Answer>(wire::decode(*payload));
            if (this->faults.halfOpen)
                continue;
            if (isAnswer && this->chance(this->faults.delayedAnswersPercent)) {
                asio::co_spawn(this->context, this->sendLater(session, frame), asio::detached);
                continue;
            }
            const int copies = isAnswer && this->chance(this->faults.repeatedAnswersPercent) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                co_await asio::async_write(to, asio::buffer(frame), asTuple);
        }
    }
    session->close();
}

asio::awaitable<void> LinkProxy::sendLater(std::shared_ptr<Session> session, std::string frame)
{
    co_await pauseFor(this->faults.delay);
    co_await asio::async_write(session->entry, asio::buffer(frame), asTuple);
}

bool LinkProxy::chance(std::uint32_t percent)
{
    std::uniform_int_distribution<std::uint32_t> distribution(0, 99);
    return distribution(this->random) < percent;
}

}
