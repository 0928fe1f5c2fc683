#pragma once

/// @file
/// @brief Explains where the tasks of a job that has not been sent would go now, and why.

#include "PlaceOrWait.h"
#include "PlaceOutlook.h"
#include <cowslipdoor/core/Time.h>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Where the first task of a step would go if its turn came now.
struct StepPlacement {
    std::uint32_t step = 0;
    std::uint32_t tasks = 0;
    /// Whether earlier steps must end first.
    bool afterOthers = false;
    /// Agent of the best available worker, or empty if no worker can take the task.
    std::string agent {};
    /// Slowdown there.
    double slowdown = 1;
    /// Decision for it; std::nullopt if no worker can take the task.
    std::optional<PlaceDecision> decision {};
    /// Better place that was weighed, if any.
    std::optional<BetterPlace> better {};
    /// How many workers can take a task of the step, and how many cannot, by reason.
    std::string fitness {};

    bool operator==(const StepPlacement&) const = default;
};

/// @param spec a job that the leader need not know
/// @param sources what the leader knows
/// @param now current time
/// @return the placement of each step
[[nodiscard]] std::vector<StepPlacement> explainPlacement(const JobSpecHandle& spec, const OutlookSources& sources, TimePoint now);

}
