#pragma once

/// @file
/// @brief Limits retries to a share of first attempts.

#include "Time.h"
#include <cstdint>
#include <random>

namespace cowslipdoor {

/// @brief Settings of a retry budget.
struct RetryBudgetLimits {
    /// Retries earned by each first attempt, in thousandths.
    std::uint32_t perMilleOfFirstAttempts = 100;
    /// Retries that can be saved up.
    std::uint32_t maximumSaved = 20;

    bool operator==(const RetryBudgetLimits&) const = default;
};

/// @brief Token bucket that is filled by first attempts, so that retries cannot multiply an overload.
/// @code
/// RetryBudget budget(RetryBudgetLimits {});
/// budget.recordFirstAttempt();
/// const bool allowed = budget.take();
/// @endcode
class RetryBudget {
public:
    /// @param limits how much is earned and saved; a new budget is full
    explicit RetryBudget(RetryBudgetLimits limits) noexcept;

    /// @brief Earns a share of a retry.
    void recordFirstAttempt() noexcept;

    /// @brief Takes one retry.
    /// @return whether there was one
    [[nodiscard]] bool take() noexcept;

    /// @return whole retries left
    [[nodiscard]] std::uint32_t left() const noexcept { return this->milliTokens / milliPerToken; }

private:
    static constexpr std::uint32_t milliPerToken = 1000;

    RetryBudgetLimits limits;
    std::uint32_t milliTokens;
};

/// @brief Exponential delay with full jitter.
/// @param retry the number of the retry, from one
/// @param random source of jitter
/// @return between half of and the whole of the doubled base, never over the longest
[[nodiscard]] Duration retryDelay(std::uint32_t retry, std::mt19937_64& random);

}
