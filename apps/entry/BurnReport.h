#pragma once

/// @file
/// @brief Report on the burn rate of service-level objectives, by rule or queue and by requester.

#include <cowslipdoor/core/BurnTracker.h>
#include <string>
#include <vector>

namespace cowslipdoor::entry {

/// @param lines counts by minute, one line for each rule or queue
/// @return two text tables: by rule or queue, and by requester
[[nodiscard]] std::string printBurnTables(const std::vector<BurnSeries>& lines);

/// @param lines counts by minute, one line for each rule or queue
/// @return a self-contained HTML page with both tables and, for each line, a plot of the share of missed objectives by minute
[[nodiscard]] std::string printBurnPage(const std::vector<BurnSeries>& lines);

}
