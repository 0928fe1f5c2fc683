#pragma once

/// @file
/// @brief Requests and responses as values, independent of their encoding.

#include "Bytes.h"
#include "Error.h"
#include "Time.h"
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Class of a request, which sets its dispatch order and whether it is idempotent; Watch and Tally are not.
enum class TrafficClass : unsigned char {
    Quick,
    Batch,
    Watch,
    Tally,
};

/// @brief Number of traffic classes.
constexpr std::size_t trafficClassCount = 4;

/// @brief Name of a traffic class in rules files.
/// @param trafficClass traffic class
/// @return the name, such as quick
[[nodiscard]] std::string_view toString(TrafficClass trafficClass) noexcept;

/// @param trafficClass traffic class
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
/// @param headers header fields
/// @param name name of the field, compared without regard to case
/// @return the first value, valid as long as `headers`, or an empty view
[[nodiscard]] std::string_view findHeader(const std::vector<Header>& headers, std::string_view name) noexcept;

/// @brief Request without its body.
struct RequestHead {
    const std::string method {};
    const std::string target {};
    const std::string user {};
    const std::vector<Header> headers {};

    bool operator==(const RequestHead&) const = default;

    /// @param name name of a header field, compared without regard to case
    /// @return the first value, or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;

    /// @return the target without its query
    [[nodiscard]] std::string_view path() const noexcept;
};

/// @brief Complete response of an upstream.
struct Response {
    const std::uint16_t status = 0;
    const std::vector<Header> headers {};
    const Bytes body {};

    bool operator==(const Response&) const = default;
};

/// @brief Reason why a request has no response from an upstream.
struct FailureReason {
    const ErrorKind kind {};
    const std::string detail {};
    /// When the caller should retry at the earliest; zero if nothing speaks for a certain time.
    const Duration retryAfter {};

    bool operator==(const FailureReason&) const = default;
};

/// @brief Result of a request.
using Completion = std::variant<Response, FailureReason>;

/// @brief Compares two ASCII texts without regard to case.
/// @param left first text
/// @param right second text
/// @return whether they are equal
[[nodiscard]] bool equalIgnoringCase(std::string_view left, std::string_view right) noexcept;

}
