#pragma once

/// @file
/// @brief Pace of filling runs beside runs that serve.

#include "Worker.h"
#include <cowslipdoor/core/Time.h>
#include <map>
#include <optional>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the pace loop.
struct PaceConfig {
    /// Share of the target above which filling runs are slowed. Below one, as the figure is rough and late.
    double slowAbove = 0.85;
    /// Share of the target below which they may go faster.
    double quickenBelow = 0.65;
    /// Factor on the pace when a tail is above the limit.
    double slowFactor = 0.6;
    /// How long a tail may be above its target before the runs that press stand still: a quarter of the 4 s that harm may last.
    Duration stopPressingAfter = std::chrono::milliseconds(1000);
    /// How long before all filling runs stand still: it leaves the figure's lag and a look until the 4 s are over.
    Duration stopAllAfter = std::chrono::milliseconds(2400);
    /// Added to the pace, in percent, when every tail is low.
    std::uint32_t quickenStep = 10;
    /// The same while only runs that don't press are slowed: they are seldom the cause.
    std::uint32_t quickenHarmlessStep = 40;
    /// Time from a change until the figure shows it: the window of the figure and the time until a pace acts.
    Duration figureLag = std::chrono::milliseconds(600);

    bool operator==(const PaceConfig&) const = default;
};

/// @brief Pace that a run should be given.
struct PaceOrder {
    RunId run;
    std::uint32_t percent = 100;

    bool operator==(const PaceOrder&) const = default;
};

/// @brief Throttle of a worker's filling runs: the runs that press are slowed first, the others only after them.
struct Throttle {
    /// From 0 (all filling runs stand still) over 100 (those that press stand still) to 200 (all at full pace).
    std::uint32_t level = 200;

    bool operator==(const Throttle&) const = default;

    /// @param presses whether a run presses
    /// @return its pace in percent
    [[nodiscard]] std::uint32_t paceOf(bool presses) const noexcept;
};

/// @brief Regulates all filling runs of one worker by the worst tail of the serving runs there.
///
/// Pattern it answers: a filling run of a noisy image lands beside serving runs, or the load of these swings up; the tail
/// rises within half a second and shows late. Fast down, slow up; a figure from before the last change triggers nothing.
/// @code
/// for (const PaceOrder& order : pace.update(running, now))
///     callPace(order);
/// @endcode
class PaceControl {
public:
    /// @param config settings
    explicit PaceControl(PaceConfig config);

    /// @brief Notes what a run is.
    /// @param run the run
    /// @param traits what matters of it
    void describe(const RunId& run, const PaceTraits& traits);

    /// @brief Forgets a run that has ended.
    /// @param run the run
    void forget(const RunId& run);

    /// @brief Takes in that a run has been started; it runs at full pace until it is told another.
    /// @param run the run
    /// @return the pace to give it, or nothing when that is the full one
    [[nodiscard]] std::optional<PaceOrder> started(const RunId& run);

    /// @brief Takes in a list of the worker.
    /// @param running all runs
    /// @param now the present
    /// @return paces that differ from those in force
    [[nodiscard]] std::vector<PaceOrder> update(const std::vector<RunStatus>& running, TimePoint now);

    /// @return the present throttle
    [[nodiscard]] Throttle throttle() const noexcept { return this->current; }

    /// @return the worst tail as a share of its target, as of the last list
    [[nodiscard]] double worst() const noexcept { return this->worstTail; }

private:
    void slow();
    void quicken();
    [[nodiscard]] bool overFor(Duration time, TimePoint now) const;
    [[nodiscard]] double worstShare(const std::vector<RunStatus>& running) const;

    PaceConfig config;
    Throttle current {};
    double worstTail = 0;
    TimePoint changedAt {};
    /// Since when a tail has been above its target.
    std::optional<TimePoint> overSince {};
    std::map<RunId, PaceTraits> traits;
    std::map<RunId, std::uint32_t> inForce;
};

}
