#include "cowslipdoor/scheduling/EvacuationMoves.h"
#include "cowslipdoor/scheduling/ExpectedRelease.h"
#include "cowslipdoor/scheduling/Relocation.h"
#include <algorithm>
#include <set>
#include <tuple>

namespace cowslipdoor {

namespace {

    /// Run in an evacuated failure domain.
    struct Candidate {
        const TrackedJob* job = nullptr;
        TaskId id;
        std::string agent;
    };

    const TaskState& stateOf(const TrackedJob& job, const TaskId& id)
    {
        return job.steps[id.step][id.index];
    }

    /// Position in the order of moves.
    unsigned rankOf(const Candidate& candidate, TimePoint now)
    {
        if (candidate.job->spec->steps[candidate.id.step].longRunning)
            return 1;
        return now + candidate.job->remainingChain() <= candidate.job->due ? 0 : 2;
    }

    /// Whether another task of the step is being moved.
    bool stepMoves(const TaskId& id, const OngoingMoves& ongoing)
    {
        return std::any_of(ongoing.begin(), ongoing.end(), [&id](const OngoingMoves::value_type& item) { return item.first.job == id.job && item.first.step == id.step; });
    }

    /// Whether the task of a move runs at another worker, or will run no more.
    bool hasMoved(const TrackedJob* job, const EvacuationMove& move)
    {
        if (!job || isTerminal(job->state))
            return true;
        const StepSpec& step = job->spec->steps[move.task.step];
        const TaskState& task = stateOf(*job, move.task);
        if (task.record.done)
            return true;
        const bool elsewhere = task.record.assignment && task.record.assignment->agent != move.from;
        const bool serves = step.target <= Duration {} || task.percent >= readyPercent;
        return elsewhere && task.listedAt > task.startedAt && serves;
    }

    std::vector<Candidate> candidatesOf(const JobRegistry& jobs, const Workers& workers, TimePoint now)
    {
        std::vector<Candidate> candidates;
        for (const Workers::value_type& item : workers) {
            // Workers of an unknown failure domain get nothing new, but keep what they run.
            if (!item.second.evacuated || item.second.failureDomain.empty())
                continue;
            for (const std::map<TaskId, WorkerIdentity>::value_type& task : item.second.tasks) {
                const TrackedJob* const job = jobs.find(task.first.job);
                if (job)
                    candidates.push_back({ job, task.first, item.first });
            }
        }
        const auto key = [now](const Candidate& candidate) { return std::tuple(rankOf(candidate, now), candidate.id); };
        std::sort(candidates.begin(), candidates.end(), [&key](const Candidate& left, const Candidate& right) { return key(left) < key(right); });
        return candidates;
    }

    void reserve(Workers& workers, const std::string& agent, const TrackedJob& job, const TaskId& id)
    {
        const Workers::iterator worker = workers.find(agent);
        if (worker != workers.end() && worker->second.info)
            worker->second.allocate(id, job.spec->steps[id.step], worker->second.info->identity);
    }

}

EvacuationVerdict judgeEvacuatedRun(const TrackedJob& job, const TaskId& id, const OngoingMoves& ongoing, const Workers& workers, const InterferenceModel& interference, const EvacuationMoveConfig& config, TimePoint now)
{
    const StepSpec& step = job.spec->steps[id.step];
    const TaskState& task = stateOf(job, id);
    // A run that no worker has listed may not have started.
    if (isTerminal(job.state) || task.stopping || !task.ordered || task.listedAt <= task.startedAt)
        return RunsToEnd {};
    if (!step.longRunning && (!step.checkpointing || expectedRunEnd(step, task, now) <= now + config.minimumRemaining))
        return RunsToEnd {};
    if (step.longRunning && (stepMoves(id, ongoing) || !mayStopTask(job, id.step)))
        return AwaitsTurn {};
    const TrackedWorker* const chosen = chooseWorker(job, id.step, task, workers, interference, now);
    if (!chosen || chosen->exclusionReason(now) || chosen->isCold(now))
        return AwaitsPlace {};
    return MovesTo { chosen->agent };
}

OngoingMoves withoutEndedMoves(const OngoingMoves& ongoing, const JobRegistry& jobs, const EvacuationMoveConfig& config, TimePoint now)
{
    OngoingMoves left = ongoing;
    std::erase_if(left, [&jobs, &config, now](const OngoingMoves::value_type& item) {
        return now >= item.second.second + config.moveTimeout || hasMoved(jobs.find(item.first.job), item.second.first);
    });
    return left;
}

EvacuationPlan planEvacuation(const JobRegistry& jobs, const Workers& workers, const OngoingMoves& ongoing, const InterferenceModel& interference, const EvacuationMoveConfig& config, TimePoint now)
{
    EvacuationPlan plan;
    const std::vector<Candidate> candidates = candidatesOf(jobs, workers, now);
    if (candidates.empty())
        return plan;
    Workers planned = workers;
    for (const OngoingMoves::value_type& item : ongoing) {
        const TrackedJob* const job = jobs.find(item.first.job);
        if (job && !stateOf(*job, item.first).record.done)
            reserve(planned, item.second.first.to, *job, item.first);
    }
    OngoingMoves moving = ongoing;
    std::set<std::pair<JobId, std::uint32_t>> withoutPlace;
    for (const Candidate& candidate : candidates) {
        const bool longRunning = candidate.job->spec->steps[candidate.id.step].longRunning;
        ++(longRunning ? plan.longRunningRuns : plan.finiteRuns);
        const std::pair<JobId, std::uint32_t> step { candidate.id.job, candidate.id.step };
        const bool sought = moving.size() < config.movesAtOnce && withoutPlace.size() < config.stepsAtOnce && !withoutPlace.contains(step);
        const EvacuationVerdict verdict = judgeEvacuatedRun(*candidate.job, candidate.id, moving, sought ? planned : Workers {}, interference, config, now);
        if (std::holds_alternative<RunsToEnd>(verdict))
            continue;
        const MovesTo* const target = std::get_if<MovesTo>(&verdict);
        if (!target) {
            if (sought && std::holds_alternative<AwaitsPlace>(verdict))
                withoutPlace.insert(step);
            plan.waiting.push_back(candidate.id);
            continue;
        }
        plan.moves.push_back({ candidate.id, candidate.agent, target->agent });
        moving.emplace(candidate.id, std::pair(plan.moves.back(), now));
        reserve(planned, target->agent, *candidate.job, candidate.id);
    }
    return plan;
}

}
