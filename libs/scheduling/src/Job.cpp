#include "cowslipdoor/scheduling/Job.h"
#include "cowslipdoor/scheduling/Worker.h"
#include <algorithm>
#include <numeric>

namespace cowslipdoor {

Duration JobSpec::longestChain() const
{
    std::vector<Duration> ends;
    Duration longest {};
    for (const StepSpec& step : this->steps) {
        Duration begin {};
        for (const std::uint32_t earlier : step.after)
            begin = std::max(begin, earlier < ends.size() ? ends[earlier] : Duration {});
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::size_t JobSpec::taskCount() const noexcept
{
    return std::accumulate(this->steps.begin(), this->steps.end(), std::size_t { 0 }, [](std::size_t sum, const StepSpec& step) { return sum + step.count; });
}

bool JobSpec::isLongRunning() const noexcept
{
    return std::any_of(this->steps.begin(), this->steps.end(), [](const StepSpec& step) { return step.longRunning; });
}

std::string_view toString(JobState state) noexcept
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Done:
        return "done";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        break;
    }
    return "cancelled";
}

std::string_view toString(RunEndKind kind) noexcept
{
    switch (kind) {
    case RunEndKind::Done:
        return "done";
    case RunEndKind::Failed:
        return "failed";
    case RunEndKind::Stopped:
        return "stopped";
    case RunEndKind::LeaseExpired:
        return "lease expired";
    case RunEndKind::GangBroken:
        return "gang broken";
    case RunEndKind::GangIncomplete:
        break;
    }
    return "gang incomplete";
}

std::string describe(const TaskId& id)
{
    return id.job.text + "/" + std::to_string(id.step) + "/" + std::to_string(id.index);
}

std::string describe(const RunId& id)
{
    return describe(id.task) + "#" + std::to_string(id.number);
}

}
