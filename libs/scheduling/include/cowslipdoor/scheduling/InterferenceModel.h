#pragma once

/// @file
/// @brief What filling runs of each image do to serving runs of each image beside them.

#include "Job.h"
#include <cowslipdoor/core/Time.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the model. Slack is the target of a serving run over its tail: one at the target, more when idler.
struct InterferenceConfig {
    /// Loss of slack taken for a pair of images that were never seen together, if the filling run had the whole worker:
    /// between a harmless pair (about one) and a harmful one (about ten).
    double firstLoss = 3.0;
    /// Standard deviation of that guess.
    double firstLossDeviation = 4.0;
    /// Least standard deviation of a learnt loss, so that a change is still followed.
    double minimumLossDeviation = 0.15;
    /// Slack taken for a job until one of its runs has been seen, and its deviation.
    double firstSlack = 3.0;
    double firstSlackDeviation = 1.0;
    /// By how much the load of a job may move its slack in one second.
    double slackDrift = 0.45;
    /// Noise of a figure: a share of it and a constant.
    double relativeNoise = 0.06;
    double constantNoise = 0.05;
    /// Slack under which a tail shows only that the worker is overloaded, not by how much.
    double saturation = 0.3;
    /// Slack under which the worker itself stands still, which says nothing about its neighbours.
    double stallSlack = 0.02;
    /// Standard deviations beyond which one figure teaches no more: single figures are rough.
    double maximumDeviations = 3.0;
    /// Pairs that are remembered; the one that was seen least recently is dropped first.
    std::size_t maximumPairs = 4096;

    bool operator==(const InterferenceConfig&) const = default;
};

/// @brief What is known of one pair of images, to be handed on to the next leader.
struct LearntLoss {
    std::string serving;
    std::string bestEffort;
    double loss = 0;
    double variance = 0;

    bool operator==(const LearntLoss&) const = default;
};

/// @brief One serving run as a worker listed it.
struct ServingSample {
    JobId job;
    std::string image;
    double slack = 0;

    bool operator==(const ServingSample&) const = default;
};

/// @brief Filling runs of one image beside it.
struct BestEffortSample {
    std::string image;
    /// Share of the worker's cores that they use.
    double share = 0;

    bool operator==(const BestEffortSample&) const = default;
};

/// @brief Learns, for each pair of images, how much slack a filling run takes from a serving one.
///
/// Pattern it answers: a filling image harms some serving images ten times as much as others. Judged by the filling image
/// alone, it is slowed everywhere; judged by the pair, it runs at full pace beside the images that do not mind it.
///
/// A serving run behaves like a single queue, so its slack falls linearly with what its neighbours use. Each job's own
/// slack, which moves with its load, and the losses of pairs are tracked together by a Kalman filter with independent
/// deviations: a run without neighbours settles the job's slack, one with neighbours then tells their losses.
/// @code
/// model.observe({ { job, "web", 1.2 } }, { { "render", 0.25 } }, now);
/// const double loss = model.lossOf("web", "render");
/// @endcode
class InterferenceModel {
public:
    /// @param config settings
    explicit InterferenceModel(InterferenceConfig config = {});

    /// @brief Takes in one list of a worker.
    /// @param serving its serving runs
    /// @param bestEffort its filling runs, each image once
    /// @param now the present
    void observe(const std::vector<ServingSample>& serving, const std::vector<BestEffortSample>& bestEffort, TimePoint now);

    /// @brief Forgets a job that has ended.
    /// @param job the job
    void forget(const JobId& job);

    /// @param most how many pairs at most; those that were seen last come first
    /// @return what is known of pairs
    [[nodiscard]] std::vector<LearntLoss> learnt(std::size_t most) const;

    /// @brief Takes over what an earlier leader knew of pairs.
    /// @param known what it knew
    /// @param now the present
    void restore(const std::vector<LearntLoss>& known, TimePoint now);

    /// @param serving image of a serving run
    /// @param bestEffort image of a filling run
    /// @return the slack that the serving run would lose if the filling one used the whole worker
    [[nodiscard]] double lossOf(const std::string& serving, const std::string& bestEffort) const;

    /// @param one image of serving runs
    /// @param other another
    /// @return how differently filling images treat the two, from zero to one; a half if nothing is known
    [[nodiscard]] double distance(const std::string& one, const std::string& other) const;

private:
    struct Estimate {
        double value = 0;
        double variance = 0;
        TimePoint seenAt {};
    };

    /// Serving and filling image.
    using ImagePair = std::pair<std::string, std::string>;

    void learn(const ServingSample& sample, const std::vector<BestEffortSample>& bestEffort, TimePoint now);
    Estimate& slackOf(const JobId& job, TimePoint now);
    Estimate& pairOf(const ImagePair& images, TimePoint now);

    InterferenceConfig config;
    std::map<JobId, Estimate> slacks;
    std::map<ImagePair, Estimate> losses;
};

}
