#include "cowslipdoor/runtime/EntryTask.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr std::size_t inboxCapacity = 1024;

}

EntryTask::EntryTask(asio::any_io_executor executor, EntryConfig config, const Log& log, Metrics& metrics)
    : executor(std::move(executor))
    , machine(std::move(config))
    , log(log)
    , metrics(metrics)
    , messages(makeMailbox<EntryInput>(this->executor, inboxCapacity))
    , timer(this->executor)
{
}

void EntryTask::start()
{
    spawnTask(this->executor, "EntryTask", [this]() { return this->run(); });
}

asio::awaitable<void> EntryTask::run()
{
    this->step(TimePassed {});
    while (true) {
        this->armTimer();
        const std::tuple<error_code, EntryInput> received = co_await this->messages->async_receive(asTuple);
        if (std::get<0>(received))
            co_return;
        std::visit([this](const auto& message) { this->on(message); }, std::get<1>(received));
        this->deliverTimePassed();
    }
}

void EntryTask::on(const EntryEvent& event)
{
    if (std::holds_alternative<TimePassed>(event))
        return;
    const AgentLinkClosed* const closed = std::get_if<AgentLinkClosed>(&event);
    if (closed)
        this->links.erase(closed->link);
    this->step(event);
}

void EntryTask::on(const CallerAttached& message)
{
    this->callers.insert_or_assign(message.caller, message.mailbox);
}

void EntryTask::on(const CallerDetached& message)
{
    this->callers.erase(message.caller);
    this->step(CallerGone { message.caller });
}

void EntryTask::on(const AgentAttached& message)
{
    this->links.insert_or_assign(message.link, message.outbox);
    this->step(AgentLinkOpened { message.link, message.hello });
}

void EntryTask::on(const EntryStatusQuery& message)
{
    trySend(*message.reply, EntryStatus { this->machine.ready(monotonicNow()), this->machine.stopping(), this->machine.queued(), this->machine.pending(), this->machine.counters(), this->machine.router().views(), this->machine.rules() });
}

void EntryTask::on(const BurnQuery& message)
{
    trySend(*message.reply, this->machine.burn().series(monotonicNow()));
}

void EntryTask::on(const CloseIdleCallers&)
{
    for (const std::map<CallerId, Mailbox<CallerMessage>>::value_type& item : this->callers)
        trySend(*item.second, CallerMessage(CloseWhenIdle {}));
}

void EntryTask::carryOut(const SendToLink& effect)
{
    const std::map<LinkId, Outbox>::iterator it = this->links.find(effect.link);
    if (it == this->links.end() || queueForPeer(it->second, effect.message, "agent", this->log, this->metrics))
        return;
    it->second->close();
    this->links.erase(it);
}

void EntryTask::carryOut(const CloseLink& effect)
{
    const std::map<LinkId, Outbox>::iterator it = this->links.find(effect.link);
    if (it == this->links.end())
        return;
    trySend(*it->second, OutboxMessage(EndLink {}));
    this->links.erase(it);
}

void EntryTask::carryOut(const ReplyToCaller& effect)
{
    const std::map<CallerId, Mailbox<CallerMessage>>::iterator it = this->callers.find(effect.caller);
    if (it != this->callers.end())
        trySend(*it->second, CallerMessage(CallerReply { effect.id, effect.completion, this->machine.stopping() }));
}

void EntryTask::carryOut(const ObserveRequest& effect)
{
    this->metrics.observeRequest(effect.rule, effect.trafficClass, effect.outcome, effect.latency);
}

void EntryTask::carryOut(const RecordEvent& effect)
{
    this->metrics.countEvent(effect.event);
    this->log.record(effect.event, effect.detail);
}

void EntryTask::step(const EntryEvent& event)
{
    for (const EntryEffect& effect : this->machine.step(event, monotonicNow()))
        std::visit([this](const auto& alternative) { this->carryOut(alternative); }, effect);
}

std::optional<TimePoint> EntryTask::wakeupDueAt(TimePoint now)
{
    const std::optional<TimePoint> wakeup = this->machine.nextWakeup();
    if (!wakeup)
        return std::nullopt;
    const bool deferredBefore = this->stallGuard.deferring();
    const TimePoint dueAt = this->stallGuard.dueAt(*wakeup, now);
    if (this->stallGuard.deferring() && !deferredBefore)
        this->carryOut(RecordEvent { EventId::StoodStill, std::to_string(toMilliseconds(now - *wakeup)) + " ms" });
    return dueAt;
}

void EntryTask::deliverTimePassed()
{
    const TimePoint now = monotonicNow();
    const std::optional<TimePoint> dueAt = this->wakeupDueAt(now);
    if (!dueAt || *dueAt > now)
        return;
    this->stallGuard.reset();
    this->step(TimePassed {});
}

void EntryTask::armTimer()
{
    const std::optional<TimePoint> dueAt = this->wakeupDueAt(monotonicNow());
    if (!dueAt || this->timer.expiry() == toSteady(*dueAt))
        return;
    this->timer.expires_at(toSteady(*dueAt));
    const Mailbox<EntryInput> inbox = this->messages;
    this->timer.async_wait([inbox](error_code error) {
        if (!error)
            trySend(*inbox, EntryInput(EntryEvent(TimePassed {})));
    });
}

}
