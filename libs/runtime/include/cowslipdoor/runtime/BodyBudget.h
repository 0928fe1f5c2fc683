#pragma once

/// @file
/// @brief Limit of the memory that the bodies of a server's requests take together.

#include <cstddef>

namespace cowslipdoor::runtime {

/// @brief Size up to which a body is not counted. The number of connections bounds the memory of such bodies, so that small
/// requests are served while large ones take the whole budget.
constexpr std::size_t uncountedBodyBytes = std::size_t { 16 } * 1024;

/// @brief Memory for the bodies that a server holds at the same time. Must outlive its reservations.
/// @code
/// BodyBudget budget(8 * 1024 * 1024);
/// BodyReservation reservation(budget);
/// if (reservation.renew(contentLength))
///     readBody();
/// @endcode
class BodyBudget {
public:
    /// @param bytes size of the budget in bytes
    explicit BodyBudget(std::size_t bytes)
        : size(bytes)
        , left(bytes)
    {
    }

    BodyBudget(const BodyBudget&) = delete;
    BodyBudget& operator=(const BodyBudget&) = delete;

    /// @return size of the budget in bytes
    [[nodiscard]] std::size_t bytes() const noexcept { return this->size; }

    /// @return unreserved part of the budget in bytes
    [[nodiscard]] std::size_t bytesLeft() const noexcept { return this->left; }

private:
    friend class BodyReservation;

    std::size_t size;
    std::size_t left;
};

/// @brief Part of a budget that is reserved for the request of one connection; the destructor returns it.
class BodyReservation {
public:
    /// @param budget the budget
    explicit BodyReservation(BodyBudget& budget)
        : budget(budget)
    {
    }

    ~BodyReservation() { this->budget.left += this->reserved; }

    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    /// @brief Returns what is reserved, and reserves memory for the next body.
    /// @param bytes size of the body
    /// @return whether the budget had enough left; if not, nothing is reserved
    [[nodiscard]] bool renew(std::size_t bytes) noexcept
    {
        this->budget.left += this->reserved;
        this->reserved = bytes <= uncountedBodyBytes ? 0 : bytes;
        const bool fits = this->reserved <= this->budget.left;
        this->reserved = fits ? this->reserved : 0;
        this->budget.left -= this->reserved;
        return fits;
    }

    /// @return the budget
    [[nodiscard]] const BodyBudget& source() const noexcept { return this->budget; }

private:
    BodyBudget& budget;
    std::size_t reserved = 0;
};

}
