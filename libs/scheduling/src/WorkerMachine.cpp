#include "cowslipdoor/scheduling/WorkerMachine.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Tokens that one run of the agent may use; the generation counts above them.
    constexpr std::uint64_t tokensPerGeneration = 1ULL << 20;

    bool sameAttributes(const WorkerInfo& left, const WorkerInfo& right)
    {
        return left.service == right.service && left.capacity == right.capacity && left.labels == right.labels;
    }

    std::string describeLife(const WorkerIdentity& identity)
    {
        return identity.id + ", born " + std::to_string(identity.startedAtMs);
    }

}

WorkerMachine::WorkerMachine(WorkerMachineConfig config, TimePoint now)
    : config(std::move(config))
    , paceControl(this->config.pace)
    , leaseEnd(now + this->config.lease + this->config.leaseMargin)
{
}

WorkerMachine::Effects WorkerMachine::step(const WorkerEvent& event, TimePoint now)
{
    Effects effects;
    std::visit([this, now, &effects](const auto& alternative) { this->on(alternative, now, effects); }, event);
    this->advance(now, effects);
    return effects;
}

std::optional<TimePoint> WorkerMachine::nextWakeup() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (this->leader)
        consider(this->pingAt);
    if (this->leader && this->settled())
        consider(this->snapshotAt);
    if (this->life && this->generation && !this->looking)
        consider(this->lookAt);
    if (this->life)
        consider(std::max(this->leaseEnd, this->life->lastContact + this->config.contactValidity));
    if (!this->lifeAnswered() && !this->blindReported)
        consider(this->leaseEnd);
    return next;
}

std::optional<WorkerInfo> WorkerMachine::worker() const
{
    return this->life ? std::optional<WorkerInfo>(this->life->info) : std::nullopt;
}

bool WorkerMachine::settled() const noexcept
{
    if (!this->lifeAnswered())
        return this->blindReported;
    return this->generation && this->life->whole && this->life->settledToken == this->token();
}

void WorkerMachine::on(const TimePassed&, TimePoint, Effects&)
{
}

void WorkerMachine::on(const GenerationGranted& event, TimePoint now, Effects&)
{
    if (this->generation && *this->generation >= event.generation)
        return;
    this->generation = event.generation;
    this->lookAt = now;
}

void WorkerMachine::on(const WorkerHeartbeat& event, TimePoint now, Effects& effects)
{
    if (!this->life)
        this->beginLife(event.info, now, effects);
    else if (this->life->info.identity == event.info.identity)
        this->refreshLife(event.info, effects);
    else
        this->considerLife(event.info, now);
}

void WorkerMachine::on(const WorkerSignedOff& event, TimePoint now, Effects& effects)
{
    if (!this->life || this->life->info.identity.id != event.id) {
        effects.emplace_back(RecordEvent { EventId::BeatPassedOver, "sign-off of " + event.id + (this->life ? ", present is " + describeLife(this->life->info.identity) : ", no worker is present") });
        return;
    }
    if (this->signedOffAt)
        return;
    this->life->info.draining = true;
    this->signedOffAt = now;
    this->lookSoon(now);
    this->sendSnapshot(effects);
}

void WorkerMachine::on(const PollAnswered& event, TimePoint now, Effects& effects)
{
    if (!this->looking || this->looking->call != event.call)
        return;
    const LookInFlight answered = *std::exchange(this->looking, std::nullopt);
    if (!this->life || event.call <= this->life->newestLook)
        return;
    if (event.startedAtMs != 0 && event.startedAtMs != this->life->info.identity.startedAtMs) {
        this->answeredAs(event.startedAtMs, answered.renews, now, effects);
        return;
    }
    this->life->answered = true;
    this->blindReported = false;
    if (this->candidate && event.call >= this->candidate->proof)
        this->dropCandidate("the worker answers as " + describeLife(this->life->info.identity), effects);
    this->life->newestLook = event.call;
    this->life->clockMs = event.clockMs;
    this->life->clockReadAt = now;
    this->life->lastContact = now;
    this->life->running = event.running;
    this->life->ended.clear();
    for (const RunEnd& end : event.ended) {
        if (end.number > this->life->acknowledged)
            this->life->ended.push_back(end);
    }
    if (this->signedOffAt && answered.sentAt >= *this->signedOffAt + this->config.signOffMargin)
        this->voidSignOff(effects);
    const bool raised = this->raiseAcceptedToken(answered.token);
    const bool wasWhole = std::exchange(this->life->whole, event.ended.size() < this->config.mostListedEnds);
    if (!wasWhole && this->settled())
        this->snapshotAt = now;
    if (answered.token == this->token() && this->life->settledToken != answered.token && this->life->whole) {
        this->life->settledToken = answered.token;
        this->settleDoubts(effects);
        this->sendSnapshot(effects);
    } else if (this->life->whole) {
        this->reportMissing(event.call, effects);
    }
    this->reportEnds(effects);
    this->repeatStops();
    this->regulatePace(now, effects);
    this->reportProgress(now, effects);
    this->lookAt = this->nextLook(now, raised);
}

