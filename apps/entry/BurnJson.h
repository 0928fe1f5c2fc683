#pragma once

/// @file
/// @brief The page /burn as JSON, written by entries and read by the report.

#include <cowslipdoor/core/BurnBook.h>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor::entry {

/// @param lines counts of subjects
/// @return a JSON object with a list of lines
[[nodiscard]] std::string printBurn(const std::vector<BurnSeries>& lines);

/// @param text what printBurn() wrote
/// @return the lines
/// @throws Error with ErrorKind::BadRequest when the text has another form
[[nodiscard]] std::vector<BurnSeries> parseBurn(std::string_view text);

}
