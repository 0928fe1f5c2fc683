#include "Harness.h"
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// The cases 11 and 13 to 15. Usage: case NUMBER TROUBLE RECORD. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.

namespace {

using namespace review;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/// Bounds of the small sites: finish_s and the span of the rule on jobs with nothing running.
constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t idleSpanMs = 3'000;

constexpr std::int64_t ordinaryTaskMs = 300;
constexpr std::size_t ordinaryTasks = 4;
constexpr std::size_t ordinaryCpu = 500;
constexpr std::size_t workerCpu = 32'000;

/// A client that sends jobs and keeps the identifiers of those that were accepted. A request without an answer is repeated once at another entry.
class Client {
public:
    Client(Deployment& deployment, Record& record)
        : deployment(deployment)
        , record(record)
    {
    }

    bool submit(std::uint64_t number, const std::string& body, const std::string& kind)
    {
        unsigned status = 0;
        for (int attempt = 0; attempt < 2 && status == 0; ++attempt) {
            const std::size_t entry = this->next++ % this->deployment.size();
            status = this->deployment.call(entry, "POST", jobId(number), body).first;
            this->record.line("POST " + kind + " job " + jobId(number) + " (" + std::to_string(body.size()) + " bytes) to front-" + std::to_string(entry) + ": " + (status == 0 ? "no answer" : std::to_string(status)));
        }
        if (status == 200)
            this->accepted.push_back(number);
        return status == 200;
    }

    /// Asks each entry in turn until one answers.
    std::string state(std::uint64_t number)
    {
        for (std::size_t attempt = 0; attempt < this->deployment.size(); ++attempt) {
            const std::pair<unsigned, Json> answer = this->deployment.call(this->next++ % this->deployment.size(), "GET", jobId(number));
            if (answer.first == 200)
                return answer.second.value("state", "");
            if (answer.first == 410)
                return "unknown";
        }
        return "no answer";
    }

