#include "cowslipdoor/scheduling/Placement.h"
#include "cowslipdoor/scheduling/PlaceOrWait.h"
#include <algorithm>
#include <optional>
#include <tuple>

namespace cowslipdoor {

namespace {

    /// Multiple of the objective after which the end of a job has no value.
    constexpr int valueEndFactor = 3;

    /// Minimum expected pace at which a best-effort task is placed beside serving tasks.
    constexpr double minimumUsefulPace = 0.5;

    /// How long a finite job may have no assigned task, or a long-running task no run, before a best-effort task goes to any
    /// worker with headroom: a third of the 3 s that the platform permits.
    constexpr Duration maximumPlacementWait = std::chrono::milliseconds(1000);

    bool hasNoValueLeft(const TrackedJob& job, TimePoint now)
    {
        return !job.spec->isLongRunning() && now > valueEnd(job);
    }

    /// Share of a job's expected remaining time that must be left until it is due, as estimates are wrong by a factor of two.
    constexpr double minimumFeasibleShare = 0.5;

    /// Whether a job can no longer meet its objective.
    bool tardy(const TrackedJob& job, TimePoint now)
    {
        return !job.spec->isLongRunning() && now + std::chrono::duration_cast<Duration>(job.remainingChain() * minimumFeasibleShare) > job.due;
    }

    /// Difference between the losses of a serving image and of its neighbours on a worker, weighted by the neighbours' cores.
    double weightedDistance(const TrackedWorker& worker, const std::string& image, const InterferenceModel& interference)
    {
        double sum = 0;
        for (const std::map<std::string, ImageLoad>::value_type& neighbour : worker.servingByImage)
            sum += interference.distance(image, neighbour.first) * neighbour.second.milliCores;
        return sum;
    }

    /// Whether a job with tasks to place has had none assigned for so long that any worker with headroom will do.
    bool jobWaitedTooLong(const TrackedJob& job, TimePoint now)
    {
        return job.assigned == 0 && now > job.waitingSince + maximumPlacementWait;
    }

    /// Whether an exclusion keeps a task away. Stalls may exclude all workers for as long as a cause lasts, so they only rank a
    /// worker last for long-running tasks and for jobs that have waited too long. Failed runs would renew the exclusion.
    bool keepsAway(UnfitReason exclusion, const TrackedJob& job, const StepSpec& step, TimePoint now)
    {
        return exclusion == UnfitReason::Excluded || !(step.longRunning || jobWaitedTooLong(job, now));
    }

    /// Reason why a task cannot be placed on a worker: the worker's state, service, labels, free resources or tasks of the step.
    std::optional<UnfitReason> unfitFor(const TrackedWorker& worker, const TrackedJob& job, std::uint32_t number, TimePoint now)
    {
        const StepSpec& step = job.spec->steps[number];
        const std::optional<UnfitReason> unfitReason = worker.unfitReason(now);
        if (unfitReason)
            return unfitReason;
        const std::optional<UnfitReason> exclusion = worker.exclusionReason(now);
        if (exclusion && keepsAway(*exclusion, job, step, now))
            return exclusion;
        if (worker.info->service != job.spec->service)
            return UnfitReason::OtherService;
        if (!hasLabel(*worker.info, step.requiredLabel))
            return UnfitReason::LacksLabel;
        if (!worker.free().covers(step.countedDemand()))
            return UnfitReason::LacksResources;
        if (worker.tasks.size() >= maximumRunsOfWorker)
            return UnfitReason::HoldsMaximumRuns;
        if (worker.unconfirmedStarts.size() >= maximumUnconfirmedStarts)
            return UnfitReason::AwaitsStarts;
        if (step.maximumPerWorker != 0 && worker.countOf(job.spec->id, number) >= step.maximumPerWorker)
            return UnfitReason::HoldsEnoughOfStep;
        return std::nullopt;
    }

    /// Whether one more best-effort task may be placed on a worker, given the pace that it would have there.
    ///
    /// Best-effort tasks arrive in bursts. If all were placed at once, they would share the cores, slow serving tasks down, be
    /// slowed down together, and all end late. So each needs its cores and a useful pace; the others wait.
    bool canAddBestEffort(const TrackedWorker& worker, const StepSpec& step, double pace)
    {
        return pace >= minimumUsefulPace && (worker.bestEffortMilliCores() == 0 || unusedCores(worker) >= step.demand.milliCores);
    }

