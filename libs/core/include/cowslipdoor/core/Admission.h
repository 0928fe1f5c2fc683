#pragma once

/// @file
/// @brief The only authority over a VM's capacity.

#include "Announcement.h"
#include "Error.h"
#include "Ids.h"
#include "Resources.h"
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace cowslipdoor {

/// @brief What taking in an announcement did.
enum class AnnouncementResult : unsigned char {
    Stale,
    Accepted,
    Recovered,
    NewInstance,
};

/// @brief Admits work to one VM so that what is admitted never exceeds what the VM holds.
///
/// Work is held until its whole answer has come, or until the upstream shows that it has ended. A run of
/// the agent admits nothing until announcements composed after its own replies show what the run before
/// it left behind.
/// @code
/// Admission admission(Incarnation { 7 });
/// (void)admission.applyAnnouncement(announcement);
/// const std::optional<ErrorKind> refusal = admission.admit(id, defaultDemand, 0);
/// @endcode
class Admission {
public:
    /// @brief Fresh announcements that must agree before abandoned or inherited work counts as ended.
    static constexpr std::uint32_t requiredConfirmations = 2;

    /// @param incarnation this run of the agent
    explicit Admission(Incarnation incarnation) noexcept;

    /// @brief Takes in an announcement; duplicates and late ones change nothing.
    /// @param announcement what the upstream said
    /// @return what it did
    AnnouncementResult applyAnnouncement(const Announcement& announcement);

    /// @brief Makes the token of the next reply.
    /// @return a token greater than all before it
    [[nodiscard]] AnnouncementToken nextToken() noexcept;

    /// @brief Admits a request if it fits.
    /// @param id the request; one that is held already is refused
    /// @param demand what it takes
    /// @param reserveSlots slots that must stay free after it
    /// @return nothing when admitted, or why not: NotReady, Draining, Busy or Refused
    [[nodiscard]] std::optional<ErrorKind> admit(const RequestId& id, const Capacity& demand, std::uint32_t reserveSlots);

    /// @brief Releases a request whose whole answer has come.
    /// @param id the request
    void finish(const RequestId& id);

    /// @brief Marks a request that may still run although nobody waits; it stays held until shown ended.
    /// @param id the request
    void abandon(const RequestId& id);

    /// @return whether announcements have shown what the VM holds
    [[nodiscard]] bool ready() const noexcept { return this->freshAnnouncements >= requiredConfirmations; }

    /// @return whether the upstream said that it is leaving
    [[nodiscard]] bool leaving() const noexcept { return this->upstreamLeaving; }

    /// @return what the VM holds
    [[nodiscard]] const Capacity& total() const noexcept { return this->capacity; }

    /// @return what is held by admitted, abandoned and inherited work
    [[nodiscard]] const Capacity& allocated() const noexcept { return this->allocatedCapacity; }

    /// @return what is free
    [[nodiscard]] Capacity free() const noexcept { return this->capacity.minus(this->allocatedCapacity); }

    /// @return whether work is held that only announcements can show to have ended
    [[nodiscard]] bool awaitsConfirmation() const noexcept { return this->unconfirmed > 0; }

    /// @return the number of pieces of work held
    [[nodiscard]] std::size_t allocationCount() const noexcept { return this->allocations.size(); }

private:
    enum class AllocationKind : unsigned char {
        Active,
        Abandoned,
        Inherited,
    };

    struct Allocation {
        Capacity demand;
        AllocationKind kind = AllocationKind::Active;
        std::uint64_t abandonedAtToken = 0;
        std::uint32_t absences = 0;
    };

    using Allocations = std::unordered_map<RequestId, Allocation, RequestIdHash>;

    void allocate(const RequestId& id, const Allocation& allocation);
    Allocations::iterator release(Allocations::iterator it);
    void inherit(const Announcement& announcement);
    void confirmAbsences(const Announcement& announcement);
    [[nodiscard]] bool isFresh(const Announcement& announcement) const noexcept;

    Incarnation incarnation;
    Capacity capacity;
    Capacity allocatedCapacity;
    Allocations allocations;
    bool announced = false;
    bool upstreamLeaving = false;
    std::uint64_t instance = 0;
    std::uint64_t sequence = 0;
    std::uint64_t lastToken = 0;
    std::uint32_t freshAnnouncements = 0;
    std::size_t unconfirmed = 0;
};

}
