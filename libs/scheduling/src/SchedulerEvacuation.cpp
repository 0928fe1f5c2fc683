#include "cowslipdoor/scheduling/Scheduler.h"
#include <utility>

namespace cowslipdoor {

void Scheduler::on(const EvacuationsFollowed& event, TimePoint now, Effects& effects)
{
    // A late answer of the feed does not replace a newer one.
    if (this->knownEvacuations.asOf && event.asOf < *this->knownEvacuations.asOf)
        return;
    const std::set<std::string> before = std::exchange(this->knownEvacuations, { event.failureDomains, event.asOf }).failureDomains;
    if (before != event.failureDomains) {
        for (Workers::value_type& item : this->knownWorkers)
            this->noteFailureDomain(item.second, item.second.failureDomain, now, effects);
        this->recordEvacuations(before, effects);
    }
    if (!this->isActiveLeader())
        return;
    this->sendHeldOrders(now, effects);
    // Tasks may wait for a failure domain that has been returned to service.
    if (this->placementHeldBack || before != event.failureDomains)
        this->schedulePass(now);
}

void Scheduler::noteFailureDomain(TrackedWorker& worker, const std::string& failureDomain, TimePoint now, Effects& effects)
{
    worker.failureDomain = failureDomain;
    worker.evacuated = this->knownEvacuations.cover(failureDomain);
    if (worker.evacuated && this->tablesRead)
        this->releaseUnordered(worker, now, effects);
}

void Scheduler::releaseUnordered(TrackedWorker& worker, TimePoint now, Effects& effects)
{
    const std::map<TaskId, WorkerIdentity> tasks = worker.tasks;
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : tasks) {
        if (!this->jobRegistry.task(item.first)->ordered)
            this->markRunLost(worker, item.first, "nothing may start in its failure domain", now, now, effects);
    }
}

void Scheduler::recordEvacuations(const std::set<std::string>& before, Effects& effects) const
{
    const std::set<std::string>& current = this->knownEvacuations.failureDomains;
    for (const std::string& failureDomain : current) {
        if (!before.contains(failureDomain))
            effects.emplace_back(RecordEvent { EventId::DomainEvacuated, this->describeDomain(failureDomain) });
    }
    for (const std::string& failureDomain : before) {
        if (!current.contains(failureDomain))
            effects.emplace_back(RecordEvent { EventId::DomainRestored, this->describeDomain(failureDomain) });
    }
}

std::string Scheduler::describeDomain(const std::string& failureDomain) const
{
    if (!this->isActiveLeader())
        return "'" + failureDomain + "'; this entry does not lead";
    const EvacuatedDomain state = this->stateOf(failureDomain);
    return "'" + failureDomain + "': " + std::to_string(state.workers) + " workers with " + std::to_string(state.runs) + " runs";
}

void Scheduler::evacuateRuns(TimePoint now, Effects& effects)
{
    this->evacuationCheckAt = now + this->config.evacuationMoves.interval;
    this->ongoingMoves = withoutEndedMoves(this->ongoingMoves, this->jobRegistry, this->config.evacuationMoves, now);
    const EvacuationPlan plan = planEvacuation(this->jobRegistry, this->knownWorkers, this->ongoingMoves, this->interference, this->config.evacuationMoves, now);
    // A task that is stopped now could not be placed before the knowledge is recent again.
    if (this->knowledgeCurrent(now)) {
        for (const EvacuationMove& move : plan.moves) {
            this->jobRegistry.task(move.task)->avoidedAgent = move.from;
            this->orderStop(this->knownWorkers[move.from], move.task, "its failure domain is evacuated, and it could run at " + move.to, effects);
            this->ongoingMoves.emplace(move.task, std::pair(move, now));
        }
    }
    this->reportEvacuation(plan, now, effects);
}

void Scheduler::reportEvacuation(const EvacuationPlan& plan, TimePoint now, Effects& effects)
{
    if (plan.finiteRuns + plan.longRunningRuns == 0 || now < this->evacuationReportedAt + this->config.evacuationMoves.reportInterval)
        return;
    this->evacuationReportedAt = now;
    std::string text;
    for (const std::string& failureDomain : this->knownEvacuations.failureDomains)
        text += (text.empty() ? "'" : ", '") + failureDomain + "'";
    text += ": " + std::to_string(plan.finiteRuns) + " finite and " + std::to_string(plan.longRunningRuns) + " long-running runs left, " + std::to_string(this->ongoingMoves.size()) + " moves under way, " + std::to_string(plan.waiting.size()) + " wait";
    if (!plan.waiting.empty()) {
        const TaskId& first = plan.waiting.front();
        text += ", first " + describe(first) + ": workers: " + describeUnfit(*this->jobRegistry.find(first.job), first.step, this->knownWorkers, now);
    }
    effects.emplace_back(RecordEvent { EventId::EvacuationProgress, std::move(text) });
}

EvacuatedDomain Scheduler::stateOf(const std::string& failureDomain) const
{
    EvacuatedDomain state { failureDomain };
    for (const Workers::value_type& item : this->knownWorkers) {
        if (item.second.failureDomain != failureDomain)
            continue;
        ++state.workers;
        state.runs += item.second.tasks.size();
    }
    return state;
}

std::vector<EvacuatedDomain> Scheduler::evacuatedDomains() const
{
    std::vector<EvacuatedDomain> domains;
    for (const std::string& failureDomain : this->knownEvacuations.failureDomains)
        domains.push_back(this->stateOf(failureDomain));
    return domains;
}

}
