#include "cowslipdoor/scheduling/RunTimeRatios.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    /// Factor by which estimates may be wrong.
    constexpr double maximumEstimateError = 1.9;

    /// Weight of one run time in the median of its queue.
    constexpr double ratioStep = 0.02;

}

void RunTimeRatios::note(const std::string& queue, Duration estimate, Duration actual)
{
    if (estimate <= Duration {})
        return;
    double& median = this->medians.try_emplace(queue, 1.0).first->second;
    const double ratio = std::chrono::duration<double>(actual) / std::chrono::duration<double>(estimate);
    median = std::clamp(median + (ratio > median ? ratioStep : -ratioStep), 1 / maximumEstimateError, maximumEstimateError);
}

double RunTimeRatios::of(const std::string& queue) const
{
    const std::map<std::string, double>::const_iterator it = this->medians.find(queue);
    return it == this->medians.end() ? 1.0 : it->second;
}

}
