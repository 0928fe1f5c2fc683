#pragma once

/// @file
/// @brief Collects the log lines of all processes about one request or job.

#include <istream>
#include <ostream>
#include <string_view>
#include <vector>

namespace cowslipdoor::entry {

/// @brief Prints all log lines about a request or job in order of time, then the meaning of each event that occurred.
/// @param id identifier of the request or job
/// @param logs logs of any processes, in any order
/// @param output stream to which the lines are printed
/// @return whether any line was found
bool explain(std::string_view id, const std::vector<std::istream*>& logs, std::ostream& output);

}
