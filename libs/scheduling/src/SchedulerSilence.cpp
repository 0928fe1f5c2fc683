#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

TimePoint Scheduler::lastPossibleGrant(const TrackedWorker& worker) const
{
    const std::map<std::string, TimePoint>::const_iterator silent = this->silentSince.find(worker.agent);
    return std::max(worker.lastGrantAt, silent == this->silentSince.end() ? this->earlierGrantsEnd : silent->second);
}

Transaction Scheduler::beginWrite(std::vector<RowWrite> rows, std::vector<RowKey> removals, TimePoint now)
{
    this->nameSilentAgents(now);
    return this->leaderLease.begin(std::move(rows), std::move(removals), now);
}

void Scheduler::nameSilentAgents(TimePoint now)
{
    this->silentInWrite.clear();
    for (const std::map<std::string, TimePoint>::value_type& item : this->silentSince) {
        const Workers::const_iterator worker = this->knownWorkers.find(item.first);
        const bool hasRuns = !this->tablesRead || (worker != this->knownWorkers.end() && !worker->second.tasks.empty());
        if (hasRuns && !this->unansweredPings.contains(item.first))
            this->silentInWrite.insert(item);
    }
    for (const Workers::value_type& item : this->knownWorkers) {
        const TimePoint since = this->lastPossibleGrant(item.second);
        const bool silent = this->tablesRead && !item.second.tasks.empty() && now > since + this->config.silenceNoteTime;
        if (silent && !this->unansweredPings.contains(item.first) && this->silentInWrite.size() < this->config.silentAgentsPerRow)
            this->silentInWrite.emplace(item.first, since);
    }
    std::vector<SilentAgent> agents;
    agents.reserve(this->silentInWrite.size());
    for (const std::map<std::string, TimePoint>::value_type& item : this->silentInWrite)
        agents.push_back({ item.first, now - item.second });
    this->leaderLease.noteSilent(std::move(agents));
}

void Scheduler::silenceWritten(TimePoint now, Effects& effects)
{
    this->silentSince = this->silentInWrite;
    for (const std::map<std::string, std::int64_t>::value_type& ping : std::exchange(this->unansweredPings, {})) {
        const Workers::iterator worker = this->knownWorkers.find(ping.first);
        if (this->namedSilent(ping.first))
            this->unansweredPings.insert(ping);
        else if (worker != this->knownWorkers.end() && this->leaderLease.valid(now))
            this->grant(worker->second, ping.second, now, effects);
    }
    if (!this->unansweredPings.empty())
        this->schedulePass(now);
}

void Scheduler::grant(TrackedWorker& worker, std::int64_t sentAt, TimePoint now, Effects& effects)
{
    const bool regained = !worker.hasFreshGrant(now);
    worker.lastGrantAt = now;
    worker.lastPing = sentAt;
    this->send(worker, Pong { sentAt }, effects);
    if (regained && !this->jobRegistry.waiting().empty())
        this->schedulePass(now);
}

void Scheduler::onReport(TrackedWorker& worker, const Ping& report, TimePoint now, Effects& effects)
{
    // A renewal grant after the end of the lease could keep runs alive that a new leader considers expired.
    if (!this->leaderLease.valid(now))
        return;
    if (!this->namedSilent(worker.agent)) {
        this->grant(worker, report.sentAt, now, effects);
        return;
    }
    // The next leader may release the runs of an agent that the row names as silent.
    this->unansweredPings[worker.agent] = report.sentAt;
    this->schedulePass(now);
}

void Scheduler::markSilentWorkersLost(TimePoint now, Effects& effects)
{
    if (now < this->silenceCheckAt)
        return;
    this->silenceCheckAt = now + this->config.silenceCheckInterval;
    for (Workers::value_type& item : this->knownWorkers) {
        TrackedWorker& worker = item.second;
        if (worker.tasks.empty())
            continue;
        // Only renewal grants allow renewals; an open link does not show that leases are renewed.
        const TimePoint deadline = this->lastPossibleGrant(worker) + this->config.silenceLimit;
        if (now < deadline) {
            this->silenceCheckAt = std::min(this->silenceCheckAt, deadline);
            continue;
        }
        worker.info.reset();
        const std::map<TaskId, WorkerIdentity> tasks = worker.tasks;
        for (const std::map<TaskId, WorkerIdentity>::value_type& task : tasks)
            this->markRunLost(worker, task.first, "the agent is silent and its leases have expired", now, now, effects);
        this->sendHello(worker, effects);
    }
}

}
