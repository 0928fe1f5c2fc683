#include "cowslipdoor/scheduling/AdmissionCandidate.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    /// Share of the tasks of its ready steps from which a job counts as begun. A held job may run single tasks.
    constexpr double begunShare = 0.25;

    /// Time that the move of a starving run costs: a stop, a start and the restore of a checkpoint.
    constexpr Duration moveTime = std::chrono::seconds(1);

    Duration scaled(Duration time, double factor)
    {
        return std::chrono::duration_cast<Duration>(time * factor);
    }

    double workOf(const StepSpec& step, std::uint32_t tasks)
    {
        return static_cast<double>(tasks) * step.demand.milliCores * std::chrono::duration<double>(step.estimate).count();
    }

    bool unfinished(const TrackedJob& job, std::size_t step)
    {
        return job.remaining[step] > 0 && job.stepReady(step);
    }

    AdmissionDemand demandOf(const TrackedJob& job, std::size_t number)
    {
        const StepSpec& step = job.spec->steps[number];
        AdmissionDemand demand { .kind = { job.spec->service, step.image, step.requiredLabel }, .task = step.demand };
        for (const TaskState& task : job.steps[number]) {
            if (task.unplaced())
                demand.waiting += step.demand.milliCores;
            else if (!task.record.done)
                (task.starvingSince ? demand.starving : demand.running) += step.demand.milliCores;
        }
        return demand;
    }

    /// Expected time until all tasks of a ready step are done.
    Duration remainingTimeOf(const TrackedJob& job, std::size_t number, Duration estimate)
    {
        Duration longest {};
        for (const TaskState& task : job.steps[number]) {
            if (task.record.done)
                continue;
            const double left = task.record.assignment ? 1 - std::min(task.percent, 100U) / 100.0 : 1;
            longest = std::max(longest, scaled(estimate, left) + (task.starvingSince ? moveTime : Duration {}));
        }
        return longest;
    }

    Duration remainingTimeOf(const TrackedJob& job, double ratio)
    {
        std::vector<Duration> until;
        Duration longest {};
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            Duration before {};
            for (const std::uint32_t earlier : job.spec->steps[step].after)
                before = std::max(before, until[earlier]);
            const Duration estimate = scaled(job.spec->steps[step].estimate, ratio);
            const Duration own = job.remaining[step] == 0 ? Duration {} : job.stepReady(step) ? remainingTimeOf(job, step, estimate)
                                                                                              : estimate;
            until.push_back(before + own);
            longest = std::max(longest, until.back());
        }
        return longest;
    }

    bool hasBegun(const TrackedJob& job)
    {
        std::uint32_t tasks = 0;
        std::uint32_t unplaced = 0;
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            if (job.remaining[step] == 0)
                return true;
            if (!job.stepReady(step))
                continue;
            tasks += job.spec->steps[step].count;
            unplaced += static_cast<std::uint32_t>(std::count_if(job.steps[step].begin(), job.steps[step].end(), [](const TaskState& task) { return task.unplaced(); }));
        }
        return unplaced < tasks && tasks - unplaced >= begunShare * tasks;
    }

}

double AdmissionCandidate::milliCores() const noexcept
{
    double sum = 0;
    for (const AdmissionDemand& demand : this->demands)
        sum += demand.total();
    return sum;
}

std::optional<AdmissionCandidate> admissionCandidate(const TrackedJob& job, double ratio, TimePoint now)
{
    const JobSpec& spec = *job.spec;
    if (isTerminal(job.state) || spec.isLongRunning())
        return std::nullopt;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        if (!spec.steps[step].bestEffort && unfinished(job, step))
            return std::nullopt;
    }
    AdmissionCandidate candidate { .job = spec.id, .queue = spec.queue, .service = spec.service, .priority = spec.priority, .arrived = job.arrived, .due = job.due };
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        candidate.remainingWork += workOf(spec.steps[step], job.remaining[step]) * ratio;
        candidate.totalWork += workOf(spec.steps[step], spec.steps[step].count);
        if (unfinished(job, step))
            candidate.demands.push_back(demandOf(job, step));
    }
    if (candidate.demands.empty())
        return std::nullopt;
    candidate.begun = hasBegun(job);
    candidate.remainingTime = remainingTimeOf(job, ratio);
    candidate.tasksAssigned = job.assigned;
    if (job.assigned == 0)
        candidate.idleSince = std::min(now, job.waitingSince);
    return candidate;
}

}
