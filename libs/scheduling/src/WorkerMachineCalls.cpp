#include "cowslipdoor/scheduling/WorkerMachine.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

void WorkerMachine::onOrderAnswered(const StartOrder& order, const OrderAnswered& event, TimePoint now, Effects& effects)
{
    const RunId& run = order.order.run;
    effects.emplace_back(RecordEvent { event.accepted ? EventId::RunStarted : EventId::RunRejectedByWorker, describe(run) + (event.accepted ? "" : ": " + event.reason) });
    if (!event.accepted) {
        this->reject(run, event.reason, effects);
        return;
    }
    this->incarnation->started.insert_or_assign(run, CallNumber { this->lastCall + 1 });
    this->orderPaces(this->paceControl.started(run, now));
}

void WorkerMachine::onOrderAnswered(const StopOrder&, const OrderAnswered&, TimePoint, Effects&)
{
}

void WorkerMachine::onOrderAnswered(const ChangePace& order, const OrderAnswered& event, TimePoint, Effects&)
{
    if (!event.accepted)
        this->paceControl.markPaceUnknown(order.run);
}

void WorkerMachine::voidOrder(const std::string& reason, TimePoint now, Effects& effects)
{
    const Order order = std::exchange(this->orderInFlight, std::nullopt)->order;
    std::visit([this](const auto& alternative) { this->onOrderUnanswered(alternative); }, order);
    this->incarnation->answersConfirmed = false;
    ++this->tokenRaises;
    // The poll in flight shows nothing about the order; another one is sent at once.
    this->pollInFlight.reset();
    this->nextPollAt = now;
    effects.emplace_back(RecordEvent { EventId::OrderUnanswered, reason + "; fencing token raised to " + std::to_string(this->token()) });
    this->sendSnapshot(effects);
}

void WorkerMachine::onOrderUnanswered(const StartOrder& order)
{
    if (this->incarnation)
        this->incarnation->unconfirmedStarts.insert(order.order.run);
}

void WorkerMachine::onOrderUnanswered(const StopOrder&)
{
}

void WorkerMachine::onOrderUnanswered(const ChangePace& order)
{
    this->paceControl.markPaceUnknown(order.run);
}

void WorkerMachine::sendCall(const StartOrder& order, TimePoint now, Effects& effects)
{
    const CallNumber call = this->nextCall();
    this->orderInFlight = OrderInFlight { call, order, now };
    effects.emplace_back(CallStart { call, this->incarnation->info.identity.id, this->token(), order.order.run, order.order.payload, order.order.checkpoint, this->leaseUntil(now) });
}

void WorkerMachine::sendCall(const StopOrder& order, TimePoint now, Effects& effects)
{
    const CallNumber call = this->nextCall();
    this->orderInFlight = OrderInFlight { call, order, now };
    effects.emplace_back(CallStop { call, this->incarnation->info.identity.id, this->token(), order.run });
}

void WorkerMachine::sendCall(const ChangePace& order, TimePoint now, Effects& effects)
{
    const CallNumber call = this->nextCall();
    this->orderInFlight = OrderInFlight { call, order, now };
    effects.emplace_back(CallPace { call, this->incarnation->info.identity.id, this->token(), order.run, order.percent });
}

void WorkerMachine::poll(TimePoint now, Duration wait, Effects& effects)
{
    const CallNumber call = this->nextCall();
    std::optional<std::int64_t> lease;
    if (this->mayRenew(now))
        lease = this->leaseUntil(now);
    const std::uint64_t acknowledges = this->mayAcknowledge() ? this->incarnation->acknowledged : 0;
    this->pollInFlight = PollInFlight { call, this->token(), wait, now, lease.has_value(), acknowledges };
    effects.emplace_back(CallPoll { call, this->incarnation->info.identity.id, this->token(), acknowledges, lease, wait });
}

void WorkerMachine::sendOrder(TimePoint now, Effects& effects)
{
    this->rejectLateStarts(now, effects);
    if (this->orders.empty() || (std::holds_alternative<StartOrder>(this->orders.front()) && !this->mayRenew(now)))
        return;
    const Order order = this->orders.front();
    this->orders.pop_front();
    std::visit([this, now, &effects](const auto& alternative) { this->sendCall(alternative, now, effects); }, order);
}

void WorkerMachine::rejectLateStarts(TimePoint now, Effects& effects)
{
    // The leader may have abandoned an order that came late or has waited long.
    const auto isLate = [this, now](const StartOrder* start) { return start && now > TimePoint(Duration(start->order.answeredPingAt)) + this->config.grantValidity; };
    while (!this->orders.empty() && isLate(std::get_if<StartOrder>(&this->orders.front()))) {
        const RunId run = std::get<StartOrder>(this->orders.front()).order.run;
        this->orders.pop_front();
        this->reject(run, "the order is out of date", effects);
    }
}

