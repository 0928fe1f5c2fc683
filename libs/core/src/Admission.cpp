#include "cowslipdoor/core/Admission.h"
#include <unordered_set>

namespace cowslipdoor {

Admission::Admission(Incarnation incarnation) noexcept
    : incarnation(incarnation)
{
}

AnnouncementEffect Admission::announce(const Announcement& announcement)
{
    const bool newInstance = !this->announced || announcement.instance > this->instance;
    if (!newInstance && (announcement.instance < this->instance || announcement.sequence <= this->sequence))
        return AnnouncementEffect::Stale;
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
        return AnnouncementEffect::NewInstance;
    return !wasReady && this->ready() ? AnnouncementEffect::Recovered : AnnouncementEffect::Accepted;
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
    if (this->holdings.contains(id))
        return ErrorKind::Refused;
    if (!fitsBeside(this->capacity, this->free(), demand, reserveSlots))
        return ErrorKind::Busy;
    this->hold(id, { .demand = demand });
    return std::nullopt;
}

void Admission::finish(const RequestId& id)
{
    const Holdings::iterator it = this->holdings.find(id);
    if (it != this->holdings.end())
        this->release(it);
}

void Admission::abandon(const RequestId& id)
{
    const Holdings::iterator it = this->holdings.find(id);
    if (it == this->holdings.end() || it->second.kind != HoldingKind::Active)
        return;
    ++this->unconfirmed;
    it->second.kind = HoldingKind::Abandoned;
    it->second.abandonedAt = this->lastToken;
    it->second.absences = 0;
}

void Admission::hold(const RequestId& id, const Holding& holding)
{
    this->holdings.emplace(id, holding);
    this->unconfirmed += holding.kind == HoldingKind::Active ? 0 : 1;
    this->heldCapacity = this->heldCapacity.plus(holding.demand);
}

Admission::Holdings::iterator Admission::release(Holdings::iterator it)
{
    this->unconfirmed -= it->second.kind == HoldingKind::Active ? 0 : 1;
    this->heldCapacity = this->heldCapacity.minus(it->second.demand);
    return this->holdings.erase(it);
}

void Admission::inherit(const Announcement& announcement)
{
    for (const RunningWork& work : announcement.running) {
        if (!this->holdings.contains(work.id))
            this->hold(work.id, { .demand = work.demand, .kind = HoldingKind::Inherited, .abandonedAt = this->lastToken });
    }
}

void Admission::confirmAbsences(const Announcement& announcement)
{
    std::unordered_set<RequestId, RequestIdHash> listed;
    for (const RunningWork& work : announcement.running)
        listed.insert(work.id);
    for (Holdings::iterator it = this->holdings.begin(); it != this->holdings.end();) {
        Holding& holding = it->second;
        const bool counts = holding.kind != HoldingKind::Active && announcement.echo.number > holding.abandonedAt;
        if (!counts || listed.contains(it->first)) {
            holding.absences = 0;
            ++it;
            continue;
        }
        ++holding.absences;
        it = holding.absences >= confirmations ? this->release(it) : std::next(it);
    }
}

bool Admission::isFresh(const Announcement& announcement) const noexcept
{
    return announcement.echo.agent == this->incarnation && announcement.echo.number > 0;
}

}