void WorkerMachine::on(const OrderAnswered& event, TimePoint now, Effects& effects)
{
    if (!this->ordering || this->ordering->call != event.call || !this->life)
        return;
    const Order order = std::exchange(this->ordering, std::nullopt)->order;
    this->life->lastContact = now;
    std::visit([this, &event, &effects](const auto& alternative) { this->answered(alternative, event, effects); }, order);
}

void WorkerMachine::on(const CallUnanswered& event, TimePoint now, Effects& effects)
{
    if (this->looking && this->looking->call == event.call) {
        this->looking.reset();
        this->lookAt = now + this->config.retryDelay;
        return;
    }
    if (!this->ordering || this->ordering->call != event.call)
        return;
    const Order order = std::exchange(this->ordering, std::nullopt)->order;
    std::visit([this](const auto& alternative) { this->lost(alternative); }, order);
    ++this->tokenRaises;
    // The look in flight proves nothing about the order; another one goes out at once.
    this->looking.reset();
    this->lookAt = now;
    effects.emplace_back(RecordEvent { EventId::OrderUnanswered, "an order has no answer; fencing token raised to " + std::to_string(this->token()) });
    this->sendSnapshot(effects);
}

void WorkerMachine::on(const CallFenced& event, TimePoint now, Effects& effects)
{
    const bool ofLook = this->looking && this->looking->call == event.call;
    const bool ofOrder = this->ordering && this->ordering->call == event.call;
    if (!ofLook && !ofOrder)
        return;
    if (ofOrder) {
        const Order order = std::exchange(this->ordering, std::nullopt)->order;
        const StartOrder* const start = std::get_if<StartOrder>(&order);
        if (start)
            this->reject(start->order.run, "an earlier run of the agent used a greater fencing token", effects);
        else
            std::visit([this](const auto& alternative) { this->lost(alternative); }, order);
    }
    // No other agent calls this worker, so the greater token is that of an earlier run of this one.
    this->generation = this->generation.value_or(0) + 1;
    if (this->life)
        this->life->tokenAccepted = false;
    this->looking.reset();
    this->lookAt = now + this->config.retryDelay;
    effects.emplace_back(RecordEvent { EventId::GenerationTaken, std::to_string(*this->generation) + ", after a refusal by the worker's fence" });
}

void WorkerMachine::on(const CallMisdirected& event, TimePoint now, Effects& effects)
{
    const bool ours = (this->looking && this->looking->call == event.call) || (this->ordering && this->ordering->call == event.call);
    if (!ours)
        return;
    if (this->candidate && this->candidate->info.identity.id == this->life->info.identity.id)
        this->dropCandidate("the worker denies this identifier", effects);
    // An earlier life that ran anything was gone when this one answered.
    if (this->signedOffAt && this->life->answered) {
        this->leaseEnd = std::min(this->leaseEnd, now);
        this->blindReported = true;
    }
    this->endLife("another life answers in its place", effects);
    this->succeedLife(now, effects);
}

void WorkerMachine::on(const LeaderAttached&, TimePoint, Effects&)
{
}

void WorkerMachine::on(const LeaderDetached& event, TimePoint, Effects& effects)
{
    if (this->leader != event.link)
        return;
    this->leader.reset();
    effects.emplace_back(RecordEvent { EventId::LinkClosed, "leader of epoch " + std::to_string(this->epoch) });
}

void WorkerMachine::on(const LeaderMessageReceived& event, TimePoint now, Effects& effects)
{
    if (this->leader != event.link && !std::holds_alternative<LeaderHello>(event.message))
        return;
    std::visit([this, &event, now, &effects](const auto& alternative) { this->hear(event.link, alternative, now, effects); }, event.message);
}

