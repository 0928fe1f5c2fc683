#include "cowslipdoor/scheduling/ExplainPlacement.h"

namespace cowslipdoor {

namespace {

    /// Weighs the best place for the first task of a step.
    void explainWeighing(StepPlacement& placement, const TrackedJob& job, const OutlookSources& sources, TimePoint now)
    {
        PlaceOutlook outlook;
        PlaceCache cache;
        const TaskState& task = job.steps[placement.step].front();
        const std::string nearRack = outlook.nearRackOf(job, placement.step, placement.tasks, sources, now);
        const std::optional<Place> place = bestPlace(job, placement.step, task, nearRack, sources.workers, sources.interference, sources.config, cache, now);
        if (!place)
            return;
        const WeighedPlace weighed = outlook.weigh(job, placement.step, task, nearRack, *place, placement.tasks, Duration {}, sources, now);
        placement.agent = place->worker->agent;
        placement.slowdown = place->slowdown;
        placement.decision = weighed.decision;
        if (weighed.situation)
            placement.better = BetterPlace { weighed.situation->betterSlowdown, weighed.situation->release };
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
