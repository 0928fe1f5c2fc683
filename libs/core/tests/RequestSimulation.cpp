#include "RequestSimulation.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor::tests {

namespace {

    constexpr std::size_t maximumRecordedDeliveries = 64;
    constexpr Duration repeatWindow = std::chrono::seconds(30);
    constexpr Duration reconnectDelay = std::chrono::seconds(1);

    AgentConfig agentConfig(std::size_t agent, Incarnation incarnation)
    {
        AgentConfig config;
        config.name = "agent-" + std::to_string(agent);
        config.failureDomain = "chuping";
        config.incarnation = incarnation;
        config.ledger.repeatWindow = repeatWindow;
        config.nonIdempotentLimit = std::chrono::seconds(10);
        return config;
    }

    EntryConfig entryConfig(std::size_t entry, Incarnation incarnation)
    {
        EntryConfig config;
        config.name = "entry-" + std::to_string(entry);
        config.incarnation = incarnation;
        config.randomSeed = static_cast<std::uint64_t>(incarnation);
        config.router.failureDomain = "chuping";
        return config;
    }

}

RequestSimulation::RequestSimulation(RequestSimulationConfig config)
    : config(config)
    , entries(config.entries)
    , entryIncarnations(config.entries)
    , agents(config.agents)
    , agentIncarnations(config.agents)
    , upstreams(config.agents)
{
    for (std::size_t entry = 0; entry < config.entries; ++entry)
        this->startEntry(entry);
    for (std::size_t agent = 0; agent < config.agents; ++agent)
        this->startAgent(agent);
    for (std::size_t entry = 0; entry < config.entries; ++entry) {
        for (std::size_t agent = 0; agent < config.agents; ++agent)
            this->linkStates.push_back({ .entry = entry, .agent = agent });
    }
    this->settle();
    this->advance(repeatWindow);
    this->settle();
}

void RequestSimulation::sendRequest(std::size_t entry, const std::string& target, const std::string& key)
{
    const std::uint64_t number = ++this->lastCaller;
    Caller caller { .entry = entry, .entryIncarnation = this->entryIncarnations[entry], .target = target, .arrival = number };
    if (!key.empty())
        caller.keyed = keyedRequestId("siti", key);
    this->callers.emplace(number, caller);
    this->stepEntry(entry, RequestArrived { CallerId { number }, headOf(target, key), Bytes() });
}

void RequestSimulation::disconnectCaller(std::size_t which)
{
    std::vector<std::uint64_t> waiting;
    for (const std::map<std::uint64_t, Caller>::value_type& item : this->callers) {
        if (!item.second.answered && !item.second.gone)
            waiting.push_back(item.first);
    }
    if (waiting.empty())
        return;
    const std::uint64_t number = waiting[which % waiting.size()];
    this->callers.at(number).gone = true;
    this->stepEntry(this->callers.at(number).entry, CallerGone { CallerId { number } });
}

void RequestSimulation::deliver(std::size_t linkIndex, bool toAgent)
{
    Link& link = this->linkStates[linkIndex];
    std::deque<LinkMessage>& queue = toAgent ? link.toAgent : link.toEntry;
    const bool receiverOpen = toAgent ? link.agentOpen : link.entryOpen;
    const bool senderOpen = toAgent ? link.entryOpen : link.agentOpen;
    if (!receiverOpen)
        return queue.clear();
    if (queue.empty()) {
        if (senderOpen)
            return;
        return toAgent ? this->closeAgentEnd(link) : this->closeEntryEnd(link);
    }
    const LinkMessage message = queue.front();
    queue.pop_front();
    this->recordDelivery(linkIndex, toAgent, message);
    if (toAgent)
        this->stepAgent(link.agent, EntryMessage { link.agentEnd, message });
    else
        this->stepEntry(link.entry, AgentMessage { link.entryEnd, message });
}

void RequestSimulation::redeliver(std::size_t which)
{
    if (this->delivered.empty())
        return;
    const Delivered again = this->delivered[which % this->delivered.size()];
    const Link& link = this->linkStates[again.link];
    if (again.toAgent && link.agentOpen)
        this->stepAgent(link.agent, EntryMessage { link.agentEnd, again.message });
    if (!again.toAgent && link.entryOpen)
        this->stepEntry(link.entry, AgentMessage { link.entryEnd, again.message });
}