void WorkerMachine::hear(LinkId link, const LeaderHello& message, TimePoint now, Effects& effects)
{
    if (message.epoch < this->epoch) {
        effects.emplace_back(RecordEvent { EventId::LinkRefused, message.leader + " speaks for epoch " + std::to_string(message.epoch) + ", known is " + std::to_string(this->epoch) });
        effects.emplace_back(CloseLeaderLink { link });
        return;
    }
    if (!message.agent.empty() && message.agent != this->config.agent) {
        effects.emplace_back(RecordEvent { EventId::LinkRefused, message.leader + " means agent " + message.agent + ", which had this address" });
        effects.emplace_back(CloseLeaderLink { link });
        return;
    }
    if (this->leader && this->leader != link)
        effects.emplace_back(CloseLeaderLink { *this->leader });
    this->epoch = message.epoch;
    this->leader = link;
    this->lastOrder = 0;
    this->pingAt = now;
    this->snapshotAt = now + this->config.snapshotInterval;
    // What an earlier leader was told may not have reached it, or not been stored.
    if (this->life)
        this->life->reported = 0;
    if (!this->generation && message.knownGeneration > 0) {
        this->generation = message.knownGeneration + 1;
        effects.emplace_back(RecordEvent { EventId::GenerationTaken, std::to_string(*this->generation) + ", from the leader" });
        this->lookAt = now;
    }
    effects.emplace_back(RecordEvent { EventId::LinkOpened, "leader " + message.leader + ", epoch " + std::to_string(message.epoch) });
    this->sendSnapshot(effects);
}

void WorkerMachine::hear(LinkId, const DescribeRun& message, TimePoint, Effects&)
{
    this->paceControl.describe(message.run, message.traits);
}

void WorkerMachine::hear(LinkId link, const StartRun& message, TimePoint now, Effects& effects)
{
    this->lastOrder = std::max(this->lastOrder, message.order);
    if (!this->isAnswerToPing(message.answeredPingAt)) {
        this->reject(message.run, "the order is from a time that is still to come", effects);
        return;
    }
    this->hear(link, Pong { message.answeredPingAt }, now, effects);
    if (!this->life || this->life->info.identity != message.worker) {
        this->reject(message.run, "the worker's life has ended", effects);
        return;
    }
    if (this->life->info.draining) {
        this->reject(message.run, "the worker is draining", effects);
        return;
    }
    this->paceControl.describe(message.run, message.traits);
    this->orders.emplace_back(StartOrder { message });
}

void WorkerMachine::hear(LinkId, const StopRun& message, TimePoint, Effects& effects)
{
    if (!this->life)
        return;
    const std::deque<Order>::iterator queued = std::find_if(this->orders.begin(), this->orders.end(), [&message](const Order& order) {
        const StartOrder* const start = std::get_if<StartOrder>(&order);
        return start && start->order.run == message.run;
    });
    if (queued != this->orders.end()) {
        this->orders.erase(queued);
        this->reject(message.run, "stopped before its start", effects);
        return;
    }
    this->life->toStop.insert(message.run);
    this->orders.emplace_front(StopOrder { message.run });
}

void WorkerMachine::hear(LinkId, const AcknowledgeEnds& message, TimePoint now, Effects&)
{
    if (!this->life || this->life->info.identity != message.worker || message.upTo <= this->life->acknowledged)
        return;
    this->life->acknowledged = message.upTo;
    std::erase_if(this->life->ended, [&message](const RunEnd& end) { return end.number <= message.upTo; });
    this->lookAt = now;
}

void WorkerMachine::hear(LinkId, const Pong& message, TimePoint, Effects&)
{
    if (!this->isAnswerToPing(message.sentAt))
        return;
    const TimePoint sentAt { Duration(message.sentAt) };
    this->lastWord = this->lastWord ? std::max(*this->lastWord, sentAt) : sentAt;
}

void WorkerMachine::advance(TimePoint now, Effects& effects)
{
    if (this->leader && now >= this->pingAt) {
        this->pingAt = now + this->config.pingInterval;
        this->lastPing = now;
        this->report(Ping { now.time_since_epoch().count() }, effects);
    }
    if (this->life)
        this->advanceLife(now, effects);
    if (this->leader && this->settled() && now >= this->snapshotAt) {
        this->snapshotAt = now + this->config.snapshotInterval;
        this->sendSnapshot(effects);
    }
    // No life that answers can have got a lease since, so nothing can run any more.
    if (!this->lifeAnswered() && !this->blindReported && now >= this->leaseEnd) {
        this->blindReported = true;
        this->sendSnapshot(effects);
    }
}

