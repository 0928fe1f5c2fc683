#include "cowslipdoor/core/Error.h"

namespace cowslipdoor {

namespace {

    using ErrorTable = std::array<ErrorDescription, static_cast<std::size_t>(ErrorKind::Internal) + 1>;

    constexpr ErrorTable table { {
        { ErrorKind::BadRequest, "bad_request", 400, Outcome::NotRun, false, "The request is not valid HTTP or has an invalid field." },
        { ErrorKind::HeaderTooLarge, "header_too_large", 431, Outcome::NotRun, false, "The header of the request is larger than the limit." },
        { ErrorKind::BodyTooLarge, "body_too_large", 413, Outcome::NotRun, false, "The body of the request is larger than the limit." },
        { ErrorKind::NoRule, "no_rule", 404, Outcome::NotRun, false, "No rule in force matches the request." },
        { ErrorKind::KeyMissing, "key_missing", 400, Outcome::NotRun, false, "The request is not idempotent and has no Idempotency-Key header." },
        { ErrorKind::KeyReused, "key_reused", 422, Outcome::Unknown, false, "The idempotency key belongs to another request that is still in progress." },
        { ErrorKind::KeyConflict, "key_conflict", 409, Outcome::Unknown, true, "Another entry has a claim on the idempotency key; its copy may have run." },
        { ErrorKind::KeyedUnavailable, "keyed_unavailable", 503, Outcome::Unknown, true, "No agent could tell whether an earlier copy of the request ran; this copy was not sent." },
        { ErrorKind::QuotaExceeded, "quota_exceeded", 429, Outcome::NotRun, true, "The team has as many requests in progress as its quota allows." },
        { ErrorKind::QueueFull, "queue_full", 503, Outcome::NotRun, true, "The entry's queue is full." },
        { ErrorKind::DeadlineBeforeStart, "deadline_before_start", 504, Outcome::NotRun, true, "The deadline passed before an upstream had enough free capacity for the request." },
        { ErrorKind::Busy, "busy", 503, Outcome::NotRun, true, "The VM does not have enough free capacity for the request." },
        { ErrorKind::NotReady, "not_ready", 503, Outcome::NotRun, true, "The agent does not know yet which requests run on its VM." },
        { ErrorKind::Draining, "draining", 503, Outcome::NotRun, true, "The agent or its upstream is shutting down." },
        { ErrorKind::Refused, "refused", 503, Outcome::NotRun, true, "The agent refused the attempt: it has a tombstone or unfinished work for the request, or its upstream does not accept the request's class." },
        { ErrorKind::UpstreamUnreachable, "upstream_unreachable", 502, Outcome::NotRun, true, "The upstream did not accept a connection." },
        { ErrorKind::UpstreamTruncated, "upstream_truncated", 502, Outcome::Unknown, true, "The upstream closed the connection before its response was complete." },
        { ErrorKind::UpstreamBadAnswer, "upstream_bad_answer", 502, Outcome::Unknown, true, "The upstream's response is not valid HTTP." },
        { ErrorKind::UpstreamTimeout, "upstream_timeout", 504, Outcome::Unknown, true, "The upstream did not respond in time." },
        { ErrorKind::AnswerTooLarge, "answer_too_large", 502, Outcome::Ran, false, "The upstream's response is larger than the limit." },
        { ErrorKind::AnswerNotKept, "answer_not_kept", 502, Outcome::Ran, false, "The request ran earlier, and its answer is no longer recorded." },
        { ErrorKind::LinkLost, "link_lost", 502, Outcome::Unknown, true, "The link to the agent was lost while the request was in progress." },
        { ErrorKind::AgentRestarted, "agent_restarted", 502, Outcome::Unknown, true, "The agent restarted and cannot tell whether the request ran." },
        { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, Outcome::Unknown, true, "The deadline passed while the request may have been running." },
        { ErrorKind::Cancelled, "cancelled", 499, Outcome::Unknown, false, "The caller disconnected before the answer." },
        { ErrorKind::BadFrame, "bad_frame", 400, Outcome::NotRun, false, "A frame on a link cannot be decoded." },
        { ErrorKind::BadSetting, "bad_setting", 400, Outcome::NotRun, false, "A setting is invalid or missing." },
        { ErrorKind::BadRules, "bad_rules", 400, Outcome::NotRun, false, "A rules file has errors." },
        { ErrorKind::ConfigurationMissing, "configuration_missing", 503, Outcome::NotRun, true, "The entry has no configuration yet." },
        { ErrorKind::ConfigurationBehind, "configuration_behind", 503, Outcome::NotRun, true, "The entry does not know this queue, and cannot use the newest configuration in full, which may have it." },
        { ErrorKind::StoreUnavailable, "store_unavailable", 503, Outcome::NotRun, true, "The store did not accept the request; nothing of it is stored." },
        { ErrorKind::StoreUnsettled, "store_unsettled", 504, Outcome::Unknown, true, "It could not be determined in time whether the request is stored; it may be sent again with the same identifier." },
        { ErrorKind::JobUnknown, "job_unknown", 410, Outcome::NotRun, false, "There is no job with this identifier." },
        { ErrorKind::SchedulingBehind, "scheduling_behind", 429, Outcome::NotRun, true, "The leader learns of jobs too late to start them in time; this one was not stored." },
        { ErrorKind::JobCancelled, "job_cancelled", 410, Outcome::NotRun, false, "The identifier was cancelled before a job with it was stored; none will run for a while." },
        { ErrorKind::Internal, "internal", 500, Outcome::Unknown, false, "An internal error of the program." },
    } };

}

const ErrorTable& errorTable() noexcept
{
    return table;
}

const ErrorDescription& describeError(ErrorKind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view toString(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

Error::Error(ErrorKind kind, const std::string& detail)
    : std::runtime_error(detail)
    , errorKind(kind)
{
}

}
