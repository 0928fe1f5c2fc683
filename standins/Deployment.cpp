#include "Deployment.h"
#include <algorithm>
#include <array>
#include <chrono>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/HttpClient.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cowslipdoor::standins {

namespace {

    constexpr std::array<std::string_view, 3> failureDomains { "chuping", "kangar", "padang-besar" };
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::seconds awaitLimit { 30 };
    constexpr Duration pageTimeout = std::chrono::seconds(1);

    std::string joined(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const std::string& part : parts)
            text += (text.empty() ? "" : ",") + part;
        return text;
    }

    std::string domainOf(std::size_t index)
    {
        return std::string(failureDomains[index % failureDomains.size()]);
    }

    std::vector<std::string> withExtra(std::vector<std::string> arguments, const std::vector<std::string>& extra)
    {
        arguments.insert(arguments.end(), extra.begin(), extra.end());
        return arguments;
    }

    std::vector<std::string> freeAddresses(std::size_t count)
    {
        std::vector<std::string> addresses;
        while (addresses.size() < count)
            addresses.push_back(freeAddress());
        return addresses;
    }

}

Deployment::Deployment(DeploymentConfig config)
    : config(std::move(config))
    , entryListen(freeAddresses(this->config.entries))
    , entryLink(freeAddresses(this->config.entries))
    , entryAdmin(freeAddresses(this->config.entries))
    , agentAdmin(freeAddresses(this->config.agents))
    , upstreamListen(freeAddresses(this->config.agents))
    , proxyListen(freeAddresses(this->config.proxied ? this->config.entries : 0))
    , entryProcesses(this->config.entries)
    , agentProcesses(this->config.agents)
    , upstreamProcesses(this->config.agents)
{
    std::filesystem::create_directories(this->config.folder);
    this->writeRules(this->config.rules);
    for (std::size_t index = 0; index < this->proxyListen.size(); ++index)
        this->proxies.push_back(std::make_unique<FaultProxy>(this->proxyListen[index], this->entryLink[index], ProxyUnit::Frames, index));
}

void Deployment::startAll()
{
    for (std::size_t index = 0; index < this->config.agents; ++index)
        this->startUpstream(index);
    for (std::size_t index = 0; index < this->config.entries; ++index)
        this->startEntry(index);
    for (std::size_t index = 0; index < this->config.agents; ++index)
        this->startAgent(index);
    this->awaitAgents(this->config.agents);
}

void Deployment::startEntry(std::size_t index)
{
    const std::vector<std::string> arguments {
        "entry",
        "--name=entry-" + std::to_string(index),
        "--failure-domain=" + domainOf(index),
        "--listen=" + this->entryListen[index],
        "--link-listen=" + this->entryLink[index],
        "--admin-listen=" + this->entryAdmin[index],
        "--rules=" + this->rulesPath(),
    };
    this->entryProcesses[index] = std::make_unique<ChildProcess>(COWSLIPDOOR_ENTRY, withExtra(arguments, this->config.entryFlags), this->logPath("entry", index));
}

void Deployment::startAgent(std::size_t index)
{
    const std::vector<std::string> arguments {
        "--name=agent-" + std::to_string(index),
        "--failure-domain=" + domainOf(index),
        "--admin-listen=" + this->agentAdmin[index],
        "--entries=" + joined(this->config.proxied ? this->proxyListen : this->entryLink),
    };
    this->agentProcesses[index] = std::make_unique<ChildProcess>(COWSLIPDOOR_AGENT, withExtra(arguments, this->config.agentFlags), this->logPath("agent", index));
}

void Deployment::startUpstream(std::size_t index)
{
    const std::vector<std::string> arguments {
        "--listen=" + this->upstreamListen[index],
        "--agent=" + this->agentAdmin[index],
        "--failure-domain=" + domainOf(index),
        "--slots=" + std::to_string(this->config.slots),
        std::string("--remembers=") + (this->config.upstreamsRemember ? "yes" : "no"),
    };
    this->upstreamProcesses[index] = std::make_unique<ChildProcess>(COWSLIPDOOR_STANDIN_UPSTREAM, arguments, this->logPath("upstream", index));
}

void Deployment::writeRules(const std::string& text) const
{
    const std::string temporary = this->rulesPath() + ".new";
    std::ofstream(temporary, std::ios::binary) << text;
    std::filesystem::rename(temporary, this->rulesPath());
}

UpstreamCounts Deployment::counts() const
{
    UpstreamCounts counts;
    for (const std::string& address : this->upstreamListen) {
        const Response response = runtime::fetch({ .address = address, .target = "/standin/stats" });
        const nlohmann::json json = nlohmann::json::parse(response.body.view());
        counts.started += json.at("started").get<std::uint64_t>();
        counts.running += json.at("running").get<std::uint64_t>();
        counts.overfilled += json.at("overfilled").get<std::uint64_t>();
        counts.peakSlots = std::max(counts.peakSlots, json.at("peak_slots").get<std::uint64_t>());
        const nlohmann::json& runs = json.at("runs");
        for (nlohmann::json::const_iterator it = runs.begin(); it != runs.end(); ++it)
            counts.starts[it.key()] += it.value().at(0).get<std::uint32_t>();
    }
    return counts;
}

nlohmann::json Deployment::status(const std::string& admin)
{
    try {
        return nlohmann::json::parse(runtime::fetch({ .address = admin, .target = "/status", .timeout = pageTimeout }).body.view());
    } catch (const Error&) {
        return nullptr;
    }
}

void Deployment::await(const std::string& what, const std::function<bool()>& condition)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + awaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("timed out waiting for " + what);
        std::this_thread::sleep_for(pollInterval);
    }
}

void Deployment::awaitAgents(std::size_t count) const
{
    for (const std::string& admin : this->entryAdmin) {
        await("agents at " + admin, [&admin, count]() {
            const nlohmann::json page = Deployment::status(admin);
            std::size_t ready = 0;
            for (const nlohmann::json& agent : page.is_null() ? nlohmann::json::array() : page.at("agents"))
                ready += agent.at("ready").get<bool>() && agent.at("ledger_complete").get<bool>() ? 1 : 0;
            return ready >= count && page.at("ready").get<bool>();
        });
    }
}

bool Deployment::rulesInForceEverywhere(std::uint64_t version) const
{
    std::vector<std::string> admins = this->entryAdmin;
    admins.insert(admins.end(), this->agentAdmin.begin(), this->agentAdmin.end());
    return std::all_of(admins.begin(), admins.end(), [version](const std::string& admin) {
        const nlohmann::json page = Deployment::status(admin);
        return !page.is_null() && page.at("rules_version") == version;
    });
}

std::string Deployment::logPath(const std::string& kind, std::size_t index) const
{
    return this->config.folder + "/" + kind + "-" + std::to_string(index) + ".log";
}

std::string Deployment::rulesPath() const
{
    return this->config.folder + "/rules.txt";
}

}
