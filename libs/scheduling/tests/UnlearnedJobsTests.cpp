#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/UnlearnedJobs.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

TEST_CASE("unlearned jobs: jobs are rejected while a live leader learns them too late", "[jobs]")
{
    UnlearnedJobs unlearned;
    unlearned.stored(10, start);
    unlearned.stored(12, start + milliseconds(1500));
    CHECK(!unlearned.learned(9, start + milliseconds(1900)));
    CHECK(!unlearned.rejecting());
    const std::optional<RecordEvent> began = unlearned.learned(9, start + milliseconds(2100));
    REQUIRE(began);
    CHECK(began->event == EventId::IntakeLimited);
    CHECK(unlearned.rejecting());
    CHECK(unlearned.lag() == milliseconds(2100));
    CHECK(unlearned.learned(10, start + milliseconds(2200)));
    CHECK(!unlearned.rejecting());
    CHECK(unlearned.lag() == milliseconds(700));
}

TEST_CASE("unlearned jobs: nothing is rejected while nobody leads", "[jobs]")
{
    UnlearnedJobs unlearned;
    unlearned.stored(10, start);
    CHECK(!unlearned.learned(9, start + milliseconds(100)));
    unlearned.stored(11, start + milliseconds(5000));
    CHECK(!unlearned.rejecting());
}

TEST_CASE("unlearned jobs: the number of remembered jobs is bounded", "[jobs]")
{
    UnlearnedJobs unlearned({ .most = 3 });
    for (RowVersion version = 1; version <= 5; ++version)
        unlearned.stored(version, start + milliseconds(version));
    CHECK(!unlearned.learned(0, start + milliseconds(10)));
    CHECK(unlearned.lag() == milliseconds(7));
}
