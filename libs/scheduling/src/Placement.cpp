#include "cowslipdoor/scheduling/Placement.h"
#include "cowslipdoor/scheduling/PaceControl.h"
#include <algorithm>
#include <optional>
#include <tuple>

namespace cowslipdoor {

namespace {

    /// Multiple of the objective after which the end of a job has no value.
    constexpr int hopelessFactor = 3;

    /// Minimum expected pace at which a best-effort task is placed beside serving tasks.
    constexpr double leastUsefulPace = 0.5;

    /// Share of its cores that a long-running task leaves unused at its peak load.
    constexpr double lastingUnused = 0.4;

    /// How long a job may have no assigned task before its tasks go to any worker with headroom: a third of the 3 s that the
    /// platform permits.
    constexpr Duration longestFillingWait = std::chrono::milliseconds(1000);

    bool hopeless(const JobEntry& job, TimePoint now)
    {
        return !job.spec->lasts() && now > job.arrived + (job.due - job.arrived) * hopelessFactor;
    }

    /// Share of a job's expected remaining time that must be left until it is due, as estimates are wrong by a factor of two.
    constexpr double leastFeasibleShare = 0.5;

    /// Whether a job can no longer meet its objective.
    bool tardy(const JobEntry& job, TimePoint now)
    {
        return !job.spec->lasts() && now + std::chrono::duration_cast<Duration>(job.remainingChain() * leastFeasibleShare) > job.due;
    }

    bool hasLabel(const WorkerInfo& worker, const std::string& label)
    {
        return label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
    }

    /// Milli-cores that further best-effort tasks can use on a worker.
    double unusedCores(const WorkerEntry& worker)
    {
        return static_cast<double>(worker.free().milliCores) + lastingUnused * worker.lastingMilliCores + worker.pacedDownMilliCores - worker.fillingMilliCores();
    }

    /// Slack of a serving image without best-effort tasks, assumed until its worker has listed it: that at half the load.
    constexpr double usualSlack = 2.5;

    /// Difference between the losses of a serving image and of its neighbours on a worker, weighted by the neighbours' cores.
    double mismatch(const WorkerEntry& worker, const std::string& image, const InterferenceModel& interference)
    {
        double sum = 0;
        for (const std::map<std::string, ImageLoad>::value_type& neighbour : worker.servingByImage)
            sum += interference.distance(image, neighbour.first) * neighbour.second.milliCores;
        return sum;
    }

    /// Reason why a task cannot be placed on a worker: the worker's state, service, labels, free resources or tasks of the step.
    std::optional<Unfit> unfitFor(const WorkerEntry& worker, const JobEntry& job, std::uint32_t number, TimePoint now)
    {
        const StepSpec& step = job.spec->steps[number];
        const std::optional<Unfit> unfit = worker.unfit(now);
        if (unfit)
            return unfit;
        if (worker.info->service != job.spec->service)
            return Unfit::OtherService;
        if (!hasLabel(*worker.info, step.requiredLabel))
            return Unfit::LacksLabel;
        if (!worker.free().covers(step.countedDemand()))
            return Unfit::LacksRoom;
        if (step.maximumPerWorker != 0 && worker.countOf(job.spec->id, number) >= step.maximumPerWorker)
            return Unfit::HoldsEnoughOfStep;
        return std::nullopt;
    }

    /// Whether one more best-effort task may be placed on a worker, given the pace that it would have there.
    ///
    /// Best-effort tasks arrive in bursts. If all were placed at once, they would share the cores, slow serving tasks down, be
    /// slowed down together, and all end late. So each needs its cores and a useful pace; the others wait.
    bool bearsFilling(const WorkerEntry& worker, const StepSpec& step, double pace)
    {
        return pace >= leastUsefulPace && (worker.fillingMilliCores() == 0 || unusedCores(worker) >= step.demand.milliCores);
    }

    /// Score of a worker for a task; greater is better, and elements are compared in order.
    using Score = std::tuple<bool, bool, bool, double, double>;

