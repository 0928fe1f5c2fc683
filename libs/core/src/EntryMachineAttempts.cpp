#include "cowslipdoor/core/EntryMachine.h"
#include <algorithm>
#include <utility>

// Attempts: dispatch, results, refusals, retries, lost links and deadlines.

namespace cowslipdoor {

namespace {

    constexpr std::uint32_t conflictRetryNumber = 3;

}

void EntryMachine::send(const RequestId& id, Request& request, LinkId link, TimePoint now, Effects& effects)
{
    const Rule& rule = request.rule;
    request.attempt = ++this->lastAttempt;
    if (!std::exchange(request.attempted, true))
        this->retryBudgets[static_cast<std::size_t>(rule.trafficClass)].recordFirstAttempt();
    const bool mayRetry = !request.keyed && request.retriesLeft > 0;
    const TimePoint attemptDeadline = mayRetry ? now + (request.deadline - now) / 2 : request.deadline;
    const std::string agent = this->routerState.view(link)->agent;
    request.phase = Dispatched { link, agent, this->agents.at(agent).incarnation, now, attemptDeadline };
    request.conflict = false;
    this->routerState.recordStart(link, rule.demand);
    this->wakeups.emplace(attemptDeadline, id);
    const std::uint32_t reserve = rule.trafficClass == TrafficClass::Batch ? this->ruleSet.reserveSlots() : 0;
    effects.push_back(SendToLink { link,
        DispatchRequest { id, this->currentAttempt(request), rule.trafficClass, request.deadline - now, rule.demand, reserve, request.head, request.body } });
}

void EntryMachine::handleAnswer(const RequestId& id, Request& request, const Answer& message, TimePoint now, Effects& effects)
{
    const FailureReason* const reason = std::get_if<FailureReason>(&message.completion);
    if (!reason) {
        this->releaseAttempt(request, AttemptHealth::Good, now, effects);
        return this->answer(id, message.completion, now, effects);
    }
    const bool upstreamDown = reason->kind == ErrorKind::UpstreamUnreachable;
    if (describeError(reason->kind).outcome == Outcome::NotRun && !upstreamDown)
        return this->handleAttemptRefusal(id, request, *reason, now, effects);
    this->releaseAttempt(request, AttemptHealth::Bad, now, effects);
    this->handleAttemptFailure(id, request, *reason, now, effects);
}

void EntryMachine::handleAttemptFailure(const RequestId& id, Request& request, const FailureReason& reason, TimePoint now, Effects& effects)
{
    const ErrorDescription& row = describeError(reason.kind);
    if (row.outcome == Outcome::Unknown)
        request.uncertainFailure = std::make_shared<const FailureReason>(reason);
    const bool mayRepeat = row.retryable && (!request.keyed || row.outcome == Outcome::NotRun);
    if (!mayRepeat || !this->scheduleRetry(id, request, now, effects))
        this->answer(id, reason, now, effects);
}

void EntryMachine::handleAttemptRefusal(const RequestId& id, Request& request, const FailureReason& reason, TimePoint now, Effects& effects)
{
    ++this->counts.refusedByAgents;
    const Dispatched dispatched = std::get<Dispatched>(request.phase);
    this->releaseAttempt(request, AttemptHealth::Neutral, now, effects);
    this->releaseFences(id, request, effects);
    request.phase = Queued {};
    request.conflict = dispatched.inquiryOnly;
    request.knownNotRun = request.keyed && !dispatched.inquiryOnly;
    if (dispatched.inquiryOnly)
        return this->delay(id, request, retryDelay(conflictRetryNumber, this->random), now);
    if (reason.kind == ErrorKind::Busy)
        this->routerState.markFull(dispatched.link);
    if (reason.kind == ErrorKind::DeadlineBeforeStart)
        return this->expire(id, request, now, effects);
    if (reason.kind != ErrorKind::Refused)
        return this->enqueue(id, request);
    request.failedOn.insert(dispatched.agent);
    this->delay(id, request, retryDelay(++request.refusals, this->random), now);
}

bool EntryMachine::scheduleRetry(const RequestId& id, Request& request, TimePoint now, Effects& effects)
{
    RetryBudget& budget = this->retryBudgets[static_cast<std::size_t>(request.rule.trafficClass)];
    if (request.retriesLeft == 0 || !budget.take())
        return false;
    --request.retriesLeft;
    ++this->counts.retried;
    const Duration delay = retryDelay(request.rule.retries - request.retriesLeft, this->random);
    this->releaseFences(id, request, effects);
    this->delay(id, request, delay, now);
    effects.push_back(RecordEvent { EventId::RetryScheduled, toString(id) });
    return true;
}

void EntryMachine::handleLinkLoss(const RequestId& id, Request& request, LinkId link, TimePoint now, Effects& effects)
{
    if (std::holds_alternative<Fencing>(request.phase)) {
        this->releaseFences(id, request, effects);
        return this->enqueue(id, request);
    }
    const Dispatched dispatched = std::get<Dispatched>(request.phase);
    this->releaseAttempt(request, AttemptHealth::Bad, now, effects);
    if (request.keyed) {
        request.phase = Inquiring { dispatched.agent, dispatched.incarnation };
        const std::map<std::string, KnownAgent>::const_iterator it = this->agents.find(dispatched.agent);
        if (it != this->agents.end() && it->second.link != link)
            this->resumeInquiry(id, request, it->second.link, Hello { .agent = it->first, .incarnation = it->second.incarnation }, now, effects);
        return;
    }
    this->handleAttemptFailure(id, request, { ErrorKind::LinkLost, "the link to " + dispatched.agent + " was lost" }, now, effects);
}

void EntryMachine::resumeInquiry(const RequestId& id, Request& request, LinkId link, const Hello& hello, TimePoint now, Effects& effects)
{
    const Inquiring inquiring = std::get<Inquiring>(request.phase);
    if (inquiring.incarnation != hello.incarnation)
        return this->fail(id, ErrorKind::AgentRestarted, hello.agent + " restarted while the request was in progress", now, effects);
    ++this->counts.inquiries;
    request.phase = Dispatched { link, hello.agent, hello.incarnation, now, request.deadline };
    this->routerState.recordStart(link, request.rule.demand);
    effects.push_back(SendToLink { link, Inquiry { id, this->currentAttempt(request), false } });
}

void EntryMachine::releaseAttempt(Request& request, AttemptHealth health, TimePoint now, Effects& effects)
{
    const Dispatched* const dispatched = std::get_if<Dispatched>(&request.phase);
    if (!dispatched)
        return;
    if (health == AttemptHealth::Bad)
        request.failedOn.insert(dispatched->agent);
    const HealthChange change = this->routerState.recordEnd(dispatched->link, request.rule.demand, request.rule.trafficClass, now - dispatched->sentAt, health, now);
    if (change == HealthChange::Ejected)
        effects.push_back(RecordEvent { EventId::UpstreamEjected, dispatched->agent });
    if (change == HealthChange::Readmitted)
        effects.push_back(RecordEvent { EventId::UpstreamReadmitted, dispatched->agent });
}

void EntryMachine::cancelAttempt(const RequestId& id, const Request& request, Effects& effects)
{
    const Dispatched* const dispatched = std::get_if<Dispatched>(&request.phase);
    if (dispatched && !request.keyed)
        effects.push_back(SendToLink { dispatched->link, Cancel { id, this->currentAttempt(request) } });
}

void EntryMachine::handleWakeup(const RequestId& id, Request& request, TimePoint now, Effects& effects)
{
    if (now >= request.deadline)
        return this->expire(id, request, now, effects);
    const Delayed* const delayed = std::get_if<Delayed>(&request.phase);
    if (delayed && now >= delayed->until)
        return this->enqueue(id, request);
    const Dispatched* const dispatched = std::get_if<Dispatched>(&request.phase);
    if (!dispatched || now < dispatched->attemptDeadline)
        return;
    const std::string agent = dispatched->agent;
    this->cancelAttempt(id, request, effects);
    this->releaseAttempt(request, AttemptHealth::Bad, now, effects);
    this->handleAttemptFailure(id, request, { ErrorKind::UpstreamTimeout, agent + " did not answer within half of the remaining time" }, now, effects);
}

void EntryMachine::expire(const RequestId& id, Request& request, TimePoint now, Effects& effects)
{
    const bool sent = std::holds_alternative<Dispatched>(request.phase);
    this->cancelAttempt(id, request, effects);
    this->releaseAttempt(request, request.keyed ? AttemptHealth::Neutral : AttemptHealth::Bad, now, effects);
    if (sent || std::holds_alternative<Inquiring>(request.phase))
        return this->fail(id, ErrorKind::OutcomeUnknown, "no answer within the deadline", now, effects);
    this->releaseFences(id, request, effects);
    if (request.uncertainFailure)
        return this->answer(id, *request.uncertainFailure, now, effects);
    if (request.conflict)
        return this->fail(id, ErrorKind::KeyConflict, "another entry has a claim on the key", now, effects);
    if (request.keyed && !request.knownNotRun)
        return this->fail(id, ErrorKind::KeyedUnavailable, "no agent could be asked about earlier copies within the deadline", now, effects);
    this->fail(id, ErrorKind::DeadlineBeforeStart, "no VM had enough free capacity within the deadline", now, effects);
}

void EntryMachine::delay(const RequestId& id, Request& request, Duration duration, TimePoint now)
{
    request.phase = Delayed { now + duration };
    this->wakeups.emplace(now + duration, id);
}

}
