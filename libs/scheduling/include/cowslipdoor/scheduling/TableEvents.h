#pragma once

/// @file
/// @brief What rows of the store mean to the scheduler.

#include "Scheduler.h"
#include "Store.h"
#include <optional>
#include <vector>

namespace cowslipdoor {

/// @brief Event that a row of a followed table means.
/// @param row a row of the table of jobs or of agents
/// @return the event, or nothing for a row that was removed or cannot be read
/// @code
/// const std::optional<SchedulerEvent> event = eventOf(row);
/// @endcode
[[nodiscard]] std::optional<SchedulerEvent> eventOf(const Row& row);

/// @brief Rows of whole tables, decoded.
struct DecodedTables {
    TablesRead read;
    /// Rows that cannot be read.
    std::vector<RowKey> ignored {};
};

/// @brief Decodes whole tables.
/// @param epoch epoch of the leader that read them
/// @param rows rows of the tables of jobs, of progress, of agents and of models, in any order
/// @param readAtMs time of day of the reading, in milliseconds since 1970; zero where it is not known
/// @return the event that tells them, and the rows that it leaves out
[[nodiscard]] DecodedTables decodeTables(std::uint64_t epoch, const std::vector<Row>& rows, std::int64_t readAtMs = 0);

}