    /// Score of a worker for a task; greater is better, and elements are compared in order.
    using Score = std::tuple<bool, bool, bool, bool, bool, double, double>;

    /// Returns std::nullopt for a worker that cannot take the task.
    std::optional<Score> scoreOf(const TrackedWorker& worker, const TrackedJob& job, std::uint32_t number, const TaskState& task, const InterferenceModel& interference, TimePoint now)
    {
        if (unfitFor(worker, job, number, now))
            return std::nullopt;
        const StepSpec& step = job.spec->steps[number];
        const bool notExcluded = !worker.exclusionReason(now);
        const bool warm = !worker.isCold(now);
        const bool preferred = !worker.lastChoice(step.longRunning, now);
        const bool elsewhere = worker.agent != task.avoidedAgent;
        const bool nearData = step.dataRack.empty() || hasLabel(*worker.info, step.dataRack);
        const double pace = step.bestEffort ? expectedPace(worker, step, interference) : 1;
        if (step.bestEffort && !waitedTooLong(job, number, task, now) && !canAddBestEffort(worker, step, pace))
            return std::nullopt;
        if (step.longRunning)
            return Score { notExcluded, warm, preferred, elsewhere, nearData, -weightedDistance(worker, step.image, interference), -static_cast<double>(worker.free().milliCores) };
        if (step.bestEffort)
            return Score { notExcluded, warm, preferred, elsewhere, nearData, pace, unusedCores(worker) };
        return Score { notExcluded, warm, preferred, elsewhere, nearData, -static_cast<double>(worker.free().milliCores), 0.0 };
    }

    /// Score of a place for a task that weighs a wait; greater is better, and elements are compared in order.
    using PlaceScore = std::tuple<bool, bool, bool, bool, double, bool, double, double>;

    PlaceScore scoreOf(const Place& place, const StepSpec& step, const TaskState& task, const std::string& nearRack, const PlacementConfig& config, TimePoint now)
    {
        const TrackedWorker& worker = *place.worker;
        const bool notExcluded = !worker.exclusionReason(now);
        const bool useful = place.slowdown <= config.paceRisk / minimumUsefulPace;
        const bool preferred = !worker.lastChoice(false, now);
        const bool elsewhere = worker.agent != task.avoidedAgent;
        const bool nearData = hasLabel(*worker.info, nearRack);
        const double slowdown = -std::max(place.slowdown, usefulSlowdown);
        if (step.bestEffort)
            return { notExcluded, useful, preferred, elsewhere, slowdown, nearData, -place.slowdown, unusedCores(worker) };
        return { notExcluded, useful, preferred, elsewhere, slowdown, nearData, -static_cast<double>(worker.free().milliCores), 0.0 };
    }

