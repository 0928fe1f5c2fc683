#include "SoakPlan.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace cowslipdoor;
using namespace cowslipdoor::soak;

namespace {

constexpr SoakSize size { .seed = 3, .entries = 2, .agents = 4, .length = std::chrono::minutes(2) };

template <typename Fault>
std::set<std::size_t> kindsIn(const std::vector<Planned<Fault>>& plan)
{
    std::set<std::size_t> kinds;
    for (const Planned<Fault>& planned : plan)
        kinds.insert(planned.fault.index());
    return kinds;
}

/// Indexes of all processes of a role that a plan kills.
std::set<std::size_t> killed(const std::vector<Planned<RequestFault>>& plan, Role role)
{
    std::set<std::size_t> indexes;
    for (const Planned<RequestFault>& planned : plan) {
        const Kill* const kill = std::get_if<Kill>(&planned.fault);
        if (kill && kill->process.role == role)
            indexes.insert(kill->process.index);
    }
    return indexes;
}

}

TEST_CASE("soak plan: equal seeds give equal plans, different seeds give different plans", "[soak]")
{
    SoakSize other = size;
    other.seed = 4;
    CHECK(planRequestFaults(size) == planRequestFaults(size));
    CHECK(planRequestFaults(size) != planRequestFaults(other));
    CHECK(planJobFaults(size) == planJobFaults(size));
    CHECK(planJobFaults(size) != planJobFaults(other));
}

TEST_CASE("soak plan: a plan is sorted by time and contains every kind of fault and every process", "[soak]")
{
    const std::vector<Planned<RequestFault>> plan = planRequestFaults(size);
    CHECK(kindsIn(plan).size() == std::variant_size_v<RequestFault>);
    CHECK(kindsIn(planJobFaults(size)).size() == std::variant_size_v<JobFault>);
    CHECK(std::is_sorted(plan.begin(), plan.end(), [](const Planned<RequestFault>& left, const Planned<RequestFault>& right) { return left.at < right.at; }));
    const std::vector<Planned<JobFault>> jobPlan = planJobFaults(size);
    CHECK(std::is_sorted(jobPlan.begin(), jobPlan.end(), [](const Planned<JobFault>& left, const Planned<JobFault>& right) { return left.at < right.at; }));
    CHECK(plan.back().at < size.length);
    CHECK(killed(plan, Role::Entry) == std::set<std::size_t> { 0, 1 });
    CHECK(killed(plan, Role::Agent) == std::set<std::size_t> { 0, 1, 2, 3 });
}

// Guards against bursts and configurations that draw from the sequence of other faults, so that a known seed no longer gives its plan.
TEST_CASE("soak plan: bursts and configurations leave the other faults of a seed as they were without them", "[soak]")
{
    std::vector<Planned<JobFault>> plan = planJobFaults(size);
    std::erase_if(plan, [](const Planned<JobFault>& planned) { return std::holds_alternative<SubmitBurst>(planned.fault) || std::holds_alternative<GrowConfiguration>(planned.fault); });
    REQUIRE(plan.size() == 281);
    CHECK(describe(plan[49].fault) == "the store is unavailable for 1849 ms");
    CHECK(toMilliseconds(plan.back().at) == 118597);
}

TEST_CASE("soak plan: the configuration grows beyond 8,646 queues, also in a soak as short as that of CI", "[soak]")
{
    SoakSize ofCi = size;
    ofCi.seed = 1;
    ofCi.length = std::chrono::seconds(8);
    for (const SoakSize& drawn : { size, ofCi }) {
        std::size_t queues = 0;
        for (const Planned<JobFault>& planned : planJobFaults(drawn)) {
            const GrowConfiguration* const growth = std::get_if<GrowConfiguration>(&planned.fault);
            queues += growth ? growth->queues : 0;
        }
        CHECK(queues > 8'646);
    }
}

// Guards against bursts that are not the load in question: small jobs, all or none cancelled, or none at all in the soak that CI plays.
TEST_CASE("soak plan: a burst has large jobs of which some are cancelled", "[soak]")
{
    std::vector<Planned<JobFault>> plan = planJobFaults({ .seed = 1, .length = std::chrono::seconds(8) });
    std::erase_if(plan, [](const Planned<JobFault>& planned) { return !std::holds_alternative<SubmitBurst>(planned.fault); });
    CHECK_FALSE(plan.empty());
    for (const Planned<JobFault>& planned : plan) {
        const std::vector<BurstJob>& jobs = std::get<SubmitBurst>(planned.fault).jobs;
        const auto isCancelled = [](const BurstJob& job) { return job.cancelledAfter.has_value(); };
        CHECK(jobs.size() >= 4);
        CHECK(jobs.front().cancelledAfter == Duration {});
        CHECK(std::count_if(jobs.begin(), jobs.end(), isCancelled) == 2);
        CHECK(std::all_of(jobs.begin(), jobs.end(), [](const BurstJob& job) { return job.after < std::chrono::seconds(2) && job.tasksPerStep >= 2 && job.milliCores >= 2000; }));
    }
}
