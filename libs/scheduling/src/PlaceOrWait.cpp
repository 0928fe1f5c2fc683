#include "cowslipdoor/scheduling/PlaceOrWait.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    /// Times beyond this are alike for a decision; keeps sums of times within their type.
    constexpr Duration longestTime = std::chrono::hours(24);

    Duration bounded(Duration time)
    {
        return std::clamp(time, -longestTime, longestTime);
    }

    Duration scaled(Duration time, double factor)
    {
        const double product = static_cast<double>(time.count()) * factor;
        // The comparison is also false for zero times infinity, which is not a number.
        return product < static_cast<double>(longestTime.count()) ? Duration(static_cast<Duration::rep>(product)) : longestTime;
    }

    /// Remaining time of a wait, and the reason why it ends then.
    struct WaitBound {
        Duration left;
        PlaceReason reason;
    };

    /// Bounds the wait by the latest start at which the available place still meets a time limit.
    void boundByLimit(WaitBound& bound, Duration untilLimit, Duration timeOnPlace)
    {
        const Duration untilLatestStart = bounded(untilLimit) - timeOnPlace;
        const bool meetsLimit = timeOnPlace < longestTime && untilLatestStart >= Duration {};
        if (meetsLimit && untilLatestStart < bound.left)
            bound = { untilLatestStart, PlaceReason::ObjectiveAtRisk };
    }

}

std::string_view toString(PlaceReason reason) noexcept
{
    switch (reason) {
    case PlaceReason::NoBetterPlace:
        return "no better place is expected";
    case PlaceReason::GoodEnough:
        return "the place is good enough";
    case PlaceReason::WaitSpent:
        return "it has waited as long as a better place saves";
    case PlaceReason::ReleaseTooLate:
        return "a better place is expected too late";
    case PlaceReason::ObjectiveAtRisk:
        return "a wait would cost the objective";
    case PlaceReason::IdleTooLong:
        break;
    }
    return "its job has had nothing running for too long";
}

Duration savedTime(const PlaceSituation& situation)
{
    return scaled(bounded(situation.remaining), std::max(0.0, situation.slowdown - situation.betterSlowdown));
}

PlaceDecision placeOrWait(const PlaceSituation& situation)
{
    if (situation.slowdown <= situation.betterSlowdown * usefulSlowdown)
        return PlaceNow { PlaceReason::GoodEnough };
    WaitBound bound { savedTime(situation) - bounded(situation.waited), PlaceReason::WaitSpent };
    if (situation.release && bounded(*situation.release) > bound.left)
        bound = { Duration {}, bound.left > Duration {} ? PlaceReason::ReleaseTooLate : PlaceReason::WaitSpent };
    const Duration timeOnPlace = scaled(bounded(situation.remaining), situation.slowdown);
    boundByLimit(bound, situation.untilDue, timeOnPlace);
    boundByLimit(bound, situation.untilValueEnds, timeOnPlace);
    if (situation.idle && maximumIdleWait - bounded(*situation.idle) < bound.left)
        bound = { maximumIdleWait - bounded(*situation.idle), PlaceReason::IdleTooLong };
    if (bound.left <= Duration {})
        return PlaceNow { bound.reason };
    return WaitUntil { bound.left };
}

}