    double slowdownOn(const TrackedWorker& worker, const StepSpec& step, const std::string& nearRack, const InterferenceModel& interference, const PlacementConfig& config, PlaceCache::Slowdowns& known)
    {
        const double location = locationSlowdown(worker, nearRack, config);
        if (!step.bestEffort)
            return location;
        const PlaceCache::Slowdowns::const_iterator it = known.find(&worker);
        const double slowdown = it == known.end() ? bestEffortSlowdown(worker, bestEffortLoadOf(worker), step, interference) : it->second;
        known[&worker] = slowdown;
        return location * (slowdown > usefulSlowdown ? slowdown * config.paceRisk : slowdown);
    }

}

bool hasLabel(const WorkerInfo& worker, const std::string& label)
{
    return label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

double locationSlowdown(const TrackedWorker& worker, const std::string& nearRack, const PlacementConfig& config)
{
    return hasLabel(*worker.info, nearRack) ? 1 : config.remoteFactor;
}

bool isCandidate(const TrackedWorker& worker, const TrackedJob& job, const StepSpec& step, TimePoint now)
{
    return worker.usable(now) && worker.info->service == job.spec->service && hasLabel(*worker.info, step.requiredLabel);
}

PlaceKey placeKeyOf(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, bool takesStalled)
{
    const StepSpec& spec = job.spec->steps[step];
    return { job.spec->service, spec.requiredLabel, nearRack, spec.image, spec.demand.milliCores, spec.demand.memoryMb, spec.demand.accelerators, spec.bestEffort, takesStalled };
}

TimePoint valueEnd(const TrackedJob& job)
{
    return job.arrived + (job.due - job.arrived) * valueEndFactor;
}

bool weighsPlaces(const StepSpec& step, const PlacementConfig& config)
{
    return config.waits && !step.longRunning && (step.bestEffort || (config.remoteFactor > 1 && (step.colocated || !step.dataRack.empty())));
}

std::optional<Place> bestPlace(const TrackedJob& job, std::uint32_t step, const TaskState& task, const std::string& nearRack, const Workers& workers, const InterferenceModel& interference, const PlacementConfig& config, PlaceCache& cache, TimePoint now)
{
    const StepSpec& spec = job.spec->steps[step];
    // What a single task or job avoids does not hold for others.
    const bool shared = task.avoidedAgent.empty() && spec.maximumPerWorker == 0;
    const PlaceKey key = placeKeyOf(job, step, nearRack, jobWaitedTooLong(job, now));
    const std::optional<Place>* const known = shared ? cache.find(key) : nullptr;
    if (known)
        return *known;
    PlaceCache::Slowdowns& slowdowns = cache.slowdownsOf(spec);
    std::optional<Place> best;
    std::optional<PlaceScore> bestScore;
    for (const Workers::value_type& item : workers) {
        if (unfitFor(item.second, job, step, now))
            continue;
        const Place place { &item.second, slowdownOn(item.second, spec, nearRack, interference, config, slowdowns) };
        const PlaceScore score = scoreOf(place, spec, task, nearRack, config, now);
        if (!bestScore || score > *bestScore) {
            best = place;
            bestScore = score;
        }
    }
    if (shared)
        cache.remember(key, best);
    return best;
}

bool waitedTooLong(const TrackedJob& job, std::uint32_t step, const TaskState& task, TimePoint now)
{
    return job.spec->steps[step].longRunning ? now > task.listedAt + maximumPlacementWait : jobWaitedTooLong(job, now);
}

std::vector<const TrackedJob*> placementOrder(const std::set<JobId>& jobs, const JobRegistry& jobRegistry, TimePoint now)
{
    using Key = std::tuple<bool, std::uint32_t, bool, bool, TimePoint, JobId>;
    std::vector<std::pair<Key, const TrackedJob*>> keyed;
    keyed.reserve(jobs.size());
    for (const JobId& id : jobs) {
        const TrackedJob& job = *jobRegistry.find(id);
        keyed.emplace_back(Key { hasNoValueLeft(job, now), job.spec->priority, !job.spec->isLongRunning(), tardy(job, now), job.due, id }, &job);
    }
    std::sort(keyed.begin(), keyed.end());
    std::vector<const TrackedJob*> order;
    order.reserve(keyed.size());
    for (const std::pair<Key, const TrackedJob*>& item : keyed)
        order.push_back(item.second);
    return order;
}

const TrackedWorker* chooseWorker(const TrackedJob& job, std::uint32_t step, const TaskState& task, const Workers& workers, const InterferenceModel& interference, TimePoint now)
{
    const TrackedWorker* best = nullptr;
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

std::string describeUnfit(const TrackedJob& job, std::uint32_t step, const Workers& workers, TimePoint now)
{
    std::map<UnfitReason, std::size_t> counts;
    std::size_t fit = 0;
    for (const Workers::value_type& item : workers) {
        const std::optional<UnfitReason> unfitReason = unfitFor(item.second, job, step, now);
        if (unfitReason)
            ++counts[*unfitReason];
        else
            ++fit;
    }
    std::string text = std::to_string(fit) + " fit";
    for (const std::map<UnfitReason, std::size_t>::value_type& item : counts)
        text += ", " + std::to_string(item.second) + " " + std::string(toString(item.first));
    return text;
}

}