void WorkerMachine::advanceLife(TimePoint now, Effects& effects)
{
    if (now >= this->leaseEnd && now >= this->life->lastContact + this->config.contactValidity) {
        this->endLife(std::string(this->signedOffAt ? "the worker signed off" : "the worker is silent") + " and its leases have expired", effects);
        this->blindReported = true;
        this->succeedLife(now, effects);
        return;
    }
    if (!this->generation)
        return;
    const bool unsettled = this->life->settledToken != this->token();
    if (!this->looking && now >= this->lookAt)
        this->poll(now, unsettled || this->candidate || this->signedOffAt || !this->life->ended.empty() ? Duration {} : this->config.lookWait, effects);
    if (!unsettled && !this->ordering && !this->orders.empty())
        this->sendOrder(now, effects);
}

void WorkerMachine::considerLife(const WorkerInfo& info, TimePoint now)
{
    this->candidate = Candidate { info, CallNumber { this->lastCall + 1 } };
    this->lookSoon(now);
}

void WorkerMachine::refreshLife(const WorkerInfo& info, Effects& effects)
{
    const WorkerInfo before = this->life->info;
    WorkerInfo& present = this->life->info;
    // A report that was held up must not take a draining back.
    this->life->readyReports = info.draining ? 0 : this->life->readyReports + 1;
    this->life->drainingReported = info.draining || (this->life->drainingReported && this->life->readyReports < 2);
    present.draining = this->life->drainingReported || this->signedOffAt;
    present.remaining = info.remaining;
    // One odd report must not overfill a worker.
    if (std::exchange(this->life->assumed, false) || (this->life->claimed && sameAttributes(*this->life->claimed, info))) {
        present.service = info.service;
        present.capacity = info.capacity;
        present.labels = info.labels;
    }
    this->life->claimed = sameAttributes(present, info) ? std::nullopt : std::optional<WorkerInfo>(info);
    if (before.draining == present.draining && sameAttributes(before, present))
        return;
    if (present.draining)
        effects.emplace_back(RecordEvent { EventId::WorkerDraining, present.identity.id + " leaves in " + std::to_string(toMilliseconds(present.remaining)) + " ms or later" });
    this->sendSnapshot(effects);
}

void WorkerMachine::answeredAs(std::int64_t startedAtMs, bool renewed, TimePoint now, Effects& effects)
{
    // The lease was reckoned by the clock of the life before, which may be far ahead of this one's.
    if (renewed)
        this->leaseEnd = std::max(this->leaseEnd, now + this->config.longestLease);
    const WorkerIdentity identity { this->life->info.identity.id, startedAtMs };
    const bool reported = this->candidate && this->candidate->info.identity == identity;
    // What a report with a wrong start says of the worker is not to be relied on either.
    if (!reported && !this->life->answered) {
        this->endLife("the worker answers as " + describeLife(identity), effects);
        this->succeedLife(now, effects);
        return;
    }
    WorkerInfo info = reported ? this->candidate->info : this->life->info;
    info.identity = identity;
    info.draining = reported && info.draining;
    // It may be of another kind; its first report tells what it holds.
    if (!reported) {
        info.capacity = {};
        info.labels.clear();
    }
    if (this->candidate && !reported)
        this->dropCandidate("the worker answers as " + describeLife(identity), effects);
    this->beginLife(info, now, effects);
    this->life->answered = true;
    this->life->assumed = !reported;
    this->blindReported = false;
}

void WorkerMachine::dropCandidate(const std::string& reason, Effects& effects)
{
    effects.emplace_back(RecordEvent { EventId::BeatPassedOver, describeLife(this->candidate->info.identity) + ": " + reason });
    this->candidate.reset();
}

void WorkerMachine::lookSoon(TimePoint now)
{
    // A look that waits for no end is answered soon; giving it up at each report could keep all answers away.
    if (this->looking && this->looking->wait > Duration {})
        this->looking.reset();
    if (!this->looking)
        this->lookAt = now;
}

void WorkerMachine::voidSignOff(Effects& effects)
{
    this->signedOffAt.reset();
    this->life->info.draining = this->life->drainingReported;
    effects.emplace_back(RecordEvent { EventId::BeatPassedOver, "sign-off of " + describeLife(this->life->info.identity) + ": the worker still answers" });
    this->sendSnapshot(effects);
}

TimePoint WorkerMachine::nextLook(TimePoint now, bool raised) const
{
    if (raised || this->candidate)
        return now;
    if (this->signedOffAt)
        return std::max(now, *this->signedOffAt + this->config.signOffMargin);
    return this->life->ended.empty() ? now : now + this->config.acknowledgeWait;
}

