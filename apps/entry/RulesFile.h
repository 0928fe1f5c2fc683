#pragma once

/// @file
/// @brief Reading a rules file from disk.

#include <cowslipdoor/core/RulesText.h>
#include <string>

namespace cowslipdoor::entry {

/// @brief Reads the bytes of a file.
/// @param path the file
/// @return its content
/// @throws Error with ErrorKind::BadRules when it cannot be read or is too large
[[nodiscard]] std::string readFile(const std::string& path);

/// @brief Reads and checks a rules file.
/// @param path the file
/// @return the rules
/// @throws Error with ErrorKind::BadRules that lists every fault, one a line
[[nodiscard]] RuleSet readRulesFile(const std::string& path);

}
