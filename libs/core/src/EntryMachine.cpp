#include "cowslipdoor/core/EntryMachine.h"
#include "cowslipdoor/core/RulesText.h"
#include <algorithm>
#include <charconv>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslipdoor {

namespace {

    constexpr std::string_view keyHeader = "Idempotency-Key";
    constexpr std::string_view deadlineHeader = "Cowslipdoor-Deadline-Ms";
    constexpr std::size_t maximumSkippedInQueue = 32;
    constexpr std::uint32_t loadReportBytes = 160;

    /// Order in which queues are dispatched.
    constexpr std::array queueOrder { TrafficClass::Quick, TrafficClass::Tally, TrafficClass::Watch, TrafficClass::Batch };

    std::uint64_t fingerprintOf(const RequestHead& head, const Bytes& body)
    {
        const std::string text = head.method + ' ' + head.target;
        const XXH64_hash_t headHash = XXH3_64bits(text.data(), text.size());
        return XXH3_64bits_withSeed(body.view().data(), body.size(), headHash);
    }

    Duration callerDeadline(const RequestHead& head, Duration longest)
    {
        const std::string_view value = head.header(deadlineHeader);
        std::uint32_t milliseconds = 0;
        const std::from_chars_result parsed = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        if (value.empty() || parsed.ec != std::errc() || parsed.ptr != value.data() + value.size())
            return longest;
        return std::min<Duration>(std::chrono::milliseconds(milliseconds), longest);
    }

    std::string describe(const FailureReason& reason)
    {
        return std::string(describeError(reason.kind).name) + ": " + reason.detail;
    }

    struct OutcomeOf {
        Outcome operator()(const Response&) const noexcept { return Outcome::Ran; }
        Outcome operator()(const FailureReason& reason) const noexcept { return describeError(reason.kind).outcome; }
    };

}

EntryMachine::EntryMachine(EntryConfig config)
    : config(std::move(config))
    , random(this->config.randomSeed)
    , routerState(this->config.router)
    , retryBudgets(trafficClassCount, RetryBudget(this->config.retryBudget))
{
}

std::vector<EntryEffect> EntryMachine::step(const EntryEvent& event, TimePoint now)
{
    Effects effects;
    if (!this->startedAt) {
        this->startedAt = now;
        this->nextHeartbeat = now + this->heartbeatInterval();
    }
    std::visit([this, now, &effects](const auto& alternative) { this->on(alternative, now, effects); }, event);
    this->dispatchQueued(now, effects);
    return effects;
}

std::optional<TimePoint> EntryMachine::nextWakeup() const
{
    if (!this->startedAt)
        return std::nullopt;
    return this->wakeups.empty() ? this->nextHeartbeat : std::min(this->nextHeartbeat, this->wakeups.begin()->first);
}

std::size_t EntryMachine::queued() const noexcept
{
    std::size_t sum = 0;
    for (const std::deque<RequestId>& queue : this->queues)
        sum += queue.size();
    return sum;
}

bool EntryMachine::ready(TimePoint now) const noexcept
{
    return !this->stopRequested && this->ruleSet.version() > 0 && this->routerState.size() > 0 && this->waitedForAgents(now);
}

void EntryMachine::on(const RequestArrived& event, TimePoint now, Effects& effects)
{
    ++this->counts.arrived;
    const Rule* const rule = this->ruleSet.match(event.head);
    if (!rule)
        return this->refuseCaller(event, {}, ErrorKind::NoRule, event.head.method + ' ' + std::string(event.head.path()), effects);
    const std::string_view key = event.head.header(keyHeader);
    const bool keyed = !isIdempotent(rule->trafficClass);
    if (keyed && key.empty())
        return this->refuseCaller(event, {}, ErrorKind::KeyMissing, "rule " + rule->name + " is for non-idempotent requests", effects);
    const RequestId id = keyed ? keyedRequestId(event.head.user, key) : this->newRequestId();
    const Requests::iterator it = this->requests.find(id);
    if (it != this->requests.end())
        return this->joinRequest(event, id, it->second, effects);
    this->admit(event, id, *rule, now, effects);
}

