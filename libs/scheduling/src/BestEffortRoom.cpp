#include "cowslipdoor/scheduling/BestEffortRoom.h"
#include "cowslipdoor/scheduling/Placement.h"
#include <algorithm>
#include <cmath>

namespace cowslipdoor {

namespace {

    /// Share of full pace that a place must allow to count. The slowest task of a step decides when it ends, so a place at half
    /// of full pace lets a job miss its objective.
    constexpr double leastShareOfTask = 0.9;

    double wholeTasks(double tasks)
    {
        const double whole = std::floor(tasks);
        return tasks - whole >= leastShareOfTask ? tasks : whole;
    }

    /// Milli-cores that further tasks of a kind can use on a worker.
    double furtherMilliCores(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference)
    {
        const double milliCores = std::max(1U, step.demand.milliCores);
        const double byMemory = std::floor(worker.free().memoryMb / static_cast<double>(std::max(1U, step.demand.memoryMb)));
        const double bySlack = tasksAtFullPace(worker, step, interference, BesideBestEffort::Counted);
        const double byCores = std::max(0.0, unusedCores(worker)) / milliCores;
        return wholeTasks(std::min({ byMemory, bySlack, byCores })) * milliCores;
    }

    /// Milli-cores that best-effort runs of finite jobs use now on a worker and that tasks of a kind could use once those runs have
    /// ended. Long-running ones do not end.
    double usedMilliCores(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference)
    {
        const double all = worker.bestEffortMilliCores();
        const double finite = all - worker.lastingBestEffortMilliCores;
        if (finite <= 0)
            return 0;
        // The pace is known for all best-effort runs of a worker together.
        const double used = finite * (1 - std::min(1.0, worker.pacedDownMilliCores / all));
        const std::map<std::string, ImageLoad>::const_iterator same = worker.bestEffortByImage.find(step.image);
        const double ofSameImage = same == worker.bestEffortByImage.end() ? 0 : same->second.milliCores;
        const double bySlack = tasksAtFullPace(worker, step, interference, BesideBestEffort::Ignored) * step.demand.milliCores;
        return std::min(used, std::max(ofSameImage, bySlack));
    }

    bool takesKind(const WorkerInfo& worker, const TaskKind& kind)
    {
        const bool labelled = kind.requiredLabel.empty() || std::find(worker.labels.begin(), worker.labels.end(), kind.requiredLabel) != worker.labels.end();
        return worker.service == kind.service && labelled;
    }

}

double ServiceUse::reservedShare() const noexcept
{
    const double cores = static_cast<double>(this->used.milliCores) / std::max(1U, this->capacity.milliCores);
    const double memory = static_cast<double>(this->used.memoryMb) / std::max(1U, this->capacity.memoryMb);
    return std::max(cores, memory);
}

double BestEffortRoom::milliCores() const
{
    double sum = 0;
    for (const std::map<std::string, ServiceUse>::value_type& item : this->byService)
        sum += item.second.milliCores;
    return sum;
}

BestEffortRoom measureBestEffortRoom(const std::map<TaskKind, StepSpec>& kinds, const Workers& workers, const InterferenceModel& interference, TimePoint now)
{
    BestEffortRoom room;
    for (const std::map<TaskKind, StepSpec>::value_type& kind : kinds)
        room.byKind[kind.first] = 0;
    for (const Workers::value_type& item : workers) {
        const TrackedWorker& worker = item.second;
        if (!worker.usable(now))
            continue;
        ServiceUse& service = room.byService[worker.info->service];
        service.capacity = service.capacity.plus(worker.info->capacity);
        service.used = service.used.plus(worker.used);
        double most = 0;
        for (const std::map<TaskKind, StepSpec>::value_type& kind : kinds) {
            if (!takesKind(*worker.info, kind.first))
                continue;
            const double milliCores = usedMilliCores(worker, kind.second, interference) + furtherMilliCores(worker, kind.second, interference);
            room.byKind[kind.first] += milliCores;
            most = std::max(most, milliCores);
        }
        service.milliCores += most;
    }
    return room;
}

}
