#include "cowslipdoor/scheduling/Rows.h"
#include <cmath>
#include <cowslipdoor/core/Rendezvous.h>
#include <nlohmann/json.hpp>

namespace cowslipdoor {

namespace {

    using Json = nlohmann::json;

    /// Parts of the job table. The store carries out 250 transactions a second in a part and takes 800 calls in all; a new
    /// leader reads part after part, so there are no more than that needs.
    constexpr std::uint64_t jobParts = 4;

    constexpr const char* cancelSuffix = ".cancel";

    std::string jobPart(const JobId& job)
    {
        return "p" + std::to_string(rendezvousWeight(job.text, "part") % jobParts);
    }

    Json toJson(const StepSpec& step)
    {
        return { { "count", step.count }, { "cores", step.demand.milliCores }, { "memory", step.demand.memoryMb }, { "accelerators", step.demand.accelerators },
            { "estimate", step.estimate.count() }, { "after", step.after }, { "checkpointing", step.checkpointing }, { "speculative", step.speculative },
            { "long_running", step.longRunning }, { "fills", step.fills }, { "label", step.requiredLabel }, { "rack", step.dataRack }, { "image", step.image },
            { "per_worker", step.maximumPerWorker }, { "target", step.target.count() }, { "may_miss", step.mayMiss } };
    }

