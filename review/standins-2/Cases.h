#pragma once

/// @file
/// @brief The cases of the review that are scripts.

#include "Record.h"
#include <string>

namespace review {

/// @brief Result of a case, which is the exit code of its script.
enum class Verdict : int {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// @brief What a case gets from its script.
struct CaseInput {
    /// Root of the repository.
    std::string root;
    /// Temporary folder for logs.
    std::string folder;
    /// Whether the disruption takes place.
    bool trouble = true;
};

/// @brief A job is cancelled while the entry that has its submission stands still.
/// @param input folders, and whether the disruption takes place
/// @param record record of the case
/// @return the verdict
[[nodiscard]] Verdict cancelDuringFreeze(const CaseInput& input, Record& record);

/// @brief A worker restarts under its identifier, and ends of its new life are acknowledged with a number of its earlier life.
/// @param input folders, and whether the disruption takes place
/// @param record record of the case
/// @return the verdict
[[nodiscard]] Verdict staleAcknowledgement(const CaseInput& input, Record& record);

/// @brief A start reaches a worker that has just restarted under its identifier, and the agent freezes.
/// @param input folders, and whether the disruption takes place
/// @param record record of the case
/// @return the verdict
[[nodiscard]] Verdict startAfterRestart(const CaseInput& input, Record& record);

/// @brief Heartbeats from before a worker's draining arrive late.
/// @param input folders, and whether the disruption takes place
/// @param record record of the case
/// @return the verdict
[[nodiscard]] Verdict lateHeartbeats(const CaseInput& input, Record& record);

/// @brief Some jobs of many tasks are accepted, which no leader can hold in its memory.
/// @param input folders, and whether the disruption takes place
/// @param record record of the case
/// @return the verdict
[[nodiscard]] Verdict largeJobs(const CaseInput& input, Record& record);

/// @brief Another writer sends heartbeats with a field of another type, as large as a heartbeat may be.
/// @param input folders, and whether the disruption takes place
/// @param record record of the case
/// @return the verdict
[[nodiscard]] Verdict largeForeignHeartbeats(const CaseInput& input, Record& record);

}
