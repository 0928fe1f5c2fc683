#pragma once

/// @file
/// @brief Leadership, held through one row of the store that every write of the leader replaces.

#include "Rows.h"
#include "Store.h"
#include <algorithm>
#include <cowslipdoor/core/Time.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the lease.
struct LeaseConfig {
    /// Name of this process; a later incarnation of the same process may take over leadership at once.
    std::string holder;
    /// Incarnation of this process.
    std::uint64_t incarnation = 0;
    /// Milli-cores of this process.
    std::uint64_t milliCores = 1000;
    /// How long a write of the leader keeps others from taking over; long enough for a renewal and one lost answer.
    Duration leaseTime = std::chrono::milliseconds(1500);
    /// Maximum time between two writes of the leader: a quarter of the lease, so that three may fail.
    Duration renewInterval = std::chrono::milliseconds(375);
    /// Interval at which a standby polls the row.
    Duration pollInterval = std::chrono::milliseconds(200);
    /// Delay before a failed call to the store is repeated.
    Duration retryDelay = std::chrono::milliseconds(100);
    /// How long a process leaves a free lease to processes with more cores: time for two polls and a write of theirs.
    Duration smallerTakeoverDelay = std::chrono::milliseconds(450);
    /// The same delay while no process has ever led, for a process without any core; it falls to zero for a process with a whole core.
    Duration firstTakeoverDelay = std::chrono::milliseconds(1000);

    bool operator==(const LeaseConfig&) const = default;
};

/// @brief Consequence of a finished write for leadership.
enum class CommitVerdict : unsigned char {
    Applied,
    /// This process leads from now on.
    TookOver,
    /// The same transaction must be sent again.
    Repeat,
    /// The store refuses the rows that were written or removed with the leader's row; nothing was changed.
    Refused,
    /// This process does not lead: another one leads, or leadership has been released.
    LostLeadership,
};