void WorkerMachine::beginLife(const WorkerInfo& info, TimePoint now, Effects& effects)
{
    if (this->life)
        this->endLife("a new life has begun", effects);
    // Orders of an earlier look at this worker may still be under way.
    ++this->tokenRaises;
    this->life = Life { .info = info };
    this->life->lastContact = now;
    this->life->drainingReported = info.draining;
    this->candidate.reset();
    this->lookAt = now;
    effects.emplace_back(RecordEvent { EventId::WorkerSeen, describeLife(info.identity) + ", " + std::to_string(info.capacity.milliCores) + " milli-cores, " + std::to_string(info.capacity.memoryMb) + " MB" });
    this->sendSnapshot(effects);
}

void WorkerMachine::endLife(const std::string& reason, Effects& effects)
{
    effects.emplace_back(RecordEvent { EventId::WorkerGone, this->life->info.identity.id + ": " + reason });
    this->life.reset();
    this->signedOffAt.reset();
    this->looking.reset();
    this->ordering.reset();
    this->orders.clear();
}

void WorkerMachine::succeedLife(TimePoint now, Effects& effects)
{
    if (this->candidate) {
        const WorkerInfo info = this->candidate->info;
        this->beginLife(info, now, effects);
    } else {
        this->sendSnapshot(effects);
    }
}

bool WorkerMachine::raiseAcceptedToken(std::uint64_t token) noexcept
{
    // An accepted token is no less than any that the worker has seen, but it may be the same as one of an earlier run.
    if (token != this->token() || std::exchange(this->life->tokenAccepted, true))
        return false;
    ++this->tokenRaises;
    return true;
}

void WorkerMachine::reportMissing(CallNumber poll, Effects& effects)
{
    bool missing = false;
    std::erase_if(this->life->started, [this, poll, &missing](const std::map<RunId, CallNumber>::value_type& item) {
        const bool gone = item.second <= poll && !this->lists(item.first);
        missing = missing || gone;
        return gone;
    });
    if (missing && this->settled())
        this->sendSnapshot(effects);
}

void WorkerMachine::reportEnds(Effects& effects)
{
    std::vector<RunEnd> fresh;
    for (const RunEnd& end : this->life->ended) {
        this->life->started.erase(end.run);
        this->life->toStop.erase(end.run);
        this->paceControl.forget(end.run);
        if (end.number > this->life->reported)
            fresh.push_back(end);
    }
    if (fresh.empty() || !this->leader)
        return;
    this->life->reported = fresh.back().number;
    this->report(RunsEnded { this->life->info.identity, std::move(fresh) }, effects);
}

void WorkerMachine::reportProgress(TimePoint now, Effects& effects)
{
    if (now < this->progressAt || this->life->running.empty() || !this->settled())
        return;
    this->progressAt = now + this->config.progressInterval;
    std::vector<RunStatus> running = this->life->running;
    for (RunStatus& status : running)
        status.pace = this->paceControl.paceOf(status.run);
    this->report(RunProgress { this->life->info.identity, std::move(running) }, effects);
}

void WorkerMachine::sendSnapshot(Effects& effects)
{
    if (!this->leader)
        return;
    const bool nothingRuns = !this->lifeAnswered() && this->blindReported;
    WorkerSnapshot snapshot { this->config.agent, this->generation.value_or(0), nothingRuns ? std::nullopt : this->worker(), this->settled(), {}, {}, this->pendingRuns(), this->lastOrder };
    if (this->life) {
        snapshot.running = this->life->running;
        snapshot.ended = this->life->ended;
        if (snapshot.settled && !snapshot.ended.empty())
            this->life->reported = std::max(this->life->reported, snapshot.ended.back().number);
    }
    this->report(std::move(snapshot), effects);
}

void WorkerMachine::report(AgentReport report, Effects& effects) const
{
    if (this->leader)
        effects.emplace_back(SendToLeader { *this->leader, std::move(report) });
}

std::uint64_t WorkerMachine::token() const noexcept
{
    return this->generation.value_or(0) * tokensPerGeneration + this->tokenRaises + 1;
}

bool WorkerMachine::lists(const RunId& run) const
{
    const bool running = std::any_of(this->life->running.begin(), this->life->running.end(), [&run](const RunStatus& status) { return status.run == run; });
    return running || std::any_of(this->life->ended.begin(), this->life->ended.end(), [&run](const RunEnd& end) { return end.run == run; });
}

}
