#pragma once

/// @file
/// @brief How an upstream announces itself to its agent.

#include "Ids.h"
#include "Request.h"
#include "Resources.h"
#include "Time.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Proof that an announcement was composed after a certain reply of a certain agent run.
struct AnnouncementToken {
    Incarnation agent {};
    std::uint64_t number = 0;

    std::strong_ordering operator<=>(const AnnouncementToken&) const = default;
};

/// @brief Work that the upstream says it is running.
struct RunningWork {
    RequestId id;
    Capacity demand = defaultDemand;

    bool operator==(const RunningWork&) const = default;
};

/// @brief What an upstream tells its agent.
struct Announcement {
    /// Number of this run of the upstream; a greater one is a later run.
    const std::uint64_t instance = 0;
    /// Number of this announcement within the run.
    const std::uint64_t sequence = 0;
    /// Token of the last reply that the upstream has read.
    const AnnouncementToken echo {};
    /// IP number and port at which the upstream takes requests.
    const std::string address {};
    const std::string failureDomain {};
    const Capacity capacity {};
    /// Classes that the upstream takes; empty means all.
    const std::vector<TrafficClass> classes {};
    const std::vector<RunningWork> running {};
    /// Whether `finished` names all non-idempotent requests that ended within the repeat window.
    const bool remembersFinished = false;
    const std::vector<RequestId> finished {};
    /// Whether the upstream is leaving and wants no new work.
    const bool leaving = false;

    bool operator==(const Announcement&) const = default;
};

/// @brief The agent's reply to an announcement.
struct AnnouncementReply {
    const AnnouncementToken token {};
    /// When the upstream should announce itself next.
    const Duration interval {};

    bool operator==(const AnnouncementReply&) const = default;
};

}
