#include "cowslipdoor/scheduling/WorkerMachine.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Number of fencing tokens of one generation; tokens of a later generation are greater.
    constexpr std::uint64_t tokensPerGeneration = 1ULL << 20;

    bool sameAttributes(const WorkerInfo& left, const WorkerInfo& right)
    {
        return left.service == right.service && left.capacity == right.capacity && left.labels == right.labels;
    }

    bool isCold(const WorkerInfo& info)
    {
        return info.coldRemaining > Duration {};
    }

    std::string describeIncarnation(const WorkerIdentity& identity)
    {
        return identity.id + ", started at " + std::to_string(identity.startedAtMs);
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
    if (this->incarnation && this->generation && !this->pollInFlight)
        consider(this->nextPollAt);
    if (this->incarnation)
        consider(std::max(this->leaseEnd, this->incarnation->lastContact + this->config.contactValidity));
    if (this->incarnation && this->incarnation->info.longLease)
        consider(this->leaseEnd - this->config.lease - this->config.leaseMargin);
    if (!this->incarnationAnswered() && !this->knownEmpty)
        consider(this->leaseEnd);
    return next;
}

std::optional<WorkerInfo> WorkerMachine::worker() const
{
    if (!this->incarnation)
        return std::nullopt;
    WorkerInfo info = this->incarnation->info;
    info.failureDomain = this->config.failureDomain;
    return info;
}

bool WorkerMachine::settled() const noexcept
{
    if (!this->incarnationAnswered())
        return this->knownEmpty;
    return this->generation && this->incarnation->allEndsListed && this->incarnation->settledToken == this->token();
}

void WorkerMachine::on(const TimePassed&, TimePoint, Effects&)
{
}

void WorkerMachine::on(const GenerationGranted& event, TimePoint now, Effects&)
{
    if (this->generation && *this->generation >= event.generation)
        return;
    this->generation = event.generation;
    this->nextPollAt = now;
}

void WorkerMachine::on(const WorkerHeartbeat& event, TimePoint now, Effects& effects)
{
    if (!this->incarnation)
        this->beginIncarnation(event.info, now, effects);
    else if (this->incarnation->info.identity == event.info.identity)
        this->refreshIncarnation(event.info, effects);
    else
        this->considerIncarnation(event.info, now);
}

void WorkerMachine::on(const WorkerSignedOff& event, TimePoint now, Effects& effects)
{
    if (!this->incarnation || this->incarnation->info.identity.id != event.id) {
        effects.emplace_back(RecordEvent { EventId::BeatPassedOver, "sign-off of " + event.id + (this->incarnation ? ", but the current worker is " + describeIncarnation(this->incarnation->info.identity) : ", but no worker is known") });
        return;
    }
    if (this->signedOffAt)
        return;
    this->incarnation->info.draining = true;
    this->signedOffAt = now;
    this->pollSoon(now);
    this->sendSnapshot(effects);
}

