#pragma once

/// @file
/// @brief The report on service-level burn: by rule or queue, and by who asked for it.

#include <cowslipdoor/core/BurnBook.h>
#include <string>
#include <vector>

namespace cowslipdoor::entry {

/// @param lines counts, one line for each rule or queue
/// @return two tables as text
[[nodiscard]] std::string printBurnTables(const std::vector<BurnSeries>& lines);

/// @param lines counts, one line for each rule or queue
/// @return the tables and a plot of missed shares for each line, as one page of HTML without further files
[[nodiscard]] std::string printBurnPage(const std::vector<BurnSeries>& lines);

}
