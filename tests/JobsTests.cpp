#include "JobsDeployment.h"
#include "ProcessMemory.h"
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/runtime/HttpClient.h>
#include <cowslipdoor/scheduling/Rows.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>

using namespace cowslipdoor;
using namespace cowslipdoor::platform;

namespace {

JobsDeploymentConfig configFor(const std::string& name)
{
    JobsDeploymentConfig config;
    config.folder = (std::filesystem::temp_directory_path() / ("cowslipdoor-jobs-" + name)).string();
    std::filesystem::remove_all(config.folder);
    return config;
}

/// Waits until all jobs are done, and checks that each task ran to its end exactly once and no worker exceeded its capacity.
void expectAllDoneOnce(JobsDeployment& deployment, unsigned jobs, unsigned tasks)
{
    for (unsigned number = 0; number < jobs; ++number)
        JobsDeployment::await("job " + jobId(number), [&deployment, number]() { return deployment.state(jobId(number)) == "done"; });
    const std::map<std::string, std::size_t> done = deployment.done();
    CHECK(done.size() == jobs * tasks);
    for (const std::map<std::string, std::size_t>::value_type& item : done) {
        INFO(item.first);
        CHECK(item.second == 1);
    }
    CHECK(deployment.overfilled() == 0);
}

/// Required by the platform for long-running tasks (2026-12-05): a quiet period of 4 s or a restart within 6 s,
/// then a window of 3 s in which the task must run.
constexpr std::chrono::seconds restartLimit { 6 };
constexpr std::chrono::seconds window { 3 };
constexpr std::chrono::seconds quietPeriodAndWindow { 7 };
constexpr std::chrono::seconds restartAndWindow { 9 };

bool runsTasks(JobsDeployment& deployment, std::size_t tasks)
{
    return deployment.worker(0).counts().running == tasks;
}

/// Starts a deployment with one agent and one worker, which runs a single long-running task.
std::unique_ptr<JobsDeployment> startWithLongRunningTask(const std::string& name, bool proxied = false)
{
    JobsDeploymentConfig config = configFor(name);
    config.agents = 1;
    config.proxied = proxied;
    std::unique_ptr<JobsDeployment> deployment = std::make_unique<JobsDeployment>(config);
    REQUIRE(deployment->submitLongRunning(jobId(0), 1));
    JobsDeployment::await("the task to run", [&deployment]() { return runsTasks(*deployment, 1); });
    return deployment;
}

/// Waits until the leader reports the only worker as usable, or as not usable.
void awaitUsable(JobsDeployment& deployment, bool usable)
{
    JobsDeployment::await("the leader to report the worker as expected", [&deployment, usable]() {
        const nlohmann::json page = deployment.status(deployment.leader().value_or(0));
        return page.is_object() && page.at("workers").size() == 1 && page.at("workers")[0].at("usable") == usable;
    });
}

/// Returns whether the worker runs exactly this number of tasks at some moment within the limit.
bool runsWithin(JobsDeployment& deployment, std::size_t tasks, std::chrono::milliseconds limit)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (runsTasks(deployment, tasks))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    return false;
}

/// Returns whether, after a fault just before the call, the worker runs its first task and a second one that is submitted 6 s later.
bool staysInUse(JobsDeployment& deployment)
{
    std::this_thread::sleep_for(restartLimit);
    REQUIRE(deployment.submitLongRunning(jobId(1), 1));
    return runsWithin(deployment, 2, restartAndWindow);
}

