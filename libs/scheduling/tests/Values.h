#pragma once

/// @file
/// @brief Jobs and workers that the tests of scheduling share.

#include <cowslipdoor/scheduling/JobRegistry.h>
#include <cowslipdoor/scheduling/Workers.h>

namespace cowslipdoor::tests {

inline const TimePoint start { std::chrono::seconds(100) };

inline StepSpec stepOf(std::uint32_t count, std::uint32_t milliCores)
{
    StepSpec step;
    step.count = count;
    step.demand = { milliCores, 1000, 0 };
    step.estimate = std::chrono::seconds(1);
    return step;
}

inline JobSpecHandle jobOf(const std::string& id, std::vector<StepSpec> steps)
{
    JobSpec spec;
    spec.id = { id };
    spec.queue = "queue";
    spec.service = "service";
    spec.attempts = 2;
    spec.stretch = 2;
    spec.payload = "text";
    spec.steps = std::move(steps);
    return std::make_shared<const JobSpec>(spec);
}

inline const WorkerIdentity firstIncarnation { "worker", 1 };

inline TrackedWorker workerOf(const std::string& agent, std::uint32_t milliCores)
{
    TrackedWorker worker;
    worker.agent = agent;
    worker.link = LinkId { 1 };
    worker.settled = true;
    worker.lastGrantAt = start;
    worker.info = WorkerInfo { firstIncarnation, "service", { milliCores, 100'000, 0 }, {}, false, {} };
    return worker;
}

}
