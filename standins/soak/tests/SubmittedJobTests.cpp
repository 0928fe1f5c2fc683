#include "SubmittedJob.h"
#include <catch2/catch.hpp>

using namespace cowslipdoor::soak;

TEST_CASE("submitted job: a cancellation counts as not stored only if its answer says so", "[soak]")
{
    CHECK(cancellationOf(200, nlohmann::json::object()) == Cancellation::Acknowledged);
    CHECK(cancellationOf(503, { { "error", "store_unavailable" }, { "outcome", "not run" } }) == Cancellation::None);
    CHECK(cancellationOf(504, { { "error", "store_unsettled" }, { "outcome", "unknown" } }) == Cancellation::Possible);
    // The entry was killed, or its answer was lost or cut off.
    CHECK(cancellationOf(0, nullptr) == Cancellation::Possible);
    CHECK(cancellationOf(503, nlohmann::json::parse("{\"outc", nullptr, false)) == Cancellation::Possible);
    CHECK(cancellationOf(502, { { "outcome", nullptr } }) == Cancellation::Possible);
}

TEST_CASE("submitted job: a job whose cancellation may be stored may end as cancelled", "[soak]")
{
    // The soak reported such a job as a violation: the entry stored the cancellation and was killed before it answered.
    const SubmittedJob possible { "j", 3, Cancellation::Possible };
    CHECK_FALSE(violationOf(possible, "cancelled", 0));
    CHECK_FALSE(violationOf(possible, "cancelled", 3));
    CHECK_FALSE(violationOf(possible, "done", 3));
}

TEST_CASE("submitted job: each other end that contradicts what the caller knows is a violation", "[soak]")
{
    const Cancellation known = GENERATE(Cancellation::None, Cancellation::Possible, Cancellation::Acknowledged);
    const SubmittedJob submitted { "j", 3, known };
    CHECK_FALSE(violationOf(submitted, "done", 3));
    CHECK(violationOf(submitted, "failed", 0) == "job j was accepted but is failed");
    CHECK(violationOf(submitted, "running", 0) == "job j was accepted but is running");
    CHECK(violationOf(submitted, "", 0) == "job j was accepted but is ");
    CHECK(violationOf({ "j", 3, Cancellation::None }, "cancelled", 0) == "job j was accepted but is cancelled");
    CHECK(violationOf(submitted, "done", 2) == "job j is done after 2 of 3 tasks");
    CHECK(violationOf(submitted, "done", 4) == "job j is done after 4 of 3 tasks");
}
