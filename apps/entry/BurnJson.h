#pragma once

/// @file
/// @brief JSON form of the /burn endpoint, which entries serve and `report burn` reads.

#include <cowslipdoor/core/BurnTracker.h>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor::entry {

/// @param lines counts by minute, one line for each rule or queue
/// @return a JSON object with the array `lines`
[[nodiscard]] std::string printBurn(const std::vector<BurnSeries>& lines);

/// @param text JSON that printBurn() wrote
/// @return the counts by minute
/// @throws Error with ErrorKind::BadRequest when the text is not JSON of this form
[[nodiscard]] std::vector<BurnSeries> parseBurn(std::string_view text);

}