void EntryMachine::admit(const RequestArrived& event, const RequestId& id, const Rule& rule, TimePoint now, Effects& effects)
{
    if (this->quotaExhausted(rule))
        return this->refuseCaller(event, id, ErrorKind::QuotaExceeded, "team " + rule.team, effects);
    if (this->queued() >= this->config.maximumQueued) {
        this->burnTracker.record(subjectOf(rule), true, now);
        return this->refuseCaller(event, id, ErrorKind::QueueFull, std::to_string(this->config.maximumQueued) + " requests wait", effects);
    }
    const TimePoint deadline = now + callerDeadline(event.head, rule.deadline);
    Request request {
        .callers = { event.caller },
        .head = event.head,
        .body = event.body,
        .fingerprint = fingerprintOf(event.head, event.body),
        .rule = rule,
        .keyed = !isIdempotent(rule.trafficClass),
        .claim = ++this->lastClaim,
        .arrivedAt = now,
        .deadline = deadline,
        .retriesLeft = rule.retries,
    };
    const Requests::iterator it = this->requests.emplace(id, std::move(request)).first;
    this->requestOfCaller.emplace(event.caller, id);
    ++this->inFlightOfTeam[rule.team];
    this->wakeups.emplace(deadline, id);
    this->enqueue(id, it->second);
}

void EntryMachine::joinRequest(const RequestArrived& event, const RequestId& id, Request& request, Effects& effects)
{
    if (request.fingerprint != fingerprintOf(event.head, event.body))
        return this->refuseCaller(event, id, ErrorKind::KeyReused, "the other request has another method, target or body", effects);
    request.callers.push_back(event.caller);
    this->requestOfCaller.emplace(event.caller, id);
}

void EntryMachine::on(const CallerGone& event, TimePoint now, Effects& effects)
{
    const std::map<CallerId, RequestId>::iterator caller = this->requestOfCaller.find(event.caller);
    if (caller == this->requestOfCaller.end())
        return;
    const RequestId id = caller->second;
    this->requestOfCaller.erase(caller);
    Request& request = this->requests.at(id);
    std::erase(request.callers, event.caller);
    if (!request.callers.empty())
        return;
    ++this->counts.cancelled;
    // A request whose caller disconnects counts as a miss only if it has already taken longer than its objective allows.
    if (missesObjective(request.rule, Outcome::Ran, now - request.arrivedAt))
        this->burnTracker.record(subjectOf(request.rule), true, now);
    if (request.keyed && !std::holds_alternative<Queued>(request.phase))
        return;
    this->cancelAttempt(id, request, effects);
    this->releaseAttempt(request, AttemptHealth::Neutral, now, effects);
    this->releaseFences(id, request, effects);
    this->removeRequest(id);
}

void EntryMachine::on(const AgentLinkOpened& event, TimePoint now, Effects& effects)
{
    const Hello& hello = event.hello;
    const std::map<std::string, KnownAgent>::const_iterator known = this->agents.find(hello.agent);
    const std::optional<LinkId> replaced = known == this->agents.end() ? std::nullopt : std::optional<LinkId>(known->second.link);
    this->routerState.add(event.link, hello, now);
    this->agents.insert_or_assign(hello.agent, KnownAgent { hello.incarnation, event.link });
    this->lastSeenOfAgent.insert_or_assign(hello.agent, now);
    this->reportedAgentCount = std::max(this->reportedAgentCount, hello.agentsKnown);
    this->reportedAgentCountExpiry = now + this->config.repeatWindow;
    if (!this->firstAgentAt)
        this->firstAgentAt = now;
    if (replaced) {
        effects.push_back(CloseLink { *replaced });
        this->on(AgentLinkClosed { *replaced }, now, effects);
    }
    effects.push_back(SendToLink { event.link, Welcome { this->config.name, this->config.incarnation, this->ruleSet.version(), this->heartbeatInterval(), this->knownAgentCount(now) } });
    effects.push_back(RecordEvent { EventId::LinkOpened, hello.agent + " in failure domain " + hello.failureDomain });
    this->sendRulesIfOlder(event.link, hello.rulesVersion, effects);
    std::vector<RequestId> inquiring;
    for (const Requests::value_type& item : this->requests) {
        const Inquiring* const phase = std::get_if<Inquiring>(&item.second.phase);
        if (phase && phase->agent == hello.agent)
            inquiring.push_back(item.first);
    }
    for (const RequestId& id : inquiring)
        this->resumeInquiry(id, this->requests.at(id), event.link, hello, now, effects);
}