/// Asks each entry for the queue as often while no answer of the store arrives, so that each call opens a connection to the store.
void openStoreConnections(JobsDeployment& deployment, std::size_t callersOfEntry)
{
    const auto holdAnswers = [&deployment](bool held) {
        for (std::size_t entry = 0; entry < 2; ++entry)
            deployment.storeProxyOfEntry(entry).setFaults({ .heldToClient = held });
    };
    holdAnswers(true);
    std::vector<std::future<unsigned>> answers;
    for (std::size_t number = 0; number < callersOfEntry; ++number) {
        for (std::size_t entry = 0; entry < 2; ++entry)
            answers.push_back(std::async(std::launch::async, [&deployment, entry]() { return deployment.call(entry, "GET", "").first; }));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    holdAnswers(false);
    for (std::future<unsigned>& answer : answers)
        CHECK(answer.get() == 200);
}

/// Largest heartbeat that an agent reads.
constexpr std::size_t largestHeartbeat = 4 * 1024 * 1024;

/// memory-mb of the VMs that run agents.
constexpr std::size_t agentMemoryMb = 128;

/// Repeats a text, and closes what it opens, up to the size of the largest heartbeat.
std::string heartbeatOf(const std::string& head, const std::string& item, const std::string& tail)
{
    std::string body = head;
    body.reserve(largestHeartbeat);
    while (body.size() + item.size() + tail.size() <= largestHeartbeat)
        body += item;
    return body + tail;
}

/// Heartbeats of another writer whose values take many times their text.
std::vector<std::string> largeHeartbeats()
{
    const std::string known = R"({"state":"ready","capacity":{"cpu":16000,"mem-mb":62500},"born":1,)";
    return {
        heartbeatOf(known + R"("service":[{})", ",{}", "]}"),
        heartbeatOf(known + R"("service":"service","labels":["a")", R"(,"a")", "]}"),
        heartbeatOf(known + R"("service":"service","future":[[])", ",[]", "]}"),
        heartbeatOf(known + R"("service":[0)", ",1", "]}"),
        heartbeatOf(R"({"a":{"x":0)", R"(,"x":{"":[]})", "}}"),
        heartbeatOf(R"({"service":")", "x", "\x01"),
        heartbeatOf(R"({"service":)", "7", "}"),
        heartbeatOf("", "[", ""),
    };
}

/// Opens connections that send nothing more than the begin of a request.
class OpenConnections {
public:
    OpenConnections(const std::string& address, std::size_t count, const std::string& begin)
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->sockets.emplace_back(this->context).connect(runtime::parseAddress(address));
            runtime::error_code closed;
            runtime::asio::write(this->sockets.back(), runtime::asio::buffer(begin), closed);
        }
    }

private:
    runtime::asio::io_context context {};
    std::vector<runtime::tcp::socket> sockets {};
};

/// Sends a heartbeat of another writer.
unsigned sendHeartbeat(const std::string& registry, const std::string& body)
{
    const runtime::HttpCall call { .address = registry, .method = "PUT", .target = "/v1/instances/other", .body = body, .timeout = std::chrono::seconds(5) };
    try {
        return runtime::fetch(call).status;
    } catch (const Error&) {
        // The agent may close the connection before it has read the whole body.
        return 0;
    }
}

}

TEST_CASE("jobs: a job runs to its end, and submitting it again refers to the same job", "[system][jobs]")
{
    JobsDeployment deployment(configFor("path"));
    REQUIRE(deployment.submit(jobId(0), 5));
    REQUIRE(deployment.submit(jobId(0), 5));
    expectAllDoneOnce(deployment, 1, 5);
    CHECK(deployment.call(0, "GET", jobId(99)).first == 410);
    CHECK(deployment.call(0, "GET", "").second.at("pending") == 0);
    CHECK(deployment.call(0, "POST", jobId(1), "not json").first == 400);
    CHECK(deployment.call(0, "POST", "short", "{}").first == 400);
    CHECK(deployment.call(0, "DELETE", jobId(98)).first == 410);
}

TEST_CASE("jobs: a deadline beyond the range of the clock is not treated as expired", "[system][jobs]")
{
    JobsDeployment deployment(configFor("deadline"));
    for (unsigned number = 0; number < 3; ++number) {
        runtime::HttpCall call { .address = deployment.callerAddress(0), .method = "POST", .target = "/jobs/" + jobId(number), .timeout = std::chrono::seconds(4) };
        call.headers = { { "Host", "jobs.example" }, { "Deadline-Ms", "9223372036854775807" } };
        call.body = R"({"spec":"text","phases":[{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":100}]})";
        deployment.store().loseAnswers(1);
        CHECK(runtime::fetch(call).status == 200);
    }
}

