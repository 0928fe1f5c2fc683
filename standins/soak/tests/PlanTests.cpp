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
