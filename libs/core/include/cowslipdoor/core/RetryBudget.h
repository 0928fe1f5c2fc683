#pragma once

/// @file
/// @brief Limit of retries to a share of first attempts.

#include "Time.h"
#include <cstdint>
#include <random>

namespace cowslipdoor {

/// @brief Settings of a retry budget.
struct RetryBudgetLimits {
    /// Retries earned by each first attempt, in thousandths.
    std::uint32_t perMilleOfFirstAttempts = 100;
    /// Maximum number of unused retries that are kept.
    std::uint32_t maximumSaved = 20;

    bool operator==(const RetryBudgetLimits&) const = default;
};

/// @brief Token bucket that first attempts fill, so that retries cannot amplify an overload.
/// @code
/// RetryBudget budget(RetryBudgetLimits {});
/// budget.recordFirstAttempt();
/// const bool allowed = budget.take();
/// @endcode
class RetryBudget {
public:
    /// @param limits rate and capacity of the bucket; a new bucket is full
    explicit RetryBudget(RetryBudgetLimits limits) noexcept;

    /// @brief Adds the share of a retry that a first attempt earns.
    void recordFirstAttempt() noexcept;

    /// @brief Takes one retry, if one is left.
    /// @return whether one was left
    [[nodiscard]] bool take() noexcept;

    /// @return the number of whole retries left
    [[nodiscard]] std::uint32_t left() const noexcept { return this->milliTokens / milliPerToken; }

private:
    static constexpr std::uint32_t milliPerToken = 1000;

    RetryBudgetLimits limits;
    std::uint32_t milliTokens;
};

/// @brief Exponential backoff with equal jitter.
/// @param retry number of the retry, from one
/// @param random source of the jitter
/// @return a random delay between half of the backoff and all of it
[[nodiscard]] Duration retryDelay(std::uint32_t retry, std::mt19937_64& random);

}
