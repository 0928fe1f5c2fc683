#include "Deployment.h"
#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr const char* host = "jobs.example";
    constexpr const char* prefix = "/looms/";

    std::vector<int> freePorts(std::size_t count)
    {
        std::vector<int> ports;
        for (std::size_t index = 0; index < count; ++index)
            ports.push_back(freePort());
        return ports;
    }

    std::string at(int port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::string zoneOf(std::size_t number)
    {
        const std::vector<std::string> zones { "jylland-a", "jylland-b", "jylland-c" };
        return zones[number % zones.size()];
    }

    std::string configuration()
    {
        const Json route { { "name", "r-1" }, { "host", host }, { "prefix", prefix }, { "route-type", "unsafe" }, { "timeout-ms", 3000 }, { "slo-ms", 1000 }, { "priority", 0 }, { "service", "svc1" },
            { "attempts", 3 }, { "stretch", 2.0 } };
        const Json service { { "name", "svc1" }, { "health-path", "/health" }, { "max-conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforces-capacity", false }, { "standby", false } };
        const Json limits { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } };
        return Json { { "version", 7 }, { "routes", { route } }, { "services", { service } }, { "limits", limits } }.dump();
    }

}

Process::Process(const std::vector<std::string>& command, const std::string& log)
{
    std::vector<char*> arguments;
    std::vector<std::string> words = command;
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    this->id = fork();
    if (this->id != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

Process::~Process()
{
    if (this->ended || this->id <= 0)
        return;
    kill(this->id, SIGKILL);
    waitpid(this->id, nullptr, 0);
}

void Process::signal(int number) const
{
    kill(this->id, number);
}

bool Process::waitForEnd(long long timeoutMs)
{
    const long long end = nowMs() + timeoutMs;
    while (this->runs() && nowMs() < end)
        sleepMs(5);
    return this->ended;
}

long Process::memoryMb() const
{
    constexpr long pagesPerMb = 256;
    std::ifstream file("/proc/" + std::to_string(this->id) + "/statm");
    long whole = 0;
    long resident = 0;
    file >> whole >> resident;
    return resident / pagesPerMb;
}

bool Process::runs()
{
    this->ended = this->ended || waitpid(this->id, nullptr, WNOHANG) == this->id;
    return !this->ended;
}

Deployment::Deployment(DeploymentConfig config, Record& record)
    : config(std::move(config))
    , record(record)
    , storePort(freePort())
    , callerPorts(freePorts(this->config.entries))
    , readyPorts(freePorts(this->config.entries))
    , entryAdminPorts(freePorts(this->config.entries))
    , agentAdminPorts(freePorts(this->config.agents))
    , workerPorts(freePorts(this->config.agents))
    , registryPorts(this->config.registryPorts.empty() ? freePorts(this->config.agents) : this->config.registryPorts)
    , linkPorts(freePorts(this->config.agents))
    , store(this->storePort)
    , agentProcesses(this->config.agents)
    , entryProcesses(this->config.entries)
{
    this->store.put("op", "config", configuration());
    for (std::size_t number = 0; number < this->config.agents; ++number) {
        this->startAgent(number);
        WorkerConfig worker { .id = "i-" + std::to_string(number), .port = this->workerPorts[number], .registry = this->registryPorts[number], .zone = zoneOf(number) };
        worker.keepAlive = this->config.workersKeepAlive;
        if (!this->config.heartbeatPorts.empty())
            worker.registry = this->config.heartbeatPorts.at(number);
        if (this->config.extraLabels.contains(number)) {
            const std::vector<std::string>& extra = this->config.extraLabels.at(number);
            worker.labels.insert(worker.labels.end(), extra.begin(), extra.end());
        }
        this->workers.push_back(std::make_unique<Worker>(worker, this->record));
    }
    for (std::size_t number = 0; number < this->config.entries; ++number)
        this->startEntry(number);
}

void Deployment::startAgent(std::size_t number)
{
    const std::string name = "side-" + zoneOf(number) + "-" + std::to_string(number);
    this->agentProcesses[number] = std::make_unique<Process>(
        std::vector<std::string> { this->config.root + "/target/apps/agent/cowslipdoor-agent", "jobs", "--name", name, "--failure-domain", zoneOf(number), "--worker", at(this->workerPorts[number]), "--registry-listen",
            at(this->registryPorts[number]), "--link-listen", at(this->linkPorts[number]), "--admin-listen", at(this->agentAdminPorts[number]), "--store", at(this->storePort), "--lease-limit", "6000ms" },
        this->config.folder + "/" + name + ".log");
}

void Deployment::startEntry(std::size_t number)
{
    const std::string name = "front-" + zoneOf(number) + "-" + std::to_string(number);
    this->entryProcesses[number] = std::make_unique<Process>(
        std::vector<std::string> { this->config.root + "/target/apps/entry/cowslipdoor", "jobs", "entry", "--name", name, "--failure-domain", zoneOf(number), "--listen", at(this->callerPorts[number]), "--ready-listen",
            at(this->readyPorts[number]), "--admin-listen", at(this->entryAdminPorts[number]), "--store", at(this->storePort), "--cores", "0.1", "--drain-limit", "2s" },
        this->config.folder + "/" + name + ".log");
}

bool Deployment::waitUntilReady(long long timeoutMs)
{
    const long long end = nowMs() + timeoutMs;
    while (nowMs() < end) {
        sleepMs(100);
        bool ready = true;
        for (const int port : this->readyPorts)
            ready = ready && request(port, "GET", "/v1/ready", { "Host: ready" }, "", 1000).status == 200;
        const std::size_t leading = this->leader();
        if (!ready || leading == this->config.entries)
            continue;
        const Json page = Json::parse(request(this->entryAdminPorts[leading], "GET", "/status", { "Host: admin" }, "", 1000).body, nullptr, false);
        if (!page.is_object() || !page.contains("workers"))
            continue;
        const Json& listed = page.at("workers");
        const std::ptrdiff_t usable = std::count_if(listed.begin(), listed.end(), [](const Json& worker) { return worker.value("usable", false); });
        if (usable == static_cast<std::ptrdiff_t>(this->config.agents))
            return true;
    }
    return false;
}

HttpAnswer Deployment::call(std::size_t entry, const std::string& method, const std::string& job, const std::string& body, int timeoutMs)
{
    this->record.line("client sends " + method + " " + prefix + job + " to entry " + std::to_string(entry));
    const HttpAnswer answer = request(this->callerPorts.at(entry), method, prefix + job, { std::string("Host: ") + host, "Deadline-Ms: " + std::to_string(timeoutMs) }, body, timeoutMs);
    this->record.line("client gets " + (answer.status == 0 ? std::string("no answer") : std::to_string(answer.status) + " " + answer.body.substr(0, 120)) + " for " + method + " " + prefix + job);
    return answer;
}

bool Deployment::leads(std::size_t entry) const
{
    const Json page = Json::parse(request(this->entryAdminPorts.at(entry), "GET", "/status", { "Host: admin" }, "", 1000).body, nullptr, false);
    return page.is_object() && page.value("leading", false);
}

std::size_t Deployment::leader() const
{
    std::size_t number = 0;
    while (number < this->config.entries && !this->leads(number))
        ++number;
    return number;
}

std::vector<WorkerRun> Deployment::runs()
{
    std::vector<WorkerRun> all;
    for (const std::unique_ptr<Worker>& worker : this->workers) {
        const std::vector<WorkerRun> own = worker->runs();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end(), [](const WorkerRun& left, const WorkerRun& right) { return left.startedAt < right.startedAt; });
    return all;
}

std::string jobBody(unsigned tasks, unsigned milliCores, long long workMs, const std::string& label)
{
    Json step { { "count", tasks }, { "cpu", milliCores }, { "mem-mb", 500 }, { "estimate-ms", workMs } };
    if (!label.empty())
        step["requires"] = label;
    return Json { { "spec", "work-ms=" + std::to_string(workMs) + " cpu=" + std::to_string(milliCores) }, { "phases", { step } } }.dump();
}

}
