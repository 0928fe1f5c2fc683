/// @file
/// @brief Cases of the review: each plays a small deployment and checks one rule.
///
/// Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

#include "Deployment.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr int broken = 1;
    constexpr int held = 0;
    constexpr int notRun = 2;

    /// finish_s: how long after the end of the traffic jobs are asked for.
    constexpr long long finishMs = 14000;
    /// How long a job may have nothing running while there is capacity for it.
    constexpr long long idleLimitMs = 3000;

    std::string randomId(std::mt19937_64& random)
    {
        constexpr const char* digits = "0123456789abcdef";
        std::string id;
        for (int index = 0; index < 16; ++index)
            id += digits[random() % 16];
        return id;
    }

    /// Job of steps that follow one another; each task runs for some milliseconds.
    std::string jobBody(unsigned taskMs, const std::vector<unsigned>& counts, unsigned milliCores)
    {
        Json steps = Json::array();
        for (const unsigned count : counts) {
            Json step { { "count", count }, { "cpu", milliCores }, { "mem-mb", 16 }, { "estimate-ms", taskMs } };
            if (!steps.empty())
                step["after"] = { steps.size() - 1 };
            steps.push_back(std::move(step));
        }
        return Json { { "spec", std::to_string(taskMs) }, { "phases", steps } }.dump();
    }

    /// Hands in jobs at a steady rate, each by a client of its own, and waits for all clients.
    void playTraffic(Deployment& deployment, std::vector<ClientJob>& jobs, long long intervalMs)
    {
        std::vector<std::thread> clients;
        for (std::size_t index = 0; index < jobs.size(); ++index) {
            clients.emplace_back([&deployment, &jobs, index]() { deployment.submit(jobs[index], index % deployment.entryCount()); });
            sleepMs(intervalMs);
        }
        for (std::thread& client : clients)
            client.join();
    }

    bool ofJob(const std::string& task, const std::string& job)
    {
        return task.starts_with(job + ".");
    }

    void recordRuns(Deployment& deployment, std::size_t most)
    {
        const std::vector<RunRecord> runs = deployment.runs();
        deployment.note(std::to_string(runs.size()) + " runs on the workers" + (runs.size() > most ? "; the first " + std::to_string(most) : "") + ":");
        for (std::size_t index = 0; index < runs.size() && index < most; ++index) {
            const RunRecord& run = runs[index];
            deployment.note("  " + run.task + " run " + std::to_string(run.number) + " on " + run.worker + ": " + (run.how.empty() ? "runs" : run.how + " after " + std::to_string(run.endedAt - run.startedAt) + " ms"));
        }
    }

    /// Rule LOST, `finish_s` after the end of the traffic: an accepted job is not known, or has nothing running for 3 s while
    /// workers have room for it.
    std::size_t lostJobs(Deployment& deployment, const std::vector<ClientJob>& jobs)
    {
        sleepMs(finishMs);
        std::set<std::string> seen;
        const long long end = steadyMs() + idleLimitMs;
        std::size_t most = 0;
        while (steadyMs() < end) {
            const std::set<std::string> running = deployment.running();
            most = std::max(most, running.size());
            seen.insert(running.begin(), running.end());
            sleepMs(10);
        }
        deployment.note("at most " + std::to_string(most) + " tasks ran at the same time in these 3 s");
        std::size_t lost = 0;
        for (const ClientJob& job : jobs) {
            if (!job.accepted)
                continue;
            const std::string state = deployment.stateOf(job.id);
            const bool ran = std::any_of(seen.begin(), seen.end(), [&job](const std::string& task) { return ofJob(task, job.id); });
            if (state == "done" || ran)
                continue;
            ++lost;
            if (lost <= 20)
                deployment.note("LOST: GET " + job.id + ": " + state + ", accepted " + std::to_string(steadyMs() - job.acceptedAt) + " ms ago, and nothing of it has run for 3 s");
        }
        deployment.note(std::to_string(jobs.size()) + " jobs, " + std::to_string(std::count_if(jobs.begin(), jobs.end(), [](const ClientJob& job) { return job.accepted; })) + " accepted, " + std::to_string(lost) + " lost");
        return lost;
    }

    /// The leader is killed early in the traffic while the store is slow.
    int playTakeover(Deployment& deployment, bool trouble, std::mt19937_64& random)
    {
        constexpr std::size_t jobCount = 56;
        constexpr long long intervalMs = 140;
        constexpr long long usualAnswerMs = 4;
        constexpr long long slowAnswerMs = 200;
        constexpr long long slowForMs = 4500;
        constexpr long long restartMs = 500;
        if (!deployment.start(3, 4, 16000))
            return notRun;
        std::vector<ClientJob> jobs;
        for (std::size_t index = 0; index < jobCount; ++index)
            jobs.push_back({ randomId(random), jobBody(200, { 2 }, 500) });
        std::thread disruption;
        if (trouble) {
            disruption = std::thread([&deployment]() {
                deployment.store().setAnswerTime(slowAnswerMs);
                deployment.note("the store answers after " + std::to_string(slowAnswerMs) + " ms");
                const std::size_t leading = deployment.leader().value_or(0);
                deployment.killEntry(leading);
                sleepMs(restartMs);
                deployment.startEntry(leading);
                sleepMs(slowForMs - restartMs);
                deployment.store().setAnswerTime(usualAnswerMs);
                deployment.note("the store answers after " + std::to_string(usualAnswerMs) + " ms");
            });
        }
        playTraffic(deployment, jobs, intervalMs);
        if (disruption.joinable())
            disruption.join();
        deployment.note("end of the traffic");
        const std::size_t lost = lostJobs(deployment, jobs);
        recordRuns(deployment, 200);
        return lost > 0 ? broken : held;
    }

    /// One large job among small ones.
    int playLargeJob(Deployment& deployment, bool trouble, std::mt19937_64& random)
    {
        constexpr std::size_t jobCount = 40;
        constexpr long long intervalMs = 250;
        if (!deployment.start(3, 4, 16000))
            return notRun;
        std::vector<ClientJob> jobs;
        for (std::size_t index = 0; index < jobCount; ++index)
            jobs.push_back({ randomId(random), jobBody(200, { 2 }, 500) });
        if (trouble)
            jobs[jobCount / 4].body = jobBody(200, std::vector<unsigned>(6, 1000), 200);
        playTraffic(deployment, jobs, intervalMs);
        deployment.note("end of the traffic");
        const std::size_t lost = lostJobs(deployment, jobs);
        deployment.note("the store refused " + std::to_string(deployment.store().refusedAsTooLarge()) + " transactions as too large; the largest value had " + std::to_string(deployment.store().largestRefusedValue()) + " bytes of 65536");
        recordRuns(deployment, 200);
        return lost > 0 ? broken : held;
    }

    /// A worker is lost for good; its task of a long-running step that fills has to run again on another worker.
    int playFillRestart(Deployment& deployment, bool trouble, std::mt19937_64& random)
    {
        constexpr std::size_t workers = 4;
        constexpr unsigned milliCores = 12000;
        constexpr long long startLimitMs = 10000;
        // The rule holds from 6 s after the last run; leases, which end within 6 s, are added.
        constexpr long long restartMs = 14000;
        if (!deployment.start(3, workers, 16000))
            return notRun;
        const Json step { { "count", workers }, { "cpu", milliCores }, { "mem-mb", 512 }, { "long-running", true }, { "fills", true }, { "image", "indexer" } };
        ClientJob job { randomId(random), Json { { "spec", "0 " + std::to_string(milliCores) }, { "phases", { step } } }.dump() };
        deployment.submit(job, 0);
        const long long end = steadyMs() + startLimitMs;
        while (steadyMs() < end && deployment.running().size() < workers)
            sleepMs(20);
        if (!job.accepted || deployment.running().size() < workers)
            return notRun;
        deployment.note("all " + std::to_string(workers) + " tasks run");
        if (trouble) {
            deployment.worker(0).crash();
            deployment.note("worker-0 has crashed for good");
        }
        sleepMs(restartMs);
        std::set<std::string> seen;
        const long long windowEnd = steadyMs() + idleLimitMs;
        while (steadyMs() < windowEnd) {
            seen.merge(deployment.running());
            sleepMs(10);
        }
        deployment.note(std::to_string(seen.size()) + " of " + std::to_string(workers) + " tasks ran in the last 3 s; each worker that is left holds one task, and has 63488 MB of its memory free");
        recordRuns(deployment, 200);
        return seen.size() < workers ? broken : held;
    }

    /// Serving tasks on two workers become busy at the same time, and best-effort tasks beside them are moved.
    int playMoves(Deployment& deployment, bool trouble, std::mt19937_64& random)
    {
        constexpr std::uint32_t milliCores = 16000;
        constexpr long long startLimitMs = 10000;
        constexpr std::uint64_t busy = 20;
        constexpr long long busyMs = 6000;
        constexpr long long settleMs = 3000;
        if (!deployment.start(3, 0, milliCores))
            return notRun;
        for (int index = 0; index < 2; ++index)
            deployment.addWorker(milliCores, "s");
        if (!deployment.awaitUse())
            return notRun;
        const Json serving { { "count", 2 }, { "cpu", 4000 }, { "mem-mb", 512 }, { "long-running", true }, { "image", "desk" }, { "target-ms", 50 }, { "max-per-server", 1 }, { "requires", "s" } };
        const Json filling { { "count", 2 }, { "cpu", 4000 }, { "mem-mb", 512 }, { "long-running", true }, { "fills", true }, { "checkpointing", true }, { "image", "indexer" }, { "max-per-server", 1 }, { "may-miss", 1 } };
        ClientJob serves { randomId(random), Json { { "spec", "0 10" }, { "phases", { serving } } }.dump() };
        ClientJob fills { randomId(random), Json { { "spec", "0 100" }, { "phases", { filling } } }.dump() };
        deployment.submit(serves, 0);
        sleepMs(settleMs);
        deployment.submit(fills, 1);
        const long long end = steadyMs() + startLimitMs;
        while (steadyMs() < end && deployment.running().size() < 4)
            sleepMs(20);
        if (deployment.running().size() < 4)
            return notRun;
        deployment.addWorker(milliCores);
        deployment.addWorker(milliCores);
        if (!deployment.awaitUse())
            return notRun;
        deployment.note("all tasks run; two empty workers have been added");
        sleepMs(settleMs);
        if (trouble) {
            deployment.worker(0).setLoad(busy);
            deployment.worker(1).setLoad(busy);
            deployment.note("the serving tasks have a tail latency of 200 ms, and a target of 50 ms");
        }
        sleepMs(busyMs);
        deployment.worker(0).setLoad(1);
        deployment.worker(1).setLoad(1);
        sleepMs(settleMs);
        // Rule AVAIL: a stop of a task at work while another task of the step, which a stop has ended, is away.
        const std::vector<RunRecord> runs = deployment.runs();
        std::size_t violations = 0;
        for (const RunRecord& stopped : runs) {
            if (!ofJob(stopped.task, fills.id) || stopped.how != "stopped" || !stopped.atWork(stopped.endedAt))
                continue;
            for (const RunRecord& other : runs) {
                if (!ofJob(other.task, fills.id) || other.task == stopped.task || other.how != "stopped" || other.endedAt > stopped.endedAt)
                    continue;
                const bool back = std::any_of(runs.begin(), runs.end(), [&other, &stopped](const RunRecord& next) { return next.task == other.task && next.number > other.number && next.atWork(stopped.endedAt); });
                if (back)
                    continue;
                ++violations;
                deployment.note("AVAIL: run " + std::to_string(stopped.number) + " of " + stopped.task + " was at work and is stopped " + std::to_string(stopped.endedAt - other.endedAt) + " ms after run " + std::to_string(other.number) + " of " + other.task + ", which is not at work again; may-miss is 1");
            }
        }
        recordRuns(deployment, 200);
        return violations > 0 ? broken : held;
    }

    /// A worker crashes and starts again under its identifier; soon after its task has started there again, its agent freezes.
    int playLongLease(Deployment& deployment, bool trouble, std::mt19937_64& random)
    {
        constexpr std::uint32_t milliCores = 16000;
        constexpr long long downMs = 200;
        constexpr long long firstBeatMs = 400;
        constexpr long long freezeMs = 5000;
        constexpr long long limitMs = 10000;
        constexpr long long settleMs = 4000;
        if (!deployment.start(3, 2, milliCores))
            return notRun;
        const Json step { { "count", 1 }, { "cpu", milliCores }, { "mem-mb", 512 }, { "long-running", true } };
        const std::string body = Json { { "spec", "0 10" }, { "phases", { step } } }.dump();
        const auto awaitRuns = [&deployment](std::size_t count) {
            const long long end = steadyMs() + limitMs;
            while (steadyMs() < end && deployment.running().size() != count)
                sleepMs(5);
            return deployment.running().size() == count;
        };
        ClientJob first { randomId(random), body };
        ClientJob second { randomId(random), body };
        deployment.submit(first, 0);
        if (!awaitRuns(1))
            return notRun;
        deployment.submit(second, 1);
        if (!awaitRuns(2))
            return notRun;
        sleepMs(settleMs);
        const std::string& other = deployment.runs().front().worker == "worker-0" ? second.id : first.id;
        const std::string& moved = &other == &second.id ? first.id : second.id;
        if (trouble) {
            deployment.worker(0).crash();
            deployment.note("worker-0 has crashed");
            sleepMs(downMs);
            deployment.worker(0).restart(firstBeatMs);
            deployment.note("worker-0 starts again under its identifier");
            if (!awaitRuns(2))
                return notRun;
            deployment.note("the task runs again on worker-0");
            deployment.signalAgent(0, SIGSTOP);
        }
        deployment.note("DELETE " + other + ": " + std::to_string(deployment.ask(1, "DELETE", "/jobs/" + other).status));
        std::size_t most = 0;
        const long long end = steadyMs() + freezeMs;
        const auto countRuns = [&deployment, &moved]() {
            const std::vector<RunRecord> runs = deployment.runs();
            return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&moved](const RunRecord& run) { return ofJob(run.task, moved) && run.how.empty(); }));
        };
        while (steadyMs() < end + settleMs) {
            most = std::max(most, countRuns());
            if (trouble && steadyMs() >= end) {
                deployment.signalAgent(0, SIGCONT);
                trouble = false;
            }
            sleepMs(5);
        }
        deployment.note("at most " + std::to_string(most) + " runs of the task of " + moved + " at the same time");
        const std::vector<RunRecord> runs = deployment.runs();
        for (const RunRecord& run : runs)
            deployment.note("  " + run.task + " run " + std::to_string(run.number) + " on " + run.worker + " from " + std::to_string(run.startedAt - runs.front().startedAt) + " ms to " + (run.how.empty() ? "now" : std::to_string(run.endedAt - runs.front().startedAt) + " ms, " + run.how));
        return most > 1 ? broken : held;
    }

    /// Tasks that last fail now and then; each has to run again soon.
    int playFailures(Deployment& deployment, bool trouble, std::mt19937_64& random)
    {
        constexpr std::size_t jobCount = 80;
        constexpr long long meanLifeMs = 30000;
        constexpr long long startLimitMs = 10000;
        constexpr long long playMs = 60000;
        /// 3 s without a run, from 6 s after the last run.
        constexpr long long longestAwayMs = 9000;
        if (!deployment.start(3, 2, 16000))
            return notRun;
        const Json step { { "count", 1 }, { "cpu", 100 }, { "mem-mb", 128 }, { "long-running", true } };
        const std::string spec = trouble ? "0 10 " + std::to_string(meanLifeMs) : "0 10";
        std::vector<ClientJob> jobs;
        for (std::size_t index = 0; index < jobCount; ++index)
            jobs.push_back({ randomId(random), Json { { "spec", spec }, { "phases", { step } } }.dump() });
        playTraffic(deployment, jobs, 50);
        const long long startEnd = steadyMs() + startLimitMs;
        while (steadyMs() < startEnd && deployment.runs().size() < jobCount)
            sleepMs(20);
        const long long end = steadyMs() + playMs;
        std::map<std::string, long long> lastRunning;
        std::size_t violations = 0;
        while (steadyMs() < end) {
            const std::set<std::string> running = deployment.running();
            for (const ClientJob& job : jobs) {
                const std::string task = job.id + ".0.0.0";
                long long& last = lastRunning.try_emplace(task, steadyMs()).first->second;
                if (running.contains(task))
                    last = steadyMs();
                if (steadyMs() <= last + longestAwayMs)
                    continue;
                ++violations;
                deployment.note("LOST: nothing of " + task + " has run for 9 s; " + std::to_string(running.size()) + " of " + std::to_string(jobCount) + " tasks run, and each of the two workers of 16000 milli-cores has room for all");
                last = end;
            }
            sleepMs(20);
        }
        const std::vector<RunRecord> runs = deployment.runs();
        deployment.note(std::to_string(violations) + " tasks did not run for 9 s; " + std::to_string(std::count_if(runs.begin(), runs.end(), [](const RunRecord& run) { return run.how == "failed"; })) + " of " + std::to_string(runs.size()) + " runs failed");
        recordRuns(deployment, 400);
        return violations > 0 ? broken : held;
    }

    int play(const std::string& name, const std::string& root, const std::string& folder, const std::string& recordFile)
    {
        const char* const setting = std::getenv("TROUBLE");
        const bool trouble = !setting || std::string(setting) != "0";
        struct Case {
            std::function<int(Deployment&, bool, std::mt19937_64&)> function;
            /// Number of deployments that play it at the same time, each on its own.
            unsigned deployments = 1;
        };
        const std::map<std::string, Case> cases {
            { "takeover", { playTakeover, 8 } },
            { "large-job", { playLargeJob, 1 } },
            { "fill-restart", { playFillRestart, 1 } },
            { "moves", { playMoves, 1 } },
            { "long-lease", { playLongLease, 1 } },
            { "failures", { playFailures, 1 } },
        };
        if (!cases.contains(name))
            return notRun;
        std::ofstream(recordFile, std::ios::trunc).close();
        std::random_device device;
        std::vector<int> codes(cases.at(name).deployments, notRun);
        std::vector<std::thread> players;
        for (unsigned number = 0; number < codes.size(); ++number) {
            const unsigned seed = device();
            const std::string logs = folder + "/" + std::to_string(number);
            std::filesystem::create_directories(logs);
            // Threads of the stand-ins use it until the program ends.
            Deployment* const deployment = new Deployment(root, logs, recordFile, codes.size() > 1 ? "[" + std::to_string(number + 1) + "] " : "");
            deployment->note("case " + name + ", " + (trouble ? "with" : "without") + " the disruption, seed " + std::to_string(seed));
            players.emplace_back([deployment, trouble, seed, &code = codes[number], &function = cases.at(name).function]() {
                std::mt19937_64 random(seed);
                try {
                    code = function(*deployment, trouble, random);
                } catch (const std::exception& error) {
                    deployment->note(error.what());
                }
                deployment->endProcesses();
                deployment->note(code == broken ? "the rule was broken" : code == held ? "the rule held"
                                                                                       : "the case could not run");
            });
        }
        for (std::thread& player : players)
            player.join();
        if (std::find(codes.begin(), codes.end(), broken) != codes.end())
            return broken;
        return std::find(codes.begin(), codes.end(), notRun) != codes.end() ? notRun : held;
    }

}

}

int main(int count, char** words)
{
    if (count != 5)
        return review::notRun;
    // Threads of the stand-ins still wait for calls, so the process ends without destructors.
    std::_Exit(review::play(words[1], words[2], words[3], words[4]));
}
