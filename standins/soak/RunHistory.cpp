#include "RunHistory.h"
#include <algorithm>

namespace cowslipdoor::soak {

using platform::TaskRun;

std::vector<std::string> findRunViolations(std::vector<TaskRun> runs, const std::map<std::string, TimePoint>& cancellations)
{
    std::sort(runs.begin(), runs.end(), [](const TaskRun& left, const TaskRun& right) { return left.startedAt < right.startedAt; });
    std::vector<std::string> lines;
    std::map<std::string, TimePoint> ends;
    for (const TaskRun& run : runs) {
        TimePoint& end = ends[run.task];
        if (run.startedAt < end)
            lines.push_back("task " + run.task + " ran twice at the same time");
        end = std::max(end, run.endedAt);
        const std::map<std::string, TimePoint>::const_iterator cancelled = cancellations.find(run.task.substr(0, run.task.find('.')));
        if (cancelled != cancellations.end() && run.startedAt > cancelled->second + cancellationBound)
            lines.push_back("task " + run.task + " started " + std::to_string(toMilliseconds(run.startedAt - cancelled->second)) + " ms after the cancellation of its job was acknowledged");
    }
    return lines;
}

}