void EntryMachine::on(const AgentMessage& event, TimePoint now, Effects& effects)
{
    std::visit([this, &event, now, &effects](const auto& message) { this->onMessage(event.link, message, now, effects); }, event.message);
}

void EntryMachine::on(const AgentLinkClosed& event, TimePoint now, Effects& effects)
{
    std::vector<RequestId> affected;
    for (const Requests::value_type& item : this->requests) {
        const Dispatched* const dispatched = std::get_if<Dispatched>(&item.second.phase);
        const Fencing* const fencing = std::get_if<Fencing>(&item.second.phase);
        if ((dispatched && dispatched->link == event.link) || (fencing && fencing->awaited.contains(event.link)))
            affected.push_back(item.first);
    }
    for (const RequestId& id : affected)
        this->handleLinkLoss(id, this->requests.at(id), event.link, now, effects);
    const std::optional<AgentView> view = this->routerState.view(event.link);
    if (view) {
        effects.push_back(RecordEvent { EventId::LinkClosed, view->agent });
        const std::map<std::string, KnownAgent>::iterator it = this->agents.find(view->agent);
        if (it != this->agents.end() && it->second.link == event.link) {
            this->lastSeenOfAgent.insert_or_assign(view->agent, now);
            this->agents.erase(it);
        }
    }
    this->routerState.remove(event.link);
}

void EntryMachine::on(const RulesLoaded& event, TimePoint, Effects& effects)
{
    this->applyRules(event.rules, effects);
}

void EntryMachine::on(const StopRequested&, TimePoint, Effects& effects)
{
    if (this->stopRequested)
        return;
    this->stopRequested = true;
    effects.push_back(RecordEvent { EventId::DrainStarted, std::to_string(this->requests.size()) + " requests in progress" });
}

void EntryMachine::on(const TimePassed&, TimePoint now, Effects& effects)
{
    while (!this->wakeups.empty() && this->wakeups.begin()->first <= now) {
        const RequestId id = this->wakeups.begin()->second;
        this->wakeups.erase(this->wakeups.begin());
        const Requests::iterator it = this->requests.find(id);
        if (it != this->requests.end())
            this->handleWakeup(id, it->second, now, effects);
    }
    if (now >= this->nextHeartbeat)
        this->sendHeartbeats(now, effects);
}

void EntryMachine::sendHeartbeats(TimePoint now, Effects& effects)
{
    this->nextHeartbeat = now + this->heartbeatInterval();
    const std::uint32_t known = this->knownAgentCount(now);
    for (const std::map<std::string, KnownAgent>::value_type& item : this->agents)
        effects.push_back(SendToLink { item.second.link, Heartbeat { this->ruleSet.version(), known } });
}

void EntryMachine::onMessage(LinkId link, const Answer& message, TimePoint now, Effects& effects)
{
    this->routerState.update(link, message.load);
    const Requests::iterator it = this->requests.find(message.id);
    const Dispatched* const dispatched = it == this->requests.end() ? nullptr : std::get_if<Dispatched>(&it->second.phase);
    if (!dispatched || dispatched->link != link || message.attempt != this->currentAttempt(it->second)) {
        ++this->counts.lateAnswersDropped;
        effects.push_back(RecordEvent { EventId::LateAnswerDropped, toString(message.id) });
        return;
    }
    this->handleAnswer(message.id, it->second, message, now, effects);
}

