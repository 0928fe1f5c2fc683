#pragma once

/// @file
/// @brief Resources of a VM and the demand of one request on them.

#include <algorithm>
#include <compare>
#include <cstdint>

namespace cowslipdoor {

/// @brief Amounts of the four resources of a VM, used for totals, demands and free capacity.
/// @code
/// const Capacity total { .slots = 8, .connections = 64, .milliCores = 32000, .memoryMb = 125000 };
/// @endcode
struct Capacity {
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMb = 0;

    bool operator==(const Capacity&) const = default;

    /// @param demand amounts needed
    /// @return whether each of the four amounts is at least the demand's
    [[nodiscard]] constexpr bool covers(const Capacity& demand) const noexcept
    {
        return this->slots >= demand.slots && this->connections >= demand.connections
            && this->milliCores >= demand.milliCores && this->memoryMb >= demand.memoryMb;
    }

    /// @param other amounts to add
    /// @return the sum of each amount
    [[nodiscard]] constexpr Capacity plus(const Capacity& other) const noexcept
    {
        return { this->slots + other.slots, this->connections + other.connections,
            this->milliCores + other.milliCores, this->memoryMb + other.memoryMb };
    }

    /// @param other amounts to subtract
    /// @return the difference of each amount, zero where it would be negative
    [[nodiscard]] constexpr Capacity minus(const Capacity& other) const noexcept
    {
        return { this->slots - std::min(this->slots, other.slots),
            this->connections - std::min(this->connections, other.connections),
            this->milliCores - std::min(this->milliCores, other.milliCores),
            this->memoryMb - std::min(this->memoryMb, other.memoryMb) };
    }
};

/// @brief Limits a reserve so that at least one slot stays usable for requests that must leave the reserve free.
/// @param total capacity of the VM
/// @param reserveSlots reserve that the rules ask for, in slots
/// @return the reserve to keep, in slots
[[nodiscard]] constexpr std::uint32_t usableReserve(const Capacity& total, std::uint32_t reserveSlots) noexcept
{
    return total.slots == 0 ? 0 : std::min(reserveSlots, total.slots - 1);
}

/// @brief Tells whether a demand fits while the reserve stays free.
/// @param total capacity of the VM
/// @param free free part of the capacity
/// @param demand resources needed
/// @param reserveSlots slots that must stay free
/// @return whether the demand fits
[[nodiscard]] constexpr bool fitsWithReserve(const Capacity& total, const Capacity& free, const Capacity& demand, std::uint32_t reserveSlots) noexcept
{
    return free.covers(demand) && free.slots - demand.slots >= usableReserve(total, reserveSlots);
}

/// @brief Demand of a request whose rule states neither cores nor memory.
constexpr Capacity defaultDemand { .slots = 1, .connections = 1, .milliCores = 0, .memoryMb = 0 };

}
