#include "cowslipdoor/runtime/JobIntake.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/Process.h"
#include "cowslipdoor/runtime/TableFeed.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    /// Byte after the dot in ASCII. It ends the key range that holds a job's row and the rows whose keys add a dot and a suffix.
    constexpr char afterDot = '/';

    std::string reasonOf(const FailureReason& reason)
    {
        return std::string(describeError(reason.kind).name) + ", " + reason.detail;
    }

}

JobIntake::JobIntake(StorePort store, std::function<bool()> storeReachable, const Log& log, Metrics& metrics)
    : store(std::move(store))
    , storeReachable(std::move(storeReachable))
    , log(log)
    , metrics(metrics)
{
}

asio::awaitable<IntakeResult> JobIntake::submit(JobSpec spec, TimePoint deadline)
{
    spec.acceptedAtMs = timeOfDayMs();
    const std::string id = spec.id.text;
    const std::string queue = spec.queue;
    const RowWrite row { jobRowKey(spec.id), print(spec) };
    if (row.value.size() > maximumRowBytes) {
        const FailureReason tooLarge { ErrorKind::BadRequest, "the job takes " + std::to_string(row.value.size()) + " bytes of at most " + std::to_string(maximumRowBytes) };
        this->record(EventId::JobRefused, id + " of queue " + queue + ": " + reasonOf(tooLarge));
        co_return tooLarge;
    }
    IntakeResult result = co_await this->insertUnlessBehind(row, spec.id, deadline);
    const FailureReason* const failure = std::get_if<FailureReason>(&result);
    if (failure) {
        this->record(EventId::JobRefused, id + " of queue " + queue + ": " + reasonOf(*failure));
        co_return result;
    }
    if (std::get<IntakeAccepted>(result).version != 0)
        this->unlearned.stored(std::get<IntakeAccepted>(result).version, bootTimeNow());
    this->record(EventId::JobAccepted, id + " of queue " + queue);
    co_return result;
}

asio::awaitable<IntakeResult> JobIntake::insertUnlessBehind(RowWrite row, JobId job, TimePoint deadline)
{
    const bool known = this->recent.find(row.key, bootTimeNow()) == InsertionOutcome::Stored;
    if (!known && this->unlearned.rejecting())
        co_return this->refusal(row.key, ErrorKind::SchedulingBehind, "the leader's lag is " + std::to_string(toMilliseconds(this->unlearned.lag())) + " ms", this->unlearned.retryAfter(job));
    IntakeResult result = co_await this->insert(std::move(row), deadline);
    co_return result;
}

void JobIntake::learned(RowVersion upTo)
{
    recordContact(this->unlearned.learned(upTo, bootTimeNow()), this->log, this->metrics);
}

asio::awaitable<IntakeResult> JobIntake::cancel(JobId job, TimePoint deadline)
{
    const JobRowsResult rows = co_await this->readJob(job);
    const FailureReason* const failure = std::get_if<FailureReason>(&rows);
    if (failure) {
        this->record(EventId::JobRefused, job.text + " cancel: " + reasonOf(*failure));
        co_return *failure;
    }
    if (!std::get<JobRows>(rows).present)
        co_return FailureReason { ErrorKind::JobUnknown, "no job " + job.text };
    if (std::get<JobRows>(rows).cancelled)
        co_return IntakeAccepted {};
    const RowWrite row { cancelRowKey(job), "{}" };
    IntakeResult result = co_await this->insert(row, deadline);
    const bool stored = std::holds_alternative<IntakeAccepted>(result);
    this->record(stored ? EventId::JobCancelRequested : EventId::JobRefused, job.text + (stored ? "" : " cancel: " + reasonOf(std::get<FailureReason>(result))));
    co_return result;
}

asio::awaitable<StateResult> JobIntake::state(JobId job)
{
    const JobRowsResult rows = co_await this->readJob(job);
    const FailureReason* const failure = std::get_if<FailureReason>(&rows);
    if (failure) {
        this->record(EventId::JobStateUnavailable, job.text + ": " + reasonOf(*failure));
        co_return *failure;
    }
    if (!std::get<JobRows>(rows).present)
        co_return FailureReason { ErrorKind::JobUnknown, "no job " + job.text };
    const RowKey key = progressRowKey(job);
    const ReadResult read = co_await this->readRow(key);
    const StoreRefused* const refused = std::get_if<StoreRefused>(&read);
    if (refused) {
        this->record(EventId::JobStateUnavailable, job.text + ": " + refused->reason);
        co_return FailureReason { ErrorKind::StoreUnavailable, refused->reason };
    }
    const std::vector<Row>& found = std::get<RowPage>(read).rows;
    const std::optional<ProgressRecord> progress = found.empty() ? std::nullopt : parseProgressRecord(found.front().value);
    const JobState stored = progress ? progress->state : JobState::Queued;
    co_return !isTerminal(stored) && std::get<JobRows>(rows).cancelled ? JobState::Cancelled : stored;
}

