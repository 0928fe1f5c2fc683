#pragma once

/// @file
/// @brief Requests and responses as values, apart from any encoding.

#include "Bytes.h"
#include "Error.h"
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief How a request is treated; watches and tallies are not idempotent.
enum class TrafficClass : unsigned char {
    Quick,
    Batch,
    Watch,
    Tally,
};

/// @brief Number of traffic classes.
constexpr std::size_t trafficClassCount = 4;

/// @param trafficClass the class
/// @return its name in the rules file
[[nodiscard]] std::string_view toString(TrafficClass trafficClass) noexcept;

/// @param trafficClass the class
/// @return whether a request of the class may run more than once
[[nodiscard]] constexpr bool isIdempotent(TrafficClass trafficClass) noexcept
{
    return trafficClass == TrafficClass::Quick || trafficClass == TrafficClass::Batch;
}

/// @brief Header field of a request or response.
struct Header {
    std::string name;
    std::string value;

    bool operator==(const Header&) const = default;
};

/// @brief Finds a header field.
/// @param headers the fields
/// @param name header name, compared without regard to case
/// @return the first value, valid while the fields live, or an empty view
[[nodiscard]] std::string_view findHeader(const std::vector<Header>& headers, std::string_view name) noexcept;

/// @brief Everything of a request but its body.
struct RequestHead {
    const std::string method {};
    const std::string target {};
    const std::string user {};
    const std::vector<Header> headers {};

    bool operator==(const RequestHead&) const = default;

    /// @param name header name, compared without regard to case
    /// @return the first value, or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;

    /// @return the target without its query
    [[nodiscard]] std::string_view path() const noexcept;
};

/// @brief Whole answer of an upstream.
struct Response {
    const std::uint16_t status = 0;
    const std::vector<Header> headers {};
    const Bytes body {};

    bool operator==(const Response&) const = default;
};

/// @brief Why a request got no answer of an upstream.
struct FailureReason {
    const ErrorKind kind {};
    const std::string detail {};

    bool operator==(const FailureReason&) const = default;
};

/// @brief How a request ended.
using Completion = std::variant<Response, FailureReason>;

/// @brief Compares two ASCII texts without regard to case.
/// @param left one text
/// @param right the other
/// @return whether they are equal
[[nodiscard]] bool equalIgnoringCase(std::string_view left, std::string_view right) noexcept;

}
