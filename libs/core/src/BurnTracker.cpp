#include "cowslipdoor/core/BurnTracker.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    constexpr std::uint64_t wholePerMillion = 1'000'000;
    constexpr std::chrono::minutes retentionTime { burnMinutes };

    std::chrono::minutes minuteOf(TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch());
    }

}

BurnCounts BurnSeries::within(std::size_t length) const noexcept
{
    BurnCounts sum;
    for (std::size_t back = 0; back < std::min(length, this->minutes.size()); ++back)
        sum = sum.plus(this->minutes[this->minutes.size() - 1 - back]);
    return sum;
}

std::optional<double> BurnSeries::burnRate(std::size_t length) const noexcept
{
    if (!this->subject.objective || this->subject.objective->perMillion >= wholePerMillion)
        return std::nullopt;
    const double allowedShare = static_cast<double>(wholePerMillion - this->subject.objective->perMillion) / static_cast<double>(wholePerMillion);
    return this->within(length).missedShare() / allowedShare;
}

void BurnTracker::record(const BurnSubject& subject, bool missed, TimePoint now)
{
    const std::chrono::minutes current = minuteOf(now);
    std::map<std::string, SubjectHistory>::iterator it = this->histories.find(subject.name);
    if (it == this->histories.end()) {
        this->dropExpired(current);
        it = this->histories.emplace(subject.name, SubjectHistory {}).first;
    }
    SubjectHistory& history = it->second;
    if (history.subject != subject)
        history.subject = subject;
    if (history.minutes.empty() || history.minutes.back().number != current)
        history.minutes.push_back({ current, {} });
    if (history.minutes.size() > burnMinutes)
        history.minutes.pop_front();
    BurnCounts& counts = history.minutes.back().counts;
    counts = counts.plus({ 1, missed ? 1U : 0U });
}

std::vector<BurnSeries> BurnTracker::series(TimePoint now) const
{
    const std::chrono::minutes current = minuteOf(now);
    std::vector<BurnSeries> lines;
    for (const std::map<std::string, SubjectHistory>::value_type& item : this->histories) {
        BurnSeries line { item.second.subject, {} };
        for (const Minute& minute : item.second.minutes) {
            const std::size_t back = static_cast<std::size_t>((current - minute.number).count());
            if (back >= burnMinutes)
                continue;
            if (line.minutes.empty())
                line.minutes.resize(back + 1);
            line.minutes[line.minutes.size() - 1 - back] = minute.counts;
        }
        if (!line.minutes.empty())
            lines.push_back(line);
    }
    return lines;
}

void BurnTracker::dropExpired(std::chrono::minutes current)
{
    std::erase_if(this->histories, [current](const std::map<std::string, SubjectHistory>::value_type& item) { return current - item.second.minutes.back().number >= retentionTime; });
}

BurnSubject subjectOf(const Rule& rule)
{
    return { rule.name, rule.requester, rule.reason, rule.objective };
}

bool missesObjective(const Rule& rule, Outcome outcome, Duration latency) noexcept
{
    return outcome != Outcome::Ran || latency > (rule.objective ? rule.objective->latency : rule.deadline);
}

std::vector<BurnSeries> mergeBurnSeries(const std::vector<std::vector<BurnSeries>>& seriesOfProcesses)
{
    std::map<std::string, BurnSeries> merged;
    for (const std::vector<BurnSeries>& processSeries : seriesOfProcesses) {
        for (const BurnSeries& line : processSeries) {
            BurnSeries& sum = merged.try_emplace(line.subject.name, BurnSeries { line.subject, {} }).first->second;
            if (sum.minutes.size() < line.minutes.size())
                sum.minutes.insert(sum.minutes.begin(), line.minutes.size() - sum.minutes.size(), BurnCounts {});
            const std::size_t offset = sum.minutes.size() - line.minutes.size();
            for (std::size_t minute = 0; minute < line.minutes.size(); ++minute)
                sum.minutes[offset + minute] = sum.minutes[offset + minute].plus(line.minutes[minute]);
        }
    }
    std::vector<BurnSeries> lines;
    lines.reserve(merged.size());
    for (const std::map<std::string, BurnSeries>::value_type& item : merged)
        lines.push_back(item.second);
    return lines;
}

}