    /// Returns std::nullopt for a worker that cannot take the task.
    std::optional<Score> scoreOf(const WorkerEntry& worker, const JobEntry& job, std::uint32_t number, const TaskState& task, const InterferenceModel& interference, TimePoint now)
    {
        if (unfitFor(worker, job, number, now))
            return std::nullopt;
        const StepSpec& step = job.spec->steps[number];
        const bool trusted = !worker.lastChoice(step.longRunning, now);
        const bool elsewhere = worker.agent != task.avoidedAgent;
        const bool nearData = step.dataRack.empty() || hasLabel(*worker.info, step.dataRack);
        const double pace = step.fills ? expectedPace(worker, step, interference) : 1;
        const bool overdue = job.assigned == 0 && now > job.waitingSince + longestFillingWait;
        if (step.fills && !overdue && !bearsFilling(worker, step, pace))
            return std::nullopt;
        if (step.longRunning)
            return Score { trusted, elsewhere, nearData, -mismatch(worker, step.image, interference), -static_cast<double>(worker.free().milliCores) };
        if (step.fills)
            return Score { trusted, elsewhere, nearData, pace, unusedCores(worker) };
        return Score { trusted, elsewhere, nearData, -static_cast<double>(worker.free().milliCores), 0.0 };
    }

}

double expectedPace(const WorkerEntry& worker, const StepSpec& step, const InterferenceModel& interference)
{
    const double cores = std::max(1U, worker.info->capacity.milliCores);
    double pace = 1;
    for (const std::map<std::string, ImageLoad>::value_type& serving : worker.servingByImage) {
        const std::map<std::string, double>::const_iterator alone = worker.slackAlone.find(serving.first);
        double left = (alone == worker.slackAlone.end() ? usualSlack : alone->second) - PaceConfig {}.leastSlack;
        const double lossPerWorker = interference.lossOf(serving.first, step.image);
        const double loss = lossPerWorker * step.demand.milliCores / cores;
        if (loss <= PaceConfig {}.negligibleLoss)
            continue;
        // Agents share slack among best-effort runs by increasing loss, so only runs with no greater loss come before this one.
        for (const std::map<std::string, ImageLoad>::value_type& filling : worker.fillingByImage) {
            const double earlier = interference.lossOf(serving.first, filling.first);
            left -= earlier <= lossPerWorker ? earlier * filling.second.milliCores / cores : 0;
        }
        if (loss * pace > left)
            pace = std::max(0.0, left) / loss;
    }
    return pace;
}

std::vector<const JobEntry*> placementOrder(const std::set<JobId>& jobs, const JobBook& book, TimePoint now)
{
    std::vector<const JobEntry*> order;
    order.reserve(jobs.size());
    for (const JobId& id : jobs)
        order.push_back(book.find(id));
    const auto key = [now](const JobEntry* job) { return std::tuple(hopeless(*job, now), job->spec->priority, tardy(*job, now), job->due, job->spec->id); };
    std::sort(order.begin(), order.end(), [&key](const JobEntry* left, const JobEntry* right) { return key(left) < key(right); });
    return order;
}

const WorkerEntry* chooseWorker(const JobEntry& job, std::uint32_t step, const TaskState& task, const Workers& workers, const InterferenceModel& interference, TimePoint now)
{
    const WorkerEntry* best = nullptr;
    std::optional<Score> bestScore;
    for (const Workers::value_type& item : workers) {
        const std::optional<Score> score = scoreOf(item.second, job, step, task, interference, now);
        // std::nullopt compares less than any score.
        if (score > bestScore) {
            best = &item.second;
            bestScore = score;
        }
    }
    return best;
}

std::string describeUnfit(const JobEntry& job, std::uint32_t step, const Workers& workers, TimePoint now)
{
    std::map<Unfit, std::size_t> counts;
    std::size_t fit = 0;
    for (const Workers::value_type& item : workers) {
        const std::optional<Unfit> unfit = unfitFor(item.second, job, step, now);
        if (unfit)
            ++counts[*unfit];
        else
            ++fit;
    }
    std::string text = std::to_string(fit) + " fit";
    for (const std::map<Unfit, std::size_t>::value_type& item : counts)
        text += ", " + std::to_string(item.second) + " " + std::string(toString(item.first));
    return text;
}

}