    /// Text of a value. A worker's or agent's name may have bytes that are no text; the leader goes on writing.
    std::string dump(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    StepSpec stepFromJson(const Json& json)
    {
        StepSpec step;
        step.count = json.at("count").get<std::uint32_t>();
        step.demand = { json.at("cores").get<std::uint32_t>(), json.at("memory").get<std::uint32_t>(), json.at("accelerators").get<std::uint32_t>() };
        step.estimate = Duration(json.at("estimate").get<Duration::rep>());
        step.after = json.at("after").get<std::vector<std::uint32_t>>();
        step.checkpointing = json.at("checkpointing").get<bool>();
        step.speculative = json.at("speculative").get<bool>();
        step.longRunning = json.at("long_running").get<bool>();
        step.fills = json.at("fills").get<bool>();
        step.requiredLabel = json.at("label").get<std::string>();
        step.dataRack = json.at("rack").get<std::string>();
        step.image = json.at("image").get<std::string>();
        step.maximumPerWorker = json.at("per_worker").get<std::uint32_t>();
        step.target = Duration(json.at("target").get<Duration::rep>());
        step.mayMiss = json.at("may_miss").get<std::uint32_t>();
        return step;
    }

    /// Two decimals are more than is known of a loss.
    double rounded(double value)
    {
        return std::round(value * 100) / 100;
    }

    /// Parses a text and converts it; a text of another form gives nothing.
    template <typename Record, typename Convert>
    std::optional<Record> parseRecord(const std::string& text, const Convert& convert)
    {
        try {
            return convert(Json::parse(text));
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

    /// Index of an assignment in the row's own list, so that its texts stand once in a row.
    std::size_t indexOf(const Assignment& assignment, std::vector<Assignment>& known)
    {
        for (std::size_t index = 0; index < known.size(); ++index) {
            if (known[index] == assignment)
                return index;
        }
        known.push_back(assignment);
        return known.size() - 1;
    }

}

RowKey leaderRowKey()
{
    return { leaderTable, "", "leader" };
}

RowKey jobRowKey(const JobId& job)
{
    return { jobTable, jobPart(job), job.text };
}

RowKey cancelRowKey(const JobId& job)
{
    return { jobTable, jobPart(job), job.text + cancelSuffix };
}

RowKey progressRowKey(const JobId& job)
{
    return { progressTable, "", job.text };
}

RowKey agentRowKey(const std::string& agent)
{
    return { agentTable, "", agent };
}

RowKey interferenceRowKey()
{
    return { modelTable, "", "interference" };
}

RowKey pendingRowKey()
{
    return { leaderTable, "", "pending" };
}

std::optional<JobId> cancelledJob(const RowKey& key)
{
    const std::string_view suffix = cancelSuffix;
    if (key.key.size() <= suffix.size() || !std::string_view(key.key).ends_with(suffix))
        return std::nullopt;
    return JobId { key.key.substr(0, key.key.size() - suffix.size()) };
}

std::string print(const LeaderRecord& record)
{
    return dump({ { "epoch", record.epoch }, { "holder", record.holder }, { "incarnation", record.incarnation }, { "sequence", record.sequence }, { "most_milli_cores", record.mostMilliCores } });
}

std::string print(const AgentRecord& record)
{
    return dump({ { "address", record.address }, { "generation", record.generation } });
}

std::string print(const ProgressRecord& record)
{
    std::vector<Assignment> known;
    Json tasks = Json::array();
    for (const TaskRecord& task : record.tasks) {
        Json row = { task.done ? 1 : 0, task.run, task.failedRuns, task.assignment ? static_cast<std::int64_t>(indexOf(*task.assignment, known)) : -1 };
        if (!task.checkpoint.empty())
            row.push_back(task.checkpoint);
        tasks.push_back(std::move(row));
    }
    Json places = Json::array();
    for (const Assignment& assignment : known)
        places.push_back({ assignment.agent, assignment.worker.id, assignment.worker.born });
    return dump({ { "state", static_cast<unsigned>(record.state) }, { "places", places }, { "tasks", tasks } });
}

std::string print(const JobSpec& spec)
{
    Json steps = Json::array();
    for (const StepSpec& step : spec.steps)
        steps.push_back(toJson(step));
    return dump({ { "id", spec.id.text }, { "queue", spec.queue }, { "service", spec.service }, { "priority", spec.priority }, { "attempts", spec.attempts },
        { "stretch", spec.stretch }, { "slack", spec.slack.count() }, { "payload", spec.payload }, { "steps", steps }, { "accepted", spec.acceptedAtMs } });
}

std::string print(const PendingCounts& counts)
{
    return dump(counts);
}

std::string print(const std::vector<LearntLoss>& losses)
{
    Json rows = Json::array();
    for (const LearntLoss& item : losses)
        rows.push_back({ item.serving, item.filling, rounded(item.loss), rounded(item.variance) });
    return dump(rows);
}

std::optional<LeaderRecord> parseLeaderRecord(const std::string& text)
{
    return parseRecord<LeaderRecord>(text, [](const Json& json) {
        return LeaderRecord { json.at("epoch").get<std::uint64_t>(), json.at("holder").get<std::string>(), json.at("incarnation").get<std::uint64_t>(),
            json.at("sequence").get<std::uint64_t>(), json.value("most_milli_cores", std::uint64_t(0)) };
    });
}

std::optional<AgentRecord> parseAgentRecord(const std::string& text)
{
    return parseRecord<AgentRecord>(text, [](const Json& json) {
        return AgentRecord { json.at("address").get<std::string>(), json.at("generation").get<std::uint64_t>() };
    });
}

std::optional<ProgressRecord> parseProgressRecord(const std::string& text)
{
    return parseRecord<ProgressRecord>(text, [](const Json& json) {
        std::vector<Assignment> places;
        for (const Json& place : json.at("places"))
            places.push_back({ place.at(0).get<std::string>(), { place.at(1).get<std::string>(), place.at(2).get<std::int64_t>() } });
        ProgressRecord record;
        record.state = static_cast<JobState>(json.at("state").get<unsigned>());
        for (const Json& row : json.at("tasks")) {
            TaskRecord task;
            task.done = row.at(0).get<int>() != 0;
            task.run = row.at(1).get<std::uint32_t>();
            task.failedRuns = row.at(2).get<std::vector<std::uint32_t>>();
            const std::int64_t place = row.at(3).get<std::int64_t>();
            if (place >= 0 && static_cast<std::size_t>(place) < places.size())
                task.assignment = places[static_cast<std::size_t>(place)];
            if (row.size() > 4)
                task.checkpoint = row.at(4).get<std::string>();
            record.tasks.push_back(task);
        }
        return record;
    });
}

std::optional<JobSpec> parseJobSpec(const std::string& text)
{
    return parseRecord<JobSpec>(text, [](const Json& json) {
        JobSpec spec;
        spec.id = { json.at("id").get<std::string>() };
        spec.queue = json.at("queue").get<std::string>();
        spec.service = json.at("service").get<std::string>();
        spec.priority = json.at("priority").get<std::uint32_t>();
        spec.attempts = json.at("attempts").get<std::uint32_t>();
        spec.stretch = json.at("stretch").get<double>();
        spec.slack = Duration(json.at("slack").get<Duration::rep>());
        spec.payload = json.at("payload").get<std::string>();
        for (const Json& step : json.at("steps"))
            spec.steps.push_back(stepFromJson(step));
        spec.acceptedAtMs = json.value("accepted", std::int64_t { 0 });
        return spec;
    });
}

std::optional<PendingCounts> parsePendingCounts(const std::string& text)
{
    return parseRecord<PendingCounts>(text, [](const Json& json) { return json.get<PendingCounts>(); });
}

std::optional<std::vector<LearntLoss>> parseLearntLosses(const std::string& text)
{
    return parseRecord<std::vector<LearntLoss>>(text, [](const Json& json) {
        std::vector<LearntLoss> losses;
        for (const Json& row : json)
            losses.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<double>(), row.at(3).get<double>() });
        return losses;
    });
}

}
