#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/Configuration.h>
#include <cowslipdoor/scheduling/RowInsertion.h>
#include <cowslipdoor/scheduling/TableEvents.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using std::chrono::milliseconds;

TEST_CASE("rows: every printed record is parsed back to an equal one", "[jobs]")
{
    const LeaderRecord leader { 3, "entry", 17, 4, 500, 9, { { "agent", std::chrono::milliseconds(1500) } } };
    CHECK(parseLeaderRecord(print(leader)) == leader);
    const AgentRecord agent { "10.0.0.1:7720", 9 };
    CHECK(parseAgentRecord(print(agent)) == agent);
    StepSpec step = stepOf(2, 300);
    step.after = { 0 };
    step.checkpointing = step.speculative = step.longRunning = step.bestEffort = true;
    step.requiredLabel = "label";
    step.dataRack = "rack";
    step.image = "image";
    step.maximumPerWorker = 3;
    step.target = milliseconds(50);
    step.mayMiss = 1;
    step.colocated = true;
    JobSpec spec = *jobOf("a", { stepOf(1, 100), step });
    spec.acceptedAtMs = 1'700'000'000'000;
    CHECK(parseJobSpec(print(spec)) == spec);
    const Assignment first { "agent-1", { "w1", 5 } };
    const Assignment second { "agent-2", { "w2", 6 } };
    const ProgressRecord progress { JobState::Running, { { true, 1, {}, std::nullopt, "" }, { false, 3, { 1, 2 }, first, "saved" }, { false, 2, {}, second, "" }, { false, 1, {}, first, "" } } };
    CHECK(parseProgressRecord(print(progress)) == progress);
    const ProgressRecord begun { JobState::Running, progress.tasks, true };
    CHECK(parseProgressRecord(print(begun)) == begun);
    const PendingCounts counts { { "q", 4 } };
    CHECK(parsePendingCounts(print(counts)) == counts);
}

TEST_CASE("rows: a job of an earlier version, whose steps do not state whether they are colocated, is read", "[jobs]")
{
    const JobSpec spec = *jobOf("a", { stepOf(1, 100) });
    std::string row = print(spec);
    const std::string field = R"("colocated":false,)";
    REQUIRE(row.find(field) != std::string::npos);
    CHECK(parseJobSpec(row.erase(row.find(field), field.size())) == spec);
}

TEST_CASE("rows: malformed rows of another writer are refused", "[jobs]")
{
    for (const std::string text : { "", "{", "[]", "{\"epoch\":\"x\"}", "null", "{\"state\":1,\"places\":[],\"tasks\":[[1]]}" }) {
        INFO(text);
        CHECK_FALSE(parseLeaderRecord(text));
        CHECK_FALSE(parseAgentRecord(text));
        CHECK_FALSE(parseProgressRecord(text));
        CHECK_FALSE(parseJobSpec(text));
    }
}