void WorkerMachine::on(const PollAnswered& event, TimePoint now, Effects& effects)
{
    if (!this->pollInFlight || this->pollInFlight->call != event.call)
        return;
    const PollInFlight answered = *std::exchange(this->pollInFlight, std::nullopt);
    if (!this->incarnation || event.call <= this->incarnation->newestPoll)
        return;
    if (event.startedAtMs != 0 && event.startedAtMs != this->incarnation->info.identity.startedAtMs) {
        this->switchIncarnation(event, answered.renews, now, effects);
        return;
    }
    this->incarnation->answered = true;
    this->knownEmpty = false;
    if (this->candidate && event.call >= this->candidate->firstPoll)
        this->dropCandidate("the worker answers as " + describeIncarnation(this->incarnation->info.identity), effects);
    this->incarnation->newestPoll = event.call;
    this->incarnation->acknowledgedToWorker = std::max(this->incarnation->acknowledgedToWorker, answered.acknowledges);
    this->incarnation->clockMs = event.clockMs;
    this->incarnation->clockReadAt = now;
    this->incarnation->lastContact = now;
    this->incarnation->answersConfirmed = true;
    this->incarnation->leaseReachedAnother = false;
    this->incarnation->running = event.running;
    if (this->incarnation->info.longLease)
        this->stopAll(event.running);
    this->incarnation->ended.clear();
    for (const RunEnd& end : event.ended) {
        if (end.number > this->incarnation->acknowledged)
            this->incarnation->ended.push_back(end);
    }
    if (this->signedOffAt && answered.sentAt >= *this->signedOffAt + this->config.signOffMargin)
        this->voidSignOff(effects);
    const bool raised = this->raiseAcceptedToken(answered.token);
    const bool hadAllEndsListed = std::exchange(this->incarnation->allEndsListed, event.ended.size() < this->config.maximumListedEnds);
    if (!hadAllEndsListed && this->settled())
        this->snapshotAt = now;
    if (answered.token == this->token() && this->incarnation->settledToken != answered.token && this->incarnation->allEndsListed) {
        this->incarnation->settledToken = answered.token;
        this->resolveUnconfirmedStarts(effects);
        this->sendSnapshot(effects);
    } else if (this->incarnation->allEndsListed) {
        this->reportMissing(event.call, effects);
    }
    this->reportEnds(effects);
    this->repeatStops();
    this->regulatePace(now, effects);
    this->reportProgress(now, effects);
    this->nextPollAt = this->nextPollTime(now, raised);
}

void WorkerMachine::on(const OrderAnswered& event, TimePoint now, Effects& effects)
{
    if (!this->orderInFlight || this->orderInFlight->call != event.call || !this->incarnation)
        return;
    if (this->answeredByAnother(event, this->orderInFlight->sentAt)) {
        this->incarnation->leaseReachedAnother = std::holds_alternative<StartOrder>(this->orderInFlight->order);
        this->voidOrder("another incarnation of the worker answered an order, at " + std::to_string(event.clockMs.value_or(0)) + " ms of its clock", now, effects);
        return;
    }
    const Order order = std::exchange(this->orderInFlight, std::nullopt)->order;
    this->incarnation->lastContact = now;
    if (this->acknowledgementDue())
        this->nextPollAt = now;
    std::visit([this, &event, now, &effects](const auto& alternative) { this->onOrderAnswered(alternative, event, now, effects); }, order);
}

void WorkerMachine::on(const CallUnanswered& event, TimePoint now, Effects& effects)
{
    if (this->pollInFlight && this->pollInFlight->call == event.call) {
        this->incarnation->answersConfirmed = false;
        this->pollInFlight.reset();
        this->nextPollAt = now + this->config.retryDelay;
        return;
    }
    if (!this->orderInFlight || this->orderInFlight->call != event.call)
        return;
    this->voidOrder("an order has no answer", now, effects);
}

void WorkerMachine::on(const CallFenced& event, TimePoint now, Effects& effects)
{
    const bool ofPoll = this->pollInFlight && this->pollInFlight->call == event.call;
    const bool ofOrder = this->orderInFlight && this->orderInFlight->call == event.call;
    if (!ofPoll && !ofOrder)
        return;
    if (ofOrder) {
        const Order order = std::exchange(this->orderInFlight, std::nullopt)->order;
        const StartOrder* const start = std::get_if<StartOrder>(&order);
        if (start)
            this->reject(start->order.run, "an earlier incarnation of the agent used a greater fencing token", effects);
        else
            std::visit([this](const auto& alternative) { this->onOrderUnanswered(alternative); }, order);
    }
    // No other agent calls this worker, so the greater token is that of an earlier incarnation of this agent.
    this->generation = this->generation.value_or(0) + 1;
    if (this->incarnation)
        this->incarnation->tokenAccepted = false;
    this->pollInFlight.reset();
    this->nextPollAt = now + this->config.retryDelay;
    effects.emplace_back(RecordEvent { EventId::GenerationTaken, std::to_string(*this->generation) + ", after the worker refused a smaller fencing token" });
}