TEST_CASE("jobs: the commands submit, show and cancel a job", "[system][jobs]")
{
    JobsDeploymentConfig config = configFor("commands");
    config.taskTime = std::chrono::seconds(20);
    JobsDeployment deployment(config);
    const std::string file = config.folder + "/job.json";
    std::ofstream(file) << R"({"spec":"text","phases":[{"count":2,"cpu":100,"mem-mb":10,"estimate-ms":100}]})";
    const auto command = [&deployment, &config](std::vector<std::string> words) {
        words.insert(words.begin(), "jobs");
        for (const std::string& word : { std::string("--entry"), deployment.callerAddress(0), std::string("--host"), std::string("jobs.example"), std::string("--queue"), std::string("/jobs/") })
            words.push_back(word);
        const std::string output = config.folder + "/output-" + words[1];
        std::filesystem::remove(output);
        const int code = standins::ChildProcess(COWSLIPDOOR_ENTRY, words, output).wait();
        std::ifstream text(output);
        return std::to_string(code) + " " + std::string(std::istreambuf_iterator<char>(text), {});
    };
    CHECK(command({ "submit", jobId(1), file }) == "0 {}\n");
    JobsDeployment::await("the job to run", [&command]() { return command({ "show", jobId(1) }) == "0 {\"state\":\"running\"}\n"; });
    CHECK(command({ "pending" }) == "0 {\"pending\":0}\n");
    CHECK(command({ "cancel", jobId(1) }) == "0 {}\n");
    CHECK(command({ "show", jobId(1) }) == "0 {\"state\":\"cancelled\"}\n");
    CHECK(command({ "show", jobId(2) }).starts_with("1 "));
    CHECK(command({ "submit", jobId(3), config.folder + "/none" }).starts_with("2 "));
}

TEST_CASE("jobs: the leader lists all jobs, and other entries name the leader", "[system][jobs]")
{
    JobsDeploymentConfig config = configFor("list");
    config.taskTime = std::chrono::seconds(20);
    JobsDeployment deployment(config);
    REQUIRE(deployment.submit(jobId(1), 2));
    JobsDeployment::await("the job to run", [&deployment]() { return deployment.state(jobId(1)) == "running"; });
    const std::size_t leader = *deployment.leader();
    const auto list = [&deployment, &config](std::size_t entry, const std::string& form) {
        const std::string output = config.folder + "/list-" + std::to_string(entry) + "-" + form;
        const int code = standins::ChildProcess(COWSLIPDOOR_ENTRY, { "jobs", "list", "--admin", deployment.adminAddress(entry), "--form", form }, output).wait();
        std::ifstream text(output);
        return std::to_string(code) + " " + std::string(std::istreambuf_iterator<char>(text), {});
    };
    const std::string table = list(leader, "text");
    CHECK(table.starts_with("0 job "));
    CHECK(table.find("\n" + jobId(1)) != std::string::npos);
    const nlohmann::json json = nlohmann::json::parse(list(leader, "json").substr(2));
    REQUIRE(json.at("jobs").size() == 1);
    CHECK(json.at("jobs")[0].at("state") == "running");
    CHECK(json.at("jobs")[0].at("tasks") == 2);
    CHECK(list(1 - leader, "text") == "1 cowslipdoor: this entry does not lead the jobs; ask entry-" + std::to_string(leader) + "\n");
}

TEST_CASE("jobs: the placement of a job is explained, and nothing is stored or placed", "[system][jobs]")
{
    JobsDeploymentConfig config = configFor("explain");
    JobsDeployment deployment(config);
    REQUIRE(deployment.submit(jobId(1), 1));
    JobsDeployment::await("the job to end", [&deployment]() { return deployment.state(jobId(1)) == "done"; });
    const std::size_t leader = *deployment.leader();
    const std::string file = config.folder + "/job.json";
    std::ofstream(file) << R"({"spec":"x","phases":[{"count":2,"cpu":100,"mem-mb":10},{"count":1,"cpu":10000000}]})";
    const auto explain = [&deployment, &config, &file](std::size_t entry, const std::string& queue, const std::string& form) {
        const std::string output = config.folder + "/explain-" + std::to_string(entry) + "-" + queue + "-" + form;
        const int code = standins::ChildProcess(COWSLIPDOOR_ENTRY, { "jobs", "explain", queue, file, "--admin", deployment.adminAddress(entry), "--form", form }, output).wait();
        std::ifstream text(output);
        return std::to_string(code) + " " + std::string(std::istreambuf_iterator<char>(text), {});
    };
    const std::string queue = nlohmann::json::parse(runtime::fetch({ .address = deployment.adminAddress(leader), .target = "/jobs" }).body.view()).at("jobs")[0].at("queue");
    const nlohmann::json json = nlohmann::json::parse(explain(leader, queue, "json").substr(2));
    REQUIRE(json.at("steps").size() == 2);
    CHECK(json.at("steps")[0].at("decision") == "place");
    CHECK_FALSE(json.at("steps")[0].at("agent").get<std::string>().empty());
    CHECK(json.at("steps")[1].at("decision") == "none");
    CHECK(json.at("steps")[1].at("workers").get<std::string>().find("without enough headroom") != std::string::npos);
    CHECK(explain(leader, queue, "text").starts_with("0 step "));
    CHECK(explain(leader, "none", "text").find("there is no queue 'none'") != std::string::npos);
    CHECK(explain(1 - leader, queue, "text") == "1 cowslipdoor: this entry does not lead the jobs; ask entry-" + std::to_string(leader) + "\n");
    CHECK(nlohmann::json::parse(runtime::fetch({ .address = deployment.adminAddress(leader), .target = "/jobs" }).body.view()).at("jobs").size() == 1);
}

