#include "Deployment.h"
#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr const char* host = "jobs.example";
    constexpr long long clientDeadlineMs = 3000;
    constexpr std::size_t clientAttempts = 5;
    constexpr long long startLimitMs = 20000;

    std::string configuration()
    {
        const auto queue = [](const char* name, const char* prefix) {
            return Json { { "name", name }, { "host", host }, { "prefix", prefix }, { "route-type", "unsafe" }, { "timeout-ms", clientDeadlineMs }, { "slo-ms", 500 }, { "priority", 0 }, { "service", "service" }, { "attempts", 3 }, { "stretch", 2.0 } };
        };
        return Json { { "version", 7 }, { "routes", { queue("queue", "/jobs/"), queue("other", "/other/") } }, { "services", Json::array({ Json { { "name", "service" } } }) } }.dump();
    }

}

Deployment::Deployment(std::string root, std::string folder, const std::string& recordFile, std::string label)
    : root(std::move(root))
    , folder(std::move(folder))
    , label(std::move(label))
    , record(recordFile, std::ios::app)
    , startedAt(steadyMs())
{
    this->platformStore.put("op", "config", configuration());
}

void Deployment::endProcesses()
{
    for (const pid_t process : this->processes)
        kill(process, SIGKILL);
    for (const pid_t process : this->processes)
        waitpid(process, nullptr, 0);
    this->processes.clear();
}

bool Deployment::start(std::size_t entryCount, std::size_t workerCount, std::uint32_t milliCores)
{
    for (std::size_t index = 0; index < workerCount; ++index)
        this->addWorker(milliCores);
    for (std::size_t index = 0; index < entryCount; ++index) {
        this->entries.push_back({ "front-" + std::to_string(index), freeAddress(), freeAddress(), freeAddress() });
        this->startEntry(index);
    }
    const bool inUse = this->awaitUse();
    this->note("deployment: " + std::to_string(entryCount) + " entries, " + std::to_string(workerCount) + " workers of " + std::to_string(milliCores) + " milli-cores, " + std::to_string(this->usableWorkers()) + " in use");
    return inUse;
}

bool Deployment::awaitUse() const
{
    const long long end = steadyMs() + startLimitMs;
    while (steadyMs() < end && this->usableWorkers() < this->workers.size())
        sleepMs(50);
    return this->usableWorkers() == this->workers.size();
}

void Deployment::startEntry(std::size_t index)
{
    Entry& entry = this->entries.at(index);
    entry.process = this->spawn("target/apps/entry/cowslipdoor",
        { "jobs", "entry", "--name", entry.name, "--failure-domain", "zone-a", "--listen", entry.callers, "--ready-listen", entry.ready, "--admin-listen", entry.admin, "--store", this->platformStore.address(), "--cores", "0.25", "--drain-limit", "2s" },
        entry.name);
}

void Deployment::addWorker(std::uint32_t milliCores, const std::string& label)
{
    const std::string number = std::to_string(this->workers.size());
    const std::string name = "side-" + number;
    const std::string registry = freeAddress();
    this->workers.push_back(std::make_unique<Worker>("worker-" + number, registry, milliCores, label));
    this->agents.push_back(this->spawn("target/apps/agent/cowslipdoor-agent",
        { "jobs", "--name", name, "--failure-domain", "zone-a", "--worker", this->workers.back()->address(), "--registry-listen", registry, "--link-listen", freeAddress(), "--admin-listen", freeAddress(), "--store", this->platformStore.address(), "--lease-limit", "6000ms" },
        name));
}

pid_t Deployment::spawn(const std::string& program, const std::vector<std::string>& words, const std::string& log)
{
    std::vector<std::string> text { this->root + "/" + program };
    text.insert(text.end(), words.begin(), words.end());
    std::vector<char*> arguments;
    for (std::string& word : text)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string logFile = this->folder + "/" + log + ".log";
    const pid_t process = fork();
    if (process == 0) {
        const int output = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    this->processes.push_back(process);
    return process;
}

void Deployment::killEntry(std::size_t index)
{
    const pid_t process = this->entries.at(index).process;
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    std::erase(this->processes, process);
    this->note("SIGKILL to " + this->entries.at(index).name);
}

void Deployment::signalAgent(std::size_t index, int signal)
{
    kill(this->agents.at(index), signal);
    this->note("signal " + std::to_string(signal) + " to side-" + std::to_string(index));
}

void Deployment::submit(ClientJob& job, std::size_t first, const std::string& queue)
{
    const std::string headers = std::string("Host: ") + host + "\r\nDeadline-Ms: " + std::to_string(clientDeadlineMs) + "\r\n";
    for (std::size_t attempt = 0; attempt < clientAttempts && !job.accepted; ++attempt) {
        const std::size_t entry = (first + attempt) % this->entries.size();
        const HttpReply reply = callHttp(this->entries[entry].callers, "POST", queue + job.id, headers, job.body, clientDeadlineMs);
        job.attempts.push_back(reply.status);
        job.accepted = reply.status / 100 == 2;
        job.acceptedAt = steadyMs();
        this->note("POST " + queue + job.id + " to " + this->entries[entry].name + ": " + std::to_string(reply.status));
        if (!job.accepted)
            sleepMs(300);
    }
}

HttpReply Deployment::ask(std::size_t entry, const std::string& method, const std::string& target) const
{
    return callHttp(this->entries.at(entry).callers, method, target, std::string("Host: ") + host + "\r\nDeadline-Ms: " + std::to_string(clientDeadlineMs) + "\r\n", "", clientDeadlineMs);
}

std::string Deployment::stateOf(const std::string& job, const std::string& queue) const
{
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        const HttpReply reply = this->ask(entry, "GET", queue + job);
        if (reply.status == 410)
            return "410";
        if (reply.status == 200)
            return Json::parse(reply.body).at("state");
    }
    return "";
}

std::optional<std::size_t> Deployment::leader() const
{
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        const HttpReply reply = callHttp(this->entries[index].admin, "GET", "/status", "Host: x\r\n", "", 1000);
        if (reply.status == 200 && Json::parse(reply.body).at("leading").get<bool>())
            return index;
    }
    return std::nullopt;
}

std::size_t Deployment::usableWorkers() const
{
    const std::optional<std::size_t> leading = this->leader();
    if (!leading)
        return 0;
    const HttpReply reply = callHttp(this->entries[*leading].admin, "GET", "/status", "Host: x\r\n", "", 1000);
    if (reply.status != 200)
        return 0;
    const Json page = Json::parse(reply.body);
    return static_cast<std::size_t>(std::count_if(page.at("workers").begin(), page.at("workers").end(), [](const Json& worker) { return worker.at("usable").get<bool>(); }));
}

std::vector<RunRecord> Deployment::runs() const
{
    std::vector<RunRecord> all;
    for (const std::unique_ptr<Worker>& worker : this->workers) {
        const std::vector<RunRecord> own = worker->runs();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end(), [](const RunRecord& left, const RunRecord& right) { return left.startedAt < right.startedAt; });
    return all;
}

std::set<std::string> Deployment::running() const
{
    std::set<std::string> all;
    for (const std::unique_ptr<Worker>& worker : this->workers)
        all.merge(worker->running());
    return all;
}

void Deployment::note(const std::string& text)
{
    const std::lock_guard<std::mutex> lock(this->recordMutex);
    const long long at = steadyMs() - this->startedAt;
    const std::string thousandths = std::to_string(1000 + at % 1000).substr(1);
    this->record << this->label + std::to_string(at / 1000) + "." + thousandths + " s  " + text + "\n"
                 << std::flush;
}

}
