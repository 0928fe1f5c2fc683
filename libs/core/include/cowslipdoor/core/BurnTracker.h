#pragma once

/// @file
/// @brief Burn rates of the error budgets of service-level objectives.

#include "Rule.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Subject of an objective: a rule for requests or a queue of jobs.
struct BurnSubject {
    std::string name;
    /// Who asked for the rule; empty for queues.
    std::string requester;
    /// Why the rule was asked for; empty for queues.
    std::string reason;
    /// Empty if no share is stated; misses are then counted against the deadline or the job's own objective.
    std::optional<Objective> objective;

    bool operator==(const BurnSubject&) const = default;
};

/// @brief Number of ended requests or jobs, and how many of them missed the objective.
struct BurnCounts {
    std::uint64_t ended = 0;
    std::uint64_t missed = 0;

    bool operator==(const BurnCounts&) const = default;

    /// @param other counts to add
    /// @return the sum of both counts
    [[nodiscard]] constexpr BurnCounts plus(const BurnCounts& other) const noexcept { return { this->ended + other.ended, this->missed + other.missed }; }

    /// @return the share of misses from 0 to 1; 0 if nothing ended
    [[nodiscard]] constexpr double missedShare() const noexcept { return this->ended == 0 ? 0 : static_cast<double>(this->missed) / static_cast<double>(this->ended); }
};

/// @brief Counts of one subject per minute.
struct BurnSeries {
    BurnSubject subject;
    /// Oldest first, without gaps; the last one is the current minute.
    std::vector<BurnCounts> minutes;

    bool operator==(const BurnSeries&) const = default;

    /// @param length length of a window that ends now, in minutes
    /// @return the sum of the counts in the window
    [[nodiscard]] BurnCounts within(std::size_t length) const noexcept;

    /// @param length length of a window that ends now, in minutes
    /// @return the share of misses divided by the share that the objective allows: 1 uses up the error budget exactly, a greater
    ///         value uses it up early; nothing without a stated share, or if the objective allows no miss
    [[nodiscard]] std::optional<double> burnRate(std::size_t length) const noexcept;
};

/// @brief Number of minutes that are kept: six hours, the longest window of the burn report.
constexpr std::size_t burnMinutes = 360;

/// @brief Counts ended requests or jobs, and those that missed their objective, per minute.
/// @code
/// BurnTracker tracker;
/// tracker.record(subjectOf(rule), latency > rule.objective->latency, now);
/// @endcode
class BurnTracker {
public:
    /// @brief Counts the end of one request or job.
    /// @param subject its subject; replaces an earlier subject of the same name
    /// @param missed whether it missed the objective
    /// @param now current time
    void record(const BurnSubject& subject, bool missed, TimePoint now);

    /// @param now current time
    /// @return the counts of each subject for which something ended in the minutes that are kept, ordered by name
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

    void dropExpired(std::chrono::minutes current);

    std::map<std::string, SubjectHistory> histories;
};

/// @param rule rule for requests
/// @return the subject under which its requests are counted
[[nodiscard]] BurnSubject subjectOf(const Rule& rule);

/// @brief Tells whether the answer to a request misses its rule's objective.
/// @param rule rule of the request
/// @param outcome outcome of the request
/// @param latency time from arrival to answer
/// @return true if the outcome is not Ran, or the latency exceeds the objective's latency or, without an objective, the deadline
[[nodiscard]] bool missesObjective(const Rule& rule, Outcome outcome, Duration latency) noexcept;

/// @brief Adds up the counts of several processes.
/// @param seriesOfProcesses counts of each process
/// @return the sums for each subject, ordered by name
[[nodiscard]] std::vector<BurnSeries> mergeBurnSeries(const std::vector<std::vector<BurnSeries>>& seriesOfProcesses);

}
