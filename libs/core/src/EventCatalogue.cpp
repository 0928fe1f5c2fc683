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
        EventDescription { EventId::StoodStill, "stood_still", EventLevel::Warning, "The process did not run for a while; what came meanwhile is taken in before deadlines count." },
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
        EventDescription { EventId::RequestRefused, "request_refused", EventLevel::Info, "A caller was told that its request did not run; the detail says why." },
        EventDescription { EventId::OutcomeUnknown, "outcome_unknown", EventLevel::Warning, "A caller was told that the outcome of its request is unknown." },
        EventDescription { EventId::LateAnswerDropped, "late_answer_dropped", EventLevel::Debug, "An answer came for an attempt that nobody waits for." },
        EventDescription { EventId::RetryScheduled, "retry_scheduled", EventLevel::Debug, "An attempt failed and another follows." },
        EventDescription { EventId::CallFailed, "call_failed", EventLevel::Warning, "A call to the upstream brought no whole answer." },
        EventDescription { EventId::BadCallerRequest, "bad_caller_request", EventLevel::Debug, "A caller's connection was closed because of bad HTTP, a limit or slowness." },
        EventDescription { EventId::LateRequestDropped, "late_request_dropped", EventLevel::Debug, "A copy of a request came that is older than the newest attempt of its entry." },
        EventDescription { EventId::LeadershipTaken, "leadership_taken", EventLevel::Info, "This entry leads the jobs from now on." },
        EventDescription { EventId::LeadershipLost, "leadership_lost", EventLevel::Warning, "Another entry leads the jobs, or this one gave leadership up." },
        EventDescription { EventId::TablesLoaded, "tables_loaded", EventLevel::Info, "A new leader has read all jobs, their progress and the agents from the store." },
        EventDescription { EventId::StoreLost, "store_lost", EventLevel::Warning, "The store no longer answers this process." },
        EventDescription { EventId::StoreRegained, "store_regained", EventLevel::Info, "The store answers this process again." },
        EventDescription { EventId::FeedRestarted, "feed_restarted", EventLevel::Warning, "A feed of the store was broken or had lost its history; the table is read again." },
        EventDescription { EventId::RowIgnored, "row_ignored", EventLevel::Warning, "A row of the store or an entry of a worker's lists cannot be read, or names nothing usable; it is left out." },
        EventDescription { EventId::ConfigurationInForce, "configuration_in_force", EventLevel::Info, "A newer version of the queues and services is in force." },
        EventDescription { EventId::SettingsReread, "settings_reread", EventLevel::Info, "A signal asked for the settings; they are read at each start." },
        EventDescription { EventId::JobAccepted, "job_accepted", EventLevel::Info, "A job is stored and its caller is told so." },
        EventDescription { EventId::JobRefused, "job_refused", EventLevel::Info, "A job was refused; the detail says why and whether it may have been stored." },
        EventDescription { EventId::JobCancelRequested, "job_cancel_requested", EventLevel::Info, "The cancellation of a job is stored." },
        EventDescription { EventId::JobLearned, "job_learned", EventLevel::Info, "The leader knows of a new job." },
        EventDescription { EventId::JobEnded, "job_ended", EventLevel::Info, "A job is done, failed or cancelled." },
        EventDescription { EventId::JobStateUnavailable, "job_state_unavailable", EventLevel::Warning, "The state of a job could not be read from the store." },
        EventDescription { EventId::RunAssigned, "run_assigned", EventLevel::Info, "A task was placed; the order leaves once this is stored." },
        EventDescription { EventId::RunStarted, "run_started", EventLevel::Info, "A worker accepted a start." },
        EventDescription { EventId::RunEndTaken, "run_end_taken", EventLevel::Info, "The leader took in the end of a run." },
        EventDescription { EventId::RunLost, "run_lost", EventLevel::Warning, "A run never began or can no longer act; its task is placed again." },
        EventDescription { EventId::RunRejectedByWorker, "run_rejected", EventLevel::Warning, "A worker or its agent refused a start." },
        EventDescription { EventId::RunStopOrdered, "run_stop_ordered", EventLevel::Info, "A run is to be stopped." },
        EventDescription { EventId::OrderUnanswered, "order_unanswered", EventLevel::Warning, "An order to a worker has no answer; a higher fencing token voids it." },
        EventDescription { EventId::LastingTaskIdle, "lasting_task_idle", EventLevel::Warning, "A task that lasts has no run that a worker lists; the detail says since when and why." },
        EventDescription { EventId::WorkerSeen, "worker_seen", EventLevel::Info, "A life of the worker reported itself for the first time." },
        EventDescription { EventId::WorkerSettled, "worker_settled", EventLevel::Info, "The leader knows all that runs on a worker." },
        EventDescription { EventId::WorkerGone, "worker_gone", EventLevel::Warning, "A life of the worker is over; nothing of it runs." },
        EventDescription { EventId::WorkerDraining, "worker_draining", EventLevel::Info, "The worker is leaving and gets no new run." },
        EventDescription { EventId::WorkerExcluded, "worker_excluded", EventLevel::Warning, "Runs of several jobs failed on a worker in a row; it gets no run for a while." },
        EventDescription { EventId::GenerationTaken, "generation_taken", EventLevel::Info, "This run of the agent has its generation, from which its fencing tokens follow." },
        EventDescription { EventId::BeatRefused, "beat_refused", EventLevel::Warning, "A report of a worker cannot be read or names another service." },
        EventDescription { EventId::PaceChanged, "pace_changed", EventLevel::Info, "The pace of filling runs was changed by the tail of those that serve." },
        EventDescription { EventId::BeatPassedOver, "beat_passed_over", EventLevel::Warning, "A report or sign-off names another life of the worker than the one in use, or a life that still answers, and changes nothing; the detail says why." },
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
