#pragma once

/// @file
/// @brief Announcements of an upstream to its agent, and the agent's replies.

#include "Ids.h"
#include "Request.h"
#include "Resources.h"
#include "Time.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Token of a reply of one agent incarnation; an announcement that echoes it was composed after that reply.
struct AnnouncementToken {
    Incarnation agent {};
    std::uint64_t number = 0;

    std::strong_ordering operator<=>(const AnnouncementToken&) const = default;
};

/// @brief Request that an upstream reports as running.
struct RunningWork {
    RequestId id;
    Capacity demand = defaultDemand;

    bool operator==(const RunningWork&) const = default;
};

/// @brief State that an upstream reports to its agent.
struct Announcement {
    /// Number of the upstream's incarnation; it increases with each start of the upstream.
    const std::uint64_t instance = 0;
    /// Number of the announcement within the incarnation, increasing.
    const std::uint64_t sequence = 0;
    /// Token of the last reply that the upstream has received.
    const AnnouncementToken echo {};
    /// IP address and port at which the upstream accepts requests.
    const std::string address {};
    const std::string failureDomain {};
    const Capacity capacity {};
    /// Classes that the upstream accepts; empty means all.
    const std::vector<TrafficClass> classes {};
    const std::vector<RunningWork> running {};
    /// Whether `finished` lists all non-idempotent requests that ended within the repeat window.
    const bool remembersFinished = false;
    const std::vector<RequestId> finished {};
    /// Whether the upstream is shutting down and accepts no new requests.
    const bool leaving = false;

    bool operator==(const Announcement&) const = default;
};

/// @brief Agent's reply to an announcement.
struct AnnouncementReply {
    const AnnouncementToken token {};
    /// Time until the upstream should send its next announcement.
    const Duration interval {};

    bool operator==(const AnnouncementReply&) const = default;
};

}
