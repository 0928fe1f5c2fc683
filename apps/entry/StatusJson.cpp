#include "StatusJson.h"
#include <cmath>
#include <cowslipdoor/core/RulesText.h>
#include <nlohmann/json.hpp>

namespace cowslipdoor::entry {

namespace {

    using Json = nlohmann::ordered_json;

    Json printAgent(const AgentView& view)
    {
        return {
            { "agent", view.agent },
            { "failure_domain", view.failureDomain },
            { "ready", view.load.ready },
            { "draining", view.load.draining },
            { "ledger_complete", view.load.ledgerComplete },
            { "slots", view.load.total.slots },
            { "free_slots", view.load.free.slots },
            { "in_flight", view.inFlight },
        };
    }

    /// A slowdown, or null for a place without any pace.
    Json printSlowdown(double slowdown)
    {
        return std::isfinite(slowdown) ? Json(slowdown) : Json(nullptr);
    }

    Json printStep(const StepPlacement& step)
    {
        Json json { { "step", step.step }, { "tasks", step.tasks }, { "after_others", step.afterOthers }, { "agent", step.agent }, { "decision", "none" }, { "reason", "no worker can take a task" }, { "workers", step.fitness } };
        if (!step.decision)
            return json;
        json["slowdown"] = printSlowdown(step.slowdown);
        const PlaceNow* const now = std::get_if<PlaceNow>(&*step.decision);
        json["decision"] = now ? "place" : "wait";
        json["reason"] = now ? std::string(toString(now->reason)) : "a better place is expected to save more";
        if (!now)
            json["wait_ms"] = toMilliseconds(std::get<WaitUntil>(*step.decision).limit);
        if (step.better) {
            json["better_slowdown"] = printSlowdown(step.better->slowdown);
            json["release_ms"] = step.better->release ? Json(toMilliseconds(*step.better->release)) : Json(nullptr);
        }
        return json;
    }

}

std::string printStatus(const runtime::EntryStatus& status, const std::string& name)
{
    Json agents = Json::array();
    for (const AgentView& view : status.agents)
        agents.push_back(printAgent(view));
    const Json json {
        { "entry", name },
        { "ready", status.ready },
        { "stopping", status.stopping },
        { "rules_version", status.rules.version() },
        { "queued", status.queued },
        { "pending", status.pending },
        { "arrived", status.counters.arrived },
        { "answered", status.counters.answered },
        { "retried", status.counters.retried },
        { "refused_by_agents", status.counters.refusedByAgents },
        { "late_answers_dropped", status.counters.lateAnswersDropped },
        { "inquiries", status.counters.inquiries },
        { "cancelled", status.counters.cancelled },
        { "agents", agents },
    };
    return json.dump(2) + "\n";
}

std::string printStatus(const runtime::SchedulerStatus& status)
{
    Json workers = Json::array();
    for (const runtime::SchedulerStatus::WorkerLine& line : status.workers) {
        workers.push_back({ { "agent", line.agent }, { "worker", line.worker }, { "linked", line.linked }, { "usable", line.usable }, { "runs", line.runs },
            { "free_millicores", line.free.milliCores }, { "free_memory_mb", line.free.memoryMb }, { "failure_domain", line.failureDomain } });
    }
    Json evacuated = Json::array();
    for (const EvacuatedDomain& domain : status.evacuatedDomains)
        evacuated.push_back({ { "failure_domain", domain.name }, { "workers", domain.workers }, { "runs", domain.runs } });
    const Json json { { "leading", status.leading }, { "epoch", status.epoch }, { "leader", status.leader }, { "jobs", status.jobs }, { "waiting_jobs", status.waitingJobs }, { "idle_lasting_tasks", status.idleLongRunningTasks }, { "evacuated_domains", evacuated }, { "workers", workers } };
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string printJobs(const runtime::JobList& list)
{
    Json jobs = Json::array();
    for (const JobSummary& line : list.lines) {
        jobs.push_back({ { "job", line.job.text }, { "queue", line.queue }, { "service", line.service }, { "priority", line.priority }, { "state", toString(line.state) },
            { "age_ms", toMilliseconds(line.age) }, { "due_in_ms", line.untilDue ? Json(toMilliseconds(*line.untilDue)) : Json(nullptr) },
            { "tasks", line.tasks }, { "placed", line.placed }, { "done", line.done } });
    }
    const Json json { { "leading", list.leading }, { "leader", list.leader }, { "jobs", jobs } };
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string printExplanation(const runtime::PlacementExplanation& explanation)
{
    Json steps = Json::array();
    for (const StepPlacement& step : explanation.steps)
        steps.push_back(printStep(step));
    const Json json { { "leading", explanation.leading }, { "leader", explanation.leader }, { "steps", steps } };
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string printRules(const RuleSet& rules)
{
    Json list = Json::array();
    for (const Rule& rule : rules.rules())
        list.push_back({ { "name", rule.name }, { "class", toString(rule.trafficClass) }, { "requested_by", rule.requester }, { "reason", rule.reason }, { "line", printRule(rule) } });
    const Json json { { "version", rules.version() }, { "rules", list } };
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}
