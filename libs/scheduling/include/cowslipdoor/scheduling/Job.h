#pragma once

/// @file
/// @brief Jobs, their steps and their tasks, which run under leases on workers.

#include <compare>
#include <cowslipdoor/core/Time.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Identifier of a job, chosen by its caller.
struct JobId {
    std::string text;

    std::strong_ordering operator<=>(const JobId&) const = default;
};

/// @brief Identifies a task by its job, step and index.
struct TaskId {
    JobId job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    std::strong_ordering operator<=>(const TaskId&) const = default;
};

/// @brief Identifies one start of a task; run numbers of a task increase with each start.
struct RunId {
    TaskId task;
    std::uint32_t number = 0;

    std::strong_ordering operator<=>(const RunId&) const = default;
};

/// @brief Amounts of resources that a worker provides or a task requires.
struct ResourceVector {
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const ResourceVector&) const = default;

    /// @param demand requested amounts
    /// @return whether no requested amount exceeds the amount here
    [[nodiscard]] constexpr bool covers(const ResourceVector& demand) const noexcept
    {
        return this->milliCores >= demand.milliCores && this->memoryMb >= demand.memoryMb && this->accelerators >= demand.accelerators;
    }

    /// @param other amounts to add
    /// @return the sum of each amount
    [[nodiscard]] constexpr ResourceVector plus(const ResourceVector& other) const noexcept
    {
        return { this->milliCores + other.milliCores, this->memoryMb + other.memoryMb, this->accelerators + other.accelerators };
    }

    /// @param other amounts to subtract
    /// @return the difference of each amount, zero where it would be negative
    [[nodiscard]] constexpr ResourceVector minus(const ResourceVector& other) const noexcept
    {
        return { this->milliCores > other.milliCores ? this->milliCores - other.milliCores : 0,
            this->memoryMb > other.memoryMb ? this->memoryMb - other.memoryMb : 0,
            this->accelerators > other.accelerators ? this->accelerators - other.accelerators : 0 };
    }
};

/// @brief Step of a job: a number of tasks with the same requirements.
struct StepSpec {
    std::uint32_t count = 0;
    ResourceVector demand {};
    Duration estimate {};
    /// Indexes of earlier steps that must be done before this step starts.
    std::vector<std::uint32_t> after {};
    bool checkpointing = false;
    bool speculative = false;
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    /// Best-effort: the tasks use processor time that other tasks leave idle; their cores are not reserved.
    bool bestEffort = false;
    /// Label that a worker must have, or empty.
    std::string requiredLabel {};
    /// Rack that holds the input data, preferred for placement, or empty.
    std::string dataRack {};
    /// Image that the tasks run; tasks of one image are taken to behave alike.
    std::string image {};
    /// Maximum number of tasks of the step on one worker; zero means no limit.
    std::uint32_t maximumPerWorker = 0;
    /// Response time target of a serving task; zero for a task that does not serve.
    Duration target {};
    /// Maximum number of tasks of a long-running step that planned actions may make unavailable at once; zero means no limit.
    std::uint32_t mayMiss = 0;
    /// Whether the tasks run faster when all of them run on one rack.
    bool colocated = false;

    bool operator==(const StepSpec&) const = default;

    /// @return the resources that a task reserves on its worker
    [[nodiscard]] ResourceVector countedDemand() const noexcept
    {
        return { this->bestEffort ? 0 : this->demand.milliCores, this->demand.memoryMb, this->demand.accelerators };
    }
};

/// @brief Job as submitted by its caller, with the rule of its queue at that time.
struct JobSpec {
    JobId id;
    /// Queue that the job was submitted to.
    std::string queue;
    /// Pool of workers that runs the job.
    std::string service;
    /// Zero is the highest priority.
    std::uint32_t priority = 0;
    /// Number of failed runs of one task that makes the job fail.
    std::uint32_t attempts = 1;
    /// Objective as a multiple of the longest chain of steps.
    double stretch = 1;
    /// Due slack: time added to the objective.
    Duration dueSlack {};
    /// Data passed to the worker with each start.
    std::string payload;
    std::vector<StepSpec> steps;
    /// When an entry accepted the job, in milliseconds since 1970 by the clock of the entry; zero if unknown.
    std::int64_t acceptedAtMs = 0;

    bool operator==(const JobSpec&) const = default;

    /// @return estimated time of the longest chain of dependent steps
    [[nodiscard]] Duration longestChain() const;

    /// @return the number of tasks of all steps
    [[nodiscard]] std::size_t taskCount() const noexcept;

    /// @return whether any step is long-running
    [[nodiscard]] bool isLongRunning() const noexcept;
};

/// @brief Shared immutable job.
using JobSpecHandle = std::shared_ptr<const JobSpec>;

/// @brief State of a job as callers see it.
enum class JobState : unsigned char {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled,
};

/// @param state the state
/// @return its lower-case name
[[nodiscard]] std::string_view toString(JobState state) noexcept;

/// @param state the state
/// @return whether the job has ended
[[nodiscard]] constexpr bool isTerminal(JobState state) noexcept
{
    return state == JobState::Done || state == JobState::Failed || state == JobState::Cancelled;
}

/// @param id the task
/// @return "job/step/index" for logs
[[nodiscard]] std::string describe(const TaskId& id);

/// @param id the run
/// @return "job/step/index#run" for logs
[[nodiscard]] std::string describe(const RunId& id);

}
