#include "cowslipdoor/core/AgentMachine.h"
#include "cowslipdoor/core/RulesText.h"
#include <algorithm>
#include <type_traits>
#include <utility>

namespace cowslipdoor {

namespace {

    constexpr std::uint32_t reportThresholdDivisor = 4;
    constexpr std::size_t maximumEntryIncarnations = 10'000;

    bool affectsRouting(const Load& before, const Load& after) noexcept
    {
        if (before.ready != after.ready || before.draining != after.draining || before.ledgerComplete != after.ledgerComplete)
            return true;
        if (before.total != after.total || (before.free.slots == 0) != (after.free.slots == 0))
            return true;
        const std::uint32_t difference = std::max(before.free.slots, after.free.slots) - std::min(before.free.slots, after.free.slots);
        return difference * reportThresholdDivisor >= std::max(after.total.slots, 1U);
    }

}

AgentMachine::AgentMachine(AgentConfig config)
    : config(std::move(config))
    , admissionState(this->config.incarnation)
    , ledgerState(this->config.ledger)
{
}

std::vector<AgentEffect> AgentMachine::step(const AgentEvent& event, TimePoint now)
{
    Effects effects;
    this->ledgerState.expire(now);
    if (!this->ledgerCompleteFrom)
        this->ledgerCompleteFrom = now + this->config.ledger.repeatWindow;
    std::visit([this, now, &effects](const auto& alternative) { this->on(alternative, now, effects); }, event);
    this->reportRoutingChanges(now, effects);
    this->finishDrain(effects);
    return effects;
}

Load AgentMachine::load() const noexcept
{
    return {
        .total = this->admissionState.total(),
        .free = this->admissionState.free(),
        .ready = this->admissionState.ready(),
        .draining = this->stopping || this->admissionState.leaving(),
        .ledgerComplete = this->ledgerComplete,
    };
}

Hello AgentMachine::hello() const
{
    return { this->config.name, this->config.incarnation, this->config.failureDomain, this->ruleSet.version(), this->load(), this->knownAgentCount };
}

void AgentMachine::on(const UpstreamAnnounced& event, TimePoint now, Effects& effects)
{
    const Announcement& announcement = event.announcement;
    const bool wasLeaving = this->admissionState.leaving();
    const AnnouncementResult effect = this->admissionState.applyAnnouncement(announcement);
    if (effect != AnnouncementResult::Stale) {
        this->upstreamAddress = announcement.address;
        this->classes = announcement.classes;
        this->restoreLedger(announcement, now);
    }
    if (effect == AnnouncementResult::NewInstance)
        effects.push_back(RecordEvent { EventId::UpstreamAnnounced, announcement.address });
    if (effect == AnnouncementResult::Recovered)
        effects.push_back(RecordEvent { EventId::UpstreamRecovered, announcement.address });
    if (!wasLeaving && this->admissionState.leaving())
        effects.push_back(RecordEvent { EventId::UpstreamLeaving, announcement.address });
    const bool settled = this->admissionState.ready() && !this->admissionState.awaitsConfirmation();
    const Duration interval = settled ? this->config.announceInterval : this->config.recoveryAnnounceInterval;
    effects.push_back(ReplyToAnnouncement { event.caller, { this->admissionState.nextToken(), interval } });
}

void AgentMachine::on(const EntryLinkOpened& event, TimePoint now, Effects& effects)
{
    const Welcome& welcome = event.welcome;
    this->knownAgentCount = std::max(this->knownAgentCount, welcome.agentsKnown);
    this->links.insert_or_assign(event.link, EntryLink { welcome.entry, welcome.rulesVersion, welcome.heartbeatInterval, now, {} });
    this->forwardRules(effects);
}

void AgentMachine::on(const EntryMessage& event, TimePoint now, Effects& effects)
{
    std::visit([this, &event, now, &effects](const auto& message) { this->onMessage(event.link, message, now, effects); }, event.message);
}

void AgentMachine::on(const EntryLinkClosed& event, TimePoint now, Effects& effects)
{
    this->links.erase(event.link);
    std::vector<std::pair<RequestId, AttemptId>> withoutWaiters;
    for (Calls::value_type& item : this->calls) {
        Call& call = item.second;
        std::erase_if(call.waiters, [&event](const Waiter& waiter) { return waiter.link == event.link; });
        if (call.waiters.empty() && call.idempotent)
            withoutWaiters.emplace_back(item.first, call.attempt);
    }
    for (const std::pair<RequestId, AttemptId>& call : withoutWaiters)
        this->abandon(call.first, now, effects);
}

void AgentMachine::on(const UpstreamCallEnded& event, TimePoint now, Effects& effects)
{
    const Calls::iterator it = this->calls.find(event.id);
    if (it == this->calls.end() || it->second.attempt != event.attempt)
        return;
    const Call call = std::move(it->second);
    this->calls.erase(it);
    const FailureReason* const reason = std::get_if<FailureReason>(&event.completion);
    const bool neverSent = reason && describeError(reason->kind).outcome == Outcome::NotRun;
    const bool mayRunOn = reason && describeError(reason->kind).outcome == Outcome::Unknown;
    if (mayRunOn)
        this->admissionState.abandon(event.id);
    else
        this->admissionState.finish(event.id);
    if (neverSent)
        this->ledgerState.refuse(event.id, event.attempt, call.idempotent, now);
    else
        this->ledgerState.finish(event.id, event.completion, call.idempotent, now);
    if (reason)
        effects.push_back(RecordEvent { EventId::CallFailed, toString(event.id) + " " + reason->detail });
    for (const Waiter& waiter : call.waiters)
        this->sendAnswer(waiter.link, event.id, waiter.attempt, event.completion, now, effects);
}

void AgentMachine::on(const StopRequested&, TimePoint, Effects& effects)
{
    if (this->stopping)
        return;
    this->stopping = true;
    effects.push_back(RecordEvent { EventId::DrainStarted, std::to_string(this->calls.size()) + " calls in progress" });
}

void AgentMachine::on(const TimePassed&, TimePoint now, Effects& effects)
{
    this->updateLedgerComplete(now);
    for (std::map<LinkId, EntryLink>::value_type& item : this->links) {
        if (now - item.second.lastReport >= item.second.heartbeatInterval)
            this->sendLoadReport(item.first, item.second, now, effects);
    }
}

void AgentMachine::onMessage(LinkId link, const DispatchRequest& message, TimePoint now, Effects& effects)
{
    if (this->isStaleAttempt(message.attempt)) {
        effects.push_back(RecordEvent { EventId::LateRequestDropped, toString(message.id) });
        return;
    }
    const bool idempotent = isIdempotent(message.trafficClass);
    const LedgerVerdict verdict = this->ledgerState.examine(message.id, message.attempt);
    if (verdict == LedgerVerdict::AlreadyRunning && this->calls.contains(message.id))
        return this->attach(link, message.id, message.attempt);
    if (verdict == LedgerVerdict::AlreadyFinished && !idempotent)
        return this->replayAnswer(link, message.id, message.attempt, now, effects);
    const std::optional<ErrorKind> refusal = this->admit(message, verdict);
    if (!refusal)
        return this->startCall(link, message, now, effects);
    const FailureReason reason { *refusal, this->config.name + ": " + std::string(describeError(*refusal).meaning) };
    if (describeError(*refusal).outcome == Outcome::NotRun && verdict == LedgerVerdict::New)
        this->ledgerState.refuse(message.id, message.attempt, idempotent, now);
    this->sendAnswer(link, message.id, message.attempt, reason, now, effects);
}

void AgentMachine::onMessage(LinkId link, const Cancel& message, TimePoint now, Effects& effects)
{
    const Calls::iterator it = this->calls.find(message.id);
    if (it == this->calls.end() || !it->second.idempotent)
        return;
    std::vector<Waiter>& waiters = it->second.waiters;
    std::erase_if(waiters, [link, &message](const Waiter& waiter) { return waiter.link == link && waiter.attempt == message.attempt; });
    if (waiters.empty())
        this->abandon(message.id, now, effects);
}

void AgentMachine::onMessage(LinkId link, const Inquiry& message, TimePoint now, Effects& effects)
{
    if (message.fence && !this->ledgerComplete) {
        effects.push_back(SendToLink { link, Report { message.id, message.attempt, RequestState::Forgotten, std::nullopt } });
        return;
    }
    const Report report = this->ledgerState.inquire(message, now);
    if (report.state == RequestState::Running)
        this->attach(link, message.id, message.attempt);
    effects.push_back(SendToLink { link, report });
}

void AgentMachine::onMessage(LinkId link, const Heartbeat& message, TimePoint, Effects& effects)
{
    const std::map<LinkId, EntryLink>::iterator it = this->links.find(link);
    if (it == this->links.end())
        return;
    it->second.rulesVersion = message.rulesVersion;
    this->knownAgentCount = message.agentsKnown;
    this->forwardRules(effects);
}

void AgentMachine::onMessage(LinkId, const Release& message, TimePoint, Effects&)
{
    this->ledgerState.release(message);
}

void AgentMachine::onMessage(LinkId link, const RulesUpdate& message, TimePoint, Effects& effects)
{
    const std::map<LinkId, EntryLink>::iterator it = this->links.find(link);
    if (it != this->links.end())
        it->second.rulesVersion = std::max(it->second.rulesVersion, message.version);
    if (message.version <= this->ruleSet.version())
        return;
    const RulesParseResult result = parseRules(message.text);
    if (!result.ok()) {
        effects.push_back(RecordEvent { EventId::RulesRefused, printFault("rules", result.faults.front()) });
        return;
    }
    this->ruleSet = result.rules;
    effects.push_back(RecordEvent { EventId::RulesInForce, "version " + std::to_string(message.version) });
    this->forwardRules(effects);
}

template <typename Other>
void AgentMachine::onMessage(LinkId, const Other&, TimePoint, Effects& effects)
{
    effects.push_back(RecordEvent { EventId::FrameRefused, "an agent does not accept this type of message" });
}

bool AgentMachine::isStaleAttempt(const AttemptId& attempt)
{
    std::uint64_t& newest = this->newestAttempts[attempt.claim.entry];
    if (attempt.number <= newest)
        return true;
    newest = attempt.number;
    if (this->newestAttempts.size() > maximumEntryIncarnations)
        this->newestAttempts.erase(this->newestAttempts.begin());
    return false;
}

void AgentMachine::startCall(LinkId link, const DispatchRequest& message, TimePoint now, Effects& effects)
{
    const bool idempotent = isIdempotent(message.trafficClass);
    this->ledgerState.start(message.id, message.attempt, now);
    this->calls.emplace(message.id, Call { message.attempt, idempotent, { { link, message.attempt } } });
    const Duration timeout = idempotent ? message.budget : std::max(message.budget, this->config.nonIdempotentLimit);
    effects.push_back(CallUpstream { message.id, message.attempt, this->upstreamAddress, message.head, message.body, message.demand, idempotent, timeout });
}

std::optional<ErrorKind> AgentMachine::admit(const DispatchRequest& message, LedgerVerdict verdict)
{
    if (verdict == LedgerVerdict::AlreadyRunning || verdict == LedgerVerdict::Tombstoned)
        return ErrorKind::Refused;
    if (verdict == LedgerVerdict::FencedByOther)
        return ErrorKind::KeyConflict;
    if (verdict == LedgerVerdict::Full)
        return ErrorKind::Busy;
    if (this->stopping)
        return ErrorKind::Draining;
    if (message.budget <= Duration::zero())
        return ErrorKind::DeadlineBeforeStart;
    if (!this->acceptsClass(message.trafficClass))
        return ErrorKind::Refused;
    if (!isIdempotent(message.trafficClass) && !this->ledgerComplete)
        return ErrorKind::AgentRestarted;
    return this->admissionState.admit(message.id, message.demand, message.reserveSlots);
}

bool AgentMachine::acceptsClass(TrafficClass trafficClass) const noexcept
{
    return this->classes.empty() || std::find(this->classes.begin(), this->classes.end(), trafficClass) != this->classes.end();
}

void AgentMachine::attach(LinkId link, const RequestId& id, const AttemptId& attempt)
{
    const Calls::iterator it = this->calls.find(id);
    if (it == this->calls.end())
        return;
    std::vector<Waiter>& waiters = it->second.waiters;
    std::erase_if(waiters, [link, &attempt](const Waiter& waiter) { return waiter.link == link && waiter.attempt == attempt; });
    waiters.push_back({ link, attempt });
}

void AgentMachine::replayAnswer(LinkId link, const RequestId& id, const AttemptId& attempt, TimePoint now, Effects& effects)
{
    const std::shared_ptr<const Completion> kept = this->ledgerState.completionOf(id);
    const Completion completion = kept ? *kept : Completion(FailureReason { ErrorKind::AnswerNotKept, "the agent's limit for recorded answers was reached" });
    this->sendAnswer(link, id, attempt, completion, now, effects);
}

void AgentMachine::abandon(const RequestId& id, TimePoint now, Effects& effects)
{
    const Calls::iterator it = this->calls.find(id);
    if (it == this->calls.end())
        return;
    const Call call = std::move(it->second);
    this->calls.erase(it);
    this->admissionState.abandon(id);
    this->ledgerState.finish(id, FailureReason { ErrorKind::Cancelled, "no caller waits for the answer" }, call.idempotent, now);
    effects.push_back(AbandonCall { id, call.attempt });
}

void AgentMachine::sendAnswer(LinkId link, const RequestId& id, const AttemptId& attempt, const Completion& completion, TimePoint now, Effects& effects)
{
    const std::map<LinkId, EntryLink>::iterator it = this->links.find(link);
    if (it == this->links.end())
        return;
    it->second.lastReport = now;
    it->second.reported = this->load();
    effects.push_back(SendToLink { link, Answer { id, attempt, completion, this->load() } });
}

void AgentMachine::reportRoutingChanges(TimePoint now, Effects& effects)
{
    const Load current = this->load();
    for (std::map<LinkId, EntryLink>::value_type& item : this->links) {
        if (affectsRouting(item.second.reported, current))
            this->sendLoadReport(item.first, item.second, now, effects);
    }
}

void AgentMachine::sendLoadReport(LinkId link, EntryLink& entry, TimePoint now, Effects& effects)
{
    entry.lastReport = now;
    entry.reported = this->load();
    effects.push_back(SendToLink { link, LoadReport { entry.reported, this->ruleSet.version() } });
}

void AgentMachine::forwardRules(Effects& effects)
{
    for (std::map<LinkId, EntryLink>::value_type& item : this->links) {
        if (item.second.rulesVersion >= this->ruleSet.version())
            continue;
        item.second.rulesVersion = this->ruleSet.version();
        effects.push_back(SendToLink { item.first, RulesUpdate { this->ruleSet.version(), this->ruleSet.text() } });
    }
}

void AgentMachine::finishDrain(Effects& effects)
{
    if (!this->stopping || this->drainedSent || !this->calls.empty())
        return;
    this->drainedSent = true;
    effects.push_back(RecordEvent { EventId::DrainFinished, "no call in progress" });
    effects.push_back(Drained {});
}

void AgentMachine::restoreLedger(const Announcement& announcement, TimePoint now)
{
    if (!announcement.remembersFinished || this->ledgerComplete)
        return;
    for (const RequestId& id : announcement.finished)
        this->ledgerState.restore(id, FailureReason { ErrorKind::AnswerNotKept, "the request ran before the agent restarted" }, now);
    for (const RunningWork& work : announcement.running)
        this->ledgerState.restore(work.id, FailureReason { ErrorKind::AgentRestarted, "the request was running when the agent restarted" }, now);
    this->ledgerRestored = true;
    this->updateLedgerComplete(now);
}

void AgentMachine::updateLedgerComplete(TimePoint now) noexcept
{
    if (this->ledgerComplete || !this->admissionState.ready())
        return;
    this->ledgerComplete = this->ledgerRestored || (this->ledgerCompleteFrom && now >= *this->ledgerCompleteFrom);
}

}
