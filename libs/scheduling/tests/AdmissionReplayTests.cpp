#include "BurstReplay.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned usualSeeds = 6;

/// Shares over several seeds without and with admission.
struct Comparison {
    double inTimeOff = 0;
    double inTimeOn = 0;
    double worthOff = 0;
    double worthOn = 0;
    /// Longest time for which a job had nothing running with admission.
    Duration longestIdle {};
    bool allEnded = true;
    double largeInTime = 0;
};

/// Plays a load without and with admission on 40 workers.
Comparison compare(
    const std::function<std::vector<ReplayJob>(unsigned)>& load, const std::function<void(BurstReplay&)>& prepare = [](BurstReplay&) {}, unsigned seeds = usualSeeds)
{
    Comparison result;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        for (const bool enabled : { false, true }) {
            BurstReplay replay(40, AdmissionConfig { .enabled = enabled });
            prepare(replay);
            replay.play(load(seed));
            (enabled ? result.inTimeOn : result.inTimeOff) += replay.inTimeShare() / seeds;
            (enabled ? result.worthOn : result.worthOff) += replay.meanWorth() / seeds;
            for (const std::map<JobId, ReplayOutcome>::value_type& item : replay.outcomes()) {
                result.allEnded = result.allEnded && item.second.latency > Duration {};
                if (enabled)
                    result.longestIdle = std::max(result.longestIdle, item.second.idle);
            }
            result.largeInTime += enabled ? replay.inTimeShare("huge") / seeds : 0;
        }
    }
    UNSCOPED_INFO("in time " << result.inTimeOff << " -> " << result.inTimeOn << ", worth " << result.worthOff << " -> " << result.worthOn << ", longest without a run " << toMilliseconds(result.longestIdle) << " ms");
    return result;
}

std::vector<ReplayJob> overload(unsigned seed)
{
    return burstLoad(milliseconds(1500), true, seed);
}

}

TEST_CASE("admission: in a burst more jobs end in time than without it, and none waits over 3 s with nothing running", "[jobs][replay]")
{
    const Comparison result = compare(overload);
    CHECK(result.inTimeOn > result.inTimeOff + 0.05);
    CHECK(result.worthOn > result.worthOff);
    CHECK(result.longestIdle < seconds(3));
    CHECK(result.allEnded);
}

TEST_CASE("admission: while the capacity suffices for all jobs, every assignment is the same as without it", "[jobs][replay]")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        BurstReplay off(40, AdmissionConfig { .enabled = false });
        BurstReplay on(40, AdmissionConfig {});
        off.play(burstLoad(seconds(6), false, seed));
        on.play(burstLoad(seconds(6), false, seed));
        CHECK(off.assignments().size() > 150);
        CHECK(on.assignments() == off.assignments());
        CHECK(on.count(EventId::JobHeld) == 0);
    }
}

TEST_CASE("admission: a takeover in the burst keeps the gain", "[jobs][replay]")
{
    const Comparison result = compare(overload, [](BurstReplay& replay) { replay.takeOverAt(seconds(14)); });
    CHECK(result.inTimeOn > result.inTimeOff);
    CHECK(result.longestIdle < seconds(3));
    CHECK(result.allEnded);
}

TEST_CASE("admission: the loss of workers in the burst keeps the gain", "[jobs][replay]")
{
    const Comparison result = compare(overload, [](BurstReplay& replay) {
        for (const std::size_t worker : { 0U, 1U, 4U, 8U })
            replay.loseWorkerAt(seconds(14), worker);
    });
    CHECK(result.inTimeOn > result.inTimeOff);
    CHECK(result.allEnded);
}

TEST_CASE("admission: estimates that are wrong by a factor of 1.9 either way do not make it worse than without it", "[jobs][replay]")
{
    for (const double factor : { 1 / 1.9, 1.9 }) {
        const Comparison result = compare([factor](unsigned seed) {
            std::vector<ReplayJob> load = burstLoad(milliseconds(factor > 1 ? 2500 : 900), true, seed);
            for (ReplayJob& job : load) {
                JobSpec spec = *job.spec;
                // Otherwise no job could end in time.
                spec.stretch = factor > 1 ? 4 : 2;
                job = { job.at, std::make_shared<const JobSpec>(spec), factor };
            }
            return load;
        });
        INFO("factor " << factor);
        CHECK(result.inTimeOn >= result.inTimeOff);
        CHECK(result.allEnded);
    }
}

TEST_CASE("admission: the largest tenth of a queue is served at least half as often as all jobs", "[jobs][replay]")
{
    // Guards against a limit by rank among the jobs known now, with which 6 seeds passed and 24 did not.
    const Comparison result = compare([](unsigned seed) {
        std::vector<ReplayJob> load = burstLoad(milliseconds(1800), true, seed);
        for (std::size_t number = 4; number < load.size(); number += 10)
            load[number].spec = largeJob("huge-" + std::to_string(number), milliseconds(2500), 40);
        return load; }, [](BurstReplay&) {}, 24);
    CHECK(result.largeInTime >= result.inTimeOn / 2);
    CHECK(result.allEnded);
}
