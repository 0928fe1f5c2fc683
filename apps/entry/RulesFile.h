#pragma once

/// @file
/// @brief Reading a rules file from disk.

#include <cowslipdoor/core/RulesText.h>
#include <string>

namespace cowslipdoor::entry {

/// @brief Reads a rules file without parsing it.
/// @param path path of the file
/// @return content of the file
/// @throws Error with ErrorKind::BadRules when the file cannot be read or exceeds maximumRulesBytes
[[nodiscard]] std::string readFile(const std::string& path);

/// @brief Reads and parses a rules file.
/// @param path path of the file
/// @return the rules
/// @throws Error with ErrorKind::BadRules whose text lists all faults of the file, one per line
[[nodiscard]] RuleSet readRulesFile(const std::string& path);

}
