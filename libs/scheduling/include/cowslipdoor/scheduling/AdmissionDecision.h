#pragma once

/// @file
/// @brief Decides which jobs with best-effort tasks run when the capacity does not suffice for all of them.

#include "AdmissionCandidate.h"
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of admission.
struct AdmissionConfig {
    /// Whether jobs are held at all.
    bool enabled = true;
    /// Minimum interval between decisions; a decision takes about as long as the placement of one task.
    Duration interval = std::chrono::milliseconds(100);
    /// Share of the capacity for jobs that cannot end in time or are held, oldest first.
    double oldShare = 0.1;
    /// Part of its expected remaining time that must be left until a job is due for it to keep its admission.
    double keptShare = 1.0;
    /// The same for a job that begins: the slowest of its tasks and the wait for places take longer than the estimate. Jobs
    /// between the two begin only when no job with more time left waits.
    double safeShare = 1.25;
    /// The same below which a job gives back its places. Between the two it keeps what it runs and gets no more, so that a job near
    /// the limit is not stopped and started again.
    double yieldShare = 0.8;
    /// How long a held job may have nothing running while much capacity is free: the 3 s of the platform less 0.4 s and the
    /// interval of decisions.
    Duration idleLimit = std::chrono::milliseconds(2500);
    /// Reserved share of a service from which a held job may have nothing running.
    double reservedShare = 0.5;
    /// Time that a run must have left for a stop by checkpoint to be worth its cost.
    Duration minimumYield = std::chrono::seconds(1);
    /// Minimum age of a run that gives back its place.
    Duration minimumRunAge = std::chrono::milliseconds(500);

    bool operator==(const AdmissionConfig&) const = default;
};

/// @brief Why a job is admitted or held.
enum class AdmissionReason : unsigned char {
    /// The capacity suffices for all jobs.
    RoomForAll,
    /// It runs and can end in time.
    Continues,
    /// It can end in time, and there is room.
    InTime,
    /// It cannot end in time, but nothing that can needs the room.
    RoomLeft,
    /// It is among the oldest that cannot be served otherwise.
    Old,
    /// It has had nothing running for long, and much capacity is free.
    Idle,
    /// Held: it can end in time, but others need the room first.
    HeldForOthers,
    /// Held: it cannot end in time, and others need the room.
    HeldAsLate,
};

/// @param reason the reason
/// @return its description for logs
[[nodiscard]] std::string_view toString(AdmissionReason reason) noexcept;

/// @brief Number of tasks of an admitted job that may have assignments.
constexpr std::uint32_t noTaskLimit = std::numeric_limits<std::uint32_t>::max();

/// @brief Verdict on one job.
struct AdmissionVerdict {
    /// Tasks that may have assignments at a time; zero if the job gets no further ones.
    std::uint32_t taskLimit = noTaskLimit;
    AdmissionReason reason = AdmissionReason::RoomForAll;
    /// Whether its runs should give back their places by checkpoint.
    bool yields = false;

    bool operator==(const AdmissionVerdict&) const = default;

    /// @return whether the job may place all of its tasks
    [[nodiscard]] bool admitted() const noexcept { return this->taskLimit == noTaskLimit; }
};

/// @brief Verdicts on all candidates.
struct AdmissionDecision {
    std::map<JobId, AdmissionVerdict> verdicts {};
    /// Milli-cores that admitted jobs leave, by service.
    std::map<std::string, double> spare {};
    /// Whether the capacity does not suffice for all jobs.
    bool overloaded = false;

    bool operator==(const AdmissionDecision&) const = default;

    /// @return the number of jobs that are not admitted
    [[nodiscard]] std::size_t heldJobs() const;
};

/// @brief Whether each job of the decision before was admitted; empty after a takeover.
using AdmissionHistory = std::map<JobId, bool>;

/// @brief Decides which jobs may place tasks.
///
/// While the capacity suffices for the ready tasks of all jobs, all are admitted. Otherwise jobs that run and can end in time go
/// on. The others follow by priority; within one first those that can end in time, from the queue that has got the least share of
/// its demand, and in it the job with the least remaining work, then late ones. Jobs much larger than the median of
/// their queue count as a queue of their own, so that they get the same share as the others. A share of the capacity is left for the oldest of the rest.
/// @param candidates the jobs
/// @param before the decision before this one
/// @param room capacity for best-effort tasks
/// @param config settings
/// @param now current time
/// @return the verdicts
[[nodiscard]] AdmissionDecision decideAdmission(const std::vector<AdmissionCandidate>& candidates, const AdmissionHistory& before, const BestEffortRoom& room, const AdmissionConfig& config, TimePoint now);

}
