#pragma once

/// @file
/// @brief An agent's record of what became of each request, so that its answers about them are true.

#include "Ids.h"
#include "Messages.h"
#include "Request.h"
#include "Time.h"
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace cowslipdoor {

/// @brief Limits of a ledger.
struct LedgerLimits {
    /// How long the record of a non-idempotent request is kept after its last change.
    Duration repeatWindow = std::chrono::seconds(60);
    /// How long the record of an idempotent request is kept after its last change.
    Duration idempotentRetention = std::chrono::seconds(5);
    /// Records kept at most; a full ledger refuses new requests rather than forget one.
    std::size_t maximumRecords = 200'000;
    /// Bytes of recorded answers kept at most; past that only the fact is kept.
    std::size_t maximumAnswerBytes = 8 * 1024 * 1024;

    bool operator==(const LedgerLimits&) const = default;
};

/// @brief The request runs now.
struct RunningRecord {
    AttemptId attempt;

    bool operator==(const RunningRecord&) const = default;
};

/// @brief The request ended.
struct FinishedRecord {
    /// The end, or null when there was no room for it.
    std::shared_ptr<const Completion> completion;

    bool operator==(const FinishedRecord&) const = default;
};

/// @brief The request has not run; the listed attempts never will, nor any of another claim while it is fenced.
struct RefusedRecord {
    std::set<AttemptId> attempts;
    /// For each claim that has a fence, the number of the attempt that set it.
    std::map<ClaimId, std::uint64_t> fences;

    bool operator==(const RefusedRecord&) const = default;
};

/// @brief What the ledger has on one request.
using LedgerRecord = std::variant<RunningRecord, FinishedRecord, RefusedRecord>;

/// @brief What to do with an attempt that arrives.
enum class LedgerVerdict : unsigned char {
    /// Nothing stands against running it.
    New,
    /// It runs already; the sender waits for that run's end.
    AlreadyRunning,
    /// It has ended; the recorded end is the answer.
    AlreadyFinished,
    /// A tombstone stands against this attempt: it has not run and will not.
    Tombstoned,
    /// Another claim has a fence on the request.
    FencedByOther,
    /// There is no room to record it.
    Full,
};

/// @brief Record of what became of each request within the repeat window.
/// @code
/// Ledger ledger(LedgerLimits {});
/// if (ledger.examine(id, attempt) == LedgerVerdict::New)
///     ledger.start(id, attempt, now);
/// @endcode
class Ledger {
public:
    /// @param limits sizes and times
    explicit Ledger(LedgerLimits limits) noexcept;

    /// @brief Judges an attempt that arrives; changes nothing.
    /// @param id the request
    /// @param attempt the attempt
    /// @return what to do with it
    [[nodiscard]] LedgerVerdict examine(const RequestId& id, const AttemptId& attempt) const;

    /// @brief Records that a request runs.
    /// @param id the request
    /// @param attempt the attempt that runs
    /// @param now the present
    void start(const RequestId& id, const AttemptId& attempt, TimePoint now);

    /// @brief Records that an attempt was refused, so that a late copy of it is refused as well.
    /// @param id the request
    /// @param attempt the attempt
    /// @param idempotent whether the short retention applies
    /// @param now the present
    void refuse(const RequestId& id, const AttemptId& attempt, bool idempotent, TimePoint now);

    /// @brief Records how a request ended.
    /// @param id the request
    /// @param completion the end
    /// @param idempotent whether the short retention applies
    /// @param now the present
    void finish(const RequestId& id, const Completion& completion, bool idempotent, TimePoint now);

    /// @brief Records a non-idempotent request that an earlier run of the agent is known to have sent.
    /// @param id the request; one that has a record already keeps it
    /// @param completion what to answer to a copy of it
    /// @param now the present
    void restore(const RequestId& id, const Completion& completion, TimePoint now);

    /// @brief Answers what became of an attempt; one not seen gets a tombstone first.
    /// @param inquiry what is asked
    /// @param now the present
    /// @return what is known, never "not run" for something that may still run
    [[nodiscard]] Report inquire(const Inquiry& inquiry, TimePoint now);

    /// @brief Takes back a fence; any other fence, also a later one of the same claim, stays.
    /// @param release which one
    void release(const Release& release);

    /// @brief Forgets records past their time.
    /// @param now the present
    void expire(TimePoint now);

    /// @return the number of records
    [[nodiscard]] std::size_t size() const noexcept { return this->records.size(); }

    /// @param id the request
    /// @return its recorded end, or null
    [[nodiscard]] std::shared_ptr<const Completion> completionOf(const RequestId& id) const;

private:
    struct StoredRecord {
        LedgerRecord record;
        TimePoint expiresAt;
        std::size_t answerBytes = 0;
    };

    struct Expiry {
        TimePoint at;
        RequestId id;
    };

    using Records = std::unordered_map<RequestId, StoredRecord, RequestIdHash>;

    void setExpiry(const RequestId& id, StoredRecord& stored, TimePoint now, bool idempotent);
    [[nodiscard]] RefusedRecord& refusedRecord(const RequestId& id, bool idempotent, TimePoint now);
    void expireQueue(std::deque<Expiry>& queue, TimePoint now);

    LedgerLimits limits;
    Records records;
    std::deque<Expiry> longExpiries;
    std::deque<Expiry> shortExpiries;
    std::size_t answerBytes = 0;
};

}
