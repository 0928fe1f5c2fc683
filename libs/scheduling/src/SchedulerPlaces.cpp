#include "cowslipdoor/scheduling/Placement.h"
#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace cowslipdoor {

namespace {

    bool canBePlaced(const TaskState& task, TimePoint now)
    {
        return task.unplaced() && now >= task.notBefore;
    }

    /// Number of tasks of a step that can be placed.
    std::size_t countPlaceable(const std::vector<TaskState>& tasks, TimePoint now)
    {
        return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [now](const TaskState& task) { return canBePlaced(task, now); }));
    }

    std::string describeStep(const JobId& job, std::uint32_t step)
    {
        return job.text + "/" + std::to_string(step);
    }

}

std::string describeSlowdown(double slowdown)
{
    if (!std::isfinite(slowdown))
        return "without pace";
    const std::string hundredths = std::to_string(std::llround(slowdown * 100));
    return "slowdown " + hundredths.substr(0, hundredths.size() - 2) + "." + hundredths.substr(hundredths.size() - 2);
}

std::string describeExpected(const PlaceWait& wait)
{
    return wait.expected ? "expected " + std::to_string(toMilliseconds(*wait.expected)) + " ms" : "expected at an unknown time";
}

std::size_t Scheduler::tasksAwaitingPlace() const noexcept
{
    const auto add = [](std::size_t sum, const PlaceWaits::value_type& item) { return sum + (item.second.awaitedSince ? item.second.tasks : 0); };
    return std::accumulate(this->placeWaits.begin(), this->placeWaits.end(), std::size_t { 0 }, add);
}

std::vector<StepPlacement> Scheduler::explain(const JobSpecHandle& spec, TimePoint now) const
{
    return explainPlacement(spec, this->outlookSources(), now);
}

void Scheduler::beginPlaces(TimePoint now, Effects& effects)
{
    this->placeCache.clear();
    this->placeOutlook.beginPass();
    for (PlaceWaits::iterator it = this->placeWaits.begin(); it != this->placeWaits.end();) {
        const bool over = !this->jobRegistry.waiting().contains(it->first.first);
        if (over)
            this->endPlaceWait(it, "the job has no task to place", now, effects);
        it = over ? this->placeWaits.erase(it) : std::next(it);
    }
}

void Scheduler::forgetPlaces()
{
    this->placeCache.clear();
    this->placeOutlook.clear();
    this->placeWaits.clear();
}

std::string Scheduler::nearRackOf(const TrackedJob& job, std::uint32_t step, TimePoint now)
{
    return this->placeOutlook.nearRackOf(job, step, countPlaceable(job.steps[step], now), this->outlookSources(), now);
}

bool Scheduler::losesByRack(const TrackedJob& job, std::uint32_t step, const TrackedWorker& from, const TrackedWorker& to, TimePoint now)
{
    if (this->config.placement.remoteFactor <= 1)
        return false;
    const std::string nearRack = this->nearRackOf(job, step, now);
    const double gain = static_cast<double>(fullPace) / this->config.relocation.starvingPace;
    return locationSlowdown(to, nearRack, this->config.placement) >= gain * locationSlowdown(from, nearRack, this->config.placement);
}

void Scheduler::placeWeighing(const TrackedJob& job, std::uint32_t step, TimePoint now, Effects& effects)
{
    const std::vector<TaskState>& tasks = job.steps[step];
    const std::string nearRack = this->nearRackOf(job, step, now);
    std::size_t placeable = countPlaceable(tasks, now);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskState& task = tasks[index];
        if (task.unplaced() && now < task.notBefore)
            this->schedulePassAt(task.notBefore);
        if (!canBePlaced(task, now))
            continue;
        if (!this->mayAssignMore())
            return;
        const std::optional<Place> place = bestPlace(job, step, task, nearRack, this->knownWorkers, this->interference, this->config.placement, this->placeCache, now);
        if (!place)
            return;
        const PlaceDecision decision = this->decidePlace(job, step, task, nearRack, *place, placeable, now, effects);
        const PlaceNow* const placeNow = std::get_if<PlaceNow>(&decision);
        if (!placeNow) {
            this->schedulePassAt(now + std::max(this->config.gatherTime, std::get<WaitUntil>(decision).limit));
            return;
        }
        this->endPlaceWait(this->placeWaits.find({ job.spec->id, step }), std::string(toString(placeNow->reason)) + ", " + describeSlowdown(place->slowdown) + " at " + place->worker->agent, now, effects);
        this->assignTask(job, { job.spec->id, step, index }, *place->worker, now, effects);
        --placeable;
    }
    this->placeWaits.erase({ job.spec->id, step });
}

PlaceDecision Scheduler::decidePlace(const TrackedJob& job, std::uint32_t step, const TaskState& task, const std::string& nearRack, const Place& place, std::size_t tasks, TimePoint now, Effects& effects)
{
    const PlaceWaits::const_iterator wait = this->placeWaits.find({ job.spec->id, step });
    const Duration waited = wait == this->placeWaits.end() ? Duration {} : now - wait->second.since;
    const WeighedPlace weighed = this->placeOutlook.weigh(job, step, task, nearRack, place, tasks, waited, this->outlookSources(), now);
    if (std::holds_alternative<WaitUntil>(weighed.decision)) {
        this->placeOutlook.claim(job, step, nearRack, tasks);
        this->notePlaceWait({ job.spec->id, step }, *weighed.situation, tasks, now, effects);
    }
    return weighed.decision;
}

void Scheduler::notePlaceWait(const PlaceWaits::key_type& key, const PlaceSituation& situation, std::size_t tasks, TimePoint now, Effects& effects)
{
    PlaceWait& wait = this->placeWaits.try_emplace(key, PlaceWait { .since = now }).first->second;
    wait.tasks = tasks;
    if (wait.awaitedSince)
        return;
    wait.awaitedSince = now;
    wait.slowdown = situation.slowdown;
    wait.betterSlowdown = situation.betterSlowdown;
    wait.expected = situation.release;
    effects.emplace_back(RecordEvent { EventId::PlaceAwaited, describeStep(key.first, key.second) + ": " + std::to_string(tasks) + " tasks; available " + describeSlowdown(wait.slowdown) + ", awaited " + describeSlowdown(wait.betterSlowdown) + ", " + describeExpected(wait) + ", saves " + std::to_string(toMilliseconds(savedTime(situation))) + " ms" });
}

void Scheduler::endPlaceWait(PlaceWaits::iterator wait, const std::string& reason, TimePoint now, Effects& effects)
{
    if (wait == this->placeWaits.end() || !wait->second.awaitedSince)
        return;
    const PlaceWait& ended = wait->second;
    effects.emplace_back(RecordEvent { EventId::PlaceWaitEnded, describeStep(wait->first.first, wait->first.second) + ": " + reason + "; was available " + describeSlowdown(ended.slowdown) + ", awaited " + describeSlowdown(ended.betterSlowdown) + ", " + describeExpected(ended) + ", waited " + std::to_string(toMilliseconds(now - *ended.awaitedSince)) + " ms" });
    wait->second.awaitedSince.reset();
}

}