TEST_CASE("jobs: a cancelled job stops its tasks and starts no others", "[system][jobs]")
{
    JobsDeploymentConfig config = configFor("cancel");
    config.taskTime = std::chrono::seconds(20);
    JobsDeployment deployment(config);
    REQUIRE(deployment.submit(jobId(0), 6));
    JobsDeployment::await("the tasks to run", [&deployment]() { return deployment.worker(0).counts().running + deployment.worker(1).counts().running == 6; });
    CHECK(deployment.call(1, "DELETE", jobId(0)).first == 200);
    JobsDeployment::await("the tasks to stop", [&deployment]() { return deployment.worker(0).counts().running + deployment.worker(1).counts().running == 0; });
    CHECK(deployment.state(jobId(0)) == "cancelled");
}

// Guards against: a job runs although its cancellation was answered, as its submission lay at an entry that stood still.
TEST_CASE("jobs: a job whose submission is still under way when it is cancelled never runs", "[system][jobs]")
{
    JobsDeployment deployment(configFor("cancel-early"));
    const bool leaderStalls = GENERATE(false, true);
    const std::size_t leader = *deployment.leader();
    const std::size_t stalled = leaderStalls ? leader : 1 - leader;
    deployment.entry(stalled).signal(SIGSTOP);
    const std::string body = R"({"spec":"text","phases":[{"count":2,"cpu":100,"mem-mb":10,"estimate-ms":100}]})";
    std::vector<std::future<unsigned>> submissions;
    for (int copy = 0; copy < 2; ++copy)
        submissions.push_back(std::async(std::launch::async, [&deployment, &body, stalled]() { return deployment.call(stalled, "POST", jobId(1), body).first; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(deployment.call(1 - stalled, "DELETE", jobId(1)).first == 410);
    std::this_thread::sleep_for(std::chrono::milliseconds(leaderStalls ? 2200 : 1000));
    deployment.entry(stalled).signal(SIGCONT);
    for (std::future<unsigned>& submission : submissions)
        CHECK(submission.get() == 410);
    REQUIRE(deployment.submit(jobId(2), 2));
    JobsDeployment::await("a later job to be done", [&deployment]() { return deployment.state(jobId(2)) == "done"; });
    for (const std::map<std::string, std::size_t>::value_type& item : deployment.done())
        CHECK(item.first.starts_with(jobId(2)));
    CHECK(deployment.call(stalled, "GET", jobId(1)).first == 410);
}

TEST_CASE("jobs: every task is done once when the leader is killed", "[system][jobs]")
{
    JobsDeployment deployment(configFor("leader"));
    for (unsigned number = 0; number < 8; ++number) {
        REQUIRE(deployment.submit(jobId(number), 6));
        if (number == 3)
            deployment.entry(*deployment.leader()).signal(SIGKILL);
    }
    expectAllDoneOnce(deployment, 8, 6);
}

TEST_CASE("jobs: malformed rows of another writer stop neither the leader nor its successor", "[system][jobs]")
{
    JobsDeployment deployment(configFor("odd-rows"));
    const std::size_t first = *deployment.leader();
    const std::string step = R"("cores":1,"memory":1,"accelerators":0,"estimate":1000,"checkpointing":false,"speculative":false,"long_running":false,"fills":false,"label":"","rack":"","image":"","per_worker":0,"target":0,"may_miss":0)";
    const std::string job = R"("queue":"jobs","service":"service","priority":0,"attempts":1,"stretch":2.0,"slack":0,"payload":"text","steps":)";
    deployment.store().put(agentTable, "odd-port", R"({"address":"127.0.0.1:99999","generation":1})");
    deployment.store().put(agentTable, "odd-generation", R"({"address":"127.0.0.1:1","generation":99999999999999999999999})");
    deployment.store().put(jobTable, "fffffffffffffff0", R"({"id":"fffffffffffffff0",)" + job + R"([{"count":1,"after":[4000000000],)" + step + "}]}");
    deployment.store().put(jobTable, "fffffffffffffff1", std::string(100'000, '['));
    REQUIRE(deployment.submit(jobId(0), 3));
    expectAllDoneOnce(deployment, 1, 3);
    CHECK(deployment.leader() == first);
    deployment.entry(first).signal(SIGKILL);
    JobsDeployment::await("the other entry to lead", [&deployment, first]() { return deployment.leader() == 1 - first; });
    REQUIRE(deployment.submit(jobId(1), 3));
    expectAllDoneOnce(deployment, 2, 3);
}

TEST_CASE("jobs: every task is done once despite a store outage and lost answers", "[system][jobs]")
{
    JobsDeployment deployment(configFor("store"));
    for (unsigned number = 0; number < 3; ++number)
        REQUIRE(deployment.submit(jobId(number), 6));
    deployment.store().setDown(true);
    CHECK_FALSE(deployment.submit(jobId(50), 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    deployment.store().setDown(false);
    deployment.store().dropHistory();
    deployment.store().loseAnswers(5);
    for (unsigned number = 3; number < 6; ++number)
        JobsDeployment::await("a job to be accepted", [&deployment, number]() { return deployment.submit(jobId(number), 6); });
    expectAllDoneOnce(deployment, 6, 6);
}

TEST_CASE("jobs: every task is done once when an agent is killed and answers to orders are lost", "[system][jobs]")
{
    JobsDeployment deployment(configFor("agent"));
    deployment.worker(0).loseAnswers(2);
    for (unsigned number = 0; number < 6; ++number)
        REQUIRE(deployment.submit(jobId(number), 6));
    deployment.agent(1).signal(SIGKILL);
    deployment.agent(1).wait();
    deployment.startAgent(1);
    expectAllDoneOnce(deployment, 6, 6);
}

TEST_CASE("jobs: a graceful shutdown of the leader hands over leadership and exits with code 0", "[system][jobs]")
{
    JobsDeployment deployment(configFor("stop"));
    const std::size_t first = *deployment.leader();
    deployment.entry(first).signal(SIGTERM);
    JobsDeployment::await("the other entry to lead", [&deployment, first]() { return deployment.leader() == 1 - first; });
    CHECK(deployment.entry(first).wait() == 0);
    REQUIRE(deployment.submit(jobId(0), 3));
    expectAllDoneOnce(deployment, 1, 3);
}

TEST_CASE("jobs: a worker whose heartbeats state an earlier start time than before is used", "[system][jobs]")
{
    const std::unique_ptr<JobsDeployment> deployment = startWithLongRunningTask("earlier-start");
    deployment->worker(0).crash();
    awaitUsable(*deployment, false);
    // The leases of a silent worker expire after 3.2 s; its agent then declares it gone.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    deployment->worker(0).restart({ .clockStep = std::chrono::minutes(-1) });
    CHECK(runsWithin(*deployment, 1, quietPeriodAndWindow));
    CHECK(deployment->overfilled() == 0);
}

TEST_CASE("jobs: a heartbeat of another writer does not make an answering worker unusable", "[system][jobs]")
{
    const auto check = [](const std::string& name, const ForeignHeartbeat& heartbeat) {
        const std::unique_ptr<JobsDeployment> deployment = startWithLongRunningTask("other-writer-" + name);
        (void)deployment->worker(0).sendForeignHeartbeat(heartbeat).get();
        CHECK(staysInUse(*deployment));
        CHECK(deployment->overfilled() == 0);
    };
    SECTION("another identifier") { check("id", { .id = "other" }); }
    SECTION("another identifier and a start time in the future") { check("future-id", { .id = "other", .startOffset = std::chrono::hours(24) }); }
    SECTION("a start time in the future") { check("future", { .startOffset = std::chrono::hours(24) }); }
    SECTION("an unknown service") { check("service", { .service = "nobody-knows" }); }
}

TEST_CASE("jobs: a long-running task has its run after all open connections to the store fell silent for good", "[system][jobs]")
{
    const std::unique_ptr<JobsDeployment> deployment = startWithLongRunningTask("silent-store", true);
    openStoreConnections(*deployment, 60);
    deployment->silenceStoreConnections();
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + quietPeriodAndWindow;
    JobsDeployment::await("a job to be accepted", [&deployment]() { return deployment->submitLongRunning(jobId(1), 1); });
    std::this_thread::sleep_until(end - window);
    CHECK(runsWithin(*deployment, 2, std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now())));
    CHECK(deployment->overfilled() == 0);
}

TEST_CASE("jobs: a burst of callers is accepted within their time although each part of the store takes four writes a second", "[system][jobs]")
{
    constexpr unsigned callers = 32;
    JobsDeployment deployment(configFor("slow-parts"));
    deployment.store().setWriteTime(std::chrono::milliseconds(250));
    const std::string body = R"({"spec":"text","phases":[{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":100}]})";
    std::vector<std::future<unsigned>> answers;
    for (unsigned number = 0; number < callers; ++number)
        answers.push_back(std::async(std::launch::async, [&deployment, &body, number]() { return deployment.call(number % 2, "POST", jobId(number), body).first; }));
    std::size_t accepted = 0;
    for (std::future<unsigned>& answer : answers)
        accepted += answer.get() == 200 ? 1 : 0;
    deployment.store().setWriteTime({});
    CHECK(accepted == callers);
}

// Guards against: a refused heartbeat of another writer takes the agent over the memory of its VM.
TEST_CASE("jobs: an agent stays within the memory of its VM whatever heartbeats another writer sends", "[system][jobs]")
{
    JobsDeployment deployment(configFor("large-heartbeats"));
    const pid_t agent = deployment.agent(0).pid();
    const std::size_t before = peakMemoryMb(agent);
    REQUIRE(before > 0);
    SECTION("one after the other")
    {
        for (const std::string& body : largeHeartbeats())
            (void)sendHeartbeat(deployment.registryAddress(0), body);
    }
    SECTION("at the same time")
    {
        std::vector<std::future<unsigned>> answers;
        for (int copy = 0; copy < 4; ++copy) {
            for (const std::string& body : largeHeartbeats())
                answers.push_back(std::async(std::launch::async, [&deployment, body]() { return sendHeartbeat(deployment.registryAddress(0), body); }));
        }
        for (const std::future<unsigned>& answer : answers)
            answer.wait();
    }
    INFO("peak " << peakMemoryMb(agent) << " MB, " << before << " MB before");
    CHECK(peakMemoryMb(agent) <= agentMemoryMb);
    CHECK(deployment.agent(0).running());
    REQUIRE(deployment.submit(jobId(0), 6));
    expectAllDoneOnce(deployment, 1, 6);
}

// Guards against: refused bodies of callers take an entry over the memory of its VM.
TEST_CASE("jobs: an entry stays within the memory of its VM whatever bodies callers send", "[system][jobs]")
{
    // The smallest memory-mb of the VMs that run entries.
    constexpr std::size_t entryMemoryMb = 160;
    constexpr std::size_t bodyBytes = 250 * 1024;
    JobsDeployment deployment(configFor("large-bodies"));
    std::vector<std::string> bodies { R"({"spec":"text","phases":[{})", R"({"spec":"text","phases":[{"count":1,"after":[0)", R"({"spec":"text","other":[[])" };
    const std::vector<std::string> items { ",{}", ",0", ",[]" };
    for (std::size_t index = 0; index < bodies.size(); ++index) {
        while (bodies[index].size() + items[index].size() < bodyBytes)
            bodies[index] += items[index];
    }
    std::vector<std::future<unsigned>> answers;
    for (unsigned number = 0; number < 150; ++number) {
        const auto send = [&deployment, &body = bodies[number % bodies.size()], number]() { return deployment.call(0, "POST", jobId(100 + number), body).first; };
        answers.push_back(std::async(std::launch::async, send));
    }
    for (std::future<unsigned>& answer : answers)
        CHECK(answer.get() != 200);
    INFO("peak " << peakMemoryMb(deployment.entry(0).pid()) << " MB");
    CHECK(peakMemoryMb(deployment.entry(0).pid()) <= entryMemoryMb);
    CHECK(deployment.entry(0).running());
    REQUIRE(deployment.submit(jobId(0), 6));
    expectAllDoneOnce(deployment, 1, 6);
}

TEST_CASE("jobs: a worker's heartbeats are received while another program keeps many connections open", "[system][jobs]")
{
    const std::unique_ptr<JobsDeployment> deployment = startWithLongRunningTask("open-connections");
    const std::string begin = GENERATE("", "PUT /v1/instances/other HTTP/1.1\r\nContent-Length: 4194304\r\n\r\n{");
    const OpenConnections connections(deployment->registryAddress(0), 300, begin);
    deployment->worker(0).crash();
    awaitUsable(*deployment, false);
    deployment->worker(0).restart({ .id = "worker-new" });
    awaitUsable(*deployment, true);
    CHECK(peakMemoryMb(deployment->agent(0).pid()) <= agentMemoryMb);
}