void WorkerMachine::on(const CallMisdirected& event, TimePoint now, Effects& effects)
{
    const bool ours = (this->pollInFlight && this->pollInFlight->call == event.call) || (this->orderInFlight && this->orderInFlight->call == event.call);
    if (!ours)
        return;
    if (this->candidate && this->candidate->info.identity.id == this->incarnation->info.identity.id)
        this->dropCandidate("the worker denies this identifier", effects);
    // Earlier incarnations had ended when this one answered, and this one has ended as well, so nothing runs.
    if (this->signedOffAt && this->incarnation->answered) {
        this->leaseEnd = std::min(this->leaseEnd, now);
        this->knownEmpty = true;
    }
    this->endIncarnation("another incarnation answers in its place", effects);
    this->startNextIncarnation(now, effects);
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
    std::visit([this, &event, now, &effects](const auto& alternative) { this->onMessage(event.link, alternative, now, effects); }, event.message);
}

void WorkerMachine::onMessage(LinkId link, const LeaderHello& message, TimePoint now, Effects& effects)
{
    if (message.epoch < this->epoch) {
        effects.emplace_back(RecordEvent { EventId::LinkRefused, message.leader + " claims epoch " + std::to_string(message.epoch) + ", but the newest known epoch is " + std::to_string(this->epoch) });
        effects.emplace_back(CloseLeaderLink { link });
        return;
    }
    if (!message.agent.empty() && message.agent != this->config.agent) {
        effects.emplace_back(RecordEvent { EventId::LinkRefused, message.leader + " expects agent " + message.agent + ", which had this address before" });
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
    // Ends reported to an earlier leader may not have reached it, or may not have been stored.
    if (this->incarnation)
        this->incarnation->reported = 0;
    if (!this->generation && message.knownGeneration > 0) {
        this->generation = message.knownGeneration + 1;
        effects.emplace_back(RecordEvent { EventId::GenerationTaken, std::to_string(*this->generation) + ", from the leader" });
        this->nextPollAt = now;
    }
    effects.emplace_back(RecordEvent { EventId::LinkOpened, "leader " + message.leader + ", epoch " + std::to_string(message.epoch) });
    this->sendSnapshot(effects);
}

void WorkerMachine::onMessage(LinkId, const DescribeRun& message, TimePoint, Effects&)
{
    this->paceControl.describe(message.run, message.traits);
}

void WorkerMachine::onMessage(LinkId link, const StartRun& message, TimePoint now, Effects& effects)
{
    this->lastOrder = std::max(this->lastOrder, message.order);
    if (!this->isAnswerToPing(message.answeredPingAt)) {
        this->reject(message.run, "the order names a ping time in the future", effects);
        return;
    }
    this->onMessage(link, Pong { message.answeredPingAt }, now, effects);
    if (!this->incarnation || this->incarnation->info.identity != message.worker) {
        this->reject(message.run, "that incarnation of the worker has ended", effects);
        return;
    }
    if (this->incarnation->info.draining) {
        this->reject(message.run, "the worker is draining", effects);
        return;
    }
    if (this->incarnation->info.longLease) {
        this->reject(message.run, "the worker may hold a long lease", effects);
        return;
    }
    this->paceControl.describe(message.run, message.traits);
    this->orders.emplace_back(StartOrder { message });
}

void WorkerMachine::onMessage(LinkId, const StopRun& message, TimePoint, Effects& effects)
{
    if (!this->incarnation)
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
    // A stop that the leader repeats is repeated by repeatStops() as long as polls list the run.
    if (this->incarnation->toStop.insert(message.run).second)
        this->orders.emplace_front(StopOrder { message.run });
}

void WorkerMachine::onMessage(LinkId, const AcknowledgeEnds& message, TimePoint now, Effects&)
{
    if (!this->incarnation || this->incarnation->info.identity != message.worker || message.upTo <= this->incarnation->acknowledged)
        return;
    this->incarnation->acknowledged = message.upTo;
    std::erase_if(this->incarnation->ended, [&message](const RunEnd& end) { return end.number <= message.upTo; });
    this->nextPollAt = now;
}

void WorkerMachine::onMessage(LinkId, const Pong& message, TimePoint, Effects&)
{
    if (!this->isAnswerToPing(message.sentAt))
        return;
    const TimePoint sentAt { Duration(message.sentAt) };
    this->lastGrantAt = this->lastGrantAt ? std::max(*this->lastGrantAt, sentAt) : sentAt;
}

void WorkerMachine::advance(TimePoint now, Effects& effects)
{
    if (this->leader && now >= this->pingAt) {
        this->pingAt = now + this->config.pingInterval;
        this->lastPing = now;
        this->report(Ping { now.time_since_epoch().count() }, effects);
    }
    if (this->incarnation)
        this->advanceIncarnation(now, effects);
    if (this->incarnation && this->updateLongLease(now, effects))
        this->sendSnapshot(effects);
    if (this->leader && this->settled() && now >= this->snapshotAt) {
        this->snapshotAt = now + this->config.snapshotInterval;
        this->sendSnapshot(effects);
    }
    // No incarnation has answered, so none can have got a lease since, and nothing can run any more.
    if (!this->incarnationAnswered() && !this->knownEmpty && now >= this->leaseEnd) {
        this->knownEmpty = true;
        this->sendSnapshot(effects);
    }
}

void WorkerMachine::advanceIncarnation(TimePoint now, Effects& effects)
{
    if (now >= this->leaseEnd && now >= this->incarnation->lastContact + this->config.contactValidity) {
        this->endIncarnation(std::string(this->signedOffAt ? "the worker signed off" : "the worker is silent") + " and its leases have expired", effects);
        this->knownEmpty = true;
        this->startNextIncarnation(now, effects);
        return;
    }
    if (!this->generation)
        return;
    const bool unsettled = this->incarnation->settledToken != this->token();
    const bool answerSoon = unsettled || !this->incarnationConfirmed() || this->signedOffAt || !this->incarnation->ended.empty() || (this->acknowledgementDue() && !this->mayAcknowledge());
    const Duration longestWait = this->paceControl.awaitsMeasurement(now) ? this->config.measurementPollWait : this->config.pollWait;
    if (!this->pollInFlight && now >= this->nextPollAt)
        this->poll(now, answerSoon ? Duration {} : longestWait, effects);
    if (!unsettled && !this->orderInFlight && !this->orders.empty())
        this->sendOrder(now, effects);
}

bool WorkerMachine::updateLongLease(TimePoint now, Effects& effects)
{
    const bool mayHold = this->leaseEnd > now + this->config.lease + this->config.leaseMargin;
    if (std::exchange(this->incarnation->info.longLease, mayHold) == mayHold)
        return false;
    if (mayHold)
        effects.emplace_back(RecordEvent { EventId::LongLeaseHeld, describeIncarnation(this->incarnation->info.identity) + ": for " + std::to_string(toMilliseconds(this->leaseEnd - now)) + " ms at most" });
    return true;
}

void WorkerMachine::stopAll(const std::vector<RunStatus>& runs)
{
    for (const RunStatus& status : runs)
        this->incarnation->toStop.insert(status.run);
}

void WorkerMachine::considerIncarnation(const WorkerInfo& info, TimePoint now)
{
    this->candidate = Candidate { info, CallNumber { this->lastCall + 1 } };
    this->pollSoon(now);
}

void WorkerMachine::refreshIncarnation(const WorkerInfo& info, Effects& effects)
{
    const WorkerInfo before = this->incarnation->info;
    WorkerInfo& current = this->incarnation->info;
    // A delayed heartbeat must not reset draining.
    this->incarnation->readyReports = info.draining ? 0 : this->incarnation->readyReports + 1;
    this->incarnation->drainingReported = info.draining || (this->incarnation->drainingReported && this->incarnation->readyReports < 2);
    current.draining = this->incarnation->drainingReported || this->signedOffAt;
    current.remaining = info.remaining;
    current.coldRemaining = info.coldRemaining;
    // A single wrong heartbeat must not change the capacity, or the worker could be overcommitted.
    if (std::exchange(this->incarnation->attributesAssumed, false) || (this->incarnation->unconfirmedInfo && sameAttributes(*this->incarnation->unconfirmedInfo, info))) {
        current.service = info.service;
        current.capacity = info.capacity;
        current.labels = info.labels;
    }
    this->incarnation->unconfirmedInfo = sameAttributes(current, info) ? std::nullopt : std::optional<WorkerInfo>(info);
    const bool sameWarmth = isCold(before) == isCold(current);
    if (before.draining == current.draining && sameWarmth && sameAttributes(before, current))
        return;
    if (current.draining)
        effects.emplace_back(RecordEvent { EventId::WorkerDraining, current.identity.id + " leaves in " + std::to_string(toMilliseconds(current.remaining)) + " ms or later" });
    this->sendSnapshot(effects);
}

void WorkerMachine::switchIncarnation(const PollAnswered& answer, bool renewed, TimePoint now, Effects& effects)
{
    // Leases of orders and polls were computed by the clock of the earlier incarnation, which may be far ahead of this one's. Runs that the
    // first answer lists were started by such orders.
    const bool started = this->incarnation->answered && !(answer.running.empty() && answer.ended.empty());
    if (renewed || started || this->incarnation->leaseReachedAnother)
        this->leaseEnd = std::max(this->leaseEnd, now + this->config.maximumLease);
    const WorkerIdentity identity { this->incarnation->info.identity.id, answer.startedAtMs };
    const bool reported = this->candidate && this->candidate->info.identity == identity;
    // Other attributes of a heartbeat with a wrong start time are not reliable either.
    if (!reported && !this->incarnation->answered) {
        this->endIncarnation("the worker answers as " + describeIncarnation(identity), effects);
        this->startNextIncarnation(now, effects);
        return;
    }
    WorkerInfo info = reported ? this->candidate->info : this->incarnation->info;
    info.identity = identity;
    info.draining = reported && info.draining;
    // The new incarnation may have other resources; its first heartbeat states them.
    if (!reported) {
        info.capacity = {};
        info.labels.clear();
        info.coldRemaining = {};
    }
    if (this->candidate && !reported)
        this->dropCandidate("the worker answers as " + describeIncarnation(identity), effects);
    this->beginIncarnation(info, now, effects);
    this->incarnation->answered = true;
    this->incarnation->attributesAssumed = !reported;
    this->knownEmpty = false;
}

void WorkerMachine::dropCandidate(const std::string& reason, Effects& effects)
{
    effects.emplace_back(RecordEvent { EventId::BeatPassedOver, describeIncarnation(this->candidate->info.identity) + ": " + reason });
    this->candidate.reset();
}

void WorkerMachine::pollSoon(TimePoint now)
{
    // A poll without a wait is answered soon; abandoning it at each heartbeat could prevent all answers.
    if (this->pollInFlight && this->pollInFlight->wait > Duration {})
        this->pollInFlight.reset();
    if (!this->pollInFlight)
        this->nextPollAt = now;
}

void WorkerMachine::voidSignOff(Effects& effects)
{
    this->signedOffAt.reset();
    this->incarnation->info.draining = this->incarnation->drainingReported;
    effects.emplace_back(RecordEvent { EventId::BeatPassedOver, "sign-off of " + describeIncarnation(this->incarnation->info.identity) + ": the worker still answers" });
    this->sendSnapshot(effects);
}

TimePoint WorkerMachine::nextPollTime(TimePoint now, bool raised) const
{
    if (raised || this->candidate)
        return now;
    if (this->signedOffAt)
        return std::max(now, *this->signedOffAt + this->config.signOffMargin);
    if (this->acknowledgementDue() && !this->mayAcknowledge())
        return now + this->config.retryDelay;
    return this->incarnation->ended.empty() ? now : now + this->config.acknowledgeWait;
}

void WorkerMachine::beginIncarnation(const WorkerInfo& info, TimePoint now, Effects& effects)
{
    if (this->incarnation)
        this->endIncarnation("a new incarnation has begun", effects);
    // Orders that were sent to this worker before may still be in flight.
    ++this->tokenRaises;
    this->incarnation = WorkerIncarnation { .info = info };
    this->incarnation->lastContact = now;
    this->incarnation->drainingReported = info.draining;
    static_cast<void>(this->updateLongLease(now, effects));
    this->candidate.reset();
    this->nextPollAt = now;
    effects.emplace_back(RecordEvent { EventId::WorkerSeen, describeIncarnation(info.identity) + ", " + std::to_string(info.capacity.milliCores) + " milli-cores, " + std::to_string(info.capacity.memoryMb) + " MB" });
    this->sendSnapshot(effects);
}

void WorkerMachine::endIncarnation(const std::string& reason, Effects& effects)
{
    effects.emplace_back(RecordEvent { EventId::WorkerGone, this->incarnation->info.identity.id + ": " + reason });
    this->incarnation.reset();
    this->signedOffAt.reset();
    this->pollInFlight.reset();
    this->orderInFlight.reset();
    this->orders.clear();
}

void WorkerMachine::startNextIncarnation(TimePoint now, Effects& effects)
{
    if (this->candidate) {
        const WorkerInfo info = this->candidate->info;
        this->beginIncarnation(info, now, effects);
    } else {
        this->sendSnapshot(effects);
    }
}

bool WorkerMachine::raiseAcceptedToken(std::uint64_t token) noexcept
{
    // An accepted token is no less than any that the worker has seen, but an earlier incarnation of the agent may have used it.
    if (token != this->token() || std::exchange(this->incarnation->tokenAccepted, true))
        return false;
    ++this->tokenRaises;
    return true;
}

void WorkerMachine::reportMissing(CallNumber poll, Effects& effects)
{
    bool missing = false;
    const RunLookup listed = this->listedRuns();
    std::erase_if(this->incarnation->started, [poll, &listed, &missing](const std::map<RunId, CallNumber>::value_type& item) {
        const bool gone = item.second <= poll && !listed.contains(&item.first);
        missing = missing || gone;
        return gone;
    });
    if (missing && this->settled())
        this->sendSnapshot(effects);
}

void WorkerMachine::reportEnds(Effects& effects)
{
    std::vector<RunEnd> fresh;
    for (const RunEnd& end : this->incarnation->ended) {
        this->incarnation->started.erase(end.run);
        this->incarnation->toStop.erase(end.run);
        this->paceControl.forget(end.run);
        if (end.number > this->incarnation->reported)
            fresh.push_back(end);
    }
    if (fresh.empty() || !this->leader)
        return;
    this->incarnation->reported = fresh.back().number;
    this->report(RunsEnded { this->incarnation->info.identity, std::move(fresh) }, effects);
}

void WorkerMachine::reportProgress(TimePoint now, Effects& effects)
{
    if (now < this->progressAt || this->incarnation->running.empty() || !this->settled())
        return;
    this->progressAt = now + this->config.progressInterval;
    std::vector<RunStatus> running = this->incarnation->running;
    for (RunStatus& status : running)
        status.pace = this->paceControl.paceOf(status.run);
    this->report(RunProgress { this->incarnation->info.identity, std::move(running) }, effects);
}

void WorkerMachine::sendSnapshot(Effects& effects)
{
    if (!this->leader)
        return;
    const bool nothingRuns = !this->incarnationAnswered() && this->knownEmpty;
    WorkerSnapshot snapshot { this->config.agent, this->generation.value_or(0), nothingRuns ? std::nullopt : this->worker(), this->settled(), {}, {}, this->pendingRuns(), this->lastOrder };
    if (this->incarnation) {
        snapshot.running = this->incarnation->running;
        snapshot.ended = this->incarnation->ended;
        if (snapshot.settled && !snapshot.ended.empty())
            this->incarnation->reported = std::max(this->incarnation->reported, snapshot.ended.back().number);
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

WorkerMachine::RunLookup WorkerMachine::listedRuns() const
{
    RunLookup listed;
    for (const RunStatus& status : this->incarnation->running)
        listed.insert(&status.run);
    for (const RunEnd& end : this->incarnation->ended)
        listed.insert(&end.run);
    return listed;
}

}
