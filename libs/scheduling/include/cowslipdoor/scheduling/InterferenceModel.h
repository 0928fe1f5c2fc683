#pragma once

/// @file
/// @brief Effect of best-effort runs on the serving runs beside them, by pairs of images.

#include "Job.h"
#include <cowslipdoor/core/Time.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the model. Slack is the target of a serving run divided by its tail latency: one at the target, more
/// with less load.
struct InterferenceConfig {
    /// Initial loss of slack for a pair of images that were never seen together, if the best-effort run used the whole worker:
    /// between a harmless pair (about one) and a harmful one (about ten).
    double firstLoss = 3.0;
    /// Standard deviation of the initial loss.
    double firstLossDeviation = 4.0;
    /// Minimum standard deviation of a learnt loss, so that the model still follows changes.
    double minimumLossDeviation = 0.15;
    /// Initial slack of a job until one of its runs has been seen, and its standard deviation.
    double firstSlack = 3.0;
    double firstSlackDeviation = 1.0;
    /// Standard deviation of the change of a job's slack by its load in one second.
    double slackDrift = 0.45;
    /// Noise of a measurement: a share of its value and a constant.
    double relativeNoise = 0.06;
    double constantNoise = 0.05;
    /// Slack below which a tail latency only shows that the worker is overloaded, not by how much.
    double saturation = 0.3;
    /// Slack below which the worker itself has stalled, which says nothing about the effect of other runs.
    double stallSlack = 0.02;
    /// Standard deviations to which the error of one measurement is limited, as single measurements are imprecise.
    double maximumDeviations = 3.0;
    /// Maximum number of remembered pairs; the least recently seen one is dropped first.
    std::size_t maximumPairs = 4096;

    bool operator==(const InterferenceConfig&) const = default;
};

/// @brief Learnt loss of one pair of images, stored for the next leader.
struct LearntLoss {
    std::string serving;
    std::string bestEffort;
    double loss = 0;
    double variance = 0;

    bool operator==(const LearntLoss&) const = default;
};

/// @brief Serving run as listed by a worker.
struct ServingSample {
    JobId job;
    std::string image;
    double slack = 0;

    bool operator==(const ServingSample&) const = default;
};

/// @brief Best-effort runs of one image on the same worker.
struct BestEffortSample {
    std::string image;
    /// Share of the worker's cores that they use.
    double share = 0;

    bool operator==(const BestEffortSample&) const = default;
};

/// @brief Learns, for each pair of images, how much slack a best-effort run takes from a serving one.
///
/// A best-effort image takes up to ten times as much slack from some serving images as from others. One value per
/// best-effort image would slow it down everywhere; with one value per pair, it runs at full pace beside the images that it
/// does not affect.
///
/// A serving run behaves like a single queue, so its slack falls linearly with the processor use of its neighbours. A Kalman
/// filter with independent deviations estimates the slack of each job without neighbours, which varies with its load,
/// together with the losses of the pairs: a run without neighbours determines the slack of the job, and a run with
/// neighbours then determines their losses.
/// @code
/// model.observe({ { job, "web", 1.2 } }, { { "render", 0.25 } }, now);
/// const double loss = model.lossOf("web", "render");
/// @endcode
class InterferenceModel {
public:
    /// @param config settings
    explicit InterferenceModel(InterferenceConfig config = {});

    /// @brief Updates the model with one progress report of a worker.
    /// @param serving serving runs of the worker
    /// @param bestEffort best-effort runs of the worker, each image once
    /// @param now current time
    void observe(const std::vector<ServingSample>& serving, const std::vector<BestEffortSample>& bestEffort, TimePoint now);

    /// @brief Removes a job that has ended.
    /// @param job the job
    void forget(const JobId& job);

    /// @param most maximum number of pairs
    /// @return the learnt losses, the most recently seen pairs first
    [[nodiscard]] std::vector<LearntLoss> learnt(std::size_t most) const;

    /// @brief Takes over the losses that an earlier leader learnt.
    /// @param known the losses
    /// @param now current time
    void restore(const std::vector<LearntLoss>& known, TimePoint now);

    /// @param serving image of a serving run
    /// @param bestEffort image of a best-effort run
    /// @return the slack that the serving run would lose if the best-effort run used the whole worker
    [[nodiscard]] double lossOf(const std::string& serving, const std::string& bestEffort) const;

    /// @param one image of serving runs
    /// @param other another image of serving runs
    /// @return the difference between the losses of the two to best-effort images, from zero to one; 0.5 if it is not known
    [[nodiscard]] double distance(const std::string& one, const std::string& other) const;

private:
    struct Estimate {
        double value = 0;
        double variance = 0;
        TimePoint seenAt {};
    };

    /// Serving and best-effort image.
    using ImagePair = std::pair<std::string, std::string>;

    void learn(const ServingSample& sample, const std::vector<BestEffortSample>& bestEffort, TimePoint now);
    Estimate& slackOf(const JobId& job, TimePoint now);
    Estimate& pairOf(const ImagePair& images, TimePoint now);

    InterferenceConfig config;
    std::map<JobId, Estimate> slacks;
    std::map<ImagePair, Estimate> losses;
};

}
