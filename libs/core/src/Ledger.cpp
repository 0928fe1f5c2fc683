#include "cowslipdoor/core/Ledger.h"
#include <utility>

namespace cowslipdoor {

namespace {

    struct CompletionSize {
        std::size_t operator()(const Response& response) const noexcept { return response.body.size(); }
        std::size_t operator()(const FailureReason& reason) const noexcept { return reason.detail.size(); }
    };

    struct VerdictFor {
        const AttemptId& attempt;

        LedgerVerdict operator()(const RunningRecord&) const noexcept { return LedgerVerdict::AlreadyRunning; }
        LedgerVerdict operator()(const FinishedRecord&) const noexcept { return LedgerVerdict::AlreadyFinished; }
        LedgerVerdict operator()(const RefusedRecord& record) const
        {
            if (record.attempts.contains(this->attempt))
                return LedgerVerdict::Tombstoned;
            const bool onlyOwnFence = record.fences.size() == record.fences.count(this->attempt.claim);
            return onlyOwnFence ? LedgerVerdict::New : LedgerVerdict::FencedByOther;
        }
    };

}

Ledger::Ledger(LedgerLimits limits) noexcept
    : limits(limits)
{
}

LedgerVerdict Ledger::examine(const RequestId& id, const AttemptId& attempt) const
{
    const Records::const_iterator it = this->records.find(id);
    if (it != this->records.end())
        return std::visit(VerdictFor { attempt }, it->second.record);
    return this->records.size() >= this->limits.maximumRecords ? LedgerVerdict::Full : LedgerVerdict::New;
}

void Ledger::start(const RequestId& id, const AttemptId& attempt, TimePoint now)
{
    StoredRecord& stored = this->records[id];
    this->answerBytes -= std::exchange(stored.answerBytes, 0);
    stored.record = RunningRecord { attempt };
    stored.expiresAt = now;
}

void Ledger::refuse(const RequestId& id, const AttemptId& attempt, bool idempotent, TimePoint now)
{
    this->refusedRecord(id, idempotent, now).attempts.insert(attempt);
}

void Ledger::finish(const RequestId& id, const Completion& completion, bool idempotent, TimePoint now)
{
    StoredRecord& stored = this->records[id];
    const std::size_t size = std::visit(CompletionSize {}, completion);
    FinishedRecord finished;
    if (!idempotent && this->answerBytes + size <= this->limits.maximumAnswerBytes) {
        finished.completion = std::make_shared<const Completion>(completion);
        stored.answerBytes = size;
        this->answerBytes += size;
    }
    stored.record = std::move(finished);
    this->setExpiry(id, stored, now, idempotent);
}

void Ledger::restore(const RequestId& id, const Completion& completion, TimePoint now)
{
    if (!this->records.contains(id))
        this->finish(id, completion, false, now);
}

Report Ledger::inquire(const Inquiry& inquiry, TimePoint now)
{
    const LedgerVerdict verdict = this->examine(inquiry.id, inquiry.attempt);
    if (verdict == LedgerVerdict::AlreadyRunning)
        return { inquiry.id, inquiry.attempt, RequestState::Running, std::nullopt };
    if (verdict == LedgerVerdict::AlreadyFinished) {
        const std::shared_ptr<const Completion> completion = this->completionOf(inquiry.id);
        return { inquiry.id, inquiry.attempt, RequestState::Finished, completion ? std::optional<Completion>(*completion) : std::nullopt };
    }
    if (verdict == LedgerVerdict::Full)
        return { inquiry.id, inquiry.attempt, RequestState::Forgotten, std::nullopt };
    RefusedRecord& record = this->refusedRecord(inquiry.id, false, now);
    record.attempts.insert(inquiry.attempt);
    if (inquiry.fence && verdict == LedgerVerdict::FencedByOther)
        return { inquiry.id, inquiry.attempt, RequestState::FencedByOther, std::nullopt };
    if (inquiry.fence)
        record.fences.insert_or_assign(inquiry.attempt.claim, inquiry.attempt.number);
    return { inquiry.id, inquiry.attempt, RequestState::NotRun, std::nullopt };
}

void Ledger::release(const Release& release)
{
    const Records::iterator it = this->records.find(release.id);
    RefusedRecord* const record = it == this->records.end() ? nullptr : std::get_if<RefusedRecord>(&it->second.record);
    if (!record)
        return;
    const std::map<ClaimId, std::uint64_t>::const_iterator fence = record->fences.find(release.attempt.claim);
    if (fence != record->fences.end() && fence->second == release.attempt.number)
        record->fences.erase(fence);
}

void Ledger::expire(TimePoint now)
{
    this->expireQueue(this->longExpiries, now);
    this->expireQueue(this->shortExpiries, now);
}

std::shared_ptr<const Completion> Ledger::completionOf(const RequestId& id) const
{
    const Records::const_iterator it = this->records.find(id);
    if (it == this->records.end())
        return nullptr;
    const FinishedRecord* const finished = std::get_if<FinishedRecord>(&it->second.record);
    return finished ? finished->completion : nullptr;
}

void Ledger::setExpiry(const RequestId& id, StoredRecord& stored, TimePoint now, bool idempotent)
{
    stored.expiresAt = now + (idempotent ? this->limits.idempotentRetention : this->limits.repeatWindow);
    std::deque<Expiry>& queue = idempotent ? this->shortExpiries : this->longExpiries;
    queue.push_back({ stored.expiresAt, id });
}

RefusedRecord& Ledger::refusedRecord(const RequestId& id, bool idempotent, TimePoint now)
{
    StoredRecord& stored = this->records[id];
    if (!std::holds_alternative<RefusedRecord>(stored.record))
        stored.record = RefusedRecord {};
    this->setExpiry(id, stored, now, idempotent);
    return std::get<RefusedRecord>(stored.record);
}

void Ledger::expireQueue(std::deque<Expiry>& queue, TimePoint now)
{
    while (!queue.empty() && queue.front().at <= now) {
        const Records::iterator it = this->records.find(queue.front().id);
        const bool due = it != this->records.end() && it->second.expiresAt <= now;
        if (due && !std::holds_alternative<RunningRecord>(it->second.record)) {
            this->answerBytes -= it->second.answerBytes;
            this->records.erase(it);
        }
        queue.pop_front();
    }
}

}
