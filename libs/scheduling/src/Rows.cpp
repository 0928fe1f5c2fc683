#include "cowslipdoor/scheduling/Rows.h"
#include "cowslipdoor/scheduling/CheckedJson.h"
#include "cowslipdoor/scheduling/Limits.h"
#include <algorithm>
#include <charconv>
#include <cmath>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/core/Rendezvous.h>
#include <nlohmann/json.hpp>

namespace cowslipdoor {

namespace {

    using Json = nlohmann::json;

    /// Number of parts of the job table. A part carries out one transaction after another, and on a slow store only four per
    /// second. A new leader reads all parts at the same time.
    constexpr std::uint64_t jobParts = 16;

    constexpr const char* cancelSuffix = ".cancel";

    /// Separates a job's identifier from the number of a segment.
    constexpr char segmentSeparator = '.';

    std::string jobPart(const JobId& job)
    {
        return "p" + std::to_string(rendezvousWeight(job.text, "part") % jobParts);
    }

    Json toJson(const StepSpec& step)
    {
        return { { "count", step.count }, { "cores", step.demand.milliCores }, { "memory", step.demand.memoryMb }, { "accelerators", step.demand.accelerators },
            { "estimate", step.estimate.count() }, { "after", step.after }, { "checkpointing", step.checkpointing }, { "speculative", step.speculative },
            { "long_running", step.longRunning }, { "fills", step.bestEffort }, { "label", step.requiredLabel }, { "rack", step.dataRack }, { "image", step.image },
            { "per_worker", step.maximumPerWorker }, { "target", step.target.count() }, { "may_miss", step.mayMiss }, { "colocated", step.colocated } };
    }

