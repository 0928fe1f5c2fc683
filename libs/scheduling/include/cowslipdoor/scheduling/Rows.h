#pragma once

/// @file
/// @brief Rows that the product keeps in the store, and their text encoding.

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

/// @brief Table of models that leaders learn; only the leader writes it.
constexpr const char* modelTable = "cowslipdoor-models";

/// @brief Table of agents.
constexpr const char* agentTable = "cowslipdoor-agents";

/// @brief Agent that has had no renewal grant for a while although its worker has runs.
struct SilentAgent {
    std::string agent;
    /// Time since the last grant of any leader, as of the write; at least that long.
    Duration silentFor {};

    bool operator==(const SilentAgent&) const = default;
};

/// @brief Row of the current leader; each write of the leader replaces it.
struct LeaderRecord {
    std::uint64_t epoch = 0;
    /// Name of the leading process, or empty after a release.
    std::string holder;
    /// Incarnation of the leading process.
    std::uint64_t incarnation = 0;
    /// Number of the write within the epoch.
    std::uint64_t sequence = 0;
    /// Milli-cores of the largest process that has led.
    std::uint64_t maximumMilliCores = 0;
    /// Version of the store up to which the leader knows all jobs; zero while it reads the tables.
    RowVersion learnedVersion = 0;
    /// Agents that get no grant while the row names them, so that a new leader can release their runs in time.
    std::vector<SilentAgent> silent {};

    bool operator==(const LeaderRecord&) const = default;
};

/// @brief Address at which an agent accepts links.
struct AgentRecord {
    std::string address;
    /// Increases with each start of the agent.
    std::uint64_t generation = 0;

    bool operator==(const AgentRecord&) const = default;
};

/// @brief Agent and worker that a run is assigned to.
struct Assignment {
    std::string agent;
    WorkerIdentity worker;

    std::strong_ordering operator<=>(const Assignment&) const = default;
};

/// @brief Stored progress of one task.
struct TaskRecord {
    bool done = false;
    /// Number of the last run.
    std::uint32_t run = 0;
    /// Numbers of the runs that failed; each counts as one attempt, even if its end is reported late.
    std::vector<std::uint32_t> failedRuns;
    std::optional<Assignment> assignment;
    std::string checkpoint;

    bool operator==(const TaskRecord&) const = default;
};

/// @brief Number of tasks whose progress one row holds, with 1 KiB for each.
constexpr std::size_t tasksPerSegment = 64;

/// @brief Identifies the part of a job's progress that one row holds.
///
/// The tasks of all steps, ordered by step and index, are divided into segments of equal size. The first segment also holds
/// the state of the job.
struct ProgressSegment {
    JobId job;
    std::uint32_t number = 0;

    std::strong_ordering operator<=>(const ProgressSegment&) const = default;
};

/// @brief Stored progress of one job, or of the tasks of one of its segments.
struct ProgressRecord {
    JobState state = JobState::Queued;
    /// Tasks of all steps, ordered by step and index; empty once the job has ended and none of its runs is left.
    std::vector<TaskRecord> tasks;
    /// Whether a worker is known to have begun a run of the job; rows of earlier versions do not state it.
    bool begun = false;
    /// Whether the first row holds tasks of other segments, as rows of earlier versions do.
    bool undivided = false;

    bool operator==(const ProgressRecord&) const = default;
};

/// @param spec a job
/// @return the number of segments of its progress
[[nodiscard]] std::size_t segmentCount(const JobSpec& spec);

/// @brief Number of jobs that have not ended and of which no worker has begun a run, by queue.
using PendingCounts = std::map<std::string, std::uint32_t>;

/// @return the key of the leader's row
[[nodiscard]] RowKey leaderRowKey();

/// @param job the job
/// @return the key of its specification; the part, a hash of the identifier, spreads jobs over the parts of the table
[[nodiscard]] RowKey jobRowKey(const JobId& job);

/// @param job the job
/// @return the key of its cancellation, in the same part as its specification
[[nodiscard]] RowKey cancelRowKey(const JobId& job);

/// @param job the job
/// @return the key of the first segment of its progress, in the same part as the leader's row
[[nodiscard]] RowKey progressRowKey(const JobId& job);

/// @param segment a segment of the progress of a job
/// @return the key of its row, in the same part as the leader's row
[[nodiscard]] RowKey segmentRowKey(const ProgressSegment& segment);

/// @param key key of a row of the table of progress
/// @return the segment that the row holds, or std::nullopt if the key names none
[[nodiscard]] std::optional<ProgressSegment> progressSegmentOf(const RowKey& key);

/// @param agent name of the agent
/// @return the key of its row
[[nodiscard]] RowKey agentRowKey(const std::string& agent);

/// @return the key of the counts of pending jobs
[[nodiscard]] RowKey pendingRowKey();

/// @return the key of the learnt interference, in the same part as the leader's row
[[nodiscard]] RowKey interferenceRowKey();

/// @param key key of a row of the job table
/// @return the job that the row cancels, or std::nullopt for other rows
[[nodiscard]] std::optional<JobId> cancelledJob(const RowKey& key);

/// @name Text encoding of rows
/// Each parse function returns std::nullopt for a text that it cannot read, which another program or version wrote.
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
