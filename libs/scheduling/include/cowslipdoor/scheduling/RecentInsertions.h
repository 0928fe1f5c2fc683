#pragma once

/// @file
/// @brief Outcomes of rows that an entry tried to insert recently.

#include "Store.h"
#include <cowslipdoor/core/Time.h>
#include <deque>
#include <map>
#include <optional>

namespace cowslipdoor {

/// @brief Outcome of an insertion.
enum class InsertionOutcome : unsigned char {
    Stored,
    /// An attempt had no answer and may have been carried out.
    Unsettled,
};

/// @brief Settings of RecentInsertions.
struct RecentInsertionsConfig {
    /// How long an insertion is remembered: late duplicates of a request come within seconds, and rows are kept for at least
    /// 180 s.
    Duration keepFor = std::chrono::seconds(60);
    /// Maximum number of insertions that are remembered; the oldest is dropped first.
    std::size_t most = 4096;

    bool operator==(const RecentInsertionsConfig&) const = default;
};

/// @brief Remembers insertions, so that a duplicate request gets a correct answer while the store is unavailable.
///
/// When an outage of the store begins, duplicates arrive of requests that were accepted, or had no answer, shortly before.
/// If these were answered with "not stored", their callers would abandon jobs that run.
/// @code
/// recent.note(key, InsertionOutcome::Stored, now);
/// const std::optional<InsertionOutcome> known = recent.find(key, now);
/// @endcode
class RecentInsertions {
public:
    /// @param config settings
    explicit RecentInsertions(RecentInsertionsConfig config = {});

    /// @brief Records the outcome of an insertion.
    /// @param key key of the row
    /// @param outcome outcome of the attempt; InsertionOutcome::Stored is not overwritten
    /// @param now current time
    void note(const RowKey& key, InsertionOutcome outcome, TimePoint now);

    /// @param key key of the row
    /// @param now current time
    /// @return the outcome of its insertion, or std::nullopt if it is not known
    [[nodiscard]] std::optional<InsertionOutcome> find(const RowKey& key, TimePoint now) const;

private:
    struct Remembered {
        InsertionOutcome outcome = InsertionOutcome::Unsettled;
        TimePoint at {};
    };

    RecentInsertionsConfig config;
    std::map<RowKey, Remembered> insertions;
    /// Keys in the order in which they were first recorded.
    std::deque<RowKey> order;
};

}
