#include "cowslipdoor/scheduling/JobList.h"
#include <algorithm>
#include <tuple>

namespace cowslipdoor {

namespace {

    JobSummary summarize(const TrackedJob& trackedJob, TimePoint now)
    {
        JobSummary line { .job = trackedJob.spec->id, .queue = trackedJob.spec->queue, .service = trackedJob.spec->service, .priority = trackedJob.spec->priority, .state = trackedJob.state, .age = now - trackedJob.arrived };
        if (!isTerminal(trackedJob.state) && !trackedJob.spec->isLongRunning())
            line.untilDue = trackedJob.due - now;
        for (std::size_t step = 0; step < trackedJob.spec->steps.size(); ++step) {
            const std::uint32_t count = trackedJob.spec->steps[step].count;
            line.tasks += count;
            line.done += count - trackedJob.remaining[step];
        }
        line.placed = trackedJob.assigned;
        return line;
    }

    std::tuple<bool, bool, Duration, JobId> rankOf(const JobSummary& line)
    {
        return { isTerminal(line.state), !line.untilDue.has_value(), line.untilDue.value_or(Duration::zero()), line.job };
    }

}

std::vector<JobSummary> listJobs(const JobRegistry& jobRegistry, TimePoint now)
{
    std::vector<JobSummary> lines;
    for (const std::map<JobId, TrackedJob>::value_type& item : jobRegistry.jobs())
        lines.push_back(summarize(item.second, now));
    std::sort(lines.begin(), lines.end(), [](const JobSummary& left, const JobSummary& right) { return rankOf(left) < rankOf(right); });
    return lines;
}

}
