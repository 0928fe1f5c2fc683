#pragma once

/// @file
/// @brief Decides whether a task takes the best available place or waits for a better one.

#include <cowslipdoor/core/Time.h>
#include <limits>
#include <optional>
#include <string_view>
#include <variant>

namespace cowslipdoor {

/// @brief Slowdown up to which a place counts as one at full pace, as expected paces are not more exact.
constexpr double usefulSlowdown = 1 / 0.9;

/// @brief How long a job may have nothing running because of this decision: the 3 s that the platform permits, less 0.4 s to
/// store the assignment and to send and carry out the order.
constexpr Duration maximumIdleWait = std::chrono::milliseconds(2600);

/// @brief What is known when a place for a task is chosen.
struct PlaceSituation {
    /// Time that the task takes on the best available place, as a multiple of its time at full pace; infinite for a place
    /// without any pace.
    double slowdown = 1;
    /// Time that the rest of the task takes at full pace.
    Duration remaining {};
    /// Slowdown of the better place.
    double betterSlowdown = 1;
    /// Time until the better place is expected to be available; std::nullopt if a better place exists, but its load does not
    /// tell when it is available.
    std::optional<Duration> release {};
    /// How long the task has waited for a better place.
    Duration waited {};
    /// Time until the task must end for its job to meet the objective; negative if that has passed.
    Duration untilDue = Duration::max();
    /// Time until the task must end for its job to have any value.
    Duration untilValueEnds = Duration::max();
    /// How long the job has had nothing running; std::nullopt if one of its tasks has a place.
    std::optional<Duration> idle {};

    bool operator==(const PlaceSituation&) const = default;
};

/// @brief Why a task takes the available place.
enum class PlaceReason : unsigned char {
    /// No better place exists, or none that is expected to become available.
    NoBetterPlace,
    /// The available place is about as good as the better one.
    GoodEnough,
    /// The task has waited as long as the better place saves.
    WaitSpent,
    /// The better place is expected too late to save time.
    ReleaseTooLate,
    /// The job would miss its objective, or lose its value, on the available place if it waited.
    ObjectiveAtRisk,
    /// The job has had nothing running for too long.
    IdleTooLong,
};

/// @param reason the reason
/// @return its description for logs
[[nodiscard]] std::string_view toString(PlaceReason reason) noexcept;

/// @brief The task takes the available place.
struct PlaceNow {
    PlaceReason reason = PlaceReason::GoodEnough;

    bool operator==(const PlaceNow&) const = default;
};

/// @brief The task waits for the better place, at most for a time.
struct WaitUntil {
    /// Time from now after which the task no longer waits.
    Duration limit {};

    bool operator==(const WaitUntil&) const = default;
};

/// @brief Outcome of the decision.
using PlaceDecision = std::variant<PlaceNow, WaitUntil>;

/// @param situation what is known
/// @return the time that the better place saves
[[nodiscard]] Duration savedTime(const PlaceSituation& situation);

/// @brief Decides between the available place and a wait.
///
/// A task waits in total at most as long as the better place saves, so a wait in vain at most doubles its time, whatever was
/// expected. A release that is expected after that is not awaited. If releases are expected wrongly by a factor of up to two
/// either way, the task still takes at most twice as long as with the better of the two choices.
/// @param situation what is known
/// @return the decision
[[nodiscard]] PlaceDecision placeOrWait(const PlaceSituation& situation);

}