void RequestSimulation::recordDelivery(std::size_t link, bool toAgent, const LinkMessage& message)
{
    this->delivered.push_back({ link, toAgent, message });
    if (this->delivered.size() > maximumRecordedDeliveries)
        this->delivered.pop_front();
}

void RequestSimulation::upstreamReads(std::size_t agent)
{
    const std::vector<Call> arriving = std::move(this->upstreams[agent].arriving);
    this->upstreams[agent].arriving.clear();
    for (const Call& call : arriving)
        this->begin(agent, call);
}

void RequestSimulation::upstreamFinishes(std::size_t agent, std::size_t which)
{
    Upstream& upstream = this->upstreams[agent];
    if (upstream.running.empty())
        return;
    const std::vector<Call>::iterator it = upstream.running.begin() + static_cast<std::ptrdiff_t>(which % upstream.running.size());
    const Call call = *it;
    upstream.running.erase(it);
    upstream.used = upstream.used.minus(call.demand);
    if (!call.idempotent)
        upstream.finishedKeyed.push_back(call.id);
    if (call.agent == this->agentIncarnations[agent])
        this->stepAgent(agent, UpstreamCallEnded { call.id, call.attempt, this->completionOf(call) });
}

void RequestSimulation::upstreamDisconnects(std::size_t agent, std::size_t which)
{
    const Upstream& upstream = this->upstreams[agent];
    if (upstream.running.empty())
        return;
    const Call call = upstream.running[which % upstream.running.size()];
    if (call.agent == this->agentIncarnations[agent])
        this->stepAgent(agent, UpstreamCallEnded { call.id, call.attempt, FailureReason { ErrorKind::UpstreamTruncated, "the connection was closed" } });
}

void RequestSimulation::upstreamAnnounces(std::size_t agent)
{
    this->upstreamReads(agent);
    Upstream& upstream = this->upstreams[agent];
    std::vector<RunningWork> running;
    for (const Call& call : upstream.running)
        running.push_back({ call.id, call.demand });
    const Announcement announcement {
        .instance = 1,
        .sequence = ++upstream.sequence,
        .echo = upstream.echo,
        .address = "127.0.0.1:1",
        .failureDomain = "chuping",
        .capacity = { .slots = this->config.slots, .connections = 64, .milliCores = 1000, .memoryMb = 1000 },
        .classes = {},
        .running = running,
        .remembersFinished = this->config.upstreamsRemember,
        .finished = upstream.finishedKeyed,
    };
    this->stepAgent(agent, UpstreamAnnounced { CallerId { 1 }, announcement });
}

void RequestSimulation::cutLink(std::size_t linkIndex, std::size_t kept)
{
    Link& link = this->linkStates[linkIndex];
    if (!link.entryOpen || !link.agentOpen || !this->mayInjectFault(link.agent))
        return;
    for (; link.toAgent.size() > kept; link.toAgent.pop_back())
        this->recordDelivery(linkIndex, true, link.toAgent.back());
    for (; link.toEntry.size() > kept; link.toEntry.pop_back())
        this->recordDelivery(linkIndex, false, link.toEntry.back());
    this->closeEntryEnd(link);
}

void RequestSimulation::openLink(std::size_t linkIndex)
{
    Link& link = this->linkStates[linkIndex];
    if (link.agentOpen)
        return;
    const LinkId replacedEnd = link.entryEnd;
    const bool halfOpen = link.entryOpen;
    link.toAgent.clear();
    link.toEntry.clear();
    link.entryEnd = LinkId { ++this->lastLink };
    link.agentEnd = LinkId { ++this->lastLink };
    link.entryOpen = true;
    this->stepEntry(link.entry, AgentLinkOpened { link.entryEnd, this->agents[link.agent]->hello() });
    if (halfOpen)
        this->stepEntry(link.entry, AgentLinkClosed { replacedEnd });
    const EntryMachine& entry = *this->entries[link.entry];
    const Welcome welcome { "entry-" + std::to_string(link.entry), this->entryIncarnations[link.entry], entry.rules().version(), std::chrono::seconds(1), 0 };
    link.agentOpen = true;
    this->stepAgent(link.agent, EntryLinkOpened { link.agentEnd, welcome });
}

void RequestSimulation::reconnect()
{
    for (std::size_t index = 0; index < this->linkStates.size(); ++index) {
        Link& link = this->linkStates[index];
        if (this->faultUntil.contains(link.agent))
            continue;
        if (!link.entryOpen)
            this->closeAgentEnd(link);
        this->openLink(index);
    }
}

