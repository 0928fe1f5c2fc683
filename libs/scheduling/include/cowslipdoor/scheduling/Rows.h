#pragma once

/// @file
/// @brief Rows that the product keeps in the store, and their text form.

#include "InterferenceModel.h"
#include "Job.h"
#include "Store.h"
#include "Worker.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Table of the leader's row.
constexpr const char* leaderTable = "cowslipdoor-leader";

/// @brief Table of jobs and their cancellations.
constexpr const char* jobTable = "cowslipdoor-jobs";

/// @brief Table of the progress of jobs; only the leader writes it.
constexpr const char* progressTable = "cowslipdoor-progress";

/// @brief Table of what leaders have learnt; only the leader writes it.
constexpr const char* modelTable = "cowslipdoor-models";

/// @brief Table of agents.
constexpr const char* agentTable = "cowslipdoor-agents";

/// @brief Who leads; each write of the leader replaces this row.
struct LeaderRecord {
    std::uint64_t epoch = 0;
    /// Process that leads, or empty after a release.
    std::string holder;
    /// Number of that run of the process.
    std::uint64_t incarnation = 0;
    /// Number of the leader's write.
    std::uint64_t sequence = 0;
    /// Cores of the largest process that has led, in thousandths.
    std::uint64_t maximumMilliCores = 0;

    bool operator==(const LeaderRecord&) const = default;
};

/// @brief Where an agent takes links.
struct AgentRecord {
    std::string address;
    /// Grows with each start of the agent.
    std::uint64_t generation = 0;

    bool operator==(const AgentRecord&) const = default;
};

/// @brief Where a run was sent.
struct Assignment {
    std::string agent;
    WorkerIdentity worker;

    std::strong_ordering operator<=>(const Assignment&) const = default;
};

/// @brief Stored progress of one task.
struct TaskRecord {
    bool done = false;
    /// Number of the last start.
    std::uint32_t run = 0;
    /// Runs that failed; each counts as one attempt, also when its end comes late.
    std::vector<std::uint32_t> failedRuns;
    std::optional<Assignment> assignment;
    std::string checkpoint;

    bool operator==(const TaskRecord&) const = default;
};

/// @brief Stored progress of one job.
struct ProgressRecord {
    JobState state = JobState::Queued;
    /// Tasks of all steps, in the order of steps and indexes; empty once nothing runs and the job has ended.
    std::vector<TaskRecord> tasks;

    bool operator==(const ProgressRecord&) const = default;
};

/// @brief Queue and number of jobs that have not begun.
using PendingCounts = std::map<std::string, std::uint32_t>;

/// @return the place of the leader's row
[[nodiscard]] RowKey leaderRowKey();

/// @param job the job
/// @return the place of its specification; the part spreads jobs over the store
[[nodiscard]] RowKey jobRowKey(const JobId& job);

/// @param job the job
/// @return the place of its cancellation, in the part of the job
[[nodiscard]] RowKey cancelRowKey(const JobId& job);

/// @param job the job
/// @return the place of its progress, in the part of the leader's row
[[nodiscard]] RowKey progressRowKey(const JobId& job);

/// @param agent name of the agent
/// @return the place of its row
[[nodiscard]] RowKey agentRowKey(const std::string& agent);

/// @return the place of the counts of waiting jobs
[[nodiscard]] RowKey pendingRowKey();

/// @return the place of what is known of interference, in the part of the leader's row
[[nodiscard]] RowKey interferenceRowKey();

/// @param key place of a row of the job table
/// @return the job that the row cancels, or nothing for other rows
[[nodiscard]] std::optional<JobId> cancelledJob(const RowKey& key);

/// @name Text form of rows
/// Each parse function gives nothing for a text that another writer or version left and that cannot be read.
/// @{
[[nodiscard]] std::string print(const LeaderRecord& record);
[[nodiscard]] std::string print(const AgentRecord& record);
[[nodiscard]] std::string print(const ProgressRecord& record);
[[nodiscard]] std::string print(const JobSpec& spec);
[[nodiscard]] std::string print(const PendingCounts& counts);
[[nodiscard]] std::string print(const std::vector<LearntLoss>& losses);
[[nodiscard]] std::optional<LeaderRecord> parseLeaderRecord(const std::string& text);
[[nodiscard]] std::optional<AgentRecord> parseAgentRecord(const std::string& text);
[[nodiscard]] std::optional<ProgressRecord> parseProgressRecord(const std::string& text);
[[nodiscard]] std::optional<JobSpec> parseJobSpec(const std::string& text);
[[nodiscard]] std::optional<PendingCounts> parsePendingCounts(const std::string& text);
[[nodiscard]] std::optional<std::vector<LearntLoss>> parseLearntLosses(const std::string& text);
/// @}

}
