#include "cowslipdoor/scheduling/InterferenceModel.h"
#include <algorithm>
#include <cmath>

namespace cowslipdoor {

namespace {

    double square(double value)
    {
        return value * value;
    }

}

InterferenceModel::InterferenceModel(InterferenceConfig config)
    : config(config)
{
}

void InterferenceModel::observe(const std::vector<ServingSample>& serving, const std::vector<BestEffortSample>& bestEffort, TimePoint now)
{
    for (const ServingSample& sample : serving) {
        if (sample.slack > this->config.stallSlack)
            this->learn(sample, bestEffort, now);
    }
}

void InterferenceModel::forget(const JobId& job)
{
    this->slacks.erase(job);
}

std::vector<LearntLoss> InterferenceModel::learnt(std::size_t most) const
{
    std::vector<std::map<ImagePair, Estimate>::const_iterator> rows;
    for (std::map<ImagePair, Estimate>::const_iterator it = this->losses.begin(); it != this->losses.end(); ++it)
        rows.push_back(it);
    std::stable_sort(rows.begin(), rows.end(), [](const std::map<ImagePair, Estimate>::const_iterator& left, const std::map<ImagePair, Estimate>::const_iterator& right) { return left->second.seenAt > right->second.seenAt; });
    rows.resize(std::min(rows.size(), most));
    std::vector<LearntLoss> known;
    known.reserve(rows.size());
    for (const std::map<ImagePair, Estimate>::const_iterator& row : rows)
        known.push_back({ row->first.first, row->first.second, row->second.value, row->second.variance });
    return known;
}

void InterferenceModel::restore(const std::vector<LearntLoss>& known, TimePoint now)
{
    for (const LearntLoss& item : known)
        this->losses.insert_or_assign({ item.serving, item.bestEffort }, Estimate { item.loss, item.variance, now });
}

double InterferenceModel::lossOf(const std::string& serving, const std::string& bestEffort) const
{
    const std::map<ImagePair, Estimate>::const_iterator it = this->losses.find({ serving, bestEffort });
    return it == this->losses.end() ? this->config.firstLoss : it->second.value;
}

double InterferenceModel::distance(const std::string& one, const std::string& other) const
{
    constexpr double unknown = 0.5;
    if (one == other)
        return 0;
    double sum = 0;
    std::size_t shared = 0;
    std::map<ImagePair, Estimate>::const_iterator it = this->losses.lower_bound({ one, "" });
    for (; it != this->losses.end() && it->first.first == one; ++it) {
        const std::map<ImagePair, Estimate>::const_iterator match = this->losses.find({ other, it->first.second });
        const double known = square(this->config.firstLossDeviation / 2);
        if (match == this->losses.end() || it->second.variance > known || match->second.variance > known)
            continue;
        sum += std::abs(it->second.value - match->second.value) / (it->second.value + match->second.value + 1);
        ++shared;
    }
    return shared == 0 ? unknown : sum / static_cast<double>(shared);
}

void InterferenceModel::learn(const ServingSample& sample, const std::vector<BestEffortSample>& bestEffort, TimePoint now)
{
    Estimate& slack = this->slackOf(sample.job, now);
    double expected = slack.value;
    double spread = slack.variance + square(this->config.relativeNoise * sample.slack + this->config.constantNoise);
    for (const BestEffortSample& item : bestEffort) {
        const Estimate& loss = this->pairOf({ sample.image, item.image }, now);
        expected -= loss.value * item.share;
        spread += loss.variance * square(item.share);
    }
    if (sample.slack < this->config.saturation && expected < sample.slack)
        return;
    const double limit = this->config.maximumDeviations * std::sqrt(spread);
    const double error = std::clamp(sample.slack - expected, -limit, limit);
    const double slackGain = slack.variance / spread;
    slack.value = std::max(0.0, slack.value + slackGain * error);
    slack.variance *= 1 - slackGain;
    for (const BestEffortSample& item : bestEffort) {
        Estimate& loss = this->pairOf({ sample.image, item.image }, now);
        const double gain = loss.variance * item.share / spread;
        loss.value = std::max(0.0, loss.value - gain * error);
        loss.variance = std::max(square(this->config.minimumLossDeviation), loss.variance * (1 - gain * item.share));
        loss.seenAt = now;
    }
}

InterferenceModel::Estimate& InterferenceModel::slackOf(const JobId& job, TimePoint now)
{
    Estimate& slack = this->slacks.try_emplace(job, Estimate { this->config.firstSlack, square(this->config.firstSlackDeviation), now }).first->second;
    const double passed = std::chrono::duration<double>(now - slack.seenAt).count();
    slack.variance = std::min(square(this->config.firstSlackDeviation), slack.variance + square(this->config.slackDrift * passed));
    slack.seenAt = now;
    return slack;
}

InterferenceModel::Estimate& InterferenceModel::pairOf(const ImagePair& images, TimePoint now)
{
    const std::map<ImagePair, Estimate>::iterator known = this->losses.find(images);
    if (known != this->losses.end())
        return known->second;
    if (this->losses.size() >= this->config.maximumPairs) {
        const auto earlier = [](const std::map<ImagePair, Estimate>::value_type& left, const std::map<ImagePair, Estimate>::value_type& right) { return left.second.seenAt < right.second.seenAt; };
        this->losses.erase(std::min_element(this->losses.begin(), this->losses.end(), earlier));
    }
    return this->losses.emplace(images, Estimate { this->config.firstLoss, square(this->config.firstLossDeviation), now }).first->second;
}

}