void RequestSimulation::restartAgent(std::size_t agent)
{
    if (!this->mayInjectFault(agent))
        return;
    this->startAgent(agent);
    for (Link& link : this->linkStates) {
        if (link.agent == agent)
            link.agentOpen = false;
    }
}

void RequestSimulation::restartEntry(std::size_t entry)
{
    for (std::map<std::uint64_t, Caller>::value_type& item : this->callers) {
        if (item.second.entry == entry)
            item.second.gone = true;
    }
    this->startEntry(entry);
    for (Link& link : this->linkStates) {
        if (link.entry == entry)
            link.entryOpen = false;
    }
}

void RequestSimulation::advance(Duration duration)
{
    if (duration >= reconnectDelay)
        this->reconnect();
    this->now += duration;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        this->stepEntry(entry, TimePassed {});
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent)
        this->stepAgent(agent, TimePassed {});
}

void RequestSimulation::settle()
{
    constexpr int rounds = 80;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t link = 0; link < this->linkStates.size(); ++link) {
            for (int message = 0; message < 8; ++message) {
                this->deliver(link, true);
                this->deliver(link, false);
            }
            this->openLink(link);
        }
        for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
            this->upstreamAnnounces(agent);
            this->upstreamFinishes(agent, 0);
        }
        this->advance(std::chrono::milliseconds(50));
    }
    for (const std::map<std::uint64_t, Caller>::value_type& item : this->callers) {
        if (!item.second.answered && !item.second.gone)
            this->recordViolation("the caller of " + item.second.target + " got no answer");
    }
}

void RequestSimulation::startAgent(std::size_t agent)
{
    this->agentIncarnations[agent] = Incarnation { ++this->lastIncarnation };
    this->agents[agent] = std::make_unique<AgentMachine>(agentConfig(agent, this->agentIncarnations[agent]));
    this->stepAgent(agent, TimePassed {});
}

void RequestSimulation::startEntry(std::size_t entry)
{
    this->entryIncarnations[entry] = Incarnation { ++this->lastIncarnation };
    this->entries[entry] = std::make_unique<EntryMachine>(entryConfig(entry, this->entryIncarnations[entry]));
    this->stepEntry(entry, RulesLoaded { rulesOf(threeRules) });
}

void RequestSimulation::stepEntry(std::size_t entry, const EntryEvent& event)
{
    for (const EntryEffect& effect : this->entries[entry]->step(event, this->now))
        this->applyEffect(entry, effect);
}

void RequestSimulation::stepAgent(std::size_t agent, const AgentEvent& event)
{
    for (const AgentEffect& effect : this->agents[agent]->step(event, this->now))
        this->applyEffect(agent, effect);
}

void RequestSimulation::applyEffect(std::size_t entry, const EntryEffect& effect)
{
    const SendToLink* const message = std::get_if<SendToLink>(&effect);
    const CloseLink* const close = std::get_if<CloseLink>(&effect);
    const ReplyToCaller* const answer = std::get_if<ReplyToCaller>(&effect);
    Link* const link = message ? this->byEntryEnd(entry, message->link) : nullptr;
    if (link)
        link->toAgent.push_back(message->message);
    if (close && this->byEntryEnd(entry, close->link))
        this->byEntryEnd(entry, close->link)->entryOpen = false;
    if (answer)
        this->reply(*answer);
}

void RequestSimulation::applyEffect(std::size_t agent, const AgentEffect& effect)
{
    Upstream& upstream = this->upstreams[agent];
    const SendToLink* const message = std::get_if<SendToLink>(&effect);
    const CallUpstream* const call = std::get_if<CallUpstream>(&effect);
    const ReplyToAnnouncement* const reply = std::get_if<ReplyToAnnouncement>(&effect);
    Link* const link = message ? this->byAgentEnd(agent, message->link) : nullptr;
    if (link)
        link->toEntry.push_back(message->message);
    if (call)
        upstream.arriving.push_back({ call->id, call->attempt, this->agentIncarnations[agent], call->demand, call->head.target, call->idempotent });
    if (reply)
        upstream.echo = reply->reply.token;
}

