#pragma once

/// @file
/// @brief Leadership by one row of the store, which every write of the leader replaces.

#include "Rows.h"
#include "Store.h"
#include <algorithm>
#include <cowslipdoor/core/Time.h>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the lease.
struct LeaseConfig {
    /// Name of this process; a later run of the same process may take over at once.
    std::string holder;
    /// Number of this run of the process.
    std::uint64_t incarnation = 0;
    /// Cores of this process, in thousandths.
    std::uint64_t milliCores = 1000;
    /// How long a write of the leader keeps others from taking over. Long enough for a renewal and one lost answer.
    Duration leaseTime = std::chrono::milliseconds(1500);
    /// Longest time between two writes of the leader. A quarter of the lease, so that three may fail.
    Duration renewInterval = std::chrono::milliseconds(375);
    /// How often a standby reads the row.
    Duration pollInterval = std::chrono::milliseconds(200);
    /// Pause before a failed call to the store is repeated.
    Duration retryDelay = std::chrono::milliseconds(100);
    /// How long a process leaves a free lease to those with more cores. Two polls and a write of theirs.
    Duration smallerTakeoverDelay = std::chrono::milliseconds(450);
    /// The same at the very first start, for a process without any core; one with a whole core waits for nobody.
    Duration firstTakeoverDelay = std::chrono::milliseconds(1000);

    bool operator==(const LeaseConfig&) const = default;
};

/// @brief What a finished write means for the leader.
enum class CommitVerdict : unsigned char {
    Applied,
    /// This process leads from now on.
    TookOver,
    /// The same transaction has to be sent again.
    Repeat,
    /// Another process leads.
    Deposed,
};

/// @brief Decides when to contend for leadership, and chains the writes of the leader.
///
/// Each write has the version of the leader's row as its condition and replaces the row. So a write that is carried out
/// late finds another version and does nothing, and a deposed leader can write nothing at all.
///
/// Patterns it answers: leaders that are killed, frozen, cut off or turned away by the store, and answers that are lost;
/// entries of unequal size, of which the small ones cannot keep up with the placing: they leave a free lease to larger
/// ones for a moment.
/// @code
/// LeaderLease lease(config);
/// lease.rowRead(record, version, now);
/// if (lease.wantsTakeover(now))
///     submit(lease.begin({}, {}, now));
/// @endcode
class LeaderLease {
public:
    /// @param config settings
    explicit LeaderLease(LeaseConfig config);

    /// @brief Takes in a reading of the leader's row.
    /// @param record its content, or nothing when there is no row or it cannot be read
    /// @param version its version; zero when there is no row
    /// @param now the present
    void rowRead(const std::optional<LeaderRecord>& record, RowVersion version, TimePoint now);

    /// @brief Takes in that the row could not be read: what was observed before proves nothing any more.
    /// @param now the present
    void rowReadFailed(TimePoint now);

    /// @param now the present
    /// @return whether a standby should read the row now
    [[nodiscard]] bool wantsRead(TimePoint now) const noexcept;

    /// @brief Notes that a reading has been asked for.
    void readSent() noexcept { this->reading = true; }

    /// @param now the present
    /// @return whether begin() should be called to contend
    [[nodiscard]] bool wantsTakeover(TimePoint now) const noexcept;

    /// @param now the present
    /// @return whether a write without content is due to keep the lease
    [[nodiscard]] bool wantsRenewal(TimePoint now) const noexcept;

    /// @return whether no write is in flight
    [[nodiscard]] bool idle() const noexcept { return !this->inFlight; }

    /// @brief Begins a write, or contends when this process does not lead.
    /// @param writes rows to write with it
    /// @param removals rows to remove with it
    /// @param now the present
    /// @return the transaction to submit
    [[nodiscard]] Transaction begin(std::vector<RowWrite> writes, std::vector<RowKey> removals, TimePoint now);

    /// @brief Notes that this process is to stop: it contends no more, and gives up leadership.
    void retire() noexcept { this->retired = true; }

    /// @brief Notes that this process can't make use of its leadership: it gives it up and leaves it to others for one lease.
    /// @param now the present
    void yield(TimePoint now) noexcept { this->yieldedUntil = now + this->config.leaseTime; }

    /// @brief Notes that this process can make use of its leadership after all.
    void resume() noexcept { this->yieldedUntil = {}; }

    /// @param now the present
    /// @return whether beginRelease() should be called
    [[nodiscard]] bool wantsRelease(TimePoint now) const noexcept { return (this->retired || now < this->yieldedUntil) && this->leads && !this->inFlight; }

    /// @brief Begins the write that gives up leadership.
    /// @param now the present
    /// @return the transaction to submit
    [[nodiscard]] Transaction beginRelease(TimePoint now);

    /// @brief Takes in the result of the write in flight.
    /// @param result what became of it
    /// @param now the present
    /// @return what follows
    [[nodiscard]] CommitVerdict finished(const TransactionResult& result, TimePoint now);

    /// @brief Gives the transaction in flight once more, when its time has come.
    /// @param now the present
    /// @return the transaction, or nothing when none has to be repeated now
    [[nodiscard]] std::optional<Transaction> repeat(TimePoint now);

    /// @return whether this process leads as far as it knows
    [[nodiscard]] bool leading() const noexcept { return this->leads; }

    /// @param now the present
    /// @return whether no other process can have taken over by now; false while leadership is being given up
    [[nodiscard]] bool valid(TimePoint now) const noexcept;

    /// @param now the present
    /// @return until when an earlier leader may have taken its own lease for valid, at the latest
    [[nodiscard]] TimePoint earlierLeaseEnd(TimePoint now) const noexcept { return std::min(now, this->earlierLeaseEndLimit); }

    /// @return the epoch that this process leads, or the last one that it saw
    [[nodiscard]] std::uint64_t epoch() const noexcept { return this->current.epoch; }

    /// @return the last content that was seen of the row
    [[nodiscard]] const LeaderRecord& record() const noexcept { return this->current; }

    /// @return when something of the above changes by itself
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const noexcept;

private:
    struct InFlight {
        Transaction transaction;
        LeaderRecord record;
        TimePoint firstSent;
        TimePoint lastSent;
        std::optional<TimePoint> repeatAt;
    };

    [[nodiscard]] Duration takeoverDelay() const noexcept;
    [[nodiscard]] Transaction send(LeaderRecord record, std::vector<RowWrite> writes, std::vector<RowKey> removals, TimePoint now);
    [[nodiscard]] CommitVerdict conflicted(const Conflict& conflict, TimePoint now);
    [[nodiscard]] CommitVerdict applied(RowVersion version, TimePoint sentAt);

    LeaseConfig config;
    LeaderRecord current;
    std::optional<RowVersion> version;
    /// Since when the version has been seen unchanged, with the store answering throughout.
    TimePoint unchangedSince {};
    TimePoint readAt {};
    TimePoint validUntil {};
    /// Latest end of the lease of the leader before this one.
    TimePoint earlierLeaseEndLimit {};
    TimePoint lastWrite {};
    TimePoint yieldedUntil {};
    std::optional<InFlight> inFlight;
    bool reading = false;
    bool leads = false;
    bool retired = false;
};

}
