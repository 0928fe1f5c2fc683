#include "cowslipdoor/core/EventCatalogue.h"
#include <algorithm>
#include <array>

namespace cowslipdoor {

namespace {

    constexpr std::array catalogue {
        EventDescription { EventId::ProcessStarted, "process_started", EventLevel::Info, "The process listens and its settings are valid." },
        EventDescription { EventId::ProcessStopped, "process_stopped", EventLevel::Info, "The process ends." },
        EventDescription { EventId::DrainStarted, "drain_started", EventLevel::Info, "A planned stop began; what is held is finished first." },
        EventDescription { EventId::DrainFinished, "drain_finished", EventLevel::Info, "A planned stop finished everything that was held." },
        EventDescription { EventId::DrainCut, "drain_cut", EventLevel::Warning, "A second signal or the drain limit ended a planned stop; the detail says what was cut off." },
        EventDescription { EventId::ListenFailed, "listen_failed", EventLevel::Error, "An address cannot be listened on." },
        EventDescription { EventId::RulesInForce, "rules_in_force", EventLevel::Info, "A greater version of the rules is in force." },
        EventDescription { EventId::RulesRefused, "rules_refused", EventLevel::Error, "A rules file has faults or cannot be read; the rules in force stay." },
        EventDescription { EventId::RulesConflict, "rules_conflict", EventLevel::Error, "Two different rules files state the same version; the one in force stays." },
        EventDescription { EventId::LinkOpened, "link_opened", EventLevel::Info, "A link between an entry and an agent is open." },
        EventDescription { EventId::LinkClosed, "link_closed", EventLevel::Info, "A link between an entry and an agent is gone." },
        EventDescription { EventId::LinkRefused, "link_refused", EventLevel::Warning, "A peer did not begin a link as the protocol says." },
        EventDescription { EventId::FrameRefused, "frame_refused", EventLevel::Warning, "A frame on a link cannot be decoded; the link is closed." },
        EventDescription { EventId::LinkSilent, "link_silent", EventLevel::Warning, "Nothing came on a link for too long; the link is closed." },
        EventDescription { EventId::UpstreamAnnounced, "upstream_announced", EventLevel::Info, "A run of the upstream announced itself for the first time." },
        EventDescription { EventId::UpstreamRecovered, "upstream_recovered", EventLevel::Info, "The agent knows what its VM holds and admits work." },
        EventDescription { EventId::AnnouncementRefused, "announcement_refused", EventLevel::Warning, "An announcement cannot be read." },
        EventDescription { EventId::UpstreamLeaving, "upstream_leaving", EventLevel::Info, "The upstream is leaving and gets no new work." },
        EventDescription { EventId::UpstreamEjected, "upstream_ejected", EventLevel::Warning, "An agent's attempts failed in a row; it gets no work but probes." },
        EventDescription { EventId::UpstreamReadmitted, "upstream_readmitted", EventLevel::Info, "A probe succeeded; the agent gets a growing share of work." },
        EventDescription { EventId::RequestRefused, "request_refused", EventLevel::Debug, "A request was refused before it was sent anywhere." },
        EventDescription { EventId::OutcomeUnknown, "outcome_unknown", EventLevel::Warning, "A caller was told that the outcome of its request is unknown." },
        EventDescription { EventId::LateAnswerDropped, "late_answer_dropped", EventLevel::Debug, "An answer came for an attempt that nobody waits for." },
        EventDescription { EventId::RetryScheduled, "retry_scheduled", EventLevel::Debug, "An attempt failed and another follows." },
        EventDescription { EventId::CallFailed, "call_failed", EventLevel::Warning, "A call to the upstream brought no whole answer." },
        EventDescription { EventId::BadCallerRequest, "bad_caller_request", EventLevel::Debug, "A caller's connection was closed because of bad HTTP, a limit or slowness." },
        EventDescription { EventId::LateRequestDropped, "late_request_dropped", EventLevel::Debug, "A copy of a request came that is older than the newest attempt of its entry." },
    };

}

std::span<const EventDescription> eventCatalogue() noexcept
{
    return catalogue;
}

const EventDescription& describe(EventId id) noexcept
{
    return *std::lower_bound(catalogue.begin(), catalogue.end(), id,
        [](const EventDescription& row, EventId wanted) { return row.id < wanted; });
}

}
