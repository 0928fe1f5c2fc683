#pragma once

/// @file
/// @brief Numbered log events; docs/EVENTS.md describes each for operators.

#include <span>
#include <string>
#include <string_view>

namespace cowslipdoor {

/// @brief Severity of an event.
enum class EventLevel : unsigned char {
    Debug,
    Info,
    Warning,
    Error,
};

/// @brief Number of a log event; a number is never reused for another event.
enum class EventId : unsigned short {
    ProcessStarted = 100,
    ProcessStopped = 101,
    DrainStarted = 102,
    DrainFinished = 103,
    DrainCut = 104,
    ListenFailed = 105,
    StoodStill = 106,
    TaskFailed = 107,
    TurnTookLong = 108,
    RulesInForce = 200,
    RulesRefused = 201,
    RulesConflict = 202,
    LinkOpened = 300,
    LinkClosed = 301,
    LinkRefused = 302,
    FrameRefused = 303,
    LinkSilent = 304,
    OutboxFull = 305,
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
    LeadershipTaken = 600,
    LeadershipLost = 601,
    TablesLoaded = 602,
    StoreLost = 603,
    StoreRegained = 604,
    FeedRestarted = 605,
    RowIgnored = 606,
    ConfigurationInForce = 607,
    SettingsReread = 608,
    ConfigurationBehind = 609,
    JobAccepted = 610,
    JobRefused = 611,
    JobCancelRequested = 612,
    JobLearned = 613,
    JobEnded = 614,
    JobStateUnavailable = 615,
    JobsLearnedLate = 616,
    IntakeLimited = 617,
    WriteRefused = 618,
    CancellationsExpired = 619,
    RunAssigned = 620,
    RunStarted = 621,
    RunEndTaken = 622,
    RunLost = 623,
    RunRejectedByWorker = 624,
    RunStopOrdered = 625,
    OrderUnanswered = 626,
    LastingTaskIdle = 627,
    WorkerSeen = 630,
    WorkerSettled = 631,
    WorkerGone = 632,
    WorkerDraining = 633,
    WorkerExcluded = 634,
    GenerationTaken = 635,
    BeatRefused = 636,
    PaceChanged = 637,
    BeatPassedOver = 638,
    LongLeaseHeld = 639,
    DomainEvacuated = 640,
    DomainRestored = 641,
    EvacuationProgress = 642,
    AgentsSettled = 643,
    ClientLimited = 645,
    ConnectionFailed = 646,
    PlaceAwaited = 650,
    PlaceWaitEnded = 651,
    HeadroomExceeded = 652,
};

/// @brief Effect: write a log event.
struct RecordEvent {
    const EventId event {};
    const std::string detail {};

    bool operator==(const RecordEvent&) const = default;
};

/// @brief Name, level and meaning of a log event.
struct EventDescription {
    EventId id;
    std::string_view name;
    EventLevel level;
    std::string_view meaning;
};

/// @brief Catalogue of all log events.
/// @return one row for each event, ordered by number
[[nodiscard]] std::span<const EventDescription> eventCatalogue() noexcept;

/// @brief Looks up the row of an event.
/// @param id event
/// @return its row of the catalogue, valid until the program ends
[[nodiscard]] const EventDescription& describe(EventId id) noexcept;

}
