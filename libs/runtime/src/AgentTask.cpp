#include "cowslipdoor/runtime/AgentTask.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr std::size_t inboxCapacity = 1024;
    constexpr Duration tickInterval = std::chrono::milliseconds(100);

}

AgentTask::AgentTask(asio::any_io_executor executor, AgentConfig config, UpstreamCallerConfig callerConfig, const Log& log, Metrics& metrics)
    : executor(std::move(executor))
    , machine(std::move(config))
    , log(log)
    , metrics(metrics)
    , messages(makeMailbox<AgentInput>(this->executor, inboxCapacity))
    , drainedMailbox(makeMailbox<Drained>(this->executor, 1))
    , caller(
          this->executor, callerConfig, [inbox = this->messages](UpstreamCallEnded ended) -> asio::awaitable<void> {
              const AgentInput input { AgentEvent(ended) };
              co_await send(inbox, input);
          },
          log, metrics)
{
}

void AgentTask::start()
{
    spawnTask(this->executor, "AgentTask", [this]() { return this->run(); });
    spawnTask(this->executor, "timer of AgentTask", [this]() { return this->tick(); });
}

asio::awaitable<void> AgentTask::run()
{
    this->step(TimePassed {});
    while (true) {
        const std::tuple<error_code, AgentInput> received = co_await this->messages->async_receive(asTuple);
        if (std::get<0>(received))
            co_return;
        std::visit([this](const auto& message) { this->on(message); }, std::get<1>(received));
    }
}

asio::awaitable<void> AgentTask::tick()
{
    asio::steady_timer timer(this->executor);
    while (true) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asTuple);
        const AgentInput timePassed(AgentEvent(TimePassed {}));
        co_await send(this->messages, timePassed);
    }
}

void AgentTask::on(const AgentEvent& event)
{
    const EntryLinkClosed* const closed = std::get_if<EntryLinkClosed>(&event);
    if (closed)
        this->links.erase(closed->link);
    this->step(event);
}

void AgentTask::on(const AnnouncementReceived& message)
{
    const CallerId announcer { ++this->lastAnnouncer };
    this->announcers.emplace(announcer, message.reply);
    this->step(UpstreamAnnounced { announcer, message.announcement });
}

void AgentTask::on(const EntryAttached& message)
{
    this->links.insert_or_assign(message.link, message.outbox);
    this->step(EntryLinkOpened { message.link, message.welcome });
}

void AgentTask::on(const HelloQuery& message)
{
    trySend(*message.reply, this->machine.hello());
}

void AgentTask::on(const AgentStatusQuery& message)
{
    trySend(*message.reply, AgentStatus { this->machine.load(), this->machine.activeCalls(), this->machine.admission().allocationCount(), this->machine.ledger().size(), this->links.size(), this->machine.rules().version() });
}

void AgentTask::on(const CloseLinks&)
{
    for (const std::map<LinkId, Outbox>::value_type& item : this->links)
        trySend(*item.second, OutboxMessage(EndLink {}));
    this->links.clear();
}

void AgentTask::carryOut(const SendToLink& effect)
{
    const std::map<LinkId, Outbox>::iterator it = this->links.find(effect.link);
    if (it == this->links.end() || queueForPeer(it->second, effect.message, "entry", this->log, this->metrics))
        return;
    it->second->close();
    this->links.erase(it);
}

void AgentTask::carryOut(const CallUpstream& effect)
{
    this->caller.start(effect);
}

void AgentTask::carryOut(const AbandonCall& effect)
{
    this->caller.abandon(effect);
}

void AgentTask::carryOut(const ReplyToAnnouncement& effect)
{
    const std::map<CallerId, Mailbox<AnnouncementReply>>::iterator it = this->announcers.find(effect.caller);
    if (it == this->announcers.end())
        return;
    trySend(*it->second, effect.reply);
    this->announcers.erase(it);
}

void AgentTask::carryOut(const RecordEvent& effect)
{
    this->metrics.countEvent(effect.event);
    this->log.record(effect.event, effect.detail);
}

void AgentTask::carryOut(const Drained& effect)
{
    trySend(*this->drainedMailbox, effect);
}

void AgentTask::step(const AgentEvent& event)
{
    for (const AgentEffect& effect : this->machine.step(event, monotonicNow()))
        std::visit([this](const auto& alternative) { this->carryOut(alternative); }, effect);
}

}
