#pragma once

/// @file
/// @brief Conversion of rows of the store to scheduler events.

#include "Scheduler.h"
#include "Store.h"
#include <optional>
#include <vector>

namespace cowslipdoor {

/// @brief Converts a row of a followed table to an event.
/// @param row a row of the table of jobs or of agents
/// @param readAtMs wall-clock time of the read, in milliseconds since 1970; zero if unknown
/// @return the event, or std::nullopt for a row that was removed or cannot be read
/// @code
/// const std::optional<SchedulerEvent> event = eventOf(row);
/// @endcode
[[nodiscard]] std::optional<SchedulerEvent> eventOf(const Row& row, std::int64_t readAtMs = 0);

/// @brief Decoded rows of complete tables.
struct DecodedTables {
    TablesRead read;
    /// Rows that cannot be read.
    std::vector<RowKey> ignored {};
};

/// @brief Decodes complete tables.
/// @param epoch epoch of the leader that read them
/// @param rows rows of the tables of jobs, of progress, of agents and of models, in any order
/// @param readAtMs wall-clock time of the read, in milliseconds since 1970; zero if unknown
/// @param version version of the store up to which the jobs are known
/// @param asOf when the read of the jobs began
/// @return the event with the decoded rows, and the keys of the rows that it leaves out
[[nodiscard]] DecodedTables decodeTables(std::uint64_t epoch, const std::vector<Row>& rows, std::int64_t readAtMs = 0, RowVersion version = 0, TimePoint asOf = {});

}
