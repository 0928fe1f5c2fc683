#include "cowslipdoor/scheduling/JobList.h"
#include <algorithm>
#include <tuple>

namespace cowslipdoor {

namespace {

    JobSummary lineOf(const JobEntry& entry, TimePoint now)
    {
        JobSummary line { .job = entry.spec->id, .queue = entry.spec->queue, .service = entry.spec->service, .priority = entry.spec->priority, .state = entry.state, .age = now - entry.arrived };
        if (!isTerminal(entry.state) && !entry.spec->lasts())
            line.untilDue = entry.due - now;
        for (std::size_t step = 0; step < entry.spec->steps.size(); ++step) {
            const std::uint32_t count = entry.spec->steps[step].count;
            line.tasks += count;
            line.done += count - entry.remaining[step];
        }
        line.placed = entry.assigned;
        return line;
    }

    std::tuple<bool, bool, Duration, JobId> rankOf(const JobSummary& line)
    {
        return { isTerminal(line.state), !line.untilDue.has_value(), line.untilDue.value_or(Duration::zero()), line.job };
    }

}

std::vector<JobSummary> listJobs(const JobBook& book, TimePoint now)
{
    std::vector<JobSummary> lines;
    for (const std::map<JobId, JobEntry>::value_type& item : book.jobs())
        lines.push_back(lineOf(item.second, now));
    std::sort(lines.begin(), lines.end(), [](const JobSummary& left, const JobSummary& right) { return rankOf(left) < rankOf(right); });
    return lines;
}

}
