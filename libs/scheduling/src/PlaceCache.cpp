#include "cowslipdoor/scheduling/PlaceCache.h"

namespace cowslipdoor {

void PlaceCache::clear()
{
    this->slowdowns.clear();
    this->places.clear();
}

void PlaceCache::loadChanged(const TrackedWorker& worker)
{
    for (std::map<std::pair<std::string, std::uint32_t>, Slowdowns>::value_type& item : this->slowdowns)
        item.second.erase(&worker);
    // The worker has got worse, so only places on it may no longer be the best.
    std::erase_if(this->places, [&worker](const std::map<PlaceKey, std::optional<Place>>::value_type& item) { return item.second && item.second->worker == &worker; });
}

PlaceCache::Slowdowns& PlaceCache::slowdownsOf(const StepSpec& step)
{
    return this->slowdowns[{ step.image, step.demand.milliCores }];
}

const std::optional<Place>* PlaceCache::find(const PlaceKey& key) const
{
    const std::map<PlaceKey, std::optional<Place>>::const_iterator it = this->places.find(key);
    return it == this->places.end() ? nullptr : &it->second;
}

void PlaceCache::remember(const PlaceKey& key, const std::optional<Place>& place)
{
    this->places[key] = place;
}

}
