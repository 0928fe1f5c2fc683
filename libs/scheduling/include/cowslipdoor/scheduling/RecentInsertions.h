#pragma once

/// @file
/// @brief What an entry remembers of the rows that it lately tried to insert.

#include "Store.h"
#include <cowslipdoor/core/Time.h>
#include <deque>
#include <map>
#include <optional>

namespace cowslipdoor {

/// @brief What became of an insertion.
enum class InsertionOutcome : unsigned char {
    Stored,
    /// A try had no answer and may have been carried out.
    Unsettled,
};

/// @brief Settings of the memory.
struct RecentInsertionsConfig {
    /// How long an insertion is remembered: late copies of a request come within seconds, and rows are kept for 180 s at least.
    Duration keepFor = std::chrono::seconds(60);
    /// Insertions that are remembered; the oldest is dropped first.
    std::size_t most = 4096;

    bool operator==(const RecentInsertionsConfig&) const = default;
};

/// @brief Remembers insertions, so that a copy of a request is told the truth while the store is away.
///
/// Pattern it answers: an outage of the store begins, and copies of requests come that were accepted, or had no answer, just
/// before. Told "not stored", their callers would give up jobs that run.
/// @code
/// memory.note(key, InsertionOutcome::Stored, now);
/// const std::optional<InsertionOutcome> known = memory.find(key, now);
/// @endcode
class RecentInsertions {
public:
    /// @param config settings
    explicit RecentInsertions(RecentInsertionsConfig config = {});

    /// @brief Takes in what became of an insertion.
    /// @param key the row's place
    /// @param outcome what became of it; one that was stored stays so
    /// @param now the present
    void note(const RowKey& key, InsertionOutcome outcome, TimePoint now);

    /// @param key the row's place
    /// @param now the present
    /// @return what became of its insertion, or nothing when that is not known
    [[nodiscard]] std::optional<InsertionOutcome> find(const RowKey& key, TimePoint now) const;

private:
    struct Remembered {
        InsertionOutcome outcome = InsertionOutcome::Unsettled;
        TimePoint at {};
    };

    RecentInsertionsConfig config;
    std::map<RowKey, Remembered> insertions;
    /// Places in the order in which they were first noted.
    std::deque<RowKey> order;
};

}
