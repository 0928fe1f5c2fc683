#pragma once

/// @file
/// @brief Pages of the entry as JSON.

#include <cowslipdoor/core/Rule.h>
#include <cowslipdoor/runtime/EntryTask.h>
#include <string>

namespace cowslipdoor::entry {

/// @param status what operators see
/// @param name name of the entry
/// @return a JSON object
[[nodiscard]] std::string printStatus(const runtime::EntryStatus& status, const std::string& name);

/// @param rules the rules in force
/// @return a JSON object with the version and, for each rule, its line, who asked for it and why
[[nodiscard]] std::string printRules(const RuleSet& rules);

}
