#include "cowslipdoor/scheduling/WorkerMachine.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

void WorkerMachine::answered(const StartOrder& order, const OrderAnswered& event, Effects& effects)
{
    const RunId& run = order.order.run;
    effects.emplace_back(RecordEvent { event.accepted ? EventId::RunStarted : EventId::RunRejectedByWorker, describe(run) + (event.accepted ? "" : ": " + event.reason) });
    if (!event.accepted) {
        this->reject(run, event.reason, effects);
        return;
    }
    this->life->started.insert_or_assign(run, CallNumber { this->lastCall + 1 });
    this->orderPaces(this->paceControl.started(run));
}

void WorkerMachine::answered(const StopOrder&, const OrderAnswered&, Effects&)
{
}

void WorkerMachine::answered(const ChangePace& order, const OrderAnswered& event, Effects&)
{
    if (!event.accepted)
        this->paceControl.doubt(order.run);
}

void WorkerMachine::lost(const StartOrder& order)
{
    if (this->life)
        this->life->doubtful.insert(order.order.run);
}

void WorkerMachine::lost(const StopOrder&)
{
}

void WorkerMachine::lost(const ChangePace& order)
{
    this->paceControl.doubt(order.run);
}

void WorkerMachine::call(const StartOrder& order, TimePoint now, Effects& effects)
{
    const CallNumber call = this->nextCall();
    this->ordering = OrderInFlight { call, order };
    effects.emplace_back(CallStart { call, this->life->info.identity.id, this->token(), order.order.run, order.order.payload, order.order.checkpoint, this->leaseUntil(now) });
}

void WorkerMachine::call(const StopOrder& order, TimePoint, Effects& effects)
{
    const CallNumber call = this->nextCall();
    this->ordering = OrderInFlight { call, order };
    effects.emplace_back(CallStop { call, this->life->info.identity.id, this->token(), order.run });
}

void WorkerMachine::call(const ChangePace& order, TimePoint, Effects& effects)
{
    const CallNumber call = this->nextCall();
    this->ordering = OrderInFlight { call, order };
    effects.emplace_back(CallPace { call, this->life->info.identity.id, this->token(), order.run, order.percent });
}

void WorkerMachine::poll(TimePoint now, Duration wait, Effects& effects)
{
    const CallNumber call = this->nextCall();
    std::optional<std::int64_t> lease;
    if (this->mayRenew(now))
        lease = this->leaseUntil(now);
    this->looking = LookInFlight { call, this->token(), wait, now, lease.has_value() };
    effects.emplace_back(CallPoll { call, this->life->info.identity.id, this->token(), this->life->acknowledged, lease, wait });
}

void WorkerMachine::sendOrder(TimePoint now, Effects& effects)
{
    const StartOrder* const start = std::get_if<StartOrder>(&this->orders.front());
    // An order that came late, or waited long, may have been given up by the leader.
    if (start && now > TimePoint(Duration(start->order.answeredPingAt)) + this->config.wordValidity) {
        const RunId run = start->order.run;
        this->orders.pop_front();
        this->reject(run, "the order is out of date", effects);
        return;
    }
    if (start && !this->mayRenew(now))
        return;
    const Order order = this->orders.front();
    this->orders.pop_front();
    std::visit([this, now, &effects](const auto& alternative) { this->call(alternative, now, effects); }, order);
}

void WorkerMachine::settleDoubts(Effects& effects)
{
    for (const RunId& run : std::exchange(this->life->doubtful, {})) {
        if (this->lists(run))
            this->life->started.insert_or_assign(run, this->life->newestLook);
        else
            this->reject(run, "its order had no answer and was voided", effects);
    }
}

void WorkerMachine::repeatStops()
{
    const bool stopQueued = std::any_of(this->orders.begin(), this->orders.end(), [](const Order& order) { return std::holds_alternative<StopOrder>(order); });
    if (stopQueued)
        return;
    for (const RunStatus& status : this->life->running) {
        if (this->life->toStop.contains(status.run))
            this->orders.emplace_front(StopOrder { status.run });
    }
}

void WorkerMachine::regulatePace(TimePoint now, Effects& effects)
{
    const std::vector<PaceOrder> paces = this->paceControl.update(this->life->running, now);
    this->orderPaces(paces);
    if (paces.empty())
        return;
    const int slackPercent = static_cast<int>(this->paceControl.worstSlack().value_or(0) * 100);
    const int sharedPercent = static_cast<int>(this->paceControl.caution() * 100);
    std::string detail = "least slack " + std::to_string(slackPercent) + "%, " + std::to_string(sharedPercent) + "% of the spare shared;";
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
    // The clock starts anew when the machine does, so a word from before may lie in the future.
    return this->lastPing && answeredPingAt <= this->lastPing->time_since_epoch().count();
}

bool WorkerMachine::mayRenew(TimePoint now) const
{
    const bool hasGrant = this->lastWord && now <= *this->lastWord + this->config.wordValidity;
    // A worker that may be gone gets none: its runs are known to be over sooner, and its clock says nothing of the next one's.
    return hasGrant && !this->signedOffAt && !this->candidate && this->life->clockMs != 0 && now <= this->life->lastContact + this->config.contactValidity;
}

std::int64_t WorkerMachine::leaseUntil(TimePoint now)
{
    this->leaseEnd = std::max(this->leaseEnd, now + this->config.lease + this->config.leaseMargin);
    return this->life->clockMs + toMilliseconds(now - this->life->clockReadAt) + toMilliseconds(this->config.lease);
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
    if (this->ordering)
        add(this->ordering->order);
    if (this->life) {
        runs.insert(runs.end(), this->life->doubtful.begin(), this->life->doubtful.end());
        for (const std::map<RunId, CallNumber>::value_type& item : this->life->started)
            runs.push_back(item.first);
    }
    return runs;
}

}
