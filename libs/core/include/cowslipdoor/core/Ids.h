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

/// @brief Identifies one incarnation of a process, between two restarts; a later incarnation has a greater number.
enum class Incarnation : std::uint64_t {};

/// @brief Number of a caller's connection within the process that accepted it.
enum class CallerId : std::uint64_t {};

/// @brief Number of a connection between an entry and an agent; each end assigns its own.
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

/// @brief Identifies a request within one incarnation of an entry.
/// A copy of a keyed request that reaches another entry, or arrives after the first was answered, has the same RequestId and
/// another ClaimId.
struct ClaimId {
    Incarnation entry {};
    std::uint32_t number = 0;

    std::strong_ordering operator<=>(const ClaimId&) const = default;
};

/// @brief Identifies one attempt at a request, by dispatch or inquiry; numbers increase over all attempts of an entry incarnation.
struct AttemptId {
    ClaimId claim;
    std::uint64_t number = 0;

    std::strong_ordering operator<=>(const AttemptId&) const = default;
};

/// @brief Makes an incarnation that differs from those of other processes that start in the same microsecond.
/// Agents distinguish the requests, claims and attempts of several entries by the entry's incarnation alone.
/// @param sinceEpoch start of the process, as wall-clock time since the Unix epoch
/// @param salt random number; only its lowest 12 bits are used
/// @return a number that increases with the start time
[[nodiscard]] constexpr Incarnation saltedIncarnation(std::chrono::microseconds sinceEpoch, std::uint64_t salt) noexcept
{
    // The other 52 bits hold the microseconds until the year 2112.
    constexpr unsigned saltBits = 12;
    constexpr std::uint64_t saltMask = (std::uint64_t { 1 } << saltBits) - 1;
    return Incarnation { static_cast<std::uint64_t>(sinceEpoch.count()) << saltBits | (salt & saltMask) };
}

/// @brief Derives the identifier that all copies of a keyed request share.
/// @param user user who sent the request
/// @param key idempotency key that the user chose
/// @return the same identifier for the same user and key, in every process
[[nodiscard]] RequestId keyedRequestId(std::string_view user, std::string_view key);

/// @brief Formats an identifier as 32 hexadecimal digits.
/// @param id identifier to format
/// @return lower-case digits without a separator
[[nodiscard]] std::string toString(const RequestId& id);

/// @brief Parses an identifier in the format of toString().
/// @param text 32 hexadecimal digits
/// @return the identifier
/// @throws Error with ErrorKind::BadRequest if the text has another format
[[nodiscard]] RequestId requestIdFromString(std::string_view text);

/// @brief Hash of request identifiers for unordered containers.
struct RequestIdHash {
    [[nodiscard]] std::size_t operator()(const RequestId& id) const noexcept
    {
        return static_cast<std::size_t>(id.high ^ (id.low * 0x9e3779b97f4a7c15ULL));
    }
};

}
