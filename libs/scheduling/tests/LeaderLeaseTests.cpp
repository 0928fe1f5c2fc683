#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/LeaderLease.h>

using namespace cowslipdoor;
using std::chrono::milliseconds;

namespace {

const TimePoint start { std::chrono::seconds(100) };
const Duration leaseTime = LeaseConfig {}.leaseTime;

LeaderLease leaseOf(const std::string& holder, std::uint64_t milliCores = LeaseConfig {}.milliCores)
{
    LeaseConfig config;
    config.holder = holder;
    config.milliCores = milliCores;
    config.incarnation = 5;
    return LeaderLease(config);
}

Conflict conflictWith(const LeaderRecord& record, RowVersion version)
{
    return { { { leaderRowKey(), print(record), version, false } } };
}

/// A lease that has been leading since `start`, with row version 11.
LeaderLease leadingLease()
{
    LeaderLease lease = leaseOf("me");
    lease.rowRead(std::nullopt, 0, start);
    static_cast<void>(lease.begin({}, {}, start));
    static_cast<void>(lease.finished(Applied { 11 }, start));
    return lease;
}

}

TEST_CASE("lease: a standby takes over only after the row has not changed for the whole lease time", "[jobs]")
{
    LeaderLease lease = leaseOf("me");
    const LeaderRecord other { 3, "other", 1, 9 };
    lease.rowRead(other, 40, start);
    const TimePoint almost = start + leaseTime - milliseconds(1);
    lease.rowRead(other, 40, almost);
    CHECK_FALSE(lease.wantsTakeover(almost));
    lease.rowRead(other, 41, almost);
    CHECK_FALSE(lease.wantsTakeover(almost + leaseTime - milliseconds(1)));
    CHECK(lease.wantsTakeover(almost + leaseTime));
    const Transaction transaction = lease.begin({}, {}, almost + leaseTime);
    CHECK(transaction.conditions.front().version == 41);
    CHECK(lease.finished(Applied { 42 }, almost + leaseTime + milliseconds(10)) == CommitVerdict::TookOver);
    CHECK(lease.epoch() == 4);
}

TEST_CASE("lease: readings from before an outage of the store do not count towards a takeover", "[jobs]")
{
    LeaderLease lease = leaseOf("me");
    lease.rowRead(LeaderRecord { 3, "other", 1, 9 }, 40, start);
    lease.rowReadFailed(start + milliseconds(1000));
    lease.rowRead(LeaderRecord { 3, "other", 1, 9 }, 40, start + milliseconds(2500));
    CHECK_FALSE(lease.wantsTakeover(start + milliseconds(2500)));
    CHECK_FALSE(lease.wantsTakeover(start + milliseconds(2499) + leaseTime));
    CHECK(lease.wantsTakeover(start + milliseconds(2500) + leaseTime));
}

TEST_CASE("lease: a released lease and one of an earlier run of the process are taken over at once", "[jobs]")
{
    LeaderLease lease = leaseOf("me");
    lease.rowRead(LeaderRecord { 3, "", 0, 9 }, 40, start);
    CHECK(lease.wantsTakeover(start));
    LeaderLease again = leaseOf("me");
    again.rowRead(LeaderRecord { 3, "me", 4, 9 }, 40, start);
    CHECK(again.wantsTakeover(start));
}

TEST_CASE("lease: a small entry leaves a free lease to larger ones, for a bounded time", "[jobs]")
{
    const Duration smallerTakeoverDelay = LeaseConfig {}.smallerTakeoverDelay;
    LeaderLease small = leaseOf("small", 120);
    LeaderLease large = leaseOf("large", 500);
    for (LeaderLease* const lease : { &small, &large })
        lease->rowRead(LeaderRecord { 3, "", 0, 9, 500 }, 40, start);
    CHECK(large.wantsTakeover(start));
    CHECK_FALSE(small.wantsTakeover(start + smallerTakeoverDelay - milliseconds(1)));
    CHECK(small.wantsTakeover(start + smallerTakeoverDelay));
    for (LeaderLease* const lease : { &small, &large })
        lease->rowRead(LeaderRecord { 3, "other", 1, 9, 500 }, 41, start);
    CHECK(large.wantsTakeover(start + leaseTime));
    CHECK_FALSE(small.wantsTakeover(start + leaseTime + smallerTakeoverDelay - milliseconds(1)));
    CHECK(small.wantsTakeover(start + leaseTime + smallerTakeoverDelay));
}

TEST_CASE("lease: at the very first start the largest entry contends first, and its size is remembered", "[jobs]")
{
    LeaderLease small = leaseOf("small", 120);
    LeaderLease large = leaseOf("large", 500);
    for (LeaderLease* const lease : { &small, &large })
        lease->rowRead(std::nullopt, 0, start);
    CHECK(large.wantsTakeover(start + milliseconds(500)));
    CHECK_FALSE(small.wantsTakeover(start + milliseconds(879)));
    CHECK(small.wantsTakeover(start + milliseconds(880)));
    const std::optional<LeaderRecord> written = parseLeaderRecord(large.begin({}, {}, start).writes.back().value);
    CHECK(written->maximumMilliCores == 500);
    small.rowRead(LeaderRecord { 3, "", 0, 9, 500 }, 40, start);
    const std::optional<LeaderRecord> after = parseLeaderRecord(small.begin({}, {}, start + milliseconds(450)).writes.back().value);
    CHECK(after->maximumMilliCores == 500);
    CHECK(after->holder == "small");
}

