#pragma once

/// @file
/// @brief The closed list of error kinds, and the table from each kind to its answer.

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

/// @brief Every error that a caller, an operator or a peer can be given.
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
    StoreUnavailable,
    StoreUnsettled,
    JobUnknown,
    Internal,
};

/// @brief Row of the table from kind to answer.
struct ErrorDescription {
    ErrorKind kind;
    std::string_view name;
    std::uint16_t httpStatus;
    Outcome outcome;
    bool retryable;
    std::string_view meaning;
};

/// @brief The whole table, in the order of ErrorKind.
/// @return one row for each kind
[[nodiscard]] const std::array<ErrorDescription, static_cast<std::size_t>(ErrorKind::Internal) + 1>& errorTable() noexcept;

/// @brief Looks up the answer of a kind.
/// @param kind the error kind
/// @return its row of the table
/// @code
/// const std::uint16_t status = describeError(ErrorKind::QueueFull).httpStatus;
/// @endcode
[[nodiscard]] const ErrorDescription& describeError(ErrorKind kind) noexcept;

/// @brief Name of an outcome as callers see it.
/// @param outcome the outcome
/// @return "not run", "ran" or "unknown"
[[nodiscard]] std::string_view toString(Outcome outcome) noexcept;

/// @brief Place in a text, both counted from one.
struct SourcePosition {
    std::size_t line = 1;
    std::size_t column = 1;

    std::strong_ordering operator<=>(const SourcePosition&) const = default;
};

/// @brief Exception that carries a kind of the closed list.
class Error : public std::runtime_error {
public:
    /// @param kind the kind, which decides the answer
    /// @param detail what exactly was wrong, for a person
    Error(ErrorKind kind, const std::string& detail);

    /// @return the kind
    [[nodiscard]] ErrorKind kind() const noexcept { return this->errorKind; }

private:
    ErrorKind errorKind;
};

}
