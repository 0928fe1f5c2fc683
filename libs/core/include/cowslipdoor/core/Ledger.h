#pragma once

/// @file
/// @brief Record of the requests that an agent has run or refused, from which it answers inquiries.

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

/// @brief Limits of a Ledger.
struct LedgerLimits {
    /// Retention time of the record of a non-idempotent request after its last change.
    Duration repeatWindow = std::chrono::seconds(60);
    /// Retention time of the record of an idempotent request after its last change.
    Duration idempotentRetention = std::chrono::seconds(5);
    /// Maximum number of records; a full ledger refuses new requests instead of dropping a record.
    std::size_t maximumRecords = 200'000;
    /// Maximum size of all recorded results, in bytes; beyond it only the fact that a request has ended is recorded.
    std::size_t maximumAnswerBytes = 8 * 1024 * 1024;

    bool operator==(const LedgerLimits&) const = default;
};

/// @brief The request is running.
struct RunningRecord {
    AttemptId attempt;

    bool operator==(const RunningRecord&) const = default;
};

/// @brief The request has ended.
struct FinishedRecord {
    /// Result; null for an idempotent request and when it would have exceeded LedgerLimits::maximumAnswerBytes.
    std::shared_ptr<const Completion> completion;

    bool operator==(const FinishedRecord&) const = default;
};

/// @brief The request has not run. The listed attempts are refused; while a claim has a fence, attempts of all other claims are too.
struct RefusedRecord {
    std::set<AttemptId> attempts;
    /// Number of the attempt that set the fence, for each claim with a fence.
    std::map<ClaimId, std::uint64_t> fences;

    bool operator==(const RefusedRecord&) const = default;
};

/// @brief Record of one request.
using LedgerRecord = std::variant<RunningRecord, FinishedRecord, RefusedRecord>;

/// @brief How to treat an attempt that arrives.
enum class LedgerVerdict : unsigned char {
    /// It may run.
    New,
    /// The request is already running; the sender waits for its result.
    AlreadyRunning,
    /// The request has ended; the recorded result is the answer.
    AlreadyFinished,
    /// A tombstone refuses this attempt: it has not run and never will.
    Tombstoned,
    /// Another claim has a fence on the request.
    FencedByOther,
    /// The ledger holds its maximum number of records.
    Full,
};

/// @brief Records the state of each request within the repeat window.
/// @code
/// Ledger ledger(LedgerLimits {});
/// if (ledger.examine(id, attempt) == LedgerVerdict::New)
///     ledger.start(id, attempt, now);
/// @endcode
class Ledger {
public:
    /// @param limits sizes and retention times
    explicit Ledger(LedgerLimits limits) noexcept;

    /// @brief Determines how to treat an attempt, without changing any record.
    /// @param id request
    /// @param attempt attempt that arrived
    /// @return how to treat it
    [[nodiscard]] LedgerVerdict examine(const RequestId& id, const AttemptId& attempt) const;

    /// @brief Records that a request is running.
    /// @param id request
    /// @param attempt attempt that runs
    /// @param now current time
    void start(const RequestId& id, const AttemptId& attempt, TimePoint now);

    /// @brief Records that an attempt was refused, so that a late copy of it is refused as well.
    /// @param id request
    /// @param attempt refused attempt
    /// @param idempotent whether the request is idempotent, so that the short retention time applies
    /// @param now current time
    void refuse(const RequestId& id, const AttemptId& attempt, bool idempotent, TimePoint now);

    /// @brief Records the result of a request.
    /// @param id request
    /// @param completion result; recorded only if the request is not idempotent and the size limit of all results permits it
    /// @param idempotent whether the request is idempotent, so that the short retention time applies
    /// @param now current time
    void finish(const RequestId& id, const Completion& completion, bool idempotent, TimePoint now);

    /// @brief Records a non-idempotent request that an earlier incarnation of the agent sent to the upstream.
    /// @param id request; an existing record of it stays unchanged
    /// @param completion answer to later copies of the request
    /// @param now current time
    void restore(const RequestId& id, const Completion& completion, TimePoint now);

    /// @brief Answers an inquiry; if the request has not run, the attempt gets a tombstone first.
    /// @param inquiry inquiry of an entry
    /// @param now current time
    /// @return the state of the request, never NotRun if the attempt may still run
    [[nodiscard]] Report inquire(const Inquiry& inquiry, TimePoint now);

    /// @brief Releases a fence; all other fences stay, including a later one of the same claim.
    /// @param release attempt whose inquiry set the fence
    void release(const Release& release);

    /// @brief Removes records whose retention time is over.
    /// @param now current time
    void expire(TimePoint now);

    /// @return the number of records
    [[nodiscard]] std::size_t size() const noexcept { return this->records.size(); }

    /// @param id request
    /// @return its recorded result, or null
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
