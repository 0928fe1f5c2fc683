#pragma once

/// @file
/// @brief Numbered log events; docs/EVENTS.md explains each to operators.

#include <span>
#include <string_view>

namespace cowslipdoor {

/// @brief Severity of an event.
enum class EventLevel : unsigned char {
    Debug,
    Info,
    Warning,
    Error,
};

/// @brief Number of a log event; a number is never given to another event.
enum class EventId : unsigned short {
    ProcessStarted = 100,
    ProcessStopped = 101,
    DrainStarted = 102,
    DrainFinished = 103,
    DrainCut = 104,
    ListenFailed = 105,
    RulesInForce = 200,
    RulesRefused = 201,
    RulesConflict = 202,
    LinkOpened = 300,
    LinkClosed = 301,
    LinkRefused = 302,
    FrameRefused = 303,
    LinkSilent = 304,
    UpstreamAnnounced = 400,
    UpstreamRecovered = 401,
    AnnouncementRefused = 402,
    UpstreamLeaving = 403,
    UpstreamEjected = 404,
    UpstreamReadmitted = 405,
    RequestRefused = 500,
    OutcomeUnknown = 501,
    LateAnswerDropped = 502,
    RetryScheduled = 503,
    CallFailed = 504,
    BadCallerRequest = 505,
    LateRequestDropped = 506,
};

/// @brief Row of the event catalogue.
struct EventDescription {
    EventId id;
    std::string_view name;
    EventLevel level;
    std::string_view meaning;
};

/// @brief The whole catalogue, ordered by number.
/// @return one row for each event
[[nodiscard]] std::span<const EventDescription> eventCatalogue() noexcept;

/// @param id the event
/// @return its row of the catalogue
[[nodiscard]] const EventDescription& describe(EventId id) noexcept;

}
