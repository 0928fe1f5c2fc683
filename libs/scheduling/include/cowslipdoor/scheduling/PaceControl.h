#pragma once

/// @file
/// @brief Control of the pace of best-effort runs beside serving runs.

#include "Worker.h"
#include <cowslipdoor/core/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the control loop. Slack is the target of a serving run divided by its tail latency: one at the target.
struct PaceConfig {
    /// Slack that serving runs keep. A rise of their load takes up to 0.5 of it in a second, and a measurement is up to 0.7 s
    /// old.
    double minimumSlack = 1.2;
    /// Loss at full pace that is within the noise of measurements; a run that takes no more is not slowed down for its own
    /// effect.
    double negligibleLoss = 0.03;
    /// Slack from which a worker that has missed a target counts as recovered.
    double recoveredSlack = 1.2;
    /// Factor applied to the share of spare slack that best-effort runs may take, each time that a target is still missed.
    double spareShareCut = 0.5;
    /// Amount by which that share rises again with each measurement of a recovered worker.
    double spareShareStep = 0.2;
    /// How long a target may be missed before all best-effort runs are paused. It may be missed for at most 4 s; the rest of
    /// this time is left for the measurement lag and a poll.
    Duration stopAllAfter = std::chrono::milliseconds(2400);
    /// Time until a measurement shows a change of pace: the window of the measurement and the time until the pace takes effect.
    Duration measurementLag = std::chrono::milliseconds(600);
    /// How long a serving run that starts keeps harmful runs paused. Starts take 0.3 to 0.5 s, and the first measurement comes
    /// a poll later; a run that takes much longer is stuck, and best-effort runs must not wait for it.
    Duration startLimit = std::chrono::milliseconds(1500);

    bool operator==(const PaceConfig&) const = default;
};

/// @brief Pace to set for a run.
struct PaceOrder {
    RunId run;
    std::uint32_t percent = 100;

    bool operator==(const PaceOrder&) const = default;
};

/// @brief Controls the pace of all best-effort runs of one worker by the slack of the serving runs there.
///
/// Best-effort runs of harmful images may start beside serving runs, and the load of serving runs may rise within seconds.
/// Each poll gives the slack of a serving run and the processor use of its neighbours, and so the slack that it would have
/// without them. What it can spare of that is shared among the best-effort runs according to the loss that each causes to
/// its image. One poll is therefore enough to find the right paces, and a run that affects no serving run here runs at full
/// pace. If losses are not known well and a target is missed all the same, a smaller part of the spare slack is shared with
/// each measurement, and after a while none.
/// @code
/// for (const PaceOrder& order : pace.update(running, now))
///     callPace(order);
/// @endcode
class PaceControl {
public:
    /// @param config settings
    explicit PaceControl(PaceConfig config);

    /// @brief Sets the properties of a run.
    /// @param run the run
    /// @param traits its properties
    void describe(const RunId& run, const PaceTraits& traits);

    /// @brief Removes a run that has ended.
    /// @param run the run
    void forget(const RunId& run);

    /// @brief Notes the start of a run, which has full pace until another one is set.
    ///
    /// A serving run has no slack to spare until it is measured: harmful runs would take it over its target as soon as it is
    /// ready, and pausing them takes effect only after its first measurement.
    /// @param run the run
    /// @param now current time
    /// @return paces to set because they differ from those in force
    [[nodiscard]] std::vector<PaceOrder> started(const RunId& run, TimePoint now);

    /// @brief Processes the answer to a poll.
    /// @param running all runs of the worker
    /// @param now current time
    /// @return paces to set because they differ from those in force
    [[nodiscard]] std::vector<PaceOrder> update(const std::vector<RunStatus>& running, TimePoint now);

    /// @brief Notes that an order had no answer, so that the pace in force is not known.
    /// @param run the run
    void markPaceUnknown(const RunId& run);

    /// @param run a run
    /// @return its pace in percent; full pace if it is not known
    [[nodiscard]] std::uint32_t paceOf(const RunId& run) const;

    /// @return the least slack of all serving runs as of the last poll, or std::nullopt if there are none
    [[nodiscard]] std::optional<double> worstSlack() const noexcept { return this->worst; }

    /// @param now current time
    /// @return whether best-effort runs wait for the first measurement of a serving run
    [[nodiscard]] bool awaitsMeasurement(TimePoint now) const;

    /// @return the share of the spare slack that best-effort runs may take, from zero to one
    [[nodiscard]] double spareSlackShare() const noexcept { return this->spareShare; }

private:
    /// Slack that best-effort runs may take from one serving run.
    struct Allowance {
        std::string image;
        double slack = 0;
    };

    void measure(const std::vector<RunStatus>& running, TimePoint now);
    void adjustSpareShare(TimePoint now);
    [[nodiscard]] double slackLostBy(const std::vector<RunStatus>& running, const std::string& image) const;
    [[nodiscard]] double paceFor(const PaceTraits& bestEffort, const std::vector<Allowance>& left) const;
    [[nodiscard]] double worstLossOf(const PaceTraits& bestEffort) const;
    [[nodiscard]] std::vector<PaceOrder> assignPaces();

    PaceConfig config;
    double spareShare = 1;
    std::optional<double> worst {};
    TimePoint adjustedAt {};
    /// Since when a target has been missed.
    std::optional<TimePoint> overSince {};
    std::vector<Allowance> allowances;
    /// Since when serving runs that have not been measured yet have been starting.
    std::map<RunId, TimePoint> startingSince;
    std::map<RunId, PaceTraits> traits;
    /// Paces of the best-effort runs that are running; std::nullopt if an earlier incarnation of the agent may have set the
    /// pace, or if the last order had no answer.
    std::map<RunId, std::optional<std::uint32_t>> pacesInForce;
};

}
