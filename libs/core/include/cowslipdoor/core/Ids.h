#pragma once

/// @file
/// @brief Identifiers of requests, attempts, callers, links and process incarnations.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cowslipdoor {

/// @brief Number that tells apart two runs of a process; greater means later.
enum class Incarnation : std::uint64_t {};

/// @brief Caller's connection as the entry's tasks number it.
enum class CallerId : std::uint64_t {};

/// @brief Connection between an entry and an agent, numbered by the process that uses it.
enum class LinkId : std::uint64_t {};

/// @brief 128-bit identifier of a request; equal for every copy of a keyed request.
/// @code
/// const RequestId id = keyedRequestId("siti", "tally-17");
/// @endcode
struct RequestId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    std::strong_ordering operator<=>(const RequestId&) const = default;
};

/// @brief One caller's request as one run of an entry handles it; copies of a keyed request have claims of their own.
struct ClaimId {
    Incarnation entry {};
    std::uint32_t number = 0;

    std::strong_ordering operator<=>(const ClaimId&) const = default;
};

/// @brief One sending of a request under a claim; numbers grow over all sendings of one run of an entry.
struct AttemptId {
    ClaimId claim;
    std::uint64_t number = 0;

    std::strong_ordering operator<=>(const AttemptId&) const = default;
};

/// @brief Makes the incarnation of a process whose numbers are kept beside those of others that may start in the same instant.
/// Agents tell requests, claims and attempts of several entries apart by the entry's incarnation alone.
/// @param sinceEpoch start of the run, on the wall clock
/// @param salt random number; its lowest bits are taken
/// @return a number that grows with the start
[[nodiscard]] constexpr Incarnation saltedIncarnation(std::chrono::microseconds sinceEpoch, std::uint64_t salt) noexcept
{
    // 64 bits hold the microseconds until the year 2112 beside them.
    constexpr unsigned saltBits = 12;
    constexpr std::uint64_t saltMask = (std::uint64_t { 1 } << saltBits) - 1;
    return Incarnation { static_cast<std::uint64_t>(sinceEpoch.count()) << saltBits | (salt & saltMask) };
}

/// @brief Derives the identifier that all copies of a keyed request share.
/// @param user the user who sent the request
/// @param key the idempotency key that the user chose
/// @return the same identifier for the same user and key, in every process
[[nodiscard]] RequestId keyedRequestId(std::string_view user, std::string_view key);

/// @brief Writes an identifier as 32 hexadecimal digits.
/// @param id the identifier
/// @return lower-case digits, no separator
[[nodiscard]] std::string toString(const RequestId& id);

/// @brief Reads an identifier that toString() wrote.
/// @param text 32 hexadecimal digits
/// @return the identifier
/// @throws Error with ErrorKind::BadRequest when the text has another form
[[nodiscard]] RequestId requestIdFromString(std::string_view text);

/// @brief Hash for unordered containers.
struct RequestIdHash {
    [[nodiscard]] std::size_t operator()(const RequestId& id) const noexcept
    {
        return static_cast<std::size_t>(id.high ^ (id.low * 0x9e3779b97f4a7c15ULL));
    }
};

}