void WorkerMachine::resolveUnconfirmedStarts(Effects& effects)
{
    const RunLookup listed = this->listedRuns();
    for (const RunId& run : std::exchange(this->incarnation->unconfirmedStarts, {})) {
        if (listed.contains(&run))
            this->incarnation->started.insert_or_assign(run, this->incarnation->newestPoll);
        else
            this->reject(run, "its order had no answer and was voided", effects);
    }
}

void WorkerMachine::repeatStops()
{
    const bool stopQueued = std::any_of(this->orders.begin(), this->orders.end(), [](const Order& order) { return std::holds_alternative<StopOrder>(order); });
    if (stopQueued)
        return;
    for (const RunStatus& status : this->incarnation->running) {
        if (this->incarnation->toStop.contains(status.run))
            this->orders.emplace_front(StopOrder { status.run });
    }
}

void WorkerMachine::regulatePace(TimePoint now, Effects& effects)
{
    const std::vector<PaceOrder> paces = this->paceControl.update(this->incarnation->running, now);
    this->orderPaces(paces);
    if (paces.empty())
        return;
    const int slackPercent = static_cast<int>(this->paceControl.worstSlack().value_or(0) * 100);
    const int sharedPercent = static_cast<int>(this->paceControl.spareSlackShare() * 100);
    std::string detail = "least slack " + std::to_string(slackPercent) + "%, " + std::to_string(sharedPercent) + "% of the spare slack shared;";
    for (const PaceOrder& pace : paces)
        detail += " " + describe(pace.run) + " at " + std::to_string(pace.percent) + "%";
    effects.emplace_back(RecordEvent { EventId::PaceChanged, detail });
}

void WorkerMachine::orderPaces(const std::vector<PaceOrder>& paces)
{
    for (const PaceOrder& pace : paces) {
        // Only the newest pace of a run matters.
        std::erase_if(this->orders, [&pace](const Order& order) {
            const ChangePace* const older = std::get_if<ChangePace>(&order);
            return older && older->run == pace.run;
        });
        this->orders.emplace_front(ChangePace { pace.run, pace.percent });
    }
}

void WorkerMachine::reject(const RunId& run, const std::string& reason, Effects& effects)
{
    this->paceControl.forget(run);
    this->report(RunRejected { run, reason }, effects);
}

CallNumber WorkerMachine::nextCall() noexcept
{
    return CallNumber { ++this->lastCall };
}

bool WorkerMachine::isAnswerToPing(std::int64_t answeredPingAt) const
{
    // The clock restarts with the VM, so the time of a ping from before a restart may lie in the future.
    return this->lastPing && answeredPingAt <= this->lastPing->time_since_epoch().count();
}

bool WorkerMachine::mayRenew(TimePoint now) const
{
    const bool hasGrant = this->lastGrantAt && now <= *this->lastGrantAt + this->config.grantValidity;
    // A worker that may be gone gets no renewal: its runs are known to have ended sooner, and its clock says nothing about
    // that of a successor.
    return hasGrant && !this->signedOffAt && this->incarnationConfirmed() && this->incarnation->clockMs != 0 && now <= this->incarnation->lastContact + this->config.contactValidity;
}

bool WorkerMachine::mayAcknowledge() const noexcept
{
    // A start in flight may have reached a new incarnation, whose ends have the same numbers.
    return this->incarnationConfirmed() && !(this->orderInFlight && std::holds_alternative<StartOrder>(this->orderInFlight->order));
}

bool WorkerMachine::answeredByAnother(const OrderAnswered& event, TimePoint sentAt) const
{
    const WorkerIncarnation& known = *this->incarnation;
    if (event.startedAtMs != 0 && event.startedAtMs != known.info.identity.startedAtMs)
        return true;
    if (!event.clockMs || !known.answered)
        return false;
    // Both readings are in whole milliseconds.
    constexpr std::int64_t roundingMs = 2;
    const Duration elapsed = sentAt - known.clockReadAt;
    const Duration shown = elapsed < Duration {} ? elapsed : elapsed * (100 - this->config.clockSlownessPercent) / 100;
    return *event.clockMs < known.clockMs + toMilliseconds(shown) - roundingMs;
}

std::int64_t WorkerMachine::leaseUntil(TimePoint now)
{
    this->leaseEnd = std::max(this->leaseEnd, now + this->config.lease + this->config.leaseMargin);
    return this->incarnation->clockMs + toMilliseconds(now - this->incarnation->clockReadAt) + toMilliseconds(this->config.lease);
}

std::vector<RunId> WorkerMachine::pendingRuns() const
{
    std::vector<RunId> runs;
    const auto add = [&runs](const Order& order) {
        const StartOrder* const start = std::get_if<StartOrder>(&order);
        if (start)
            runs.push_back(start->order.run);
    };
    std::for_each(this->orders.begin(), this->orders.end(), add);
    if (this->orderInFlight)
        add(this->orderInFlight->order);
    if (this->incarnation) {
        runs.insert(runs.end(), this->incarnation->unconfirmedStarts.begin(), this->incarnation->unconfirmedStarts.end());
        for (const std::map<RunId, CallNumber>::value_type& item : this->incarnation->started)
            runs.push_back(item.first);
    }
    return runs;
}

}
