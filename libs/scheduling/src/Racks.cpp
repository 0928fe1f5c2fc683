#include "cowslipdoor/scheduling/Racks.h"
#include "cowslipdoor/scheduling/Limits.h"
#include "cowslipdoor/scheduling/Placement.h"
#include <algorithm>
#include <set>

namespace cowslipdoor {

namespace {

    /// Label with each number replaced, or std::nullopt for a label without one.
    std::optional<std::string> patternOf(const std::string& label)
    {
        std::string pattern;
        bool numbered = false;
        for (const char letter : label) {
            const bool digit = letter >= '0' && letter <= '9';
            numbered = numbered || digit;
            if (!digit)
                pattern += letter;
            else if (pattern.empty() || pattern.back() != '#')
                pattern += '#';
        }
        return numbered ? std::optional<std::string>(pattern) : std::nullopt;
    }

    /// Workers by label, for labels of one pattern.
    using LabelGroup = std::map<std::string, std::set<std::string>>;

    /// Whether each worker has exactly one label of a group, and the labels divide them into places of several workers.
    bool dividesWorkers(const LabelGroup& group, std::size_t workers)
    {
        std::set<std::string> agents;
        std::size_t entries = 0;
        for (const LabelGroup::value_type& item : group) {
            entries += item.second.size();
            agents.insert(item.second.begin(), item.second.end());
        }
        return group.size() > 1 && entries == workers && agents.size() == workers && group.size() < workers;
    }

    /// Number of tasks that a worker holds when its finite runs have ended.
    std::size_t capacityFor(const TrackedWorker& worker, const StepSpec& step, const std::vector<ExpectedEnd>& ends)
    {
        ResourceVector free = worker.free();
        for (const ExpectedEnd& end : ends)
            free = free.plus(end.step->countedDemand());
        const ResourceVector demand = step.countedDemand();
        std::size_t most = step.maximumPerWorker == 0 ? maximumTasks : step.maximumPerWorker;
        const auto bound = [&most](std::uint32_t amount, std::uint32_t each) { most = each == 0 ? most : std::min<std::size_t>(most, amount / each); };
        bound(free.milliCores, step.demand.milliCores);
        bound(free.memoryMb, demand.memoryMb);
        bound(free.accelerators, demand.accelerators);
        return most;
    }

}

RacksByAgent racksOf(const Workers& workers, const std::string& service)
{
    std::map<std::string, LabelGroup> groups;
    std::size_t count = 0;
    for (const Workers::value_type& item : workers) {
        if (!item.second.info || item.second.info->service != service)
            continue;
        ++count;
        for (const std::string& label : item.second.info->labels) {
            const std::optional<std::string> pattern = patternOf(label);
            if (pattern)
                groups[*pattern][label].insert(item.first);
        }
    }
    const LabelGroup* finest = nullptr;
    for (const std::map<std::string, LabelGroup>::value_type& item : groups) {
        if (dividesWorkers(item.second, count) && (!finest || item.second.size() > finest->size()))
            finest = &item.second;
    }
    RacksByAgent racks;
    if (!finest)
        return racks;
    for (const LabelGroup::value_type& item : *finest) {
        for (const std::string& agent : item.second)
            racks.emplace(agent, item.first);
    }
    return racks;
}

std::vector<RackPlaces> rackPlaces(const TrackedJob& job, std::uint32_t step, const RacksByAgent& racks, const Workers& workers, const JobRegistry& jobRegistry, const InterferenceModel& interference, TimePoint now)
{
    const StepSpec& spec = job.spec->steps[step];
    std::map<std::string, RackPlaces> byRack;
    for (const RacksByAgent::value_type& item : racks) {
        const Workers::const_iterator it = workers.find(item.first);
        if (it == workers.end() || !isCandidate(it->second, job, spec, now))
            continue;
        const std::vector<ExpectedEnd> ends = expectedEnds(it->second, jobRegistry, now);
        const std::vector<TimePoint> releases = expectedReleases(it->second, spec, ends, interference);
        const std::size_t free = usefulPlaces(it->second, spec, interference);
        if (releases.empty() && free == 0)
            continue;
        RackPlaces& rack = byRack[item.second];
        rack.rack = item.second;
        rack.places.insert(rack.places.end(), free, now);
        rack.places.insert(rack.places.end(), releases.begin(), releases.end());
        rack.capacity += std::max(free, capacityFor(it->second, spec, ends));
    }
    std::vector<RackPlaces> places;
    for (std::map<std::string, RackPlaces>::value_type& item : byRack) {
        std::sort(item.second.places.begin(), item.second.places.end());
        places.push_back(std::move(item.second));
    }
    return places;
}

std::optional<std::string> firstRackFor(const std::vector<RackPlaces>& racks, std::size_t tasks)
{
    const RackPlaces* first = nullptr;
    TimePoint firstTime {};
    for (const RackPlaces& rack : racks) {
        if (rack.capacity < tasks)
            continue;
        // One end of a large run gives several places, so that fewer ends than tasks may suffice.
        const TimePoint time = rack.places[std::min(tasks, rack.places.size()) - 1];
        if (first && (time > firstTime || (time == firstTime && rack.places.size() <= first->places.size())))
            continue;
        first = &rack;
        firstTime = time;
    }
    return first ? std::optional<std::string>(first->rack) : std::nullopt;
}

}