namespace {

/// Numbers that no valid row holds: negative, fractional, or too large for their type or bound.
const std::vector<std::string> invalidNumbers { "-5", "1.5", "1e300", "18446744073709551615", "99999999999999999999999" };

/// Replaces the first occurrence of a text in a printed record.
std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("rows: a number out of range is refused instead of wrapped", "[jobs]")
{
    const std::string leader = print(LeaderRecord { 71, "entry", 17, 72, 73 });
    const std::string agent = print(AgentRecord { "10.0.0.1:7720", 71 });
    const std::string progress = print(ProgressRecord { JobState::Running, { { false, 71, { 72 }, std::nullopt, "" } }, true });
    for (const std::string& odd : invalidNumbers) {
        INFO(odd);
        for (const char* const field : { "71", "72", "73" })
            CHECK_FALSE(parseLeaderRecord(replaced(leader, field, odd)));
        CHECK_FALSE(parseLeaderRecord(replaced(print(LeaderRecord { 1, "entry", 1, 1, 1, 1, { { "agent", std::chrono::milliseconds(71) } } }), "71", odd)));
        CHECK_FALSE(parseAgentRecord(replaced(agent, "71", odd)));
        CHECK_FALSE(parseProgressRecord(replaced(progress, "71", odd)));
        CHECK_FALSE(parseProgressRecord(replaced(progress, "72", odd)));
        CHECK_FALSE(parseProgressRecord(replaced(progress, "\"state\":1", "\"state\":" + odd)));
        CHECK_FALSE(parseProgressRecord(replaced(progress, "\"begun\":1", "\"begun\":" + odd)));
        CHECK_FALSE(parsePendingCounts("{\"q\":" + odd + "}"));
    }
    CHECK_FALSE(parseProgressRecord(replaced(progress, "\"state\":1", "\"state\":5")));
    CHECK_FALSE(parseProgressRecord(replaced(progress, "-1", "0")));
    CHECK_FALSE(parseLearntLosses(R"([["a","b",1e300,0]])"));
}

TEST_CASE("rows: progress that an earlier version wrote is read", "[jobs]")
{
    const ProgressRecord expected { JobState::Running, { { false, 1, {}, Assignment { "agent", { "w", 5 } }, "" } } };
    CHECK(parseProgressRecord(R"({"places":[["agent","w",5]],"state":1,"tasks":[[0,1,[],0]]})") == expected);
}

TEST_CASE("rows: a job with too many tasks or a dependency on a step that is not earlier is refused", "[jobs]")
{
    StepSpec second = stepOf(2, 300);
    second.after = { 0 };
    const std::string text = print(*jobOf("a", { stepOf(1, 100), second }));
    REQUIRE(parseJobSpec(text));
    CHECK_FALSE(parseJobSpec(replaced(text, "\"count\":2", "\"count\":4294967295")));
    CHECK_FALSE(parseJobSpec(replaced(text, "\"after\":[0]", "\"after\":[1]")));
    CHECK_FALSE(parseJobSpec(replaced(text, "\"after\":[0]", "\"after\":[4000000000]")));
    CHECK_FALSE(parseJobSpec(replaced(text, "\"stretch\":2.0", "\"stretch\":1e300")));
    for (const std::string& odd : invalidNumbers) {
        INFO(odd);
        for (const char* const field : { "\"count\":2", "\"cores\":300", "\"memory\":1000", "\"estimate\":1000000", "\"attempts\":2", "\"slack\":0", "\"priority\":0" })
            CHECK_FALSE(parseJobSpec(replaced(text, field, std::string(field).substr(0, std::string(field).find(':') + 1) + odd)));
    }
}

TEST_CASE("rows: too deep nesting is refused", "[jobs]")
{
    const std::size_t depth = 1000;
    const std::string deep = "{\"odd\":" + std::string(depth, '[') + std::string(depth, ']') + ",";
    CHECK_FALSE(parseAgentRecord(deep + print(AgentRecord { "10.0.0.1:7720", 9 }).substr(1)));
    CHECK_FALSE(parseLeaderRecord(deep + print(LeaderRecord { 3, "entry", 17, 4, 500 }).substr(1)));
    CHECK_FALSE(parseJobSpec(deep + print(*jobOf("a", { stepOf(1, 100) })).substr(1)));
}

TEST_CASE("rows: a job under the key of another job and a malformed model are listed as ignored", "[jobs]")
{
    const JobSpecHandle spec = jobOf("00ff00ff00ff00ff", { stepOf(1, 100) });
    const RowKey foreign = jobRowKey(JobId { "11ff00ff00ff00ff" });
    const DecodedTables tables = decodeTables(4, { { foreign, print(*spec), 1, false }, { interferenceRowKey(), "[1]", 2, false } });
    CHECK(tables.read.jobs.empty());
    CHECK(tables.ignored == std::vector<RowKey> { foreign, interferenceRowKey() });
}

TEST_CASE("rows: texts that are not UTF-8 are printed without an exception", "[jobs]")
{
    const std::string bytes = "w\xff";
    CHECK_NOTHROW(print(ProgressRecord { JobState::Running, { { false, 1, {}, Assignment { bytes, { bytes, 5 } }, bytes } } }));
    CHECK_NOTHROW(print(PendingCounts { { bytes, 4 } }));
    CHECK_NOTHROW(print(std::vector<LearntLoss> { { bytes, bytes, 1, 1 } }));
    CHECK_NOTHROW(print(LeaderRecord { 3, bytes, 17, 4, 500 }));
    CHECK_NOTHROW(print(AgentRecord { bytes, 9 }));
}

TEST_CASE("rows: a cancellation is in the part of its job and identifies the job", "[jobs]")
{
    const JobId job { "00ff00ff00ff00ff" };
    CHECK(cancelRowKey(job).part == jobRowKey(job).part);
    CHECK(cancelledJob(cancelRowKey(job)) == job);
    CHECK_FALSE(cancelledJob(jobRowKey(job)));
    CHECK(progressRowKey(job).part == leaderRowKey().part);
}

TEST_CASE("rows: whole tables are decoded, and malformed rows are listed as ignored", "[jobs]")
{
    const JobSpecHandle spec = jobOf("00ff00ff00ff00ff", { stepOf(1, 100) });
    const ProgressRecord progress { JobState::Running, { { false, 1, {}, std::nullopt, "" } } };
    const RowKey foreign { jobTable, "p1", "foreign" };
    const DecodedTables tables = decodeTables(4, {
                                                     { jobRowKey(spec->id), print(*spec), 1, false },
                                                     { cancelRowKey(spec->id), "{}", 2, false },
                                                     { progressRowKey(spec->id), print(progress), 3, false },
                                                     { agentRowKey("agent"), print(AgentRecord { "address", 5 }), 4, false },
                                                     { foreign, "not ours", 5, false },
                                                     { agentRowKey("other"), "{}", 6, false },
                                                 });
    CHECK(tables.read.epoch == 4);
    REQUIRE(tables.read.jobs.size() == 1);
    CHECK(*tables.read.jobs.front() == *spec);
    CHECK(tables.read.cancelled == std::vector<JobId> { spec->id });
    CHECK(tables.read.progress == std::map<JobId, ProgressRecord> { { spec->id, progress } });
    REQUIRE(tables.read.agents.size() == 1);
    CHECK(tables.read.agents.front().record == AgentRecord { "address", 5 });
    CHECK(tables.ignored == std::vector<RowKey> { foreign, agentRowKey("other") });
    CHECK_FALSE(eventOf({ jobRowKey(spec->id), print(*spec), 7, true }));
}

TEST_CASE("configuration: the longest prefix of the host selects the queue", "[jobs]")
{
    const Configuration configuration { 1, { { .name = "short", .host = "A.example", .prefix = "/x/" }, { .name = "long", .host = "a.example", .prefix = "/x/y/" } }, {}, {} };
    CHECK(configuration.queueOf("a.example:80", "/x/1")->name == "short");
    CHECK(configuration.queueOf("a.EXAMPLE", "/x/y/1")->name == "long");
    CHECK(configuration.queueOf("b.example", "/x/1") == nullptr);
    CHECK(configuration.queueOf("a.example", "/z") == nullptr);
}

TEST_CASE("row insertion: 'not stored' is reported only when no attempt can have been applied", "[jobs]")
{
    const RowKey key { "table", "part", "key" };
    RowInsertion plain(key, start, start + milliseconds(3000));
    CHECK(std::holds_alternative<RowNotStored>(plain.decide(StoreRefused { "503" }, start)));
    RowInsertion unsure(key, start, start + milliseconds(3000));
    CHECK(std::holds_alternative<InsertAgain>(unsure.decide(OutcomeAmbiguous { "" }, start)));
    CHECK(std::holds_alternative<InsertAgain>(unsure.decide(StoreRefused { "503" }, start)));
    CHECK(std::holds_alternative<RowUnsettled>(unsure.decide(StoreRefused { "503" }, start + milliseconds(2900))));
    CHECK(std::holds_alternative<RowStored>(unsure.decide(Conflict {}, start)));
    CHECK(std::holds_alternative<RowStored>(plain.decide(Applied { 3 }, start)));
}

TEST_CASE("row insertion: a row that another one blocks is neither stored nor unsettled", "[jobs]")
{
    const RowKey key { "table", "part", "key" };
    const Row own { key, "", 1, false };
    const Row other { { "table", "part", "other" }, "", 2, false };
    RowInsertion insertion(key, start, start + milliseconds(3000));
    CHECK(std::holds_alternative<InsertAgain>(insertion.decide(OutcomeAmbiguous { "" }, start)));
    CHECK(std::holds_alternative<RowBlocked>(insertion.decide(Conflict { { other } }, start)));
    CHECK(std::holds_alternative<RowStored>(insertion.decide(Conflict { { own } }, start)));
    CHECK(std::holds_alternative<RowStored>(insertion.decide(Conflict { { other, own } }, start)));
}

TEST_CASE("rows: the segments of a job's progress are joined, also where an earlier version wrote one row", "[jobs]")
{
    const JobSpecHandle spec = jobOf("00ff00ff00ff00ff", { stepOf(200, 100) });
    for (const std::uint32_t number : { 0U, 1U, 3U })
        CHECK(progressSegmentOf(segmentRowKey({ spec->id, number })) == ProgressSegment { spec->id, number });
    CHECK(segmentRowKey({ spec->id, 0 }) == progressRowKey(spec->id));
    for (const char* const suffix : { ".", ".0", ".x", ".1x", ".99999999999", ".70000" })
        CHECK_FALSE(progressSegmentOf({ progressTable, "", spec->id.text + suffix }));
    CHECK(segmentCount(*spec) == 4);
    const TaskRecord done { true, 1, {}, std::nullopt, "" };
    const TaskRecord started { false, 1, {}, std::nullopt, "" };
    const auto joined = [&spec](const std::vector<Row>& rows) { return decodeTables(4, rows).read.progress.at(spec->id); };
    const Row first { segmentRowKey({ spec->id, 0 }), print(ProgressRecord { JobState::Running, { tasksPerSegment, done }, true }), 1, false };
    const Row third { segmentRowKey({ spec->id, 2 }), print(ProgressRecord { JobState::Queued, { tasksPerSegment, started } }), 2, false };
    const ProgressRecord whole = joined({ third, first });
    CHECK(whole.state == JobState::Running);
    CHECK(whole.begun);
    CHECK_FALSE(whole.undivided);
    REQUIRE(whole.tasks.size() == 3 * tasksPerSegment);
    CHECK(whole.tasks[tasksPerSegment - 1] == done);
    CHECK(whole.tasks[tasksPerSegment] == TaskRecord {});
    CHECK(whole.tasks.back() == started);
    const Row undivided { progressRowKey(spec->id), print(ProgressRecord { JobState::Running, { 200, done } }), 1, false };
    const ProgressRecord earlier = joined({ undivided, third });
    CHECK(earlier.undivided);
    CHECK(earlier.tasks[2 * tasksPerSegment] == started);
    CHECK(earlier.tasks.back() == done);
    // The first row loses the other tasks when it is written again, so their segments are written before it.
    JobRegistry jobRegistry;
    jobRegistry.restore(spec, earlier, start);
    CHECK(jobRegistry.takeChanged(10) == std::vector<ProgressSegment> { { spec->id, 3 }, { spec->id, 2 }, { spec->id, 1 }, { spec->id, 0 } });
}