asio::awaitable<PendingResult> JobIntake::pending(std::string queue)
{
    const ReadResult read = co_await this->readRow(pendingRowKey());
    const StoreRefused* const refused = std::get_if<StoreRefused>(&read);
    if (refused)
        co_return FailureReason { ErrorKind::StoreUnavailable, refused->reason };
    const std::vector<Row>& found = std::get<RowPage>(read).rows;
    const std::optional<PendingCounts> counts = found.empty() ? std::nullopt : parsePendingCounts(found.front().value);
    if (!counts)
        co_return 0U;
    const PendingCounts::const_iterator it = counts->find(queue);
    co_return it == counts->end() ? 0U : it->second;
}

asio::awaitable<IntakeResult> JobIntake::insert(RowWrite row, TimePoint deadline)
{
    if (this->recent.find(row.key, bootTimeNow()) == InsertionOutcome::Stored)
        co_return IntakeAccepted {};
    // Nothing has been sent, so the job is certainly not stored, and the caller can retry at an entry that reaches the store.
    if (!this->storeReachable())
        co_return this->refusal(row.key, ErrorKind::StoreUnavailable, "the store does not answer this entry");
    const RowKey key = row.key;
    IntakeResult result = co_await this->insertUntilSettled(std::move(row), deadline);
    const FailureReason* const failure = std::get_if<FailureReason>(&result);
    if (!failure)
        this->recent.note(key, InsertionOutcome::Stored, bootTimeNow());
    else if (failure->kind == ErrorKind::StoreUnsettled)
        this->recent.note(key, InsertionOutcome::Unsettled, bootTimeNow());
    co_return result;
}

FailureReason JobIntake::refusal(const RowKey& key, ErrorKind kind, const std::string& reason, Duration retryAfter) const
{
    // An earlier copy of the request had no answer and may be stored, so the reply must not say that nothing is stored.
    if (this->recent.find(key, bootTimeNow()) == InsertionOutcome::Unsettled)
        return { ErrorKind::StoreUnsettled, reason + ", and an earlier copy of this request had no answer from the store" };
    return { kind, reason, retryAfter };
}

asio::awaitable<IntakeResult> JobIntake::insertUntilSettled(RowWrite row, TimePoint deadline)
{
    const Transaction transaction { { { row.key, 0 } }, { row }, {} };
    RowInsertion insertion(bootTimeNow(), deadline);
    while (true) {
        const Duration left = std::max<Duration>(deadline - bootTimeNow(), std::chrono::milliseconds(1));
        const TransactionResult result = co_await this->store.transact(transaction, std::min(storeCallLimit, left));
        const InsertVerdict verdict = insertion.decide(result, bootTimeNow());
        const RowStored* const stored = std::get_if<RowStored>(&verdict);
        if (stored)
            co_return IntakeAccepted { stored->version };
        const RowNotStored* const notStored = std::get_if<RowNotStored>(&verdict);
        if (notStored)
            co_return this->refusal(row.key, ErrorKind::StoreUnavailable, notStored->reason);
        const InsertAgain* const again = std::get_if<InsertAgain>(&verdict);
        if (!again)
            co_return FailureReason { ErrorKind::StoreUnsettled, "no answer from the store before the deadline" };
        co_await pauseFor(again->pause);
    }
}

asio::awaitable<JobIntake::JobRowsResult> JobIntake::readJob(JobId job)
{
    const RowKey key = jobRowKey(job);
    const RowRange range { key.table, key.part, key.key, key.key + afterDot };
    const ReadResult read = co_await this->store.read(range);
    const StoreRefused* const refused = std::get_if<StoreRefused>(&read);
    if (refused)
        co_return FailureReason { ErrorKind::StoreUnavailable, refused->reason };
    JobRows rows;
    for (const Row& row : std::get<RowPage>(read).rows) {
        rows.present = rows.present || row.key == key;
        rows.cancelled = rows.cancelled || row.key == cancelRowKey(job);
    }
    co_return rows;
}

asio::awaitable<ReadResult> JobIntake::readRow(RowKey key)
{
    const RowRange range = rangeOf(key);
    co_return co_await this->store.read(range);
}

void JobIntake::record(EventId event, const std::string& detail)
{
    this->metrics.countEvent(event);
    this->log.record(event, detail);
}

}
