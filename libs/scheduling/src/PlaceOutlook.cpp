#include "cowslipdoor/scheduling/PlaceOutlook.h"
#include "cowslipdoor/scheduling/ExpectedRelease.h"
#include <algorithm>
#include <set>

namespace cowslipdoor {

namespace {

    /// Run time that is assumed for a task whose job does not estimate it.
    constexpr Duration usualRunTime = std::chrono::seconds(1);

    /// How long a job has had nothing running; std::nullopt if one of its tasks is assigned.
    std::optional<Duration> idleTime(const TrackedJob& job, TimePoint now)
    {
        if (job.assigned > 0)
            return std::nullopt;
        // A new leader sees the job later than its caller does.
        return now - (job.begun ? job.waitingSince : std::min(job.arrived, job.waitingSince));
    }

    /// How long expected releases are used: workers report progress every half second, so they change hardly more often, and a
    /// leader with 0.12 cores cannot compute them in every pass.
    constexpr Duration outlookValidity = std::chrono::milliseconds(500);

    /// How long the releases of a kind of task that nobody asks for are kept.
    constexpr Duration outlookRetention = std::chrono::seconds(10);

}

Duration remainingTime(const StepSpec& step, const TaskState& task)
{
    const Duration whole = step.estimate > Duration {} ? step.estimate : usualRunTime;
    if (task.record.checkpoint.empty())
        return whole;
    return whole * (completePercent - std::min(task.percent, completePercent)) / completePercent;
}

PlaceSituation situationOf(const TrackedJob& job, std::uint32_t step, const TaskState& task, const Place& place, const BetterPlace& better, Duration waited, TimePoint now)
{
    const StepSpec& spec = job.spec->steps[step];
    const Duration after = std::max(Duration {}, job.remainingChain() - spec.estimate);
    return { place.slowdown, remainingTime(spec, task), better.slowdown, better.release, waited, job.due - after - now, valueEnd(job) - after - now, idleTime(job, now) };
}

TimePoint PlaceOutlook::Group::release(std::size_t number, Duration estimate) const
{
    // Tasks that take the released places are expected to release them again in the same order.
    const Duration span = std::max(this->releases.back() - this->releases.front(), estimate);
    return this->releases[number % this->releases.size()] + span * static_cast<Duration::rep>(number / this->releases.size());
}

void PlaceOutlook::beginPass()
{
    for (std::map<PlaceKey, Entry>::value_type& item : this->entries)
        item.second.claimed = 0;
}

PlaceOutlook::Entry PlaceOutlook::compute(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, const OutlookSources& sources, TimePoint now)
{
    const StepSpec& spec = job.spec->steps[step];
    Entry entry;
    entry.computedAt = now;
    entry.groups[1].slowdown = sources.config.remoteFactor;
    for (const Workers::value_type& item : sources.workers) {
        const TrackedWorker& worker = item.second;
        if (!isCandidate(worker, job, spec, now))
            continue;
        Group& group = entry.groups[locationSlowdown(worker, nearRack, sources.config) > 1 ? 1 : 0];
        const std::vector<TimePoint> releases = expectedReleases(worker, spec, expectedEnds(worker, sources.jobRegistry, now), sources.interference);
        group.releases.insert(group.releases.end(), releases.begin(), releases.end());
        // The load of serving runs, which limits the pace here, may fall at any time.
        group.unknown = group.unknown || (spec.bestEffort && releases.empty() && worker.free().covers(spec.countedDemand()));
    }
    for (Group& group : entry.groups)
        std::sort(group.releases.begin(), group.releases.end());
    return entry;
}

void PlaceOutlook::clear()
{
    this->entries.clear();
    this->racks.clear();
    this->rackEntries.clear();
}

std::optional<BetterPlace> PlaceOutlook::better(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, std::size_t tasks, Duration remaining, double slowdown, const OutlookSources& sources, TimePoint now)
{
    const PlaceKey key = placeKeyOf(job, step, nearRack, false);
    std::map<PlaceKey, Entry>::iterator it = this->entries.find(key);
    if (it == this->entries.end() || now >= it->second.computedAt + outlookValidity) {
        std::erase_if(this->entries, [now](const std::map<PlaceKey, Entry>::value_type& item) { return now >= item.second.computedAt + outlookRetention; });
        const std::size_t claimed = it == this->entries.end() ? 0 : this->entries[key].claimed;
        Entry computed = compute(job, step, nearRack, sources, now);
        computed.claimed = claimed;
        it = this->entries.insert_or_assign(key, std::move(computed)).first;
    }
    std::optional<BetterPlace> best;
    Duration bestTime = Duration::max();
    for (const Group& group : it->second.groups) {
        if (group.slowdown >= slowdown || (group.releases.empty() && !group.unknown))
            continue;
        BetterPlace place { group.slowdown, std::nullopt };
        if (!group.releases.empty())
            place.release = std::max(Duration {}, group.release(it->second.claimed + std::max<std::size_t>(tasks, 1) - 1, job.spec->steps[step].estimate) - now);
        const Duration time = place.release.value_or(Duration {}) + std::chrono::duration_cast<Duration>(remaining * group.slowdown);
        // An expected release goes before one that is not known.
        const bool better = !best || (place.release.has_value() == best->release.has_value() ? time < bestTime : place.release.has_value());
        if (!better)
            continue;
        best = place;
        bestTime = time;
    }
    return best;
}

void PlaceOutlook::claim(const TrackedJob& job, std::uint32_t step, const std::string& nearRack, std::size_t tasks)
{
    const std::map<PlaceKey, Entry>::iterator it = this->entries.find(placeKeyOf(job, step, nearRack, false));
    if (it != this->entries.end())
        it->second.claimed += tasks;
}

const RacksByAgent& PlaceOutlook::racksIn(const std::string& service, const OutlookSources& sources, TimePoint now)
{
    KnownRacks& known = this->racks[service];
    if (now >= known.computedAt + outlookValidity)
        known = { now, racksOf(sources.workers, service) };
    return known.byAgent;
}

std::string PlaceOutlook::nearRackOf(const TrackedJob& job, std::uint32_t step, std::size_t tasks, const OutlookSources& sources, TimePoint now)
{
    const StepSpec& spec = job.spec->steps[step];
    return spec.colocated && sources.config.remoteFactor > 1 ? this->rackFor(job, step, tasks, sources, now) : spec.dataRack;
}

WeighedPlace PlaceOutlook::weigh(const TrackedJob& job, std::uint32_t step, const TaskState& task, const std::string& nearRack, const Place& place, std::size_t tasks, Duration waited, const OutlookSources& sources, TimePoint now)
{
    if (place.slowdown <= usefulSlowdown)
        return { PlaceNow { PlaceReason::GoodEnough }, std::nullopt };
    const std::optional<BetterPlace> better = this->better(job, step, nearRack, tasks, remainingTime(job.spec->steps[step], task), place.slowdown, sources, now);
    if (!better)
        return { PlaceNow { PlaceReason::NoBetterPlace }, std::nullopt };
    const PlaceSituation situation = situationOf(job, step, task, place, *better, waited, now);
    return { placeOrWait(situation), situation };
}

std::string PlaceOutlook::rackFor(const TrackedJob& job, std::uint32_t step, std::size_t tasks, const OutlookSources& sources, TimePoint now)
{
    const StepSpec& spec = job.spec->steps[step];
    const RacksByAgent& known = this->racksIn(job.spec->service, sources, now);
    std::set<std::string> used;
    for (const TaskState& task : job.steps[step]) {
        const RacksByAgent::const_iterator it = task.record.assignment ? known.find(task.record.assignment->agent) : known.end();
        if (it != known.end())
            used.insert(it->second);
    }
    // A step on several racks is slowed down wherever its other tasks run.
    if (!used.empty())
        return used.size() == 1 ? *used.begin() : spec.dataRack;
    std::erase_if(this->rackEntries, [now](const std::map<PlaceKey, RackEntry>::value_type& item) { return now >= item.second.computedAt + outlookRetention; });
    RackEntry& entry = this->rackEntries[placeKeyOf(job, step, {}, false)];
    if (now >= entry.computedAt + outlookValidity)
        entry = { now, rackPlaces(job, step, known, sources.workers, sources.jobRegistry, sources.interference, now) };
    const auto holdsData = [&spec, tasks](const RackPlaces& rack) { return rack.rack == spec.dataRack && rack.capacity >= tasks; };
    if (!spec.dataRack.empty() && std::any_of(entry.places.begin(), entry.places.end(), holdsData))
        return spec.dataRack;
    return firstRackFor(entry.places, tasks).value_or(spec.dataRack);
}

}
