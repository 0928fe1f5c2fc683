#pragma once

/// @file
/// @brief Pace of filling runs beside runs that serve.

#include "Worker.h"
#include <cowslipdoor/core/Time.h>
#include <map>
#include <optional>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the pace loop; tails and pressures are shares of the target of the serving run.
struct PaceConfig {
    /// Tail above which filling runs are slowed. Below one, as the figure is rough and late.
    double slowAbove = 0.85;
    /// Tail below which they may go faster.
    double quickenBelow = 0.65;
    /// Pressure that tails are taken to bear until they have shown it: what lies between a usual tail and the limit.
    double firstBudget = 0.35;
    /// Most that they are taken to bear; a run of more pressure is not worth its pace.
    double largestBudget = 4.0;
    /// Factor on the budget when a tail is just above the limit; the square of how far it is above cuts deeper, as a tail
    /// that is many times over has to be back within the 4 s that harm may last.
    double slowFactor = 0.5;
    /// Added to the budget when every tail is low.
    double quickenStep = 0.07;
    /// How long a tail may be above its target before all filling runs stand still: it leaves the figure's lag and a look
    /// until the 4 s that harm may last are over.
    Duration stopAllAfter = std::chrono::milliseconds(2400);
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

/// @brief Regulates all filling runs of one worker by the worst tail of the serving runs there.
///
/// Pattern it answers: filling runs of noisy images land beside serving runs, or the load of these swings up; the tail
/// rises within half a second and shows late. The tails bear a budget of pressure, which shrinks fast and grows slowly; a
/// figure from before the last change triggers nothing. The runs that press least are given theirs first, so that
/// harmless ones run at full pace whatever the noisy ones do.
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
    /// @return paces that differ from those in force
    [[nodiscard]] std::vector<PaceOrder> started(const RunId& run);

    /// @brief Takes in a list of the worker.
    /// @param running all runs
    /// @param now the present
    /// @return paces that differ from those in force
    [[nodiscard]] std::vector<PaceOrder> update(const std::vector<RunStatus>& running, TimePoint now);

    /// @param run a run
    /// @return its pace in percent
    [[nodiscard]] std::uint32_t paceOf(const RunId& run) const;

    /// @return the worst tail, as of the last list
    [[nodiscard]] double worst() const noexcept { return this->worstTail; }

    /// @return the pressure that the tails are taken to bear
    [[nodiscard]] double budget() const noexcept { return this->currentBudget; }

    /// @return what no run has been given of the budget
    [[nodiscard]] double headroom() const noexcept { return this->unusedBudget; }

private:
    void regulate(double worst, TimePoint now);
    [[nodiscard]] std::vector<PaceOrder> share();
    [[nodiscard]] double worstShare(const std::vector<RunStatus>& running) const;

    PaceConfig config;
    double currentBudget;
    double unusedBudget;
    double worstTail = 0;
    TimePoint changedAt {};
    /// Since when a tail has been above its target.
    std::optional<TimePoint> overSince {};
    std::map<RunId, PaceTraits> traits;
    /// Paces of the filling runs that are at work.
    std::map<RunId, std::uint32_t> inForce;
};

}
