#include "cowslipdoor/core/BurnBook.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    constexpr std::uint64_t wholePerMillion = 1'000'000;
    constexpr std::chrono::minutes keptTime { burnMinutes };

    std::chrono::minutes minuteOf(TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch());
    }

}

BurnCounts BurnLine::within(std::size_t length) const noexcept
{
    BurnCounts sum;
    for (std::size_t back = 0; back < std::min(length, this->minutes.size()); ++back)
        sum = sum.plus(this->minutes[this->minutes.size() - 1 - back]);
    return sum;
}

std::optional<double> BurnLine::burnRate(std::size_t length) const noexcept
{
    if (!this->subject.objective || this->subject.objective->perMillion >= wholePerMillion)
        return std::nullopt;
    const double allowedShare = static_cast<double>(wholePerMillion - this->subject.objective->perMillion) / static_cast<double>(wholePerMillion);
    return this->within(length).missedShare() / allowedShare;
}

void BurnBook::record(const BurnSubject& subject, bool missed, TimePoint now)
{
    const std::chrono::minutes present = minuteOf(now);
    std::map<std::string, Track>::iterator it = this->tracks.find(subject.name);
    if (it == this->tracks.end()) {
        this->dropOld(present);
        it = this->tracks.emplace(subject.name, Track {}).first;
    }
    Track& track = it->second;
    if (track.subject != subject)
        track.subject = subject;
    if (track.minutes.empty() || track.minutes.back().number != present)
        track.minutes.push_back({ present, {} });
    if (track.minutes.size() > burnMinutes)
        track.minutes.pop_front();
    BurnCounts& counts = track.minutes.back().counts;
    counts = counts.plus({ 1, missed ? 1U : 0U });
}

std::vector<BurnLine> BurnBook::lines(TimePoint now) const
{
    const std::chrono::minutes present = minuteOf(now);
    std::vector<BurnLine> lines;
    for (const std::map<std::string, Track>::value_type& item : this->tracks) {
        BurnLine line { item.second.subject, {} };
        for (const Minute& minute : item.second.minutes) {
            const std::size_t back = static_cast<std::size_t>((present - minute.number).count());
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

void BurnBook::dropOld(std::chrono::minutes present)
{
    std::erase_if(this->tracks, [present](const std::map<std::string, Track>::value_type& item) { return present - item.second.minutes.back().number >= keptTime; });
}

BurnSubject subjectOf(const Rule& rule)
{
    return { rule.name, rule.requester, rule.reason, rule.objective };
}

bool missesObjective(const Rule& rule, Outcome outcome, Duration latency) noexcept
{
    return outcome != Outcome::Ran || latency > (rule.objective ? rule.objective->latency : rule.deadline);
}

std::vector<BurnLine> mergeBurn(const std::vector<std::vector<BurnLine>>& pages)
{
    std::map<std::string, BurnLine> merged;
    for (const std::vector<BurnLine>& page : pages) {
        for (const BurnLine& line : page) {
            BurnLine& sum = merged.try_emplace(line.subject.name, BurnLine { line.subject, {} }).first->second;
            if (sum.minutes.size() < line.minutes.size())
                sum.minutes.insert(sum.minutes.begin(), line.minutes.size() - sum.minutes.size(), BurnCounts {});
            const std::size_t offset = sum.minutes.size() - line.minutes.size();
            for (std::size_t minute = 0; minute < line.minutes.size(); ++minute)
                sum.minutes[offset + minute] = sum.minutes[offset + minute].plus(line.minutes[minute]);
        }
    }
    std::vector<BurnLine> lines;
    lines.reserve(merged.size());
    for (const std::map<std::string, BurnLine>::value_type& item : merged)
        lines.push_back(item.second);
    return lines;
}

}
