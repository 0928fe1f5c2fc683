#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/UnlearnedJobs.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

TEST_CASE("unlearned jobs: jobs are rejected while a live leader learns them too late", "[jobs]")
{
    UnlearnedJobs unlearned;
    unlearned.stored("queue", 10, start);
    unlearned.stored("queue", 12, start + milliseconds(1500));
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
    unlearned.stored("queue", 10, start);
    CHECK(!unlearned.learned(9, start + milliseconds(100)));
    unlearned.stored("queue", 11, start + milliseconds(5000));
    CHECK(!unlearned.rejecting());
}

TEST_CASE("unlearned jobs: each queue counts its own jobs until they are learned", "[jobs]")
{
    UnlearnedJobs unlearned;
    unlearned.stored("a", 10, start);
    unlearned.stored("b", 12, start);
    unlearned.stored("a", 11, start);
    CHECK(unlearned.countOf("a") == 2);
    CHECK(unlearned.countOf("b") == 1);
    CHECK(!unlearned.learned(11, start));
    CHECK(unlearned.countOf("a") == 0);
    CHECK(unlearned.countOf("b") == 1);
}

TEST_CASE("unlearned jobs: the number of remembered jobs is bounded", "[jobs]")
{
    UnlearnedJobs unlearned({ .most = 3 });
    for (RowVersion version = 1; version <= 5; ++version)
        unlearned.stored("queue", version, start);
    CHECK(unlearned.countOf("queue") == 3);
}
