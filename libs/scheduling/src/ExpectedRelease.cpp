#include "cowslipdoor/scheduling/ExpectedRelease.h"
#include "cowslipdoor/scheduling/BestEffortPace.h"
#include "cowslipdoor/scheduling/PlaceOrWait.h"
#include <algorithm>
#include <numeric>

namespace cowslipdoor {

namespace {

    /// Number of places on one worker from which more make no difference.
    constexpr std::uint32_t maximumUsefulPlaces = 100;

    /// Factor by which estimates of run times are wrong at most, either way.
    constexpr double estimateError = 1.9;

    /// Removes a best-effort run from the load of a worker.
    void removeRun(BestEffortLoad& load, const StepSpec& step)
    {
        const std::map<std::string, ImageLoad>::iterator it = load.byImage.find(step.image);
        if (it == load.byImage.end())
            return;
        it->second.milliCores -= std::min(it->second.milliCores, step.demand.milliCores);
        if (--it->second.tasks == 0)
            load.byImage.erase(it);
        // Reports state the cores left unused by all runs together; the rest cannot leave more than it requires.
        const auto add = [](std::uint32_t sum, const std::map<std::string, ImageLoad>::value_type& item) { return sum + item.second.milliCores; };
        load.pacedDownMilliCores = std::min(load.pacedDownMilliCores, std::accumulate(load.byImage.begin(), load.byImage.end(), 0U, add));
    }

    /// Adds a task of a step to the load of a worker.
    void takePlace(BestEffortLoad& load, ResourceVector& free, const StepSpec& step)
    {
        free = free.minus(step.countedDemand());
        if (!step.bestEffort)
            return;
        ImageLoad& taken = load.byImage[step.image];
        ++taken.tasks;
        taken.milliCores += step.demand.milliCores;
    }

    bool hasUsefulPlace(const TrackedWorker& worker, const BestEffortLoad& load, const ResourceVector& free, const StepSpec& step, const InterferenceModel& interference)
    {
        if (!free.covers(step.countedDemand()))
            return false;
        return !step.bestEffort || bestEffortSlowdown(worker, load, step, interference) <= usefulSlowdown;
    }

}

TimePoint expectedRunEnd(const StepSpec& step, const TaskState& task, TimePoint now)
{
    Duration perPercent = step.estimate / completePercent;
    if (task.percent > 0) {
        const Duration observed = (task.progressedAt - task.startedAt) / task.percent;
        // A new leader counts the time of a run from its own takeover, which makes the run seem too fast.
        const Duration least = task.record.checkpoint.empty() ? std::chrono::duration_cast<Duration>(perPercent / estimateError) : perPercent;
        perPercent = std::max(least, observed);
    }
    const TimePoint asOf = task.percent > 0 ? task.progressedAt : task.startedAt;
    const TimePoint expected = asOf + perPercent * (completePercent - std::min(task.percent, completePercent));
    return expected > now ? expected : now + (now - asOf);
}

std::vector<ExpectedEnd> expectedEnds(const TrackedWorker& worker, const JobRegistry& jobRegistry, TimePoint now)
{
    std::vector<ExpectedEnd> ends;
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : worker.tasks) {
        const TrackedJob* const job = jobRegistry.find(item.first.job);
        if (!job || job->spec->steps[item.first.step].longRunning)
            continue;
        const StepSpec& step = job->spec->steps[item.first.step];
        ends.push_back({ expectedRunEnd(step, job->steps[item.first.step][item.first.index], now), &step });
    }
    std::stable_sort(ends.begin(), ends.end(), [](const ExpectedEnd& left, const ExpectedEnd& right) { return left.at < right.at; });
    return ends;
}

std::size_t usefulPlaces(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference)
{
    const std::size_t most = step.maximumPerWorker == 0 ? maximumUsefulPlaces : std::min(maximumUsefulPlaces, step.maximumPerWorker);
    BestEffortLoad load = bestEffortLoadOf(worker);
    ResourceVector free = worker.free();
    std::size_t places = 0;
    for (; places < most && hasUsefulPlace(worker, load, free, step, interference); ++places)
        takePlace(load, free, step);
    return places;
}

std::vector<TimePoint> expectedReleases(const TrackedWorker& worker, const StepSpec& step, const std::vector<ExpectedEnd>& ends, const InterferenceModel& interference)
{
    std::vector<TimePoint> releases;
    BestEffortLoad load = bestEffortLoadOf(worker);
    ResourceVector free = worker.free();
    for (const ExpectedEnd& end : ends) {
        free = free.plus(end.step->countedDemand());
        if (end.step->bestEffort)
            removeRun(load, *end.step);
        // Each place is counted once, as the next end finds the worker with the place taken.
        if (!hasUsefulPlace(worker, load, free, step, interference))
            continue;
        releases.push_back(end.at);
        takePlace(load, free, step);
    }
    return releases;
}

}
