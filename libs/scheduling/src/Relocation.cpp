#include "cowslipdoor/scheduling/Relocation.h"
#include <algorithm>

namespace cowslipdoor {

bool isStalled(const StepSpec& step, const TaskState& task, const RelocationConfig& config, TimePoint now)
{
    const Duration allowed = config.minimumStallTime + std::chrono::duration_cast<Duration>(step.estimate * config.stallTimeShare);
    return !task.starvingSince && now > task.progressedAt + allowed;
}

bool progressedRecently(const TaskState& task, const RelocationConfig& config, TimePoint now)
{
    return task.progressedAt > task.startedAt && now < task.progressedAt + config.minimumStallTime;
}

bool mayStopTask(const TrackedJob& job, std::uint32_t step)
{
    const std::uint32_t mayMiss = job.spec->steps[step].mayMiss;
    if (mayMiss == 0)
        return true;
    const auto away = [](const TaskState& task) { return !task.record.assignment || task.stopping || task.percent < readyPercent; };
    return std::count_if(job.steps[step].begin(), job.steps[step].end(), away) < mayMiss;
}

const TrackedWorker* betterWorker(const TrackedJob& job, const TaskId& id, const TrackedWorker& here, const Workers& workers, const InterferenceModel& interference, const RelocationConfig& config, TimePoint now)
{
    const StepSpec& step = job.spec->steps[id.step];
    const TaskState& task = job.steps[id.step][id.index];
    if (!step.bestEffort || !task.starvingSince || now < *task.starvingSince + config.starvationTime)
        return nullptr;
    if (!step.checkpointing && task.percent > config.maximumLostProgress)
        return nullptr;
    TaskState elsewhere = task;
    elsewhere.avoidedAgent = here.agent;
    const TrackedWorker* const chosen = chooseWorker(job, id.step, elsewhere, workers, interference, now);
    if (!chosen || chosen->agent == here.agent || expectedPace(*chosen, step, interference) < config.minimumExpectedPace)
        return nullptr;
    return chosen;
}

}