    /// Encodes a value as text. Bytes in names of workers or agents that are not UTF-8 are replaced, as they must not stop the
    /// leader's writes.
    std::string dump(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    /// Number of segments of the largest job.
    constexpr std::size_t maximumSegments = (maximumSteps * maximumTasks + tasksPerSegment - 1) / tasksPerSegment;

    /// Maximum duration in a row, in microseconds.
    constexpr Duration::rep maximumRowDuration = Duration(maximumDuration).count();

    /// Maximum loss of slack, and maximum variance of a loss.
    constexpr double maximumLoss = 1'000'000;

    Duration spanFromJson(const CheckedJson& json)
    {
        return Duration(json.integer<Duration::rep>({ 0, maximumRowDuration }));
    }

    std::uint32_t amountFromJson(const CheckedJson& json)
    {
        return json.integer<std::uint32_t>({ 0, maximumResourceAmount });
    }

    /// Reads a step, which may only depend on steps before it.
    StepSpec stepFromJson(const CheckedJson& json, std::uint32_t number)
    {
        StepSpec step;
        step.count = json.at("count").integer<std::uint32_t>({ 1, maximumTasks });
        step.demand = { amountFromJson(json.at("cores")), amountFromJson(json.at("memory")), amountFromJson(json.at("accelerators")) };
        step.estimate = spanFromJson(json.at("estimate"));
        step.after = json.at("after").integers<std::uint32_t>();
        if (std::any_of(step.after.begin(), step.after.end(), [number](std::uint32_t earlier) { return earlier >= number; }))
            json.at("after").refuse("numbers of earlier steps");
        step.checkpointing = json.at("checkpointing").boolean();
        step.speculative = json.at("speculative").boolean();
        step.longRunning = json.at("long_running").boolean();
        step.bestEffort = json.at("fills").boolean();
        step.requiredLabel = json.at("label").text();
        step.dataRack = json.at("rack").text();
        step.image = json.at("image").text();
        step.maximumPerWorker = json.at("per_worker").integer<std::uint32_t>();
        step.target = spanFromJson(json.at("target"));
        step.mayMiss = json.at("may_miss").integer<std::uint32_t>();
        // Rows of earlier versions lack it.
        step.colocated = json.booleanOr("colocated");
        return step;
    }

    std::vector<StepSpec> stepsFromJson(const CheckedJson& json)
    {
        if (json.size() == 0 || json.size() > maximumSteps)
            json.refuse("a list of 1 to " + std::to_string(maximumSteps) + " steps");
        std::vector<StepSpec> steps;
        for (const CheckedJson& step : json.items())
            steps.push_back(stepFromJson(step, static_cast<std::uint32_t>(steps.size())));
        return steps;
    }

    std::vector<Assignment> assignmentsFromJson(const CheckedJson& json)
    {
        std::vector<Assignment> assignments;
        for (const CheckedJson& assignment : json.items())
            assignments.push_back({ assignment.item(0).text(), { assignment.item(1).text(), assignment.item(2).integer<std::int64_t>({ 0, static_cast<std::int64_t>(maximumCount) }) } });
        return assignments;
    }

    TaskRecord taskFromJson(const CheckedJson& json, const std::vector<Assignment>& assignments)
    {
        TaskRecord task;
        task.done = json.item(0).integer<int>({ 0, 1 }) == 1;
        task.run = json.item(1).integer<std::uint32_t>({ 0, maximumRunNumber });
        task.failedRuns = json.item(2).integers<std::uint32_t>({ 0, maximumRunNumber });
        const std::int64_t index = json.item(3).integer<std::int64_t>({ -1, static_cast<std::int64_t>(assignments.size()) - 1 });
        if (index >= 0)
            task.assignment = assignments[static_cast<std::size_t>(index)];
        if (json.size() > 4)
            task.checkpoint = json.item(4).text();
        return task;
    }

    std::vector<SilentAgent> silentAgentsFromJson(const std::optional<CheckedJson>& json)
    {
        std::vector<SilentAgent> silent;
        if (!json)
            return silent;
        for (const CheckedJson& row : json->items())
            silent.push_back({ row.item(0).text(), std::chrono::milliseconds(row.item(1).integer<std::int64_t>({ 0, maximumDuration.count() })) });
        return silent;
    }

    /// Rounds a loss to two decimals; it is known less precisely than that.
    double rounded(double value)
    {
        return std::round(value * 100) / 100;
    }

    /// Parses and converts a text; returns std::nullopt for a text that is not JSON of the expected form.
    template <typename Record, typename Convert>
    std::optional<Record> parseRecord(const std::string& text, const Convert& convert)
    {
        try {
            return convert(CheckedJson::parse(text));
        } catch (const Error&) {
            return std::nullopt;
        }
    }

    /// Index of an assignment in the list that the row holds, so that each assignment is written only once.
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

std::size_t segmentCount(const JobSpec& spec)
{
    return (spec.taskCount() + tasksPerSegment - 1) / tasksPerSegment;
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

RowKey segmentRowKey(const ProgressSegment& segment)
{
    RowKey key = progressRowKey(segment.job);
    if (segment.number > 0)
        key.key += segmentSeparator + std::to_string(segment.number);
    return key;
}

std::optional<ProgressSegment> progressSegmentOf(const RowKey& key)
{
    const std::size_t separator = key.key.find(segmentSeparator);
    if (separator == std::string::npos)
        return ProgressSegment { { key.key }, 0 };
    const char* const first = key.key.data() + separator + 1;
    const char* const last = key.key.data() + key.key.size();
    ProgressSegment segment { { key.key.substr(0, separator) }, 0 };
    const std::from_chars_result read = std::from_chars(first, last, segment.number);
    const bool valid = read.ec == std::errc {} && read.ptr == last && segment.number > 0 && segment.number < maximumSegments;
    return valid ? std::optional<ProgressSegment>(std::move(segment)) : std::nullopt;
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
    Json row { { "epoch", record.epoch }, { "holder", record.holder }, { "incarnation", record.incarnation }, { "sequence", record.sequence }, { "most_milli_cores", record.maximumMilliCores }, { "learned", record.learnedVersion } };
    for (const SilentAgent& silent : record.silent)
        row["silent"].push_back({ silent.agent, toMilliseconds(silent.silentFor) });
    return dump(row);
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
    Json assignments = Json::array();
    for (const Assignment& assignment : known)
        assignments.push_back({ assignment.agent, assignment.worker.id, assignment.worker.startedAtMs });
    Json row = { { "state", static_cast<unsigned>(record.state) }, { "places", assignments }, { "tasks", tasks } };
    if (record.begun)
        row["begun"] = 1;
    return dump(row);
}

std::string print(const JobSpec& spec)
{
    Json steps = Json::array();
    for (const StepSpec& step : spec.steps)
        steps.push_back(toJson(step));
    return dump({ { "id", spec.id.text }, { "queue", spec.queue }, { "service", spec.service }, { "priority", spec.priority }, { "attempts", spec.attempts },
        { "stretch", spec.stretch }, { "slack", spec.dueSlack.count() }, { "payload", spec.payload }, { "steps", steps }, { "accepted", spec.acceptedAtMs } });
}

std::string print(const PendingCounts& counts)
{
    return dump(counts);
}

std::string print(const std::vector<LearntLoss>& losses)
{
    Json rows = Json::array();
    for (const LearntLoss& item : losses)
        rows.push_back({ item.serving, item.bestEffort, rounded(item.loss), rounded(item.variance) });
    return dump(rows);
}

std::optional<LeaderRecord> parseLeaderRecord(const std::string& text)
{
    return parseRecord<LeaderRecord>(text, [](const CheckedJson& json) {
        return LeaderRecord { json.at("epoch").integer<std::uint64_t>({ 0, maximumCount }), json.at("holder").text(), json.at("incarnation").integer<std::uint64_t>(),
            json.at("sequence").integer<std::uint64_t>({ 0, maximumCount }), json.integerOr<std::uint64_t>("most_milli_cores", 0, { 0, maximumCount }), json.integerOr<RowVersion>("learned", 0, { 0, maximumCount }), silentAgentsFromJson(json.find("silent")) };
    });
}

std::optional<AgentRecord> parseAgentRecord(const std::string& text)
{
    return parseRecord<AgentRecord>(text, [](const CheckedJson& json) {
        return AgentRecord { json.at("address").text(), json.at("generation").integer<std::uint64_t>({ 0, maximumGeneration }) };
    });
}

std::optional<ProgressRecord> parseProgressRecord(const std::string& text)
{
    return parseRecord<ProgressRecord>(text, [](const CheckedJson& json) {
        const std::vector<Assignment> assignments = assignmentsFromJson(json.at("places"));
        ProgressRecord record;
        record.state = static_cast<JobState>(json.at("state").integer<unsigned>({ 0, static_cast<unsigned>(JobState::Cancelled) }));
        for (const CheckedJson& task : json.at("tasks").items())
            record.tasks.push_back(taskFromJson(task, assignments));
        record.begun = json.integerOr<int>("begun", 0, { 0, 1 }) == 1;
        return record;
    });
}

std::optional<JobSpec> parseJobSpec(const std::string& text)
{
    return parseRecord<JobSpec>(text, [](const CheckedJson& json) {
        JobSpec spec;
        spec.id = { json.at("id").text() };
        spec.queue = json.at("queue").text();
        spec.service = json.at("service").text();
        spec.priority = json.at("priority").integer<std::uint32_t>();
        spec.attempts = json.at("attempts").integer<std::uint32_t>();
        spec.stretch = json.at("stretch").decimal(0, maximumStretch);
        spec.dueSlack = spanFromJson(json.at("slack"));
        spec.payload = json.at("payload").text();
        spec.steps = stepsFromJson(json.at("steps"));
        spec.acceptedAtMs = json.integerOr<std::int64_t>("accepted", 0, { 0, static_cast<std::int64_t>(maximumCount) });
        return spec;
    });
}

std::optional<PendingCounts> parsePendingCounts(const std::string& text)
{
    return parseRecord<PendingCounts>(text, [](const CheckedJson& json) {
        PendingCounts counts;
        for (const std::pair<std::string, CheckedJson>& field : json.fields())
            counts.emplace(field.first, field.second.integer<std::uint32_t>());
        return counts;
    });
}

std::optional<std::vector<LearntLoss>> parseLearntLosses(const std::string& text)
{
    return parseRecord<std::vector<LearntLoss>>(text, [](const CheckedJson& json) {
        std::vector<LearntLoss> losses;
        for (const CheckedJson& row : json.items())
            losses.push_back({ row.item(0).text(), row.item(1).text(), row.item(2).decimal(-maximumLoss, maximumLoss), row.item(3).decimal(0, maximumLoss) });
        return losses;
    });
}

}
