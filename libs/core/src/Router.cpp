#include "cowslipdoor/core/Router.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    constexpr std::uint32_t percent = 100;
    constexpr int latencyWeightShift = 3;

    Capacity minimumOf(const Capacity& left, const Capacity& right) noexcept
    {
        return { std::min(left.slots, right.slots), std::min(left.connections, right.connections),
            std::min(left.milliCores, right.milliCores), std::min(left.memoryMb, right.memoryMb) };
    }

}

Router::Router(RouterConfig config)
    : config(std::move(config))
{
}

void Router::add(LinkId link, const Hello& hello, TimePoint now)
{
    Agent agent;
    agent.link = link;
    agent.view = { hello.agent, hello.failureDomain, hello.load, 0 };
    agent.estimatedFree = hello.load.free;
    const std::map<std::string, Health>::iterator it = this->healthOfDisconnected.find(hello.agent);
    if (it != this->healthOfDisconnected.end()) {
        agent.health = it->second;
        this->healthOfDisconnected.erase(it);
    }
    agent.health.slowStartFrom = now;
    if (agent.health.ejectedUntil)
        ++this->ejectedCount;
    this->positions.insert_or_assign(link, this->agents.size());
    this->agents.push_back(std::move(agent));
}

void Router::remove(LinkId link)
{
    const Agent* const agent = this->find(link);
    if (!agent)
        return;
    if (agent->health.ejectedUntil) {
        --this->ejectedCount;
        this->healthOfDisconnected.insert_or_assign(agent->view.agent, agent->health);
    }
    const std::size_t position = this->positions.at(link);
    this->positions.erase(link);
    if (position + 1 != this->agents.size()) {
        this->agents[position] = std::move(this->agents.back());
        this->positions.insert_or_assign(this->agents[position].link, position);
    }
    this->agents.pop_back();
}

void Router::update(LinkId link, const Load& load)
{
    Agent* const agent = this->find(link);
    if (!agent)
        return;
    agent->view.load = load;
    agent->estimatedFree = minimumOf(load.free, load.total.minus(agent->inFlightDemand));
}

std::optional<LinkId> Router::choose(const Capacity& demand, std::uint32_t reserveSlots, TrafficClass trafficClass,
    const std::set<std::string>& avoid, TimePoint now, std::mt19937_64& random)
{
    const Agent* first = this->pick(demand, reserveSlots, &avoid, now, random);
    if (!first && !avoid.empty())
        first = this->pick(demand, reserveSlots, nullptr, now, random);
    if (!first)
        return std::nullopt;
    const Agent* const second = this->pick(demand, reserveSlots, &avoid, now, random);
    const bool secondIsBetter = second && this->expectedWait(*second, trafficClass) < this->expectedWait(*first, trafficClass);
    return secondIsBetter ? second->link : first->link;
}

bool Router::hasHeadroom(LinkId link, const Capacity& demand, TimePoint now) const
{
    const Agent* const agent = this->find(link);
    return agent && this->fits(*agent, demand, 0, now);
}

void Router::recordStart(LinkId link, const Capacity& demand)
{
    Agent* const agent = this->find(link);
    if (!agent)
        return;
    ++agent->view.inFlight;
    agent->inFlightDemand = agent->inFlightDemand.plus(demand);
    agent->estimatedFree = agent->estimatedFree.minus(demand);
}

HealthChange Router::recordEnd(LinkId link, const Capacity& demand, TrafficClass trafficClass, Duration latency, AttemptHealth health, TimePoint now)
{
    Agent* const agent = this->find(link);
    if (!agent)
        return HealthChange::None;
    agent->view.inFlight -= std::min(agent->view.inFlight, 1U);
    agent->inFlightDemand = agent->inFlightDemand.minus(demand);
    if (health == AttemptHealth::Neutral)
        return HealthChange::None;
    if (health == AttemptHealth::Bad)
        return this->recordFailure(*agent, now);
    Duration& average = agent->latency[static_cast<std::size_t>(trafficClass)];
    average = average == Duration::zero() ? latency : average + (latency - average) / (1 << latencyWeightShift);
    return this->recordSuccess(*agent, now);
}

void Router::markFull(LinkId link)
{
    Agent* const agent = this->find(link);
    if (agent)
        agent->estimatedFree = {};
}

