#pragma once

/// @file
/// @brief Jobs: steps of tasks that run under leases on workers.

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

/// @brief One task of one step of a job.
struct TaskId {
    JobId job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    std::strong_ordering operator<=>(const TaskId&) const = default;
};

/// @brief One start of a task; numbers grow over all starts of the task.
struct RunId {
    TaskId task;
    std::uint32_t number = 0;

    std::strong_ordering operator<=>(const RunId&) const = default;
};

/// @brief Amounts of what a worker holds and a task takes.
struct ResourceVector {
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const ResourceVector&) const = default;

    /// @param demand what would be taken
    /// @return whether this amount covers the demand in each dimension
    [[nodiscard]] constexpr bool covers(const ResourceVector& demand) const noexcept
    {
        return this->milliCores >= demand.milliCores && this->memoryMb >= demand.memoryMb && this->accelerators >= demand.accelerators;
    }

    /// @param other what to add
    /// @return the sum
    [[nodiscard]] constexpr ResourceVector plus(const ResourceVector& other) const noexcept
    {
        return { this->milliCores + other.milliCores, this->memoryMb + other.memoryMb, this->accelerators + other.accelerators };
    }

    /// @param other what to take off
    /// @return the difference, zero where it would be negative
    [[nodiscard]] constexpr ResourceVector minus(const ResourceVector& other) const noexcept
    {
        return { this->milliCores > other.milliCores ? this->milliCores - other.milliCores : 0,
            this->memoryMb > other.memoryMb ? this->memoryMb - other.memoryMb : 0,
            this->accelerators > other.accelerators ? this->accelerators - other.accelerators : 0 };
    }
};

/// @brief Tasks of one kind within a job.
struct StepSpec {
    std::uint32_t count = 0;
    ResourceVector demand {};
    Duration estimate {};
    /// Numbers of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after {};
    bool checkpointing = false;
    bool speculative = false;
    /// Runs until the job is cancelled and is restarted however it ends.
    bool longRunning = false;
    /// Uses processor time that others leave unused; its cores are not counted.
    bool bestEffort = false;
    /// Label that the worker must have, or empty.
    std::string requiredLabel {};
    /// Rack where the data is, or empty.
    std::string dataRack {};
    /// What the tasks run; tasks of one image behave alike.
    std::string image {};
    /// Tasks of the step on one worker at most; zero means no limit.
    std::uint32_t maximumPerWorker = 0;
    /// Response time that a serving task must stay below; zero means none.
    Duration target {};
    /// Tasks of a lasting step that may be unavailable at once by planned action.
    std::uint32_t mayMiss = 0;

    bool operator==(const StepSpec&) const = default;

    /// @return what a task is counted for on its worker
    [[nodiscard]] ResourceVector countedDemand() const noexcept
    {
        return { this->bestEffort ? 0 : this->demand.milliCores, this->demand.memoryMb, this->demand.accelerators };
    }
};

/// @brief Job as its caller handed it in, with the rule of its queue at that time.
struct JobSpec {
    JobId id;
    /// Queue that it was handed in to.
    std::string queue;
    /// Pool of workers that runs it.
    std::string service;
    /// Zero comes first.
    std::uint32_t priority = 0;
    /// Failed runs of one task that make the job fail.
    std::uint32_t attempts = 1;
    /// Objective as a multiple of the longest chain of work.
    double stretch = 1;
    /// Added to the objective.
    Duration dueSlack {};
    /// Passed on to the worker with each start.
    std::string payload;
    std::vector<StepSpec> steps;
    /// When an entry took it in, in milliseconds since 1970 by its clock; zero where that is not known.
    std::int64_t acceptedAtMs = 0;

    bool operator==(const JobSpec&) const = default;

    /// @return estimated time of the longest chain of steps
    [[nodiscard]] Duration longestChain() const;

    /// @return whether a step lasts until the job is cancelled
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
