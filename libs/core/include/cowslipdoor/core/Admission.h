#pragma once

/// @file
/// @brief Admission control for the capacity of one VM.

#include "Announcement.h"
#include "Error.h"
#include "Ids.h"
#include "Resources.h"
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace cowslipdoor {

/// @brief Result of processing an announcement.
enum class AnnouncementResult : unsigned char {
    Stale,
    Accepted,
    Recovered,
    NewInstance,
};

/// @brief Admits requests to one VM so that their total demand never exceeds the VM's capacity.
///
/// Capacity stays allocated to a request until its complete response has arrived, or until announcements show that the request
/// no longer runs. A new incarnation of the agent admits nothing until announcements that were composed after its own replies
/// show which requests of the previous incarnation are still running.
/// @code
/// Admission admission(Incarnation { 7 });
/// (void)admission.applyAnnouncement(announcement);
/// const std::optional<ErrorKind> refusal = admission.admit(id, defaultDemand, 0);
/// @endcode
class Admission {
public:
    /// @brief Number of fresh announcements before the agent is ready. As many consecutive ones must lack an abandoned or
    /// inherited request before it counts as ended. A fresh announcement echoes a token of this incarnation of the agent.
    static constexpr std::uint32_t requiredConfirmations = 2;

    /// @param incarnation incarnation of the agent
    explicit Admission(Incarnation incarnation) noexcept;

    /// @brief Processes an announcement; duplicates and out-of-date announcements change nothing.
    /// @param announcement announcement of the VM's upstream
    /// @return what the announcement changed
    AnnouncementResult applyAnnouncement(const Announcement& announcement);

    /// @brief Creates the token of the next reply.
    /// @return a token greater than all earlier ones of this incarnation
    [[nodiscard]] AnnouncementToken nextToken() noexcept;

    /// @brief Admits a request if it fits.
    /// @param id request; refused if capacity is already allocated to it
    /// @param demand resources that the request needs
    /// @param reserveSlots slots that must stay free after the admission
    /// @return nothing if the request is admitted, otherwise NotReady, Draining, Refused or Busy
    [[nodiscard]] std::optional<ErrorKind> admit(const RequestId& id, const Capacity& demand, std::uint32_t reserveSlots);

    /// @brief Releases the capacity of a request that has ended or was never sent.
    /// @param id request
    void finish(const RequestId& id);

    /// @brief Marks a request whose call was abandoned but which may still run; its capacity stays allocated until announcements
    /// show that it has ended.
    /// @param id request
    void abandon(const RequestId& id);

    /// @return whether enough fresh announcements have arrived to admit requests
    [[nodiscard]] bool ready() const noexcept { return this->freshAnnouncements >= requiredConfirmations; }

    /// @return whether the upstream has announced that it is shutting down
    [[nodiscard]] bool leaving() const noexcept { return this->upstreamLeaving; }

    /// @return the capacity of the VM
    [[nodiscard]] const Capacity& total() const noexcept { return this->capacity; }

    /// @return the capacity allocated to active, abandoned and inherited requests
    [[nodiscard]] const Capacity& allocated() const noexcept { return this->allocatedCapacity; }

    /// @return the free capacity
    [[nodiscard]] Capacity free() const noexcept { return this->capacity.minus(this->allocatedCapacity); }

    /// @return whether capacity is allocated to a request whose end only announcements can show
    [[nodiscard]] bool awaitsConfirmation() const noexcept { return this->unconfirmed > 0; }

    /// @return the number of requests with allocated capacity
    [[nodiscard]] std::size_t allocationCount() const noexcept { return this->allocations.size(); }

private:
    enum class AllocationKind : unsigned char {
        /// A call to the upstream is in progress.
        Active,
        /// The call was abandoned, but the request may still run.
        Abandoned,
        /// The upstream reports the request as running, and this incarnation of the agent did not admit it.
        Inherited,
    };

    struct Allocation {
        Capacity demand;
        AllocationKind kind = AllocationKind::Active;
        /// Number of the last token when the request was abandoned or inherited; only announcements that echo a later token
        /// prove that it has ended.
        std::uint64_t abandonedAtToken = 0;
        /// Consecutive announcements that echo such a later token and do not list the request.
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