void EntryMachine::onMessage(LinkId link, const Report& message, TimePoint now, Effects& effects)
{
    const Requests::iterator it = this->requests.find(message.id);
    if (it == this->requests.end() || message.attempt != this->currentAttempt(it->second))
        return;
    Request& request = it->second;
    const Fencing* const fencing = std::get_if<Fencing>(&request.phase);
    const Dispatched* const dispatched = std::get_if<Dispatched>(&request.phase);
    if (fencing && fencing->awaited.contains(link))
        return this->handleWitnessReport(message.id, request, message, link, now, effects);
    if (!dispatched || dispatched->link != link)
        return;
    if (message.state == RequestState::NotRun)
        return this->handleAttemptRefusal(message.id, request, { ErrorKind::Refused, "the agent did not run the attempt" }, now, effects);
    if (message.state == RequestState::Running)
        return;
    this->releaseAttempt(request, AttemptHealth::Neutral, now, effects);
    if (message.state == RequestState::Forgotten)
        return this->fail(message.id, ErrorKind::AgentRestarted, "the agent cannot tell whether the request ran", now, effects);
    this->answer(message.id, message.completion.value_or(FailureReason { ErrorKind::AnswerNotKept, "the agent's limit for recorded answers was reached" }), now, effects);
}

void EntryMachine::onMessage(LinkId link, const LoadReport& message, TimePoint, Effects& effects)
{
    this->routerState.update(link, message.load);
    this->sendRulesIfOlder(link, message.rulesVersion, effects);
}

void EntryMachine::onMessage(LinkId, const RulesUpdate& message, TimePoint, Effects& effects)
{
    if (message.version <= this->ruleSet.version())
        return;
    const RulesParseResult result = parseRules(message.text);
    if (result.ok())
        this->applyRules(result.rules, effects);
    else
        effects.push_back(RecordEvent { EventId::RulesRefused, printFault("rules", result.faults.front()) });
}

template <typename Other>
void EntryMachine::onMessage(LinkId, const Other&, TimePoint, Effects& effects)
{
    effects.push_back(RecordEvent { EventId::FrameRefused, "an entry does not accept this type of message" });
}

void EntryMachine::enqueue(const RequestId& id, Request& request)
{
    request.phase = Queued {};
    this->queues[static_cast<std::size_t>(request.rule.trafficClass)].push_back(id);
}

void EntryMachine::dispatchQueued(TimePoint now, Effects& effects)
{
    for (const TrafficClass trafficClass : queueOrder)
        this->dispatchFromQueue(this->queues[static_cast<std::size_t>(trafficClass)], now, effects);
}

