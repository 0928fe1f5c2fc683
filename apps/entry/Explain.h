#pragma once

/// @file
/// @brief What the logs of all processes tell of one request or job.

#include <istream>
#include <ostream>
#include <string_view>
#include <vector>

namespace cowslipdoor::entry {

/// @brief Prints every line about a request or job in the order of time, and what its kinds of events mean.
/// @param id identifier of the request or job
/// @param logs logs of any processes, in any order
/// @param output where it goes
/// @return whether a line was found
bool explain(std::string_view id, const std::vector<std::istream*>& logs, std::ostream& output);

}
