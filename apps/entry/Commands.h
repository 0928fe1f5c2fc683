#pragma once

/// @file
/// @brief Subcommands of cowslipdoor.

#include <string>
#include <vector>

namespace cowslipdoor::entry {

/// @brief Runs the subcommand that the arguments begin with.
/// @param arguments command line without the program name
/// @return process exit code
/// @throws SettingsError when the subcommand, a setting or an operand is missing or invalid
/// @throws Error when the subcommand fails
[[nodiscard]] int runCommand(const std::vector<std::string>& arguments);

}
