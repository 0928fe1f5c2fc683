#pragma once

/// @file
/// @brief What a VM holds, and what one piece of work takes of it.

#include <algorithm>
#include <compare>
#include <cstdint>

namespace cowslipdoor {

/// @brief Amounts of the four things that a VM holds; used for totals, demands and what is free.
/// @code
/// const Capacity total { .slots = 8, .connections = 64, .milliCores = 32000, .memoryMb = 125000 };
/// @endcode
struct Capacity {
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMb = 0;

    bool operator==(const Capacity&) const = default;

    /// @param demand what would be taken
    /// @return whether this amount covers the demand in each of the four
    [[nodiscard]] constexpr bool covers(const Capacity& demand) const noexcept
    {
        return this->slots >= demand.slots && this->connections >= demand.connections
            && this->milliCores >= demand.milliCores && this->memoryMb >= demand.memoryMb;
    }

    /// @param other what to add
    /// @return the sum
    [[nodiscard]] constexpr Capacity plus(const Capacity& other) const noexcept
    {
        return { this->slots + other.slots, this->connections + other.connections,
            this->milliCores + other.milliCores, this->memoryMb + other.memoryMb };
    }

    /// @param other what to take off
    /// @return the difference, zero where it would be negative
    [[nodiscard]] constexpr Capacity minus(const Capacity& other) const noexcept
    {
        return { this->slots - std::min(this->slots, other.slots),
            this->connections - std::min(this->connections, other.connections),
            this->milliCores - std::min(this->milliCores, other.milliCores),
            this->memoryMb - std::min(this->memoryMb, other.memoryMb) };
    }
};

/// @brief Limits a reserve so that one slot is always left for work that must respect it.
/// @param total what the VM holds
/// @param reserveSlots the reserve that rules ask for
/// @return the reserve to keep
[[nodiscard]] constexpr std::uint32_t usableReserve(const Capacity& total, std::uint32_t reserveSlots) noexcept
{
    return total.slots == 0 ? 0 : std::min(reserveSlots, total.slots - 1);
}

/// @brief Tells whether work fits beside a reserve.
/// @param total what the VM holds
/// @param free what is free of it
/// @param demand what the work takes
/// @param reserveSlots slots that must stay free
/// @return whether it fits
[[nodiscard]] constexpr bool fitsWithReserve(const Capacity& total, const Capacity& free, const Capacity& demand, std::uint32_t reserveSlots) noexcept
{
    return free.covers(demand) && free.slots - demand.slots >= usableReserve(total, reserveSlots);
}

/// @brief What a request takes unless its rule says more.
constexpr Capacity defaultDemand { .slots = 1, .connections = 1, .milliCores = 0, .memoryMb = 0 };

}