std::optional<AgentView> Router::view(LinkId link) const
{
    const Agent* const agent = this->find(link);
    return agent ? std::optional<AgentView>(agent->view) : std::nullopt;
}

std::vector<AgentView> Router::views() const
{
    std::vector<AgentView> views;
    for (const Agent& agent : this->agents)
        views.push_back(agent.view);
    return views;
}

bool Router::ejected(LinkId link, TimePoint now) const
{
    const Agent* const agent = this->find(link);
    return agent && agent->health.ejectedUntil && now < *agent->health.ejectedUntil;
}

Router::Agent* Router::find(LinkId link) noexcept
{
    const std::unordered_map<LinkId, std::size_t>::const_iterator it = this->positions.find(link);
    return it == this->positions.end() ? nullptr : &this->agents[it->second];
}

const Router::Agent* Router::find(LinkId link) const noexcept
{
    const std::unordered_map<LinkId, std::size_t>::const_iterator it = this->positions.find(link);
    return it == this->positions.end() ? nullptr : &this->agents[it->second];
}

const Router::Agent* Router::pick(const Capacity& demand, std::uint32_t reserveSlots, const std::set<std::string>* avoid,
    TimePoint now, std::mt19937_64& random) const
{
    if (this->agents.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> distribution(0, this->agents.size() - 1);
    const std::size_t begin = distribution(random);
    for (std::size_t offset = 0; offset < this->agents.size(); ++offset) {
        const Agent& agent = this->agents[(begin + offset) % this->agents.size()];
        const bool avoided = avoid && avoid->contains(agent.view.agent);
        if (!avoided && this->fits(agent, demand, reserveSlots, now))
            return &agent;
    }
    return nullptr;
}

bool Router::fits(const Agent& agent, const Capacity& demand, std::uint32_t reserveSlots, TimePoint now) const
{
    return fitsWithReserve(agent.view.load.total, agent.estimatedFree, demand, reserveSlots) && this->acceptsWork(agent, now);
}

bool Router::acceptsWork(const Agent& agent, TimePoint now) const
{
    if (!agent.view.load.ready || agent.view.load.draining)
        return false;
    if (agent.health.ejectedUntil)
        return now >= *agent.health.ejectedUntil && agent.view.inFlight == 0;
    return this->withinSlowStart(agent, now);
}

Duration Router::expectedWait(const Agent& agent, TrafficClass trafficClass) const
{
    const Duration latency = agent.latency[static_cast<std::size_t>(trafficClass)];
    const std::uint32_t total = std::max(agent.view.load.total.slots, 1U);
    const std::uint32_t used = total - std::min(total, agent.estimatedFree.slots);
    const bool remote = agent.view.failureDomain != this->config.failureDomain;
    return latency + latency * used / total + (remote ? this->config.remotePenalty : Duration::zero());
}

bool Router::withinSlowStart(const Agent& agent, TimePoint now) const
{
    const Duration age = now - agent.health.slowStartFrom;
    if (age >= this->config.slowStart)
        return true;
    const Duration::rep allowed = agent.view.load.total.slots * age.count() / this->config.slowStart.count();
    return agent.view.inFlight <= allowed;
}

bool Router::mayEject() const noexcept
{
    return (this->ejectedCount + 1) * percent <= this->agents.size() * this->config.maximumEjectedPercent;
}

HealthChange Router::recordFailure(Agent& agent, TimePoint now)
{
    Health& health = agent.health;
    ++health.consecutiveFailures;
    const bool wasEjected = health.ejectedUntil.has_value();
    if (!wasEjected && (health.consecutiveFailures < this->config.ejectAfter || !this->mayEject()))
        return HealthChange::None;
    health.ejectedUntil = now + exponentialBackoff(this->config.initialEjection, health.ejections, this->config.maximumEjection);
    ++health.ejections;
    if (wasEjected)
        return HealthChange::None;
    ++this->ejectedCount;
    return HealthChange::Ejected;
}

HealthChange Router::recordSuccess(Agent& agent, TimePoint now)
{
    Health& health = agent.health;
    health.consecutiveFailures = 0;
    if (!health.ejectedUntil)
        return HealthChange::None;
    health.ejectedUntil.reset();
    health.ejections = 0;
    health.slowStartFrom = now;
    --this->ejectedCount;
    return HealthChange::Readmitted;
}

}
