#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Ledger.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

constexpr RequestId id { 1, 2 };
constexpr AttemptId first { { Incarnation { 5 }, 3 }, 1 };
constexpr AttemptId second { { Incarnation { 5 }, 3 }, 2 };
constexpr AttemptId ofOther { { Incarnation { 5 }, 4 }, 1 };

}

TEST_CASE("ledger: an inquiry about an unknown attempt sets a tombstone and reports not run", "[ledger]")
{
    Ledger ledger(LedgerLimits {});
    CHECK(ledger.inquire({ id, first, false }, origin).state == RequestState::NotRun);
    CHECK(ledger.examine(id, first) == LedgerVerdict::Tombstoned);
    CHECK(ledger.examine(id, second) == LedgerVerdict::New);
}

TEST_CASE("ledger: a fence refuses every other claim, including those of the same entry", "[ledger]")
{
    Ledger ledger(LedgerLimits {});
    CHECK(ledger.inquire({ id, first, true }, origin).state == RequestState::NotRun);
    CHECK(ledger.examine(id, ofOther) == LedgerVerdict::FencedByOther);
    CHECK(ledger.examine(id, second) == LedgerVerdict::New);
    CHECK(ledger.inquire({ id, ofOther, true }, origin).state == RequestState::FencedByOther);
    CHECK(ledger.examine(id, second) == LedgerVerdict::New);
}

TEST_CASE("ledger: a fence is released only by the attempt that set it", "[ledger]")
{
    Ledger ledger(LedgerLimits {});
    (void)ledger.inquire({ id, second, true }, origin);
    ledger.release({ id, first });
    ledger.release({ id, ofOther });
    CHECK(ledger.examine(id, ofOther) == LedgerVerdict::FencedByOther);
    ledger.release({ id, second });
    CHECK(ledger.examine(id, ofOther) == LedgerVerdict::New);
}

TEST_CASE("ledger: a refused attempt stays refused, and a later one may run", "[ledger]")
{
    Ledger ledger(LedgerLimits {});
    ledger.refuse(id, first, false, origin);
    CHECK(ledger.examine(id, first) == LedgerVerdict::Tombstoned);
    CHECK(ledger.examine(id, second) == LedgerVerdict::New);
}

TEST_CASE("ledger: a finished request is answered from the record until the repeat window ends", "[ledger]")
{
    const LedgerLimits limits {};
    Ledger ledger(limits);
    ledger.start(id, first, origin);
    CHECK(ledger.examine(id, second) == LedgerVerdict::AlreadyRunning);
    const Completion completion = Response { 200, {}, Bytes("done") };
    ledger.finish(id, completion, false, origin);
    CHECK(ledger.inquire({ id, ofOther, true }, origin).completion == completion);
    ledger.expire(origin + limits.repeatWindow - Duration(1));
    CHECK(ledger.examine(id, ofOther) == LedgerVerdict::AlreadyFinished);
    ledger.expire(origin + limits.repeatWindow);
    CHECK(ledger.examine(id, ofOther) == LedgerVerdict::New);
}

TEST_CASE("ledger: the record of a running request does not expire", "[ledger]")
{
    Ledger ledger(LedgerLimits {});
    ledger.refuse(id, first, true, origin);
    ledger.start(id, second, origin);
    ledger.expire(origin + std::chrono::hours(2));
    CHECK(ledger.examine(id, ofOther) == LedgerVerdict::AlreadyRunning);
}

TEST_CASE("ledger: a full ledger refuses new requests and drops no record", "[ledger]")
{
    Ledger ledger({ .maximumRecords = 2 });
    ledger.start({ 1, 1 }, first, origin);
    ledger.start({ 1, 2 }, first, origin);
    CHECK(ledger.examine({ 1, 3 }, first) == LedgerVerdict::Full);
    CHECK(ledger.inquire({ { 1, 3 }, first, true }, origin).state == RequestState::Forgotten);
}

TEST_CASE("ledger: without room for the answer, the end of the request is recorded without it", "[ledger]")
{
    Ledger ledger({ .maximumAnswerBytes = 3 });
    ledger.start(id, first, origin);
    ledger.finish(id, Response { 200, {}, Bytes("four") }, false, origin);
    const Report report = ledger.inquire({ id, second, false }, origin);
    CHECK(report.state == RequestState::Finished);
    CHECK(report.completion == std::nullopt);
}
