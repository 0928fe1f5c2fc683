#include "StatusJson.h"
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

std::string printRules(const RuleSet& rules)
{
    Json list = Json::array();
    for (const Rule& rule : rules.rules())
        list.push_back({ { "name", rule.name }, { "class", toString(rule.trafficClass) }, { "requested_by", rule.requester }, { "reason", rule.reason }, { "line", printRule(rule) } });
    const Json json { { "version", rules.version() }, { "rules", list } };
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}
