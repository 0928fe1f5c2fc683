#include "cowslipdoor/scheduling/JobAdmission.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

JobAdmission::JobAdmission(AdmissionConfig config)
    : config(config)
{
}

std::vector<JobAdmission::Change> JobAdmission::update(const JobRegistry& jobs, const Workers& workers, const InterferenceModel& interference, TimePoint now)
{
    this->decidedAt = now;
    this->firstDecidedAt = std::min(this->firstDecidedAt.value_or(now), now);
    std::vector<AdmissionCandidate> candidates;
    std::map<TaskKind, StepSpec> kinds;
    for (const std::map<JobId, TrackedJob>::value_type& item : jobs.jobs()) {
        std::optional<AdmissionCandidate> candidate = admissionCandidate(item.second, this->ratios.of(item.second.spec->queue), now);
        if (!candidate)
            continue;
        // How long such a job had nothing running under an earlier leader is not known.
        if (candidate->idleSince && *candidate->idleSince <= *this->firstDecidedAt)
            candidate->idleSince = candidate->arrived;
        for (const AdmissionDemand& demand : candidate->demands) {
            StepSpec& typical = kinds[demand.kind];
            typical.image = demand.kind.image;
            typical.bestEffort = true;
            typical.demand = { std::max(typical.demand.milliCores, demand.task.milliCores), std::max(typical.demand.memoryMb, demand.task.memoryMb), 0 };
        }
        candidates.push_back(std::move(*candidate));
    }
    this->lastRoom = measureBestEffortRoom(kinds, workers, interference, now);
    const AdmissionDecision before = std::exchange(this->lastDecision, decideAdmission(candidates, this->history, this->lastRoom, this->config, now));
    this->history.clear();
    std::vector<Change> changes;
    for (const std::map<JobId, AdmissionVerdict>::value_type& item : this->lastDecision.verdicts) {
        const std::map<JobId, AdmissionVerdict>::const_iterator earlier = before.verdicts.find(item.first);
        const bool wasHeld = earlier != before.verdicts.end() && !earlier->second.admitted();
        if (wasHeld == item.second.admitted())
            changes.push_back({ item.first, item.second });
        this->history[item.first] = item.second.admitted();
    }
    return changes;
}

std::uint32_t JobAdmission::taskLimitOf(const TrackedJob& job, TimePoint now)
{
    const std::map<JobId, AdmissionVerdict>::const_iterator verdict = this->lastDecision.verdicts.find(job.spec->id);
    if (verdict != this->lastDecision.verdicts.end())
        return verdict->second.taskLimit;
    const std::optional<AdmissionCandidate> candidate = admissionCandidate(job, this->ratios.of(job.spec->queue), now);
    if (!candidate)
        return noTaskLimit;
    const std::map<std::string, double>::iterator spare = this->lastDecision.spare.find(job.spec->service);
    const double needed = candidate->milliCores();
    const bool known = spare != this->lastDecision.spare.end() && this->lastRoom.byKind.contains(candidate->demands.front().kind);
    if (known && spare->second < needed / 2)
        return 0;
    if (known)
        spare->second -= needed;
    this->lastDecision.verdicts[job.spec->id] = {};
    this->history[job.spec->id] = true;
    return noTaskLimit;
}

bool JobAdmission::yields(const JobId& job) const
{
    const std::map<JobId, AdmissionVerdict>::const_iterator verdict = this->lastDecision.verdicts.find(job);
    return verdict != this->lastDecision.verdicts.end() && verdict->second.yields;
}

}