    std::vector<std::uint64_t> accepted;

private:
    Deployment& deployment;
    Record& record;
    std::size_t next = 0;
};

std::string ordinaryJob()
{
    const Json step { { "count", ordinaryTasks }, { "cpu", ordinaryCpu }, { "mem-mb", 256 }, { "estimate-ms", ordinaryTaskMs } };
    return Json { { "spec", Json { { "ms", ordinaryTaskMs } }.dump() }, { "phases", Json::array({ step }) } }.dump();
}

std::string largeJob(std::size_t steps, std::size_t cpu, const std::string& label)
{
    Json phases = Json::array();
    for (std::size_t step = 0; step < steps; ++step) {
        phases.push_back({ { "count", 1000 }, { "cpu", cpu }, { "mem-mb", 1 }, { "estimate-ms", 500 } });
        if (!label.empty())
            phases.back()["requires"] = label;
    }
    return Json { { "spec", R"({"ms":500})" }, { "phases", phases } }.dump();
}

/// Sends an ordinary job each 200 ms until a time, and calls a function between them.
void sendOrdinary(Client& client, std::uint64_t& number, std::int64_t untilMs, const std::function<void()>& between)
{
    const std::string body = ordinaryJob();
    while (nowMs() < untilMs) {
        const std::int64_t next = nowMs() + 200;
        client.submit(number++, body, "ordinary");
        between();
        while (nowMs() < next)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

/// The rule LOST, finish_s after the end of the traffic: an accepted job isn't known or gets no answer, or has nothing running for
/// 3 s although its task's turn has come, there is room for it twice over, and under half of the room is in use.
/// @return number of jobs that break the rule, of those that were asked for; one that does so in two ways may count twice
std::size_t countLost(Deployment& deployment, Client& client, Record& record, std::size_t workers, const std::function<void()>& meanwhile)
{
    constexpr std::int64_t askingMs = 30'000;
    std::vector<std::uint64_t> open;
    std::size_t lost = 0;
    const std::int64_t asked = nowMs();
    // The newest jobs first; requests without an answer take long, so not all are asked for then.
    for (std::vector<std::uint64_t>::const_reverse_iterator it = client.accepted.rbegin(); it != client.accepted.rend() && open.size() < 20 && nowMs() < asked + askingMs; ++it) {
        meanwhile();
        const std::string state = client.state(*it);
        if (state == "unknown" || state == "no answer") {
            record.line("job " + jobId(*it) + " was accepted; asked for at each entry: " + state);
            ++lost;
        }
        if (state != "done")
            open.push_back(*it);
    }
    const std::int64_t begin = nowMs();
    std::size_t most = 0;
    while (nowMs() < begin + idleSpanMs + 500) {
        meanwhile();
        std::size_t used = 0;
        for (std::size_t index = 0; index < workers; ++index)
            used += deployment.worker(index).running() * ordinaryCpu;
        most = std::max(most, used);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    const std::int64_t end = nowMs();
    record.line("in the last " + std::to_string(end - begin) + " ms at most " + std::to_string(most) + " of " + std::to_string(workers * workerCpu) + " thousandths of a core were in use (each task counted as an ordinary one)");
    if (most * 2 >= workers * workerCpu)
        return lost;
    const std::vector<SeenRun> runs = deployment.seen();
    for (const std::uint64_t number : open) {
        const std::string prefix = jobId(number) + ".";
        std::size_t ever = 0;
        bool ranLately = false;
        for (const SeenRun& run : runs) {
            if (!run.task.starts_with(prefix))
                continue;
            ++ever;
            ranLately = ranLately || run.endedAtMs < 0 || run.endedAtMs >= begin;
        }
        const std::string state = ranLately || nowMs() > end + 10'000 ? "not asked again" : client.state(number);
        record.line("job " + jobId(number) + " is accepted and " + state + "; " + std::to_string(ever) + " starts so far, " + (ranLately ? "some" : "none") + " at work in the last " + std::to_string(end - begin) + " ms");
        if (state != "done" && !ranLately)
            ++lost;
    }
    return std::min(lost, client.accepted.size());
}

void recordRuns(Deployment& deployment, Record& record)
{
    std::map<std::string, std::size_t> ends;
    for (const SeenRun& run : deployment.seen())
        ++ends[run.how.empty() ? "at work" : run.how];
    std::string text = "runs on all workers:";
    for (const std::map<std::string, std::size_t>::value_type& item : ends)
        text += " " + std::to_string(item.second) + " " + item.first;
    record.line(text);
}

void waitMs(std::int64_t duration, const std::function<void()>& meanwhile)
{
    const std::int64_t end = nowMs() + duration;
    while (nowMs() < end) {
        meanwhile();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

/// Cases 11 and 14: one large job beside ordinary ones.
int playLargeJob(Deployment& deployment, Record& record, std::size_t workers, bool trouble, const std::string& body)
{
    Client client(deployment, record);
    std::uint64_t number = 1;
    const std::function<void()> supervise = [&deployment, &record]() { deployment.supervise(record); };
    const std::int64_t begin = nowMs();
    sendOrdinary(client, number, begin + 6'000, supervise);
    if (trouble && !client.submit(0xb000000, body, "large")) {
        record.line("the large job was refused");
        return held;
    }
    sendOrdinary(client, number, begin + 16'000, supervise);
    record.line("end of the traffic; " + std::to_string(client.accepted.size()) + " jobs were accepted");
    waitMs(finishMs, supervise);
    const std::size_t lost = countLost(deployment, client, record, workers, supervise);
    recordRuns(deployment, record);
    record.line(std::to_string(lost) + " accepted jobs break LOST");
    return lost > 0 ? broken : held;
}

/// Case 15: the leader is killed while the store holds the rows that some hours of ordinary traffic leave.
int playHistory(Deployment& deployment, Record& record, std::size_t workers, bool trouble)
{
    constexpr std::size_t endedJobs = 200'000;
    constexpr std::size_t jobsAtOnce = 500;
    Client client(deployment, record);
    std::uint64_t number = 1;
    const std::function<void()> supervise = [&deployment, &record]() { deployment.supervise(record); };
    sendOrdinary(client, number, nowMs() + 4'000, supervise);
    while (client.state(1) != "done" && nowMs() < 20'000)
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    for (std::size_t added = 0; added < endedJobs; added += jobsAtOnce) {
        deployment.store().repeatJob(jobId(1), 0x1000000 + added, jobsAtOnce);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    record.line("the store holds " + std::to_string(deployment.store().jobRows()) + " rows of jobs and of their progress");
    sendOrdinary(client, number, nowMs() + 3'000, supervise);
    const std::optional<std::size_t> leader = deployment.leader();
    if (!leader)
        return couldNotRun;
    if (trouble) {
        deployment.entry(*leader).signal(SIGKILL);
        record.line("front-" + std::to_string(*leader) + ", which leads, is killed");
    }
    sendOrdinary(client, number, nowMs() + 12'000, supervise);
    record.line("end of the traffic; " + std::to_string(client.accepted.size()) + " jobs were accepted");
    waitMs(finishMs, supervise);
    const std::size_t lost = countLost(deployment, client, record, workers, supervise);
    recordRuns(deployment, record);
    record.line(std::to_string(lost) + " accepted jobs break LOST");
    return lost > 0 ? broken : held;
}

/// Case 13: a full service in which one place becomes free while three jobs wait for it.
int playFullService(Deployment& deployment, Record& record, std::size_t workers, bool trouble)
{
    const auto submit = [&deployment, &record](std::uint64_t number, std::size_t queue, std::size_t count, std::int64_t takesMs, const std::string& label, const std::string& rack) {
        constexpr std::size_t cpu = workerCpu / 4;
        Json step { { "count", count }, { "cpu", cpu }, { "mem-mb", 1000 }, { "estimate-ms", takesMs } };
        if (!label.empty())
            step["requires"] = label;
        if (!rack.empty())
            step["data-rack"] = rack;
        const std::string body = Json { { "spec", Json { { "ms", takesMs }, { "cpu", cpu } }.dump() }, { "phases", Json::array({ step }) } }.dump();
        const unsigned status = deployment.call(number % deployment.size(), "POST", jobId(number), body, std::chrono::milliseconds(3000), queue).first;
        record.line("POST job " + jobId(number) + " of priority " + std::to_string(queue) + ": " + body + ": " + std::to_string(status));
        return status == 200;
    };
    const std::int64_t begin = nowMs();
    const auto until = [begin](std::int64_t atMs) {
        while (nowMs() < begin + atMs)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    };
    // Four tasks of a quarter of its cores fill each worker; one on i-1 ends after 6.5 s, and those on i-0 after 8 s.
    bool accepted = submit(1, 0, 4, 8'000, "only-0", "") && submit(2, 0, 3, 12'000, "only-1", "") && submit(3, 0, 1, 6'500, "only-1", "");
    until(1'500);
    accepted = accepted && submit(4, 2, 1, 4'000, "", "r1-0");
    until(2'500);
    accepted = accepted && submit(5, 1, 1, 4'000, "", "");
    until(4'800);
    if (trouble)
        accepted = accepted && submit(6, 0, 1, 4'000, "", "r1-0");
    until(16'000);
    std::size_t overfills = 0;
    for (std::size_t index = 0; index < workers; ++index) {
        for (const Overfill& overfill : deployment.worker(index).overfills()) {
            ++overfills;
            record.line(std::to_string(overfill.atMs) + " ms: the start of " + overfill.task + " brings " + overfill.worker + " to " + std::to_string(overfill.milliCores) + " of " + std::to_string(overfill.capacity) + " thousandths of a core");
        }
    }
    for (const SeenRun& run : deployment.seen())
        record.line(run.task + " run " + std::to_string(run.number) + " on " + run.worker + " from " + std::to_string(run.startedAtMs) + " to " + std::to_string(run.endedAtMs) + " ms: " + run.how);
    if (!accepted)
        return couldNotRun;
    record.line(std::to_string(overfills) + " starts break LIMIT");
    return overfills > 0 ? broken : held;
}

int play(int number, bool trouble, Record& record, const std::string& folder)
{
    const std::size_t workers = number == 13 ? 2 : 11;
    for (int attempt = 0; attempt < 3; ++attempt) {
        Deployment deployment({ .entries = 3, .agents = workers, .workersPerRack = number == 13 ? std::size_t { 1 } : std::size_t { 3 }, .folder = folder });
        if (!deployment.awaitReady(std::chrono::seconds(8))) {
            record.line("the deployment is not ready; starting it again");
            continue;
        }
        record.line("3 entries and " + std::to_string(workers) + " agents are ready");
        if (number == 11)
            return playLargeJob(deployment, record, workers, trouble, largeJob(64, 1, ""));
        if (number == 14)
            return playLargeJob(deployment, record, workers, trouble, largeJob(6, 2, "only-0"));
        if (number == 15)
            return playHistory(deployment, record, workers, trouble);
        if (number == 13)
            return playFullService(deployment, record, workers, trouble);
        return couldNotRun;
    }
    return couldNotRun;
}

void endOnSignal(int)
{
    review::killChildren();
    ::_exit(couldNotRun);
}

}

int main(int argc, char** argv)
{
    if (argc != 4)
        return couldNotRun;
    std::signal(SIGTERM, endOnSignal);
    std::signal(SIGINT, endOnSignal);
    std::signal(SIGHUP, endOnSignal);
    std::string pattern = (std::filesystem::temp_directory_path() / "cowslipdoor-review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        return couldNotRun;
    int code = couldNotRun;
    {
        Record record(argv[3]);
        try {
            code = play(std::atoi(argv[1]), std::string(argv[2]) != "0", record, pattern);
        } catch (const std::exception& error) {
            record.line(std::string("the case ended with an error: ") + error.what());
        }
        record.line("exit code " + std::to_string(code));
    }
    if (!std::getenv("REVIEW_KEEP_LOGS"))
        std::filesystem::remove_all(pattern);
    else
        std::cout << pattern << std::endl;
    return code;
}