TEST_CASE("lease: an entry as large as the largest leader so far takes a free lease at once", "[jobs]")
{
    LeaderLease lease = leaseOf("me", 100);
    lease.rowRead(LeaderRecord { 3, "", 0, 9, 100 }, 40, start);
    CHECK(lease.wantsTakeover(start));
}

TEST_CASE("lease: an unanswered write is repeated, and recognised by its record if it was applied", "[jobs]")
{
    LeaderLease lease = leadingLease();
    const Transaction transaction = lease.begin({}, {}, start + milliseconds(10));
    CHECK(lease.finished(OutcomeAmbiguous { "" }, start + milliseconds(810)) == CommitVerdict::Repeat);
    CHECK_FALSE(lease.repeat(start + milliseconds(850)));
    CHECK(lease.repeat(start + milliseconds(910)) == transaction);
    const std::optional<LeaderRecord> written = parseLeaderRecord(transaction.writes.back().value);
    CHECK(lease.finished(conflictWith(*written, 12), start + milliseconds(920)) == CommitVerdict::Applied);
    // The lease counts from the first time that the write was sent, as the time at which it was applied is unknown.
    CHECK(lease.valid(start + milliseconds(9) + leaseTime));
    CHECK_FALSE(lease.valid(start + milliseconds(10) + leaseTime));
}

TEST_CASE("lease: a leader that finds another record is deposed", "[jobs]")
{
    LeaderLease lease = leadingLease();
    static_cast<void>(lease.begin({}, {}, start));
    CHECK(lease.finished(conflictWith({ 2, "other", 1, 1 }, 20), start) == CommitVerdict::LostLeadership);
    CHECK_FALSE(lease.leading());
    CHECK_FALSE(lease.valid(start));
}

TEST_CASE("lease: a refused write is repeated and does not extend the lease", "[jobs]")
{
    LeaderLease lease = leadingLease();
    static_cast<void>(lease.begin({}, {}, start + milliseconds(500)));
    CHECK(lease.finished(StoreRefused { "503" }, start + milliseconds(510)) == CommitVerdict::Repeat);
    CHECK(lease.leading());
    CHECK(lease.valid(start + leaseTime - milliseconds(1)));
    CHECK_FALSE(lease.valid(start + leaseTime));
}

TEST_CASE("lease: a write that the store refuses for its other rows is given up, one of the leader's row alone is repeated", "[jobs]")
{
    LeaderLease lease = leadingLease();
    const StoreRefused invalid { "status 400", false, true };
    static_cast<void>(lease.begin({ { progressRowKey({ "a" }), "" } }, {}, start + milliseconds(500)));
    CHECK(lease.finished(invalid, start + milliseconds(510)) == CommitVerdict::Refused);
    CHECK(lease.leading());
    REQUIRE(lease.idle());
    CHECK(lease.wantsRenewal(start + milliseconds(510)));
    static_cast<void>(lease.begin({}, {}, start + milliseconds(510)));
    CHECK(lease.finished(invalid, start + milliseconds(520)) == CommitVerdict::Repeat);
    CHECK(lease.repeat(start + milliseconds(1000)));
}

TEST_CASE("lease: a retired leader releases the lease and does not contend again", "[jobs]")
{
    LeaderLease lease = leadingLease();
    lease.retire();
    REQUIRE(lease.wantsRelease(start));
    const Transaction transaction = lease.beginRelease(start);
    CHECK(parseLeaderRecord(transaction.writes.back().value)->holder.empty());
    // The answer to the release may be lost, so the leader must not send any renewal grant from now on.
    CHECK_FALSE(lease.valid(start));
    CHECK(lease.finished(Applied { 12 }, start) == CommitVerdict::LostLeadership);
    CHECK_FALSE(lease.wantsTakeover(start + std::chrono::seconds(10)));
}

TEST_CASE("lease: a new leader knows when the lease of its predecessor expired", "[jobs]")
{
    LeaderLease lease = leaseOf("me", 100);
    lease.rowRead(LeaderRecord { 3, "other", 1, 9, 500 }, 40, start);
    const TimePoint late = start + leaseTime + LeaseConfig {}.smallerTakeoverDelay + milliseconds(300);
    static_cast<void>(lease.begin({}, {}, late));
    CHECK(lease.finished(Applied { 41 }, late) == CommitVerdict::TookOver);
    CHECK(lease.earlierLeaseEnd(late) == start + leaseTime);
    // A process may take over from an earlier incarnation of itself before the lease has expired; that lease ends at the takeover.
    CHECK(lease.earlierLeaseEnd(start + milliseconds(10)) == start + milliseconds(10));
}

TEST_CASE("lease: a takeover keeps the agents that the row names as silent, and counts on", "[jobs]")
{
    LeaderLease lease = leaseOf("me");
    lease.rowRead(LeaderRecord { 3, "me", 1, 9, 500, 7, { { "agent", milliseconds(2000) } } }, 40, start);
    const TimePoint later = start + milliseconds(100);
    const std::optional<LeaderRecord> written = parseLeaderRecord(lease.begin({}, {}, later).writes.back().value);
    REQUIRE(written);
    CHECK(written->silent == std::vector<SilentAgent> { { "agent", milliseconds(2100) } });
    REQUIRE(lease.finished(Applied { 41 }, later) == CommitVerdict::TookOver);
    CHECK(lease.earlierSilence() == std::map<std::string, TimePoint> { { "agent", start - milliseconds(2000) } });
    lease.noteSilent({});
    CHECK(parseLeaderRecord(lease.begin({}, {}, later).writes.back().value)->silent.empty());
}