void EntryMachine::dispatchFromQueue(std::deque<RequestId>& queue, TimePoint now, Effects& effects)
{
    std::size_t skipped = 0;
    std::size_t index = 0;
    std::optional<Capacity> unplaceableDemand;
    while (index < queue.size() && skipped < maximumSkippedInQueue) {
        const RequestId id = queue[index];
        const Requests::iterator it = this->requests.find(id);
        const bool isQueued = it != this->requests.end() && std::holds_alternative<Queued>(it->second.phase);
        const bool cannotFit = isQueued && !it->second.keyed && unplaceableDemand && it->second.rule.demand.covers(*unplaceableDemand);
        if (!isQueued || (!cannotFit && this->tryDispatch(id, it->second, now, effects))) {
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        if (!it->second.keyed && !cannotFit)
            unplaceableDemand = it->second.rule.demand;
        ++skipped;
        ++index;
    }
}

bool EntryMachine::tryDispatch(const RequestId& id, Request& request, TimePoint now, Effects& effects)
{
    if (request.keyed)
        return this->tryDispatchKeyed(id, request, now, effects);
    const TrafficClass trafficClass = request.rule.trafficClass;
    const std::uint32_t reserve = trafficClass == TrafficClass::Batch ? this->ruleSet.reserveSlots() : 0;
    const std::optional<LinkId> link = this->routerState.choose(request.rule.demand, reserve, trafficClass, request.failedOn, now, this->random);
    if (!link)
        return false;
    this->send(id, request, *link, now, effects);
    return true;
}

void EntryMachine::answer(const RequestId& id, const Completion& completion, TimePoint now, Effects& effects)
{
    const Request& request = this->requests.at(id);
    const Outcome outcome = std::visit(OutcomeOf {}, completion);
    if (outcome == Outcome::Unknown)
        effects.push_back(RecordEvent { EventId::OutcomeUnknown, toString(id) + " " + std::get<FailureReason>(completion).detail });
    if (outcome == Outcome::NotRun)
        effects.push_back(RecordEvent { EventId::RequestRefused, toString(id) + " " + describe(std::get<FailureReason>(completion)) });
    const Duration latency = now - request.arrivedAt;
    const BurnSubject subject = subjectOf(request.rule);
    const bool missed = missesObjective(request.rule, outcome, latency);
    for (const CallerId caller : request.callers) {
        ++this->counts.answered;
        effects.push_back(ReplyToCaller { caller, id, completion });
        this->burnTracker.record(subject, missed, now);
        effects.push_back(ObserveRequest { request.rule.name, request.rule.trafficClass, outcome, latency });
    }
    this->removeRequest(id);
}

void EntryMachine::fail(const RequestId& id, ErrorKind kind, const std::string& detail, TimePoint now, Effects& effects)
{
    this->answer(id, FailureReason { kind, detail }, now, effects);
}

void EntryMachine::refuseCaller(const RequestArrived& event, const RequestId& id, ErrorKind kind, const std::string& detail, Effects& effects)
{
    ++this->counts.answered;
    const FailureReason reason { kind, detail };
    effects.push_back(RecordEvent { EventId::RequestRefused, toString(id) + " " + describe(reason) });
    effects.push_back(ReplyToCaller { event.caller, id, reason });
}

void EntryMachine::removeRequest(const RequestId& id)
{
    const Requests::iterator it = this->requests.find(id);
    for (const CallerId caller : it->second.callers)
        this->requestOfCaller.erase(caller);
    const std::map<std::string, std::uint32_t>::iterator team = this->inFlightOfTeam.find(it->second.rule.team);
    if (--team->second == 0)
        this->inFlightOfTeam.erase(team);
    this->requests.erase(it);
}

void EntryMachine::applyRules(const RuleSet& rules, Effects& effects)
{
    const bool sameVersion = rules.version() == this->ruleSet.version();
    if (sameVersion && rules.text() != this->ruleSet.text())
        effects.push_back(RecordEvent { EventId::RulesConflict, "version " + std::to_string(rules.version()) + " is in force with a different text" });
    else if (!sameVersion && rules.version() < this->ruleSet.version())
        effects.push_back(RecordEvent { EventId::RulesRefused, "version " + std::to_string(rules.version()) + " is older than version " + std::to_string(this->ruleSet.version()) + " in force" });
    if (rules.version() <= this->ruleSet.version())
        return;
    this->ruleSet = rules;
    effects.push_back(RecordEvent { EventId::RulesInForce, "version " + std::to_string(rules.version()) });
    for (const std::map<std::string, KnownAgent>::value_type& item : this->agents)
        effects.push_back(SendToLink { item.second.link, RulesUpdate { rules.version(), rules.text() } });
}

void EntryMachine::sendRulesIfOlder(LinkId link, std::uint64_t version, Effects& effects)
{
    if (version < this->ruleSet.version())
        effects.push_back(SendToLink { link, RulesUpdate { this->ruleSet.version(), this->ruleSet.text() } });
}

RequestId EntryMachine::newRequestId() noexcept
{
    return { static_cast<std::uint64_t>(this->config.incarnation), ++this->requestNumber };
}

bool EntryMachine::quotaExhausted(const Rule& rule) const
{
    const std::map<std::string, std::uint32_t>::const_iterator it = this->inFlightOfTeam.find(rule.team);
    return rule.quota && it != this->inFlightOfTeam.end() && it->second >= *rule.quota;
}

AttemptId EntryMachine::currentAttempt(const Request& request) const noexcept
{
    return { { this->config.incarnation, request.claim }, request.attempt };
}

Duration EntryMachine::heartbeatInterval() const noexcept
{
    const std::size_t bytesPerRound = (this->routerState.size() + 1) * loadReportBytes;
    const Duration interval = std::chrono::seconds(bytesPerRound / this->config.reportBytesPerSecond);
    return std::clamp(interval, this->config.minimumHeartbeatInterval, this->config.maximumHeartbeatInterval);
}

}
