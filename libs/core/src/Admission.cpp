#include "cowslipdoor/core/Admission.h"
#include <unordered_set>

namespace cowslipdoor {

Admission::Admission(Incarnation incarnation) noexcept
    : incarnation(incarnation)
{
}

AnnouncementResult Admission::applyAnnouncement(const Announcement& announcement)
{
    const bool newInstance = !this->announced || announcement.instance > this->instance;
    if (!newInstance && (announcement.instance < this->instance || announcement.sequence <= this->sequence))
        return AnnouncementResult::Stale;
    if (newInstance)
        this->freshAnnouncements = 0;
    this->announced = true;
    this->instance = announcement.instance;
    this->sequence = announcement.sequence;
    this->capacity = announcement.capacity;
    this->upstreamLeaving = announcement.leaving;
    this->inherit(announcement);
    const bool wasReady = this->ready();
    if (this->isFresh(announcement)) {
        this->confirmAbsences(announcement);
        ++this->freshAnnouncements;
    }
    if (newInstance)
        return AnnouncementResult::NewInstance;
    return !wasReady && this->ready() ? AnnouncementResult::Recovered : AnnouncementResult::Accepted;
}

AnnouncementToken Admission::nextToken() noexcept
{
    return { this->incarnation, ++this->lastToken };
}

std::optional<ErrorKind> Admission::admit(const RequestId& id, const Capacity& demand, std::uint32_t reserveSlots)
{
    if (!this->ready())
        return ErrorKind::NotReady;
    if (this->upstreamLeaving)
        return ErrorKind::Draining;
    if (this->allocations.contains(id))
        return ErrorKind::Refused;
    if (!fitsWithReserve(this->capacity, this->free(), demand, reserveSlots))
        return ErrorKind::Busy;
    this->allocate(id, { .demand = demand });
    return std::nullopt;
}

void Admission::finish(const RequestId& id)
{
    const Allocations::iterator it = this->allocations.find(id);
    if (it != this->allocations.end())
        this->release(it);
}

void Admission::abandon(const RequestId& id)
{
    const Allocations::iterator it = this->allocations.find(id);
    if (it == this->allocations.end() || it->second.kind != AllocationKind::Active)
        return;
    ++this->unconfirmed;
    it->second.kind = AllocationKind::Abandoned;
    it->second.abandonedAtToken = this->lastToken;
    it->second.absences = 0;
}

void Admission::allocate(const RequestId& id, const Allocation& allocation)
{
    this->allocations.emplace(id, allocation);
    this->unconfirmed += allocation.kind == AllocationKind::Active ? 0 : 1;
    this->allocatedCapacity = this->allocatedCapacity.plus(allocation.demand);
}

Admission::Allocations::iterator Admission::release(Allocations::iterator it)
{
    this->unconfirmed -= it->second.kind == AllocationKind::Active ? 0 : 1;
    this->allocatedCapacity = this->allocatedCapacity.minus(it->second.demand);
    return this->allocations.erase(it);
}

void Admission::inherit(const Announcement& announcement)
{
    for (const RunningWork& work : announcement.running) {
        if (!this->allocations.contains(work.id))
            this->allocate(work.id, { .demand = work.demand, .kind = AllocationKind::Inherited, .abandonedAtToken = this->lastToken });
    }
}

void Admission::confirmAbsences(const Announcement& announcement)
{
    std::unordered_set<RequestId, RequestIdHash> listed;
    for (const RunningWork& work : announcement.running)
        listed.insert(work.id);
    for (Allocations::iterator it = this->allocations.begin(); it != this->allocations.end();) {
        Allocation& allocation = it->second;
        const bool counts = allocation.kind != AllocationKind::Active && announcement.echo.number > allocation.abandonedAtToken;
        if (!counts || listed.contains(it->first)) {
            allocation.absences = 0;
            ++it;
            continue;
        }
        ++allocation.absences;
        it = allocation.absences >= requiredConfirmations ? this->release(it) : std::next(it);
    }
}

bool Admission::isFresh(const Announcement& announcement) const noexcept
{
    return announcement.echo.agent == this->incarnation && announcement.echo.number > 0;
}

}
