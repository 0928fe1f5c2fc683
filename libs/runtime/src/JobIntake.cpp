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

    /// Converts the result of an insertion.
    struct ToIntakeResult {
        /// Result if a row exists that blocks the insertion.
        FailureReason blocked;

        IntakeResult operator()(const IntakeAccepted& accepted) const { return accepted; }
        IntakeResult operator()(const RowBlocked&) const { return this->blocked; }
        IntakeResult operator()(const FailureReason& failure) const { return failure; }
    };

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
    const Insertion insertion { std::move(row), cancelRowKey(job) };
    const InsertionResult result = co_await this->insert(insertion, deadline);
    co_return std::visit(ToIntakeResult { { ErrorKind::JobCancelled, "the identifier was cancelled before this job was stored" } }, result);
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
    const JobRows found = std::get<JobRows>(rows);
    if (found.present && found.cancelled)
        co_return IntakeAccepted {};
    if (found.cancelled)
        co_return FailureReason { ErrorKind::JobUnknown, "no job " + job.text };
    if (found.present)
        co_return co_await this->cancelKnown(job, deadline);
    co_return co_await this->cancelUnknown(job, deadline);
}

asio::awaitable<IntakeResult> JobIntake::cancelKnown(JobId job, TimePoint deadline)
{
    const Insertion insertion { { cancelRowKey(job), "{}" }, std::nullopt };
    const InsertionResult result = co_await this->insert(insertion, deadline);
    const FailureReason* const failure = std::get_if<FailureReason>(&result);
    this->record(failure ? EventId::JobRefused : EventId::JobCancelRequested, job.text + (failure ? " cancel: " + reasonOf(*failure) : ""));
    co_return std::visit(ToIntakeResult { {} }, result);
}

asio::awaitable<IntakeResult> JobIntake::cancelUnknown(JobId job, TimePoint deadline)
{
    const Insertion insertion { { cancelRowKey(job), "{}" }, jobRowKey(job) };
    const InsertionResult result = co_await this->insert(insertion, deadline);
    if (std::holds_alternative<RowBlocked>(result)) {
        // The job has been stored since its rows were read.
        co_return co_await this->cancelKnown(job, deadline);
    }
    const FailureReason* const failure = std::get_if<FailureReason>(&result);
    this->record(failure ? EventId::JobRefused : EventId::JobCancelRequested, job.text + (failure ? " cancel: " + reasonOf(*failure) : ": there is no such job; one that arrives later is refused"));
    if (failure)
        co_return *failure;
    co_return FailureReason { ErrorKind::JobUnknown, "no job " + job.text };
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

asio::awaitable<JobIntake::InsertionResult> JobIntake::insert(Insertion insertion, TimePoint deadline)
{
    const RowKey key = insertion.row.key;
    if (this->recent.find(key, bootTimeNow()) == InsertionOutcome::Stored)
        co_return IntakeAccepted {};
    // Nothing has been sent, so the job is certainly not stored, and the caller can retry at an entry that reaches the store.
    if (!this->storeReachable())
        co_return this->refusal(key, ErrorKind::StoreUnavailable, "the store does not answer this entry");
    InsertionResult result = co_await this->insertUntilSettled(std::move(insertion), deadline);
    const FailureReason* const failure = std::get_if<FailureReason>(&result);
    if (std::holds_alternative<IntakeAccepted>(result))
        this->recent.note(key, InsertionOutcome::Stored, bootTimeNow());
    else if (failure && failure->kind == ErrorKind::StoreUnsettled)
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

asio::awaitable<JobIntake::InsertionResult> JobIntake::insertUntilSettled(Insertion insertion, TimePoint deadline)
{
    const RowKey key = insertion.row.key;
    std::vector<RowCondition> conditions { { key, 0 } };
    if (insertion.blockedBy)
        conditions.push_back({ *insertion.blockedBy, 0 });
    const Transaction transaction { conditions, { std::move(insertion.row) }, {} };
    RowInsertion decisions(key, bootTimeNow(), deadline);
    while (true) {
        const Duration left = std::max<Duration>(deadline - bootTimeNow(), std::chrono::milliseconds(1));
        const TransactionResult result = co_await this->store.transact(transaction, std::min(storeCallLimit, left));
        const InsertVerdict verdict = decisions.decide(result, bootTimeNow());
        const RowStored* const stored = std::get_if<RowStored>(&verdict);
        if (stored)
            co_return IntakeAccepted { stored->version };
        if (std::holds_alternative<RowBlocked>(verdict))
            co_return RowBlocked {};
        const RowNotStored* const notStored = std::get_if<RowNotStored>(&verdict);
        if (notStored)
            co_return this->refusal(key, ErrorKind::StoreUnavailable, notStored->reason);
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
