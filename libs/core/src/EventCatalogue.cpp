#include "cowslipdoor/core/EventCatalogue.h"
#include <algorithm>
#include <array>

namespace cowslipdoor {

namespace {

    constexpr std::array catalogue {
        EventDescription { EventId::ProcessStarted, "process_started", EventLevel::Info, "The settings are valid and the process is listening." },
        EventDescription { EventId::ProcessStopped, "process_stopped", EventLevel::Info, "The process exits." },
        EventDescription { EventId::DrainStarted, "drain_started", EventLevel::Info, "A graceful shutdown has begun; work in progress is finished first." },
        EventDescription { EventId::DrainFinished, "drain_finished", EventLevel::Info, "A graceful shutdown has finished all work in progress." },
        EventDescription { EventId::DrainCut, "drain_cut", EventLevel::Warning, "A second signal or the drain limit aborted a graceful shutdown; the detail says what was aborted." },
        EventDescription { EventId::ListenFailed, "listen_failed", EventLevel::Error, "The process cannot listen on an address." },
        EventDescription { EventId::StoodStill, "stood_still", EventLevel::Warning, "The process was stalled; messages that arrived meanwhile are processed before deadlines apply." },
        EventDescription { EventId::TaskFailed, "task_failed", EventLevel::Error, "An unexpected error ended a task on which the process depends, so the process exits with code 1; the detail has the task and the error." },
        EventDescription { EventId::TurnTookLong, "turn_took_long", EventLevel::Warning, "Handling one message took so long that lease renewals or renewal grants came late; the detail has the task and the time." },
        EventDescription { EventId::RulesInForce, "rules_in_force", EventLevel::Info, "A newer version of the rules is in force." },
        EventDescription { EventId::RulesRefused, "rules_refused", EventLevel::Error, "A rules file has errors, cannot be read or is older than the rules in force, which stay." },
        EventDescription { EventId::RulesConflict, "rules_conflict", EventLevel::Error, "Two different rules files state the same version; the rules in force stay." },
        EventDescription { EventId::LinkOpened, "link_opened", EventLevel::Info, "A link between an entry and an agent is open." },
        EventDescription { EventId::LinkClosed, "link_closed", EventLevel::Info, "A link between an entry and an agent has closed." },
        EventDescription { EventId::LinkRefused, "link_refused", EventLevel::Warning, "A peer was refused on a link: it does not follow the protocol, or is not the expected agent or the current leader." },
        EventDescription { EventId::FrameRefused, "frame_refused", EventLevel::Warning, "A frame on a link cannot be decoded, so the link is closed; or it has a message that the receiver does not accept." },
        EventDescription { EventId::LinkSilent, "link_silent", EventLevel::Warning, "No message arrived on a link within the silence limit; the link is closed." },
        EventDescription { EventId::OutboxFull, "outbox_full", EventLevel::Warning, "The outbox of a link was full, so the link is closed and the messages in it are lost; the detail has the peer and their number." },
        EventDescription { EventId::UpstreamAnnounced, "upstream_announced", EventLevel::Info, "An incarnation of the upstream sent its first announcement." },
        EventDescription { EventId::UpstreamRecovered, "upstream_recovered", EventLevel::Info, "The agent knows which requests run on its VM and admits new ones." },
        EventDescription { EventId::AnnouncementRefused, "announcement_refused", EventLevel::Warning, "An announcement of the upstream cannot be parsed." },
        EventDescription { EventId::UpstreamLeaving, "upstream_leaving", EventLevel::Info, "The upstream is shutting down and gets no new requests." },
        EventDescription { EventId::UpstreamEjected, "upstream_ejected", EventLevel::Warning, "Consecutive attempts on an agent failed; it is ejected and gets only probes." },
        EventDescription { EventId::UpstreamReadmitted, "upstream_readmitted", EventLevel::Info, "A probe of an ejected agent succeeded; the agent gets a growing share of requests." },
        EventDescription { EventId::RequestRefused, "request_refused", EventLevel::Info, "A request was answered with an error and did not run; the detail says why." },
        EventDescription { EventId::OutcomeUnknown, "outcome_unknown", EventLevel::Warning, "A request was answered with an error, and it is unknown whether it ran." },
        EventDescription { EventId::LateAnswerDropped, "late_answer_dropped", EventLevel::Debug, "An answer arrived for an attempt that is no longer in progress." },
        EventDescription { EventId::RetryScheduled, "retry_scheduled", EventLevel::Debug, "An attempt failed and will be retried." },
        EventDescription { EventId::CallFailed, "call_failed", EventLevel::Warning, "A call to the upstream got no complete response." },
        EventDescription { EventId::BadCallerRequest, "bad_caller_request", EventLevel::Debug, "A caller's connection was closed because of invalid HTTP, an exceeded limit or slow transfer." },
        EventDescription { EventId::LateRequestDropped, "late_request_dropped", EventLevel::Debug, "A late copy of a request was dropped: its attempt is not newer than the newest attempt of its entry." },
        EventDescription { EventId::LeadershipTaken, "leadership_taken", EventLevel::Info, "This entry has become the leader, which schedules the jobs." },
        EventDescription { EventId::LeadershipLost, "leadership_lost", EventLevel::Warning, "Another entry has become the leader, or this one has released leadership." },
        EventDescription { EventId::TablesLoaded, "tables_loaded", EventLevel::Info, "A new leader has read all jobs, their progress and the agents from the store." },
        EventDescription { EventId::StoreLost, "store_lost", EventLevel::Warning, "The store no longer answers this process." },
        EventDescription { EventId::StoreRegained, "store_regained", EventLevel::Info, "The store answers this process again." },
        EventDescription { EventId::FeedRestarted, "feed_restarted", EventLevel::Warning, "A feed of the store broke or has lost its history; the table is read again." },
        EventDescription { EventId::RowIgnored, "row_ignored", EventLevel::Warning, "A row of the store or an item of a worker's answer cannot be parsed, or refers to nothing usable; it is ignored." },
        EventDescription { EventId::ConfigurationInForce, "configuration_in_force", EventLevel::Info, "A newer configuration of queues and services is in force." },
        EventDescription { EventId::SettingsReread, "settings_reread", EventLevel::Info, "A signal asked to reload the settings; they are only read at the start of the process." },
        EventDescription { EventId::ConfigurationBehind, "configuration_behind", EventLevel::Error, "The newest stored configuration is not in force, or only its first queues are; the detail says why." },
        EventDescription { EventId::JobAccepted, "job_accepted", EventLevel::Info, "A job is stored, and its acceptance is reported to the caller." },
        EventDescription { EventId::JobRefused, "job_refused", EventLevel::Info, "A job was refused; the detail says why and whether it may have been stored." },
        EventDescription { EventId::JobCancelRequested, "job_cancel_requested", EventLevel::Info, "The cancellation of a job is stored." },
        EventDescription { EventId::JobLearned, "job_learned", EventLevel::Info, "The leader has learned of a new job." },
        EventDescription { EventId::JobEnded, "job_ended", EventLevel::Info, "A job is done, failed or cancelled." },
        EventDescription { EventId::JobStateUnavailable, "job_state_unavailable", EventLevel::Warning, "The state of a job could not be read from the store." },
        EventDescription { EventId::JobsLearnedLate, "jobs_learned_late", EventLevel::Warning, "The leader's knowledge of jobs and cancellations is over 1 s old; over 2 s, it places and orders nothing." },
        EventDescription { EventId::IntakeLimited, "intake_limited", EventLevel::Warning, "This entry begins or ends to reject jobs because the leader learns of them too late; the detail has the lag." },
        EventDescription { EventId::WriteRefused, "write_refused", EventLevel::Warning, "The store refuses a write of the leader for what it contains; its rows are written one by one, and one that is refused alone is left out." },
        EventDescription { EventId::CancellationsExpired, "cancellations_expired", EventLevel::Info, "The leader removes old cancellations of jobs that never arrived." },
        EventDescription { EventId::RunAssigned, "run_assigned", EventLevel::Info, "A task was placed on a worker; the start order is sent once the placement is stored." },
        EventDescription { EventId::RunStarted, "run_started", EventLevel::Info, "A worker accepted the start of a run." },
        EventDescription { EventId::RunEndTaken, "run_end_taken", EventLevel::Info, "The leader has processed the end of a run." },
        EventDescription { EventId::RunLost, "run_lost", EventLevel::Warning, "A run never started or can no longer act; its task is placed again." },
        EventDescription { EventId::RunRejectedByWorker, "run_rejected", EventLevel::Warning, "A worker or its agent refused the start of a run." },
        EventDescription { EventId::RunStopOrdered, "run_stop_ordered", EventLevel::Info, "The leader ordered the stop of a run." },
        EventDescription { EventId::OrderUnanswered, "order_unanswered", EventLevel::Warning, "An order to a worker got no answer, or that of another incarnation; a higher fencing token makes it invalid." },
        EventDescription { EventId::LastingTaskIdle, "lasting_task_idle", EventLevel::Warning, "A long-running task has no run that a worker lists; the detail says since when and why." },
        EventDescription { EventId::WorkerSeen, "worker_seen", EventLevel::Info, "An incarnation of the worker sent its first heartbeat." },
        EventDescription { EventId::WorkerSettled, "worker_settled", EventLevel::Info, "The leader knows all runs on a worker." },
        EventDescription { EventId::WorkerGone, "worker_gone", EventLevel::Warning, "An incarnation of the worker has ended; none of its runs is left." },
        EventDescription { EventId::WorkerDraining, "worker_draining", EventLevel::Info, "The worker is draining and gets no new runs." },
        EventDescription { EventId::WorkerExcluded, "worker_excluded", EventLevel::Warning, "Consecutive runs of several jobs failed on a worker, or its runs stalled; it gets no new runs for a while." },
        EventDescription { EventId::GenerationTaken, "generation_taken", EventLevel::Info, "This incarnation of the agent has obtained its generation, from which its fencing tokens are derived." },
        EventDescription { EventId::BeatRefused, "beat_refused", EventLevel::Warning, "A heartbeat of a worker cannot be parsed, or a request or connection at the address for heartbeats is refused." },
        EventDescription { EventId::PaceChanged, "pace_changed", EventLevel::Info, "The pace of best-effort runs was changed because of the tail latency of serving runs." },
        EventDescription { EventId::BeatPassedOver, "beat_passed_over", EventLevel::Warning, "A heartbeat or sign-off was ignored: it names an incarnation of the worker other than the current one, or one that still answers; the detail says why." },
        EventDescription { EventId::LongLeaseHeld, "long_lease_held", EventLevel::Warning, "A worker may hold a lease that an agent computed by the clock of an earlier incarnation; until it is as short as usual, its runs are stopped and it gets no new ones." },
        EventDescription { EventId::DomainEvacuated, "domain_evacuated", EventLevel::Info, "The operator evacuates a failure domain; no run is started there until it is restored. The detail has the workers and runs there." },
        EventDescription { EventId::DomainRestored, "domain_restored", EventLevel::Info, "The operator has returned an evacuated failure domain to service." },
        EventDescription { EventId::EvacuationProgress, "evacuation_progress", EventLevel::Info, "Runs are left in an evacuated failure domain; the detail says how many, and how many tasks wait." },
        EventDescription { EventId::AgentsSettled, "agents_settled", EventLevel::Info, "A new leader no longer waits for agents to report their runs before it places long-running and best-effort tasks; the detail has the wait and the agents that have not reported." },
        EventDescription { EventId::ClientLimited, "client_limited", EventLevel::Warning, "Connections of clients were closed or refused because of a limit; the detail has the limit and how many." },
        EventDescription { EventId::ConnectionFailed, "connection_failed", EventLevel::Error, "An unexpected error ended the service of one connection, which is closed, or one call; the detail says why." },
        EventDescription { EventId::PlaceAwaited, "place_awaited", EventLevel::Debug, "A task waits for a place on which it is expected to end earlier than on the one available now." },
        EventDescription { EventId::PlaceWaitEnded, "place_wait_ended", EventLevel::Debug, "A task no longer waits for a better place; the detail has the expected and the actual wait." },
        EventDescription { EventId::HeadroomExceeded, "headroom_exceeded", EventLevel::Error, "A task was not assigned, as the chosen worker lacks the headroom; this is a fault of the choice of a worker." },
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
