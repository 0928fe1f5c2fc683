#pragma once

/// @file
/// @brief Closed list of error kinds, and the table of their names, HTTP statuses and outcomes.

#include "Forward.h"
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cowslipdoor {

/// @brief What is known about whether a request took effect.
enum class Outcome : unsigned char {
    NotRun,
    Ran,
    Unknown,
};

/// @brief Every kind of error that is reported to a caller, an operator or a peer.
enum class ErrorKind : unsigned char {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    NoRule,
    KeyMissing,
    KeyReused,
    KeyConflict,
    KeyedUnavailable,
    QuotaExceeded,
    QueueFull,
    DeadlineBeforeStart,
    Busy,
    NotReady,
    Draining,
    Refused,
    UpstreamUnreachable,
    UpstreamTruncated,
    UpstreamBadAnswer,
    UpstreamTimeout,
    AnswerTooLarge,
    AnswerNotKept,
    LinkLost,
    AgentRestarted,
    OutcomeUnknown,
    Cancelled,
    BadFrame,
    BadSetting,
    BadRules,
    ConfigurationMissing,
    ConfigurationBehind,
    StoreUnavailable,
    StoreUnsettled,
    JobUnknown,
    SchedulingBehind,
    JobCancelled,
    Internal,
};

/// @brief Name, HTTP status, outcome and meaning of an error kind.
struct ErrorDescription {
    ErrorKind kind;
    std::string_view name;
    std::uint16_t httpStatus;
    Outcome outcome;
    /// Whether the caller may send the request again.
    bool retryable;
    std::string_view meaning;
};

/// @brief Table of all error kinds.
/// @return one row for each kind, in the order of ErrorKind
[[nodiscard]] const std::array<ErrorDescription, static_cast<std::size_t>(ErrorKind::Internal) + 1>& errorTable() noexcept;

/// @brief Looks up the row of an error kind.
/// @param kind error kind
/// @return its row of the table, valid until the program ends
/// @code
/// const std::uint16_t status = describeError(ErrorKind::QueueFull).httpStatus;
/// @endcode
[[nodiscard]] const ErrorDescription& describeError(ErrorKind kind) noexcept;

/// @brief Name of an outcome in answers to callers.
/// @param outcome outcome of a request
/// @return "not run", "ran" or "unknown"
[[nodiscard]] std::string_view toString(Outcome outcome) noexcept;

/// @brief Position in a text; lines and columns count from one, columns in bytes.
struct SourcePosition {
    std::size_t line = 1;
    std::size_t column = 1;

    std::strong_ordering operator<=>(const SourcePosition&) const = default;
};

/// @brief Exception with an error kind.
class Error : public std::runtime_error {
public:
    /// @param kind error kind, which determines the HTTP status and the outcome
    /// @param detail description of the error for a person, such as the rejected value
    Error(ErrorKind kind, const std::string& detail);

    /// @return the error kind
    [[nodiscard]] ErrorKind kind() const noexcept { return this->errorKind; }

private:
    ErrorKind errorKind;
};

}
