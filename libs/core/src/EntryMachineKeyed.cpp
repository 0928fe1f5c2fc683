#include "cowslipdoor/core/EntryMachine.h"
#include "cowslipdoor/core/Rendezvous.h"
#include <algorithm>
#include <utility>

// Non-idempotent requests: choice of the home agent, and fences at its witnesses.

namespace cowslipdoor {

namespace {

    constexpr Duration homeUnavailableDelay = std::chrono::milliseconds(5);

}

bool EntryMachine::tryDispatchKeyed(const RequestId& id, Request& request, TimePoint now, Effects& effects)
{
    if (this->firstAgentAt && !this->waitedForAgents(now))
        this->wakeups.emplace(*this->firstAgentAt + this->config.keySettleTime, id);
    const std::vector<std::string> candidates = this->keyedCandidates();
    if (!this->waitedForAgents(now) || candidates.empty())
        return false;
    const std::uint32_t known = this->knownAgentCount(now);
    const std::uint32_t witnesses = std::min(this->config.keyWitnesses, (known - 1) / 2);
    if (candidates.size() + witnesses < known)
        return false;
    const std::vector<std::string> ranked = chooseNodes(toString(id), candidates, 1 + witnesses);
    if (!this->routerState.hasHeadroom(this->agents.at(ranked.front()).link, request.rule.demand, now))
        return false;
    request.attempt = ++this->lastAttempt;
    request.fenceAttempt = this->currentAttempt(request);
    Fencing fencing { ranked.front(), {} };
    for (std::size_t index = 1; index < ranked.size(); ++index) {
        const LinkId link = this->agents.at(ranked[index]).link;
        fencing.awaited.insert(link);
        effects.push_back(SendToLink { link, Inquiry { id, this->currentAttempt(request), true } });
    }
    this->counts.inquiries += fencing.awaited.size();
    const bool noWitness = fencing.awaited.empty();
    request.phase = std::move(fencing);
    if (noWitness)
        this->send(id, request, this->agents.at(ranked.front()).link, now, effects);
    return true;
}

void EntryMachine::handleWitnessReport(const RequestId& id, Request& request, const Report& message, LinkId link, TimePoint now, Effects& effects)
{
    Fencing& fencing = std::get<Fencing>(request.phase);
    if (message.state == RequestState::Finished)
        return this->answer(id, message.completion.value_or(FailureReason { ErrorKind::AnswerNotKept, "the agent's limit for recorded answers was reached" }), now, effects);
    if (message.state == RequestState::Running)
        return this->inquireWithoutFence(id, request, link, now, effects);
    if (message.state == RequestState::NotRun)
        request.fencedAt.insert(link);
    fencing.awaited.erase(link);
    fencing.conflict = fencing.conflict || message.state != RequestState::NotRun;
    if (!fencing.awaited.empty())
        return;
    const std::map<std::string, KnownAgent>::const_iterator home = this->agents.find(fencing.home);
    const bool reachable = home != this->agents.end();
    if (reachable && fencing.conflict)
        return this->inquireWithoutFence(id, request, home->second.link, now, effects);
    if (!reachable || !this->routerState.hasHeadroom(home->second.link, request.rule.demand, now)) {
        this->releaseFences(id, request, effects);
        return this->delay(id, request, homeUnavailableDelay, now);
    }
    this->send(id, request, home->second.link, now, effects);
}

void EntryMachine::inquireWithoutFence(const RequestId& id, Request& request, LinkId link, TimePoint now, Effects& effects)
{
    this->releaseFences(id, request, effects);
    const std::optional<AgentView> view = this->routerState.view(link);
    const std::map<std::string, KnownAgent>::const_iterator agent = view ? this->agents.find(view->agent) : this->agents.end();
    if (agent == this->agents.end())
        return this->delay(id, request, homeUnavailableDelay, now);
    ++this->counts.inquiries;
    request.phase = Dispatched { link, agent->first, agent->second.incarnation, now, request.deadline, true };
    this->routerState.recordStart(link, request.rule.demand);
    effects.push_back(SendToLink { link, Inquiry { id, this->currentAttempt(request), false } });
}

void EntryMachine::releaseFences(const RequestId& id, Request& request, Effects& effects)
{
    for (const LinkId link : request.fencedAt)
        effects.push_back(SendToLink { link, Release { id, request.fenceAttempt } });
    request.fencedAt.clear();
}

std::uint32_t EntryMachine::knownAgentCount(TimePoint now)
{
    std::erase_if(this->lastSeenOfAgent, [this, now](const std::map<std::string, TimePoint>::value_type& item) {
        return !this->agents.contains(item.first) && now - item.second >= this->config.repeatWindow;
    });
    const std::uint32_t reported = now < this->reportedAgentCountExpiry ? this->reportedAgentCount : 0;
    return std::max(reported, static_cast<std::uint32_t>(this->lastSeenOfAgent.size()));
}

bool EntryMachine::waitedForAgents(TimePoint now) const noexcept
{
    return this->firstAgentAt && now >= *this->firstAgentAt + this->config.keySettleTime;
}

std::vector<std::string> EntryMachine::keyedCandidates() const
{
    std::vector<std::string> names;
    for (const std::map<std::string, KnownAgent>::value_type& item : this->agents) {
        const std::optional<AgentView> view = this->routerState.view(item.second.link);
        if (view && view->load.ready && !view->load.draining && view->load.ledgerComplete)
            names.push_back(item.first);
    }
    return names;
}

}
