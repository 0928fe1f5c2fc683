#pragma once

/// @file
/// @brief Correction of estimated run times by what runs have shown.

#include <cowslipdoor/core/Time.h>
#include <map>
#include <string>

namespace cowslipdoor {

/// @brief Correction of estimates by queue, from the run times of tasks that are done.
class RunTimeRatios {
public:
    /// @param queue queue of the job
    /// @param estimate estimated run time
    /// @param actual run time
    void note(const std::string& queue, Duration estimate, Duration actual);

    /// @param queue a queue
    /// @return the median ratio of run time to estimate, bounded by the factor by which estimates may be wrong
    [[nodiscard]] double of(const std::string& queue) const;

private:
    std::map<std::string, double> medians;
};

}
