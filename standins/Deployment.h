#pragma once

/// @file
/// @brief Deployment of real entries, agents and stand-in upstreams on loopback.

#include "ChildProcess.h"
#include "FaultProxy.h"
#include <cowslipdoor/core/Ids.h>
#include <cowslipdoor/core/Time.h>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cowslipdoor::standins {

/// @brief Size and settings of a deployment that serves requests.
struct DeploymentConfig {
    std::size_t agents = 3;
    std::size_t entries = 2;
    /// Slots of each upstream.
    std::uint32_t slots = 8;
    /// Content of the rules file at the start.
    std::string rules;
    /// Folder for logs and the rules file; created if it is missing.
    std::string folder;
    /// Whether announcements of upstreams name finished non-idempotent requests.
    bool upstreamsRemember = true;
    /// Whether agents reach entries through a FaultProxy for each entry.
    bool proxied = false;
    std::vector<std::string> agentFlags;
    std::vector<std::string> entryFlags;

    bool operator==(const DeploymentConfig&) const = default;
};

/// @brief Sums of the counts of all stand-in upstreams.
struct UpstreamCounts {
    std::uint64_t started = 0;
    std::uint64_t running = 0;
    /// Requests whose start exceeded the capacity of their upstream.
    std::uint64_t overfilled = 0;
    /// Largest number of slots in use at one upstream.
    std::uint64_t peakSlots = 0;
    /// Number of starts for each request number, over all upstreams.
    std::map<std::string, std::uint32_t> starts;
};

/// @brief Real processes on loopback. The destructor kills those that still run.
/// @code
/// Deployment deployment({ .rules = rules, .folder = "logs" });
/// deployment.startAll();
/// deployment.agent(1).signal(SIGKILL);
/// @endcode
class Deployment {
public:
    /// @brief Chooses addresses and writes the rules file; starts no process.
    /// @param config size and settings
    explicit Deployment(DeploymentConfig config);

    /// @brief Starts all processes and waits until every entry reports every agent as ready.
    /// @throws std::runtime_error when that takes longer than 30 s
    void startAll();

    /// @brief Starts one process, or restarts it; a process that still runs is killed.
    /// @param index index from zero
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void startUpstream(std::size_t index);

    /// @param index index from zero
    /// @return the process last started; it must have been started before
    [[nodiscard]] ChildProcess& entry(std::size_t index) { return *this->entryProcesses.at(index); }
    [[nodiscard]] ChildProcess& agent(std::size_t index) { return *this->agentProcesses.at(index); }
    [[nodiscard]] ChildProcess& upstream(std::size_t index) { return *this->upstreamProcesses.at(index); }

    /// @param index index of an entry from zero
    /// @return the proxy in front of the link address of the entry; only in a proxied deployment
    [[nodiscard]] FaultProxy& proxy(std::size_t index) { return *this->proxies.at(index); }

    /// @return callers' addresses, one for each entry
    [[nodiscard]] const std::vector<std::string>& callerAddresses() const noexcept { return this->entryListen; }

    /// @return admin addresses, one for each entry
    [[nodiscard]] const std::vector<std::string>& entryAdmins() const noexcept { return this->entryAdmin; }

    /// @return admin addresses, one for each agent
    [[nodiscard]] const std::vector<std::string>& agentAdmins() const noexcept { return this->agentAdmin; }

    /// @return addresses of the stand-in upstreams
    [[nodiscard]] const std::vector<std::string>& upstreamAddresses() const noexcept { return this->upstreamListen; }

    /// @return link addresses, one for each entry
    [[nodiscard]] const std::vector<std::string>& linkAddresses() const noexcept { return this->entryLink; }

    /// @brief Replaces the rules file of all entries; entries read it at their start and on SIGHUP.
    /// @param text the new content
    void writeRules(const std::string& text) const;

    /// @return sums of the counts of all stand-in upstreams
    /// @throws Error when an upstream does not answer
    [[nodiscard]] UpstreamCounts counts() const;

    /// @param admin an admin address
    /// @return content of its /status endpoint, or null when it does not answer within 1 s
    [[nodiscard]] static nlohmann::json status(const std::string& admin);

    /// @brief Polls a condition every 20 ms until it holds.
    /// @param what name of the condition for the exception
    /// @param condition condition to poll
    /// @throws std::runtime_error when the condition does not hold within 30 s
    static void await(const std::string& what, const std::function<bool()>& condition);

    /// @brief Waits until every entry is ready and reports enough agents as ready and with a complete ledger.
    /// @param count minimum number of agents
    /// @throws std::runtime_error when that takes longer than 30 s for an entry
    void awaitAgents(std::size_t count) const;

    /// @param version version of the rules
    /// @return whether every entry and every agent answers and has this version in force
    [[nodiscard]] bool rulesInForceEverywhere(std::uint64_t version) const;

    /// @param kind "entry", "agent" or "upstream"
    /// @param index index from zero
    /// @return path of the log of the process
    [[nodiscard]] std::string logPath(const std::string& kind, std::size_t index) const;

private:
    using Processes = std::vector<std::unique_ptr<ChildProcess>>;

    [[nodiscard]] std::string rulesPath() const;

    DeploymentConfig config;
    std::vector<std::string> entryListen;
    std::vector<std::string> entryLink;
    std::vector<std::string> entryAdmin;
    std::vector<std::string> agentAdmin;
    std::vector<std::string> upstreamListen;
    std::vector<std::string> proxyListen;
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    Processes entryProcesses;
    Processes agentProcesses;
    Processes upstreamProcesses;
};

}
