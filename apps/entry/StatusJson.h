#pragma once

/// @file
/// @brief JSON of the /status, /jobs and /rules endpoints of entries.

#include <cowslipdoor/core/Rule.h>
#include <cowslipdoor/runtime/EntryTask.h>
#include <cowslipdoor/runtime/SchedulerTask.h>
#include <string>

namespace cowslipdoor::entry {

/// @param status state of an entry that serves requests
/// @param name name of the entry
/// @return a JSON object for /status
[[nodiscard]] std::string printStatus(const runtime::EntryStatus& status, const std::string& name);

/// @param status state of the scheduler of an entry for jobs
/// @return a JSON object for /status
[[nodiscard]] std::string printStatus(const runtime::SchedulerStatus& status);

/// @param list the jobs
/// @return a JSON object for /jobs: the leader and, when this entry leads, one line for each job
[[nodiscard]] std::string printJobs(const runtime::JobList& list);

/// @param explanation where the tasks of a job would go
/// @return a JSON object for /jobs/explain: the leader and, when this entry leads, one object for each step
[[nodiscard]] std::string printExplanation(const runtime::PlacementExplanation& explanation);

/// @param rules the rules in force
/// @return a JSON object for /rules: the version and, for each rule, its text, its requester and the reason
[[nodiscard]] std::string printRules(const RuleSet& rules);

}
