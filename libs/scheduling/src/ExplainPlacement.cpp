#include "cowslipdoor/scheduling/ExplainPlacement.h"

namespace cowslipdoor {

namespace {

    /// Weighs the best place for the first task of a step.
    void explainWeighing(StepPlacement& placement, const TrackedJob& job, const OutlookSources& sources, TimePoint now)
    {
        PlaceOutlook outlook;
        PlaceCache cache;
        const StepSpec& spec = job.spec->steps[placement.step];
        const TaskState& task = job.steps[placement.step].front();
        const std::string nearRack = spec.colocated && sources.config.remoteFactor > 1 ? outlook.rackFor(job, placement.step, spec.count, sources, now) : spec.dataRack;
        const std::optional<Place> place = bestPlace(job, placement.step, task, nearRack, sources.workers, sources.interference, sources.config, cache, now);
        if (!place)
            return;
        placement.agent = place->worker->agent;
        placement.slowdown = place->slowdown;
        placement.decision = PlaceNow { PlaceReason::GoodEnough };
        if (place->slowdown <= usefulSlowdown)
            return;
        placement.better = outlook.better(job, placement.step, nearRack, spec.count, remainingTime(spec, task), place->slowdown, sources, now);
        if (placement.better)
            placement.decision = placeOrWait(situationOf(job, placement.step, task, *place, *placement.better, Duration {}, now));
        else
            placement.decision = PlaceNow { PlaceReason::NoBetterPlace };
    }

}

std::vector<StepPlacement> explainPlacement(const JobSpecHandle& spec, const OutlookSources& sources, TimePoint now)
{
    JobRegistry registry;
    registry.add(spec, now);
    const TrackedJob& job = *registry.find(spec->id);
    std::vector<StepPlacement> placements;
    for (std::uint32_t step = 0; step < spec->steps.size(); ++step) {
        StepPlacement placement { .step = step, .tasks = spec->steps[step].count, .afterOthers = !spec->steps[step].after.empty() };
        placement.fitness = describeUnfit(job, step, sources.workers, now);
        if (weighsPlaces(spec->steps[step], sources.config)) {
            explainWeighing(placement, job, sources, now);
        } else if (const TrackedWorker* const chosen = chooseWorker(job, step, job.steps[step].front(), sources.workers, sources.interference, now)) {
            placement.agent = chosen->agent;
            placement.decision = PlaceNow { PlaceReason::NoBetterPlace };
        }
        placements.push_back(std::move(placement));
    }
    return placements;
}

}
