#include "cowslipdoor/core/RetryBudget.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    constexpr Duration initialRetryDelay = std::chrono::milliseconds(5);
    constexpr Duration maximumRetryDelay = std::chrono::milliseconds(500);

}

RetryBudget::RetryBudget(RetryBudgetLimits limits) noexcept
    : limits(limits)
    , milliTokens(limits.maximumSaved * milliPerToken)
{
}

void RetryBudget::recordFirstAttempt() noexcept
{
    this->milliTokens = std::min(this->milliTokens + this->limits.perMilleOfFirstAttempts, this->limits.maximumSaved * milliPerToken);
}

bool RetryBudget::take() noexcept
{
    if (this->milliTokens < milliPerToken)
        return false;
    this->milliTokens -= milliPerToken;
    return true;
}

Duration retryDelay(std::uint32_t retry, std::mt19937_64& random)
{
    const Duration whole = exponentialBackoff(initialRetryDelay, retry > 0 ? retry - 1 : 0, maximumRetryDelay);
    std::uniform_int_distribution<Duration::rep> distribution(whole.count() / 2, whole.count());
    return Duration(distribution(random));
}

}
