#pragma once

/// @file
/// @brief Small deployment of the product's processes, with the store and the workers as stand-ins.

#include "Record.h"
#include "Store.h"
#include "Worker.h"
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// @brief Process of the product that the case started; it is killed at the end of the object's life.
class Process {
public:
    /// @param command program and arguments
    /// @param log file for its output
    Process(const std::vector<std::string>& command, const std::string& log);
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    ~Process();

    /// @param number signal to send
    void signal(int number) const;

    /// @brief Waits for the end of the process.
    /// @param timeoutMs how long to wait
    /// @return whether it has ended
    bool waitForEnd(long long timeoutMs);

    /// @return whether the process has not ended
    [[nodiscard]] bool runs();

    /// @return its resident memory in MB, with pages of 4 KB
    [[nodiscard]] long memoryMb() const;

private:
    pid_t id = -1;
    bool ended = false;
};

/// @brief Sizes and folders of a deployment.
struct DeploymentConfig {
    /// Root of the repository, whose folder target/ holds the programs.
    std::string root;
    /// Folder for logs.
    std::string folder;
    std::size_t entries = 3;
    std::size_t agents = 6;
    /// Ports at which agents receive heartbeats; chosen by the deployment if empty.
    std::vector<int> registryPorts {};
    /// Ports to which workers send their heartbeats, where these are not those of the agents.
    std::vector<int> heartbeatPorts {};
    /// Whether workers leave connections open after an answer.
    bool workersKeepAlive = true;
    /// Further labels by the number of the worker.
    std::map<std::size_t, std::vector<std::string>> extraLabels {};

    bool operator==(const DeploymentConfig&) const = default;
};

/// @brief Entries, agents, workers and a store on loopback addresses.
class Deployment {
public:
    /// @param config sizes and folders
    /// @param record record of the case
    Deployment(DeploymentConfig config, Record& record);

    /// @brief Waits until an entry leads and places tasks, and all entries are ready.
    /// @param timeoutMs how long to wait
    /// @return whether that came about
    [[nodiscard]] bool waitUntilReady(long long timeoutMs);

    /// @brief Sends a request of a client and records it.
    /// @param entry number of the entry
    /// @param method method
    /// @param job identifier of the job; empty for the queue
    /// @param body body
    /// @param timeoutMs when the client leaves
    /// @return the answer
    HttpAnswer call(std::size_t entry, const std::string& method, const std::string& job, const std::string& body, int timeoutMs);

    /// @param entry number of the entry
    /// @return whether it says that it leads
    [[nodiscard]] bool leads(std::size_t entry) const;

    /// @return number of an entry that leads, or the number of entries
    [[nodiscard]] std::size_t leader() const;

    /// @param number number of the process
    /// @return an entry
    [[nodiscard]] Process& entry(std::size_t number) { return *this->entryProcesses.at(number); }

    /// @param number number of the process
    /// @return an agent
    [[nodiscard]] Process& agent(std::size_t number) { return *this->agentProcesses.at(number); }

    /// @param number number of the agent
    /// @return its worker
    [[nodiscard]] Worker& worker(std::size_t number) { return *this->workers.at(number); }

    /// @brief Starts the process of an entry, as the platform does after its end.
    /// @param number number of the entry
    void startEntry(std::size_t number);

    /// @brief Starts the process of an agent, as the platform does after its end.
    /// @param number number of the agent
    void startAgent(std::size_t number);

    /// @param number number of the agent
    /// @return port at which it receives heartbeats
    [[nodiscard]] int registryPort(std::size_t number) const { return this->registryPorts.at(number); }

    /// @return the runs of all workers, by the time of their start
    [[nodiscard]] std::vector<WorkerRun> runs();

private:
    DeploymentConfig config;
    Record& record;
    int storePort = 0;
    std::vector<int> callerPorts;
    std::vector<int> readyPorts;
    std::vector<int> entryAdminPorts;
    std::vector<int> agentAdminPorts;
    std::vector<int> workerPorts;
    std::vector<int> registryPorts;
    std::vector<int> linkPorts;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Process>> agentProcesses;
    std::vector<std::unique_ptr<Process>> entryProcesses;
};

/// @brief Describes a job with one step.
/// @param tasks number of tasks
/// @param milliCores cores of each task
/// @param workMs how long each task works
/// @param label label that its workers must have; empty for none
/// @return body of the request that hands it in
[[nodiscard]] std::string jobBody(unsigned tasks, unsigned milliCores, long long workMs, const std::string& label = "");

}
