#pragma once

/// @file
/// @brief How fast the misses that service-level objectives allow are used up.

#include "Rule.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief What an objective is counted for: a rule of requests, or a queue of jobs.
struct BurnSubject {
    std::string name;
    /// Who asked for it and why; empty for queues.
    std::string requester;
    std::string reason;
    /// Nothing where no share is stated: ends are counted against the deadline, or the job's own objective.
    std::optional<Objective> objective;

    bool operator==(const BurnSubject&) const = default;
};

/// @brief Ends, and how many of them missed the objective.
struct BurnCounts {
    std::uint64_t ended = 0;
    std::uint64_t missed = 0;

    bool operator==(const BurnCounts&) const = default;

    /// @param other what to add
    /// @return the sum
    [[nodiscard]] constexpr BurnCounts plus(const BurnCounts& other) const noexcept { return { this->ended + other.ended, this->missed + other.missed }; }

    /// @return share of ends that missed, zero without ends
    [[nodiscard]] constexpr double missedShare() const noexcept { return this->ended == 0 ? 0 : static_cast<double>(this->missed) / static_cast<double>(this->ended); }
};

/// @brief Counts of one subject by minute.
struct BurnSeries {
    BurnSubject subject;
    /// Oldest first, without gaps; the last one is the present minute.
    std::vector<BurnCounts> minutes;

    bool operator==(const BurnSeries&) const = default;

    /// @param length length of a window that ends now, in minutes
    /// @return what ended in it
    [[nodiscard]] BurnCounts within(std::size_t length) const noexcept;

    /// @param length length of a window that ends now, in minutes
    /// @return the share of misses over the share that the objective allows: at 1 the budget is just used up, above it runs
    ///         out early; nothing without a stated share
    [[nodiscard]] std::optional<double> burnRate(std::size_t length) const noexcept;
};

/// @brief Minutes that are kept: six hours, the longest window of the report.
constexpr std::size_t burnMinutes = 360;

/// @brief Counts ends against objectives, minute by minute.
/// @code
/// BurnTracker book;
/// book.record(subjectOf(rule), latency > rule.objective->latency, now);
/// @endcode
class BurnTracker {
public:
    /// @brief Counts an end.
    /// @param subject what it belongs to; a newer objective under a known name replaces the older one
    /// @param missed whether it missed the objective
    /// @param now the present
    void record(const BurnSubject& subject, bool missed, TimePoint now);

    /// @param now the present
    /// @return a line for each subject with an end within the time that is kept, by name
    [[nodiscard]] std::vector<BurnSeries> series(TimePoint now) const;

private:
    struct Minute {
        std::chrono::minutes number {};
        BurnCounts counts {};
    };

    struct SubjectHistory {
        BurnSubject subject;
        std::deque<Minute> minutes;
    };

    void dropExpired(std::chrono::minutes present);

    std::map<std::string, SubjectHistory> histories;
};

/// @param rule a rule
/// @return the subject that its requests are counted for
[[nodiscard]] BurnSubject subjectOf(const Rule& rule);

/// @brief Tells whether the answer to a request misses its rule's objective.
/// @param rule the rule
/// @param outcome what is known of the request
/// @param latency time from arrival to answer
/// @return true for every request that did not run or may not have run, and for late answers
[[nodiscard]] bool missesObjective(const Rule& rule, Outcome outcome, Duration latency) noexcept;

/// @brief Adds up what several processes counted.
/// @param seriesOfProcesses lines of each process
/// @return one line for each subject, by name
[[nodiscard]] std::vector<BurnSeries> mergeBurnSeries(const std::vector<std::vector<BurnSeries>>& seriesOfProcesses);

}