void RequestSimulation::reply(const ReplyToCaller& effect)
{
    Caller& caller = this->callers.at(static_cast<std::uint64_t>(effect.caller));
    if (caller.answered)
        this->recordViolation("the caller of " + caller.target + " got two answers");
    if (caller.gone)
        return;
    caller.answered = true;
    ++this->answeredCallers;
    const Response* const response = std::get_if<Response>(&effect.completion);
    if (response && response->body.view() != caller.target)
        this->recordViolation("the caller of " + caller.target + " got the answer of " + std::string(response->body.view()));
    const FailureReason* const reason = std::get_if<FailureReason>(&effect.completion);
    if (!reason || describeError(reason->kind).outcome != Outcome::NotRun)
        return;
    if (!caller.keyed && this->targetRuns.contains(caller.target))
        this->recordViolation(caller.target + " ran, but its caller got the outcome not run: " + reason->detail);
    if (!caller.keyed)
        this->reportedNotRun.insert(caller.target);
    else
        this->keyedReportedNotRun.insert_or_assign(*caller.keyed, caller.arrival);
    if (caller.keyed && this->keyedRuns.contains(*caller.keyed) && !this->copyOutstanding(*caller.keyed, caller.arrival))
        this->recordViolation(caller.target + " ran, but the caller of a copy got the outcome not run: " + reason->detail);
}

void RequestSimulation::begin(std::size_t agent, const Call& call)
{
    Upstream& upstream = this->upstreams[agent];
    if (call.agent != upstream.echo.agent)
        return;
    ++this->runCount;
    upstream.running.push_back(call);
    upstream.used = upstream.used.plus(call.demand);
    if (upstream.used.slots > this->config.slots)
        this->recordViolation("agent " + std::to_string(agent) + " sent its VM more calls than its capacity allows");
    ++this->targetRuns[call.target];
    if (this->reportedNotRun.contains(call.target))
        this->recordViolation(call.target + " ran after its caller got the outcome not run");
    const std::map<RequestId, std::uint64_t>::const_iterator reported = this->keyedReportedNotRun.find(call.id);
    if (reported != this->keyedReportedNotRun.end() && !this->copyOutstanding(call.id, reported->second))
        this->recordViolation(call.target + " ran after the caller of its last copy got the outcome not run");
    if (!call.idempotent && ++this->keyedRuns[call.id] > 1)
        this->recordViolation(call.target + " is not idempotent and ran twice");
}

void RequestSimulation::closeEntryEnd(Link& link)
{
    if (!std::exchange(link.entryOpen, false))
        return;
    this->stepEntry(link.entry, AgentLinkClosed { link.entryEnd });
}

void RequestSimulation::closeAgentEnd(Link& link)
{
    if (!std::exchange(link.agentOpen, false))
        return;
    this->stepAgent(link.agent, EntryLinkClosed { link.agentEnd });
}

bool RequestSimulation::mayInjectFault(std::size_t agent)
{
    std::erase_if(this->faultUntil, [this](const std::map<std::size_t, TimePoint>::value_type& item) { return item.second <= this->now; });
    if (!this->faultUntil.contains(agent) && this->faultUntil.size() >= this->config.maximumFaultyAgents)
        return false;
    this->faultUntil[agent] = this->now + repeatWindow;
    return true;
}

RequestSimulation::Link* RequestSimulation::byEntryEnd(std::size_t entry, LinkId end)
{
    for (Link& link : this->linkStates) {
        if (link.entry == entry && link.entryEnd == end && link.entryOpen)
            return &link;
    }
    return nullptr;
}

RequestSimulation::Link* RequestSimulation::byAgentEnd(std::size_t agent, LinkId end)
{
    for (Link& link : this->linkStates) {
        if (link.agent == agent && link.agentEnd == end && link.agentOpen)
            return &link;
    }
    return nullptr;
}

Completion RequestSimulation::completionOf(const Call& call) const
{
    return Response { 200, {}, Bytes(call.target) };
}

void RequestSimulation::recordViolation(const std::string& what)
{
    this->recordedViolations.push_back(what);
}

bool RequestSimulation::copyOutstanding(const RequestId& id, std::uint64_t otherThan) const
{
    return std::any_of(this->callers.begin(), this->callers.end(), [&id, otherThan](const std::map<std::uint64_t, Caller>::value_type& item) {
        return item.second.keyed == id && item.first != otherThan && (item.first > otherThan || !item.second.answered || item.second.gone);
    });
}

}
