#pragma once

/// @file
/// @brief Pages of the entry as JSON.

#include <cowslipdoor/core/Rule.h>
#include <cowslipdoor/runtime/EntryTask.h>
#include <cowslipdoor/runtime/SchedulerTask.h>
#include <string>

namespace cowslipdoor::entry {

/// @param status what operators see
/// @param name name of the entry
/// @return a JSON object
[[nodiscard]] std::string printStatus(const runtime::EntryStatus& status, const std::string& name);

/// @param status what operators see of scheduling
/// @return a JSON object
[[nodiscard]] std::string printStatus(const runtime::SchedulerStatus& status);

/// @param list the jobs
/// @return a JSON object with who leads and, if this entry does, a line for each job
[[nodiscard]] std::string printJobs(const runtime::JobList& list);

/// @param rules the rules in force
/// @return a JSON object with the version and, for each rule, its line, who asked for it and why
[[nodiscard]] std::string printRules(const RuleSet& rules);

}
