#pragma once

/// @file
/// @brief Pace of filling runs beside runs that serve.

#include "Worker.h"
#include <cowslipdoor/core/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the pace loop. Slack is the target of a serving run over its tail: one at the target.
struct PaceConfig {
    /// Slack that serving runs keep. Their load takes up to half of one in a second, and a figure is up to 0.7 s old.
    double minimumSlack = 1.2;
    /// Loss at full pace that is within the noise of figures; a run that takes no more is not slowed for its own harm.
    double negligibleLoss = 0.03;
    /// Slack from which a worker that was over a target counts as recovered.
    double recoveredSlack = 1.2;
    /// Factor on what filling runs may take, each time that a tail is still over its target.
    double spareShareCut = 0.5;
    /// By how much that factor rises again with each figure of a recovered worker.
    double spareShareStep = 0.2;
    /// How long a tail may be over its target before all filling runs stand still: it leaves the figure's lag and a look
    /// until the 4 s that harm may last are over.
    Duration stopAllAfter = std::chrono::milliseconds(2400);
    /// Time from a change until the figure shows it: the window of the figure and the time until a pace acts.
    Duration measurementLag = std::chrono::milliseconds(600);

    bool operator==(const PaceConfig&) const = default;
};

/// @brief Pace that a run should be given.
struct PaceOrder {
    RunId run;
    std::uint32_t percent = 100;

    bool operator==(const PaceOrder&) const = default;
};

/// @brief Regulates all filling runs of one worker by the slack of the serving runs there.
///
/// Pattern it answers: filling runs of harmful images land beside serving runs, or the load of these swings up within
/// seconds. Each list tells a serving run's slack and what its neighbours used, so what it would have without them is
/// known; what it can spare of that is shared among filling runs by what each takes from this very image. So one list is
/// enough to find the right paces, and a run that harms nobody here runs at full pace. Where the losses are not known
/// well and a tail is over its target all the same, less is shared with each figure, and after a while nothing.
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

    /// @brief Takes in that an order had no answer, so that it is not known which pace is in force.
    /// @param run the run
    void markPaceUnknown(const RunId& run);

    /// @param run a run
    /// @return its pace in percent; full pace where it is not known
    [[nodiscard]] std::uint32_t paceOf(const RunId& run) const;

    /// @return the least slack of a serving run as of the last list, or nothing when none serves
    [[nodiscard]] std::optional<double> worstSlack() const noexcept { return this->worst; }

    /// @return the share of the spare slack that filling runs may take, from zero to one
    [[nodiscard]] double spareSlackShare() const noexcept { return this->spareShare; }

private:
    /// What filling runs may take from one serving run.
    struct Allowance {
        std::string image;
        double slack = 0;
    };

    void measure(const std::vector<RunStatus>& running);
    void adjustSpareShare(TimePoint now);
    [[nodiscard]] double slackLostBy(const std::vector<RunStatus>& running, const std::string& image) const;
    [[nodiscard]] double paceFor(const PaceTraits& bestEffort, const std::vector<Allowance>& left) const;
    [[nodiscard]] double worstLossOf(const PaceTraits& bestEffort) const;
    [[nodiscard]] std::vector<PaceOrder> assignPaces();

    PaceConfig config;
    double spareShare = 1;
    std::optional<double> worst {};
    TimePoint adjustedAt {};
    /// Since when a tail has been over its target.
    std::optional<TimePoint> overSince {};
    std::vector<Allowance> allowances;
    std::map<RunId, PaceTraits> traits;
    /// Paces of the filling runs that are at work; nothing for one that an earlier run of the agent may have paced, or whose
    /// last order had no answer.
    std::map<RunId, std::optional<std::uint32_t>> pacesInForce;
};

}
