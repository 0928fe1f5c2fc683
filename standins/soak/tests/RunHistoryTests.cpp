#include "RunHistory.h"
#include <catch2/catch.hpp>

using namespace cowslipdoor;
using namespace cowslipdoor::soak;

namespace {

/// Name of a task of a burst.
constexpr const char* task = "0000000000500003.0.1.2";
constexpr TimePoint start { std::chrono::hours(1) };
constexpr Duration step = std::chrono::milliseconds(1);

}

// Guards against a check that does not see a task that two workers run at the same time.
TEST_CASE("run history: a run that begins before another run of its task has ended is a violation", "[soak]")
{
    CHECK(findRunViolations({ { task, start + step * 2 }, { "0000000000500003.0.1.1", start }, { task, start, start + step * 2 } }, {}).empty());
    CHECK(findRunViolations({ { task, start + step }, { task, start, start + step * 2 } }, {}).size() == 1);
    // The later run overlaps with the first one, not with the one before it.
    CHECK(findRunViolations({ { task, start }, { task, start + step, start + step * 2 }, { task, start + step * 3 } }, {}).size() == 2);
}

// Guards against a check that does not see a start after the cancellation, or that counts one of another job.
TEST_CASE("run history: a run that begins later than the bound after a cancellation is a violation", "[soak]")
{
    const TimePoint bound = start + cancellationBound;
    CHECK(findRunViolations({ { task, bound } }, { { "0000000000500003", start }, { "0000000000500004", start - step } }).empty());
    CHECK(findRunViolations({ { task, bound + step } }, { { "0000000000500003", start } }).size() == 1);
}
