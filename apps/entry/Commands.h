#pragma once

/// @file
/// @brief Subcommands of cowslipdoor.

#include <string>
#include <vector>

namespace cowslipdoor::entry {

/// @brief Runs one subcommand.
/// @param arguments the command line without the program's name
/// @return the exit code
/// @throws Error when a setting or operand is not acceptable
[[nodiscard]] int runCommand(const std::vector<std::string>& arguments);

}
