#include "cowslipdoor/scheduling/TableEvents.h"
#include <algorithm>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Sorts the events of rows into the fields of a TablesRead event.
    struct EventSorter {
        std::vector<JobSpecHandle>& jobs;
        std::vector<JobId>& cancelled;
        std::vector<KnownAgent>& agents;

        void operator()(const JobStored& event) const { this->jobs.push_back(event.spec); }
        void operator()(const JobCancelStored& event) const { this->cancelled.push_back(event.job); }
        void operator()(const AgentStored& event) const { this->agents.push_back(event.agent); }
        template <typename Other>
        void operator()(const Other&) const
        {
        }
    };

    /// Joins the segments of the progress of one job. Tasks of a segment without a row have not been started.
    ProgressRecord joinSegments(const std::map<std::uint32_t, ProgressRecord>& segments)
    {
        ProgressRecord whole;
        for (const std::map<std::uint32_t, ProgressRecord>::value_type& item : segments) {
            const std::size_t first = item.first * tasksPerSegment;
            whole.tasks.resize(std::max(whole.tasks.size(), first + item.second.tasks.size()));
            std::copy(item.second.tasks.begin(), item.second.tasks.end(), whole.tasks.begin() + static_cast<std::ptrdiff_t>(first));
        }
        const std::map<std::uint32_t, ProgressRecord>::const_iterator head = segments.find(0);
        if (head == segments.end())
            return whole;
        whole.state = head->second.state;
        whole.begun = head->second.begun;
        whole.undivided = head->second.tasks.size() > tasksPerSegment;
        return whole;
    }

}

std::optional<SchedulerEvent> eventOf(const Row& row, std::int64_t readAtMs)
{
    if (row.deleted)
        return std::nullopt;
    if (row.key.table == agentTable) {
        const std::optional<AgentRecord> record = parseAgentRecord(row.value);
        if (record)
            return AgentStored { { row.key.key, *record } };
        return std::nullopt;
    }
    const std::optional<JobId> cancelled = cancelledJob(row.key);
    if (cancelled)
        return JobCancelStored { *cancelled };
    const std::optional<JobSpec> spec = parseJobSpec(row.value);
    if (spec && spec->id.text == row.key.key)
        return JobStored { std::make_shared<const JobSpec>(*spec), readAtMs, row.version };
    return std::nullopt;
}

DecodedTables decodeTables(std::uint64_t epoch, const std::vector<Row>& rows, std::int64_t readAtMs, RowVersion version, TimePoint asOf)
{
    std::vector<JobSpecHandle> jobs;
    std::map<JobId, std::map<std::uint32_t, ProgressRecord>> segments;
    std::vector<JobId> cancelled;
    std::vector<KnownAgent> agents;
    std::vector<RowKey> ignored;
    std::vector<LearntLoss> losses;
    for (const Row& row : rows) {
        if (row.key == interferenceRowKey()) {
            const std::optional<std::vector<LearntLoss>> learnt = parseLearntLosses(row.value);
            if (learnt)
                losses = *learnt;
            else
                ignored.push_back(row.key);
            continue;
        }
        const bool ofProgress = row.key.table == progressTable;
        const std::optional<ProgressSegment> segment = ofProgress ? progressSegmentOf(row.key) : std::nullopt;
        const std::optional<ProgressRecord> record = segment ? parseProgressRecord(row.value) : std::nullopt;
        const std::optional<SchedulerEvent> event = ofProgress ? std::nullopt : eventOf(row);
        if (record)
            segments[segment->job].emplace(segment->number, *record);
        else if (event)
            std::visit(EventSorter { jobs, cancelled, agents }, *event);
        else
            ignored.push_back(row.key);
    }
    std::map<JobId, ProgressRecord> progress;
    for (const std::map<JobId, std::map<std::uint32_t, ProgressRecord>>::value_type& item : segments)
        progress.emplace(item.first, joinSegments(item.second));
    return { { epoch, std::move(jobs), std::move(progress), std::move(cancelled), std::move(agents), std::move(losses), readAtMs, version, asOf }, std::move(ignored) };
}

}
