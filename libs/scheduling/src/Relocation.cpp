#include "cowslipdoor/scheduling/Relocation.h"

namespace cowslipdoor {

bool standsStill(const StepSpec& step, const TaskState& task, const RelocationConfig& config, TimePoint now)
{
    const Duration allowed = config.leastStandstill + std::chrono::duration_cast<Duration>(step.estimate * config.standstillShare);
    return !task.starvingSince && now > task.progressedAt + allowed;
}

bool movesOn(const TaskState& task, const RelocationConfig& config, TimePoint now)
{
    return task.progressedAt > task.startedAt && now < task.progressedAt + config.leastStandstill;
}

const TrackedWorker* betterWorker(const JobEntry& job, const TaskId& id, const TrackedWorker& here, const Workers& workers, const InterferenceModel& interference, const RelocationConfig& config, TimePoint now)
{
    const StepSpec& step = job.spec->steps[id.step];
    const TaskState& task = job.steps[id.step][id.index];
    if (!step.bestEffort || !task.starvingSince || now < *task.starvingSince + config.patience)
        return nullptr;
    if (!step.checkpointing && task.percent > config.cheapProgress)
        return nullptr;
    TaskState elsewhere = task;
    elsewhere.avoidedAgent = here.agent;
    const TrackedWorker* const chosen = chooseWorker(job, id.step, elsewhere, workers, interference, now);
    if (!chosen || chosen->agent == here.agent || expectedPace(*chosen, step, interference) < config.worthwhilePace)
        return nullptr;
    return chosen;
}

}
