#include "cowslipdoor/scheduling/Scheduler.h"
#include <algorithm>

namespace cowslipdoor {

void Scheduler::updateAdmission(TimePoint now, Effects& effects)
{
    const AdmissionConfig& settings = this->config.admission;
    if (!settings.enabled)
        return;
    if (this->jobAdmission.due(now)) {
        for (const JobAdmission::Change& change : this->jobAdmission.update(this->jobRegistry, this->knownWorkers, this->interference, now)) {
            const EventId event = change.verdict.admitted() ? EventId::JobAdmitted : EventId::JobHeld;
            effects.emplace_back(RecordEvent { event, change.job.text + ": " + std::string(toString(change.verdict.reason)) + "; " + describeUrgency(*this->jobRegistry.find(change.job), now) + "; room for best-effort tasks " + std::to_string(static_cast<std::uint64_t>(this->jobAdmission.roomMilliCores())) + " milli-cores" });
        }
    }
    if (this->jobAdmission.decision().heldJobs() == 0)
        return;
    // A held job must be looked at again although nothing else happens.
    const TimePoint next = now + settings.interval;
    this->passAt = this->passAt ? std::min(*this->passAt, next) : next;
}

bool Scheduler::mayPlace(const TrackedJob& job, TimePoint now)
{
    return !this->config.admission.enabled || job.assigned < this->jobAdmission.taskLimitOf(job, now);
}

void Scheduler::noteRunTime(const RunId& run, const TaskState& task, TimePoint now)
{
    const JobSpec& spec = *this->jobRegistry.find(run.task.job)->spec;
    const StepSpec& step = spec.steps[run.task.step];
    // A later run may have resumed from a checkpoint, so that it took only a part of the estimate.
    if (step.bestEffort && !step.longRunning && run.number == 1)
        this->jobAdmission.noteRunTime(spec.queue, step.estimate, now - task.startedAt);
}

void Scheduler::takeBackOnePlace(const TrackedWorker& worker, TimePoint now, Effects& effects)
{
    const AdmissionConfig& settings = this->config.admission;
    if (!settings.enabled)
        return;
    for (const std::map<TaskId, WorkerIdentity>::value_type& item : worker.tasks) {
        const TrackedJob& job = *this->jobRegistry.find(item.first.job);
        const TaskState& task = *this->jobRegistry.task(item.first);
        const StepSpec& step = job.spec->steps[item.first.step];
        if (!this->jobAdmission.yields(item.first.job) || !step.bestEffort || !step.checkpointing || task.stopping || !task.ordered || isTerminal(job.state))
            continue;
        const Duration left = std::chrono::duration_cast<Duration>(step.estimate * (1 - std::min(task.percent, 100U) / 100.0));
        if (left < settings.minimumYield || now < task.startedAt + settings.minimumRunAge)
            continue;
        this->orderStop(worker, item.first, "its job cannot end in time, and others can", effects);
        return;
    }
}

}
