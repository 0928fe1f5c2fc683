#include "cowslipdoor/scheduling/UnlearnedJobs.h"
#include <algorithm>
#include <cowslipdoor/core/Rendezvous.h>
#include <string>

namespace cowslipdoor {

UnlearnedJobs::UnlearnedJobs(UnlearnedJobsConfig config)
    : config(config)
{
}

void UnlearnedJobs::stored(RowVersion version, TimePoint now)
{
    this->jobs.push_back({ version, now });
    if (this->jobs.size() > this->config.most)
        this->jobs.pop_front();
}

std::optional<RecordEvent> UnlearnedJobs::learned(RowVersion upTo, TimePoint now)
{
    const bool before = this->rejecting();
    std::erase_if(this->jobs, [upTo](const Job& job) { return job.version <= upTo; });
    this->measuredLag = this->jobs.empty() ? Duration {} : now - this->jobs.front().storedAt;
    if (this->rejecting() == before)
        return std::nullopt;
    return RecordEvent { EventId::IntakeLimited, std::string(before ? "jobs are accepted again" : "jobs are rejected") + "; the leader's lag is " + std::to_string(toMilliseconds(this->measuredLag)) + " ms, " + std::to_string(this->jobs.size()) + " jobs of this entry are unknown to it" };
}

Duration UnlearnedJobs::retryAfter(const JobId& job) const
{
    constexpr std::uint64_t steps = 100;
    return this->measuredLag + this->measuredLag * static_cast<Duration::rep>(rendezvousWeight(job.text, "retry") % steps) / static_cast<Duration::rep>(steps);
}

}
