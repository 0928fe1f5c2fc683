#pragma once

/// @file
/// @brief What the callers of the soak know about a job, and how it may end according to that.

#include <cowslipdoor/core/Time.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cowslipdoor::soak {

/// @brief Whether a job is cancelled, as far as its caller knows.
enum class Cancellation : unsigned char {
    None,
    /// A cancellation was sent, and no answer says whether it is stored.
    Possible,
    Acknowledged,
};

/// @brief A job as its caller knows it.
struct SubmittedJob {
    std::string job;
    unsigned tasks = 0;
    Cancellation cancellation = Cancellation::None;
    /// When the cancellation was acknowledged.
    std::optional<TimePoint> cancelledAt {};

    bool operator==(const SubmittedJob&) const = default;
};

/// @brief Determines what the answer to a cancellation says.
/// @param status HTTP status, or 0 if there was no answer
/// @param body body of the answer
/// @return None only if the answer says that nothing is stored
[[nodiscard]] Cancellation cancellationOf(unsigned status, const nlohmann::json& body);

/// @brief Checks how an accepted job ended.
/// @param submitted the job
/// @param state final state that an entry reports
/// @param ended number of its tasks that ran to their end
/// @return the violated guarantee, if any
[[nodiscard]] std::optional<std::string> violationOf(const SubmittedJob& submitted, const std::string& state, std::size_t ended);

}
