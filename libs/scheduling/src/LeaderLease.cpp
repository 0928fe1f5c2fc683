#include "cowslipdoor/scheduling/LeaderLease.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    constexpr std::uint64_t wholeCore = 1000;

}

LeaderLease::LeaderLease(LeaseConfig config)
    : config(std::move(config))
{
}

void LeaderLease::rowRead(const std::optional<LeaderRecord>& record, RowVersion version, TimePoint now)
{
    this->reading = false;
    this->readAt = now + this->config.pollInterval;
    if (this->leads || this->inFlight)
        return;
    if (this->version != version) {
        this->version = version;
        this->unchangedSince = now;
    }
    this->current = record.value_or(LeaderRecord { .epoch = this->current.epoch });
}

void LeaderLease::rowReadFailed(TimePoint now)
{
    this->reading = false;
    this->readAt = now + this->config.retryDelay;
    if (!this->leads && !this->inFlight)
        this->version.reset();
}

bool LeaderLease::wantsRead(TimePoint now) const noexcept
{
    return !this->leads && !this->inFlight && !this->reading && now >= this->readAt;
}

bool LeaderLease::wantsTakeover(TimePoint now) const noexcept
{
    if (this->leads || this->inFlight || this->retired || now < this->yieldedUntil || !this->version)
        return false;
    const bool own = this->current.holder == this->config.holder;
    const Duration lease = this->current.holder.empty() ? Duration::zero() : this->config.leaseTime;
    return own || now - this->unchangedSince >= lease + this->takeoverDelay();
}

Duration LeaderLease::takeoverDelay() const noexcept
{
    if (this->version == RowVersion { 0 })
        return this->config.firstTakeoverDelay * (wholeCore - std::min(this->config.milliCores, wholeCore)) / wholeCore;
    return this->config.milliCores < this->current.maximumMilliCores ? this->config.smallerTakeoverDelay : Duration::zero();
}

bool LeaderLease::wantsRenewal(TimePoint now) const noexcept
{
    return this->leads && !this->inFlight && now - this->lastWrite >= this->config.renewInterval;
}

Transaction LeaderLease::begin(std::vector<RowWrite> writes, std::vector<RowKey> removals, TimePoint now)
{
    LeaderRecord next = this->current;
    next.holder = this->config.holder;
    next.incarnation = this->config.incarnation;
    ++next.sequence;
    next.maximumMilliCores = std::max(next.maximumMilliCores, this->config.milliCores);
    if (!this->leads) {
        next.epoch = this->current.epoch + 1;
        next.sequence = 1;
        this->learnedVersion = 0;
        // The earlier leader sent its last write before the version of that write was first read.
        this->earlierLeaseEndLimit = this->unchangedSince + this->config.leaseTime;
        this->keepSilence(now);
    }
    next.learnedVersion = this->learnedVersion;
    next.silent = this->silent;
    return this->send(std::move(next), std::move(writes), std::move(removals), now);
}

void LeaderLease::keepSilence(TimePoint now)
{
    this->silent.clear();
    this->silentSince.clear();
    for (const SilentAgent& known : this->current.silent) {
        // The row was written before it was first read.
        const TimePoint since = this->unchangedSince - known.silentFor;
        this->silentSince.emplace(known.agent, since);
        this->silent.push_back({ known.agent, now - since });
    }
}

Transaction LeaderLease::beginRelease(TimePoint now)
{
    LeaderRecord next = this->current;
    next.holder.clear();
    next.incarnation = 0;
    ++next.sequence;
    return this->send(std::move(next), {}, {}, now);
}

CommitVerdict LeaderLease::finished(const TransactionResult& result, TimePoint now)
{
    if (!this->inFlight)
        return CommitVerdict::Repeat;
    const Applied* const done = std::get_if<Applied>(&result);
    if (done)
        return this->applied(done->version, this->inFlight->lastSent);
    const Conflict* const conflict = std::get_if<Conflict>(&result);
    if (conflict)
        return this->conflicted(*conflict, now);
    const StoreRefused* const refused = std::get_if<StoreRefused>(&result);
    const bool hasOtherRows = this->inFlight->transaction.writes.size() > 1 || !this->inFlight->transaction.removals.empty();
    if (refused && refused->invalid && hasOtherRows) {
        this->inFlight.reset();
        return CommitVerdict::Refused;
    }
    this->inFlight->repeatAt = now + this->config.retryDelay;
    return CommitVerdict::Repeat;
}

std::optional<Transaction> LeaderLease::repeat(TimePoint now)
{
    if (!this->inFlight || !this->inFlight->repeatAt || now < *this->inFlight->repeatAt)
        return std::nullopt;
    this->inFlight->repeatAt.reset();
    this->inFlight->lastSent = now;
    return this->inFlight->transaction;
}

bool LeaderLease::valid(TimePoint now) const noexcept
{
    const bool releasing = this->inFlight && this->inFlight->record.holder.empty();
    return this->leads && !releasing && now < this->validUntil;
}

std::optional<TimePoint> LeaderLease::nextWakeup() const noexcept
{
    if (this->inFlight)
        return this->inFlight->repeatAt;
    if (this->leads)
        return this->lastWrite + this->config.renewInterval;
    if (this->reading)
        return std::nullopt;
    return this->readAt;
}

Transaction LeaderLease::send(LeaderRecord record, std::vector<RowWrite> writes, std::vector<RowKey> removals, TimePoint now)
{
    writes.push_back({ leaderRowKey(), print(record) });
    Transaction transaction { { { leaderRowKey(), this->version.value_or(0) } }, std::move(writes), std::move(removals) };
    this->inFlight = InFlight { transaction, std::move(record), now, now, std::nullopt };
    return transaction;
}

CommitVerdict LeaderLease::conflicted(const Conflict& conflict, TimePoint now)
{
    const std::vector<Row>::const_iterator row = std::find_if(conflict.rows.begin(), conflict.rows.end(),
        [](const Row& candidate) { return candidate.key == leaderRowKey(); });
    const std::optional<LeaderRecord> present = row == conflict.rows.end() ? std::nullopt : parseLeaderRecord(row->value);
    if (present && *present == this->inFlight->record)
        return this->applied(row->version, this->inFlight->firstSent);
    this->inFlight.reset();
    this->leads = false;
    this->current = present.value_or(LeaderRecord { .epoch = this->current.epoch });
    this->version = row == conflict.rows.end() ? 0 : row->version;
    this->unchangedSince = now;
    this->readAt = now + this->config.pollInterval;
    return CommitVerdict::LostLeadership;
}

CommitVerdict LeaderLease::applied(RowVersion version, TimePoint sentAt)
{
    const bool before = this->leads;
    this->current = this->inFlight->record;
    this->version = version;
    this->lastWrite = sentAt;
    this->validUntil = sentAt + this->config.leaseTime;
    this->inFlight.reset();
    this->leads = !this->current.holder.empty();
    if (!this->leads)
        return CommitVerdict::LostLeadership;
    return before ? CommitVerdict::Applied : CommitVerdict::TookOver;
}

}