/// @brief Decides when to contend for leadership, and orders the writes of the leader.
///
/// Each write has the version of the leader's row as its condition and replaces the row. A write that is carried out late
/// therefore finds another version and does nothing, and a leader that has lost leadership can write nothing. This holds for leaders
/// that are killed, suspended, disconnected or refused by the store, and when answers are lost.
///
/// Entries may differ in size, and small ones cannot keep up with placement, so they leave a free lease to larger ones for a
/// moment.
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

    /// @brief Processes a read of the leader's row.
    /// @param record its content, or std::nullopt if there is no row or it cannot be parsed
    /// @param version its version; zero when there is no row
    /// @param now current time
    void rowRead(const std::optional<LeaderRecord>& record, RowVersion version, TimePoint now);

    /// @brief Processes a failed read of the row: earlier reads no longer show that the row is unchanged.
    /// @param now current time
    void rowReadFailed(TimePoint now);

    /// @param now current time
    /// @return whether a standby should read the row now
    [[nodiscard]] bool wantsRead(TimePoint now) const noexcept;

    /// @brief Notes that a read has been requested.
    void readSent() noexcept { this->reading = true; }

    /// @param now current time
    /// @return whether begin() should be called to contend
    [[nodiscard]] bool wantsTakeover(TimePoint now) const noexcept;

    /// @param now current time
    /// @return whether a write without other rows is due to renew the lease
    [[nodiscard]] bool wantsRenewal(TimePoint now) const noexcept;

    /// @brief Sets what the following writes state about the jobs that the leader knows; a takeover sets it to zero.
    /// @param version version of the store up to which it knows all jobs
    void noteLearned(RowVersion version) noexcept { this->learnedVersion = version; }

    /// @brief Sets which agents the following writes name as silent; a takeover keeps those of the earlier leader.
    /// @param agents the agents, with the time since their last grant as of the next write
    void noteSilent(std::vector<SilentAgent> agents) { this->silent = std::move(agents); }

    /// @return the agents that the row at the takeover named as silent, and a time after which no earlier leader gave any of them
    ///         a grant
    [[nodiscard]] const std::map<std::string, TimePoint>& earlierSilence() const noexcept { return this->silentSince; }

    /// @return whether no write is in flight
    [[nodiscard]] bool idle() const noexcept { return !this->inFlight; }

    /// @brief Begins a write, or contends for leadership if this process does not lead.
    /// @param writes rows to write with it
    /// @param removals rows to remove with it
    /// @param now current time
    /// @return the transaction to submit
    [[nodiscard]] Transaction begin(std::vector<RowWrite> writes, std::vector<RowKey> removals, TimePoint now);

    /// @brief Notes that this process stops: it no longer contends, and releases leadership.
    void retire() noexcept { this->retired = true; }

    /// @brief Notes that this process cannot act as leader: it releases leadership and does not contend for one lease time.
    /// @param now current time
    void yield(TimePoint now) noexcept { this->yieldedUntil = now + this->config.leaseTime; }

    /// @brief Notes that this process can act as leader after all.
    void resume() noexcept { this->yieldedUntil = {}; }

    /// @param now current time
    /// @return whether beginRelease() should be called
    [[nodiscard]] bool wantsRelease(TimePoint now) const noexcept { return (this->retired || now < this->yieldedUntil) && this->leads && !this->inFlight; }

    /// @brief Begins the write that releases leadership.
    /// @param now current time
    /// @return the transaction to submit
    [[nodiscard]] Transaction beginRelease(TimePoint now);

    /// @brief Processes the result of the write in flight.
    /// @param result result of the transaction
    /// @param now current time
    /// @return its consequence
    [[nodiscard]] CommitVerdict finished(const TransactionResult& result, TimePoint now);

    /// @brief Repeats the transaction in flight once its retry is due.
    /// @param now current time
    /// @return the transaction to submit again, or std::nullopt if no retry is due
    [[nodiscard]] std::optional<Transaction> repeat(TimePoint now);

    /// @return whether this process leads as far as it knows
    [[nodiscard]] bool leading() const noexcept { return this->leads; }

    /// @param now current time
    /// @return whether no other process can have taken over leadership yet; false while leadership is being released
    [[nodiscard]] bool valid(TimePoint now) const noexcept;

    /// @param now current time
    /// @return the latest time at which an earlier leader may have considered its lease valid
    [[nodiscard]] TimePoint earlierLeaseEnd(TimePoint now) const noexcept { return std::min(now, this->earlierLeaseEndLimit); }

    /// @return the epoch that this process leads, or else the last one that it has read
    [[nodiscard]] std::uint64_t epoch() const noexcept { return this->current.epoch; }

    /// @return the content of the row as of the last read or write
    [[nodiscard]] const LeaderRecord& record() const noexcept { return this->current; }

    /// @return when a function above may next return another result without an event, or std::nullopt
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
    void keepSilence(TimePoint now);
    [[nodiscard]] Transaction send(LeaderRecord record, std::vector<RowWrite> writes, std::vector<RowKey> removals, TimePoint now);
    [[nodiscard]] CommitVerdict conflicted(const Conflict& conflict, TimePoint now);
    [[nodiscard]] CommitVerdict applied(RowVersion version, TimePoint sentAt);

    LeaseConfig config;
    LeaderRecord current;
    std::optional<RowVersion> version;
    RowVersion learnedVersion = 0;
    std::vector<SilentAgent> silent;
    std::map<std::string, TimePoint> silentSince;
    /// Since when all reads have succeeded and returned this version.
    TimePoint unchangedSince {};
    TimePoint readAt {};
    TimePoint validUntil {};
    /// Latest possible end of the lease of the leader before this one.
    TimePoint earlierLeaseEndLimit {};
    TimePoint lastWrite {};
    TimePoint yieldedUntil {};
    std::optional<InFlight> inFlight;
    bool reading = false;
    bool leads = false;
    bool retired = false;
};

}
