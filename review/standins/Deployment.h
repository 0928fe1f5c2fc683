#pragma once

/// @file
/// @brief Small deployment for a case: entries and agents as processes, a store, workers, and clients.

#include "Store.h"
#include "Worker.h"
#include <fstream>
#include <memory>
#include <optional>
#include <sys/types.h>

namespace review {

/// @brief A job that a client hands in, and what became of it.
struct ClientJob {
    std::string id;
    std::string body;
    /// Status of each attempt; zero for no answer.
    std::vector<int> attempts {};
    bool accepted = false;
    long long acceptedAt = 0;
};

/// @brief Entries and agents, started with the commands of the deploy file, on loopback addresses.
class Deployment {
public:
    /// @param root folder of the repository
    /// @param folder folder for the logs of the processes
    /// @param recordFile file that receives what was sent, answered and run
    /// @param label begins each line in the record
    Deployment(std::string root, std::string folder, const std::string& recordFile, std::string label);
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;
    ~Deployment() = default;

    /// @brief Kills all processes. The stand-ins go on until the program ends.
    void endProcesses();

    /// @brief Starts all processes, and waits until an entry leads and can use each worker.
    /// @param entries number of entries
    /// @param workers number of workers
    /// @param milliCores capacity of each worker
    /// @return whether the deployment is in use
    [[nodiscard]] bool start(std::size_t entries, std::size_t workers, std::uint32_t milliCores);

    /// @brief Adds a worker with its agent.
    /// @param milliCores its capacity
    /// @param label a label beside that of its rack
    void addWorker(std::uint32_t milliCores, const std::string& label = "a");

    /// @brief Waits until an entry leads and can use each worker.
    /// @return whether it can
    [[nodiscard]] bool awaitUse() const;

    /// @brief Kills an entry with SIGKILL.
    void killEntry(std::size_t index);

    /// @brief Sends a signal to the agent of a worker.
    void signalAgent(std::size_t index, int signal);

    /// @brief Starts an entry that has been killed.
    void startEntry(std::size_t index);

    /// @brief Hands a job in, as a client: up to five attempts, each at another entry.
    /// @param job the job
    /// @param first entry of the first attempt
    /// @param queue queue of the job
    void submit(ClientJob& job, std::size_t first, const std::string& queue = "/jobs/");

    /// @brief Sends a request of a client to an entry.
    [[nodiscard]] HttpReply ask(std::size_t entry, const std::string& method, const std::string& target) const;

    /// @return state of a job, from the first entry that answers with 200 or 410, or the empty text
    [[nodiscard]] std::string stateOf(const std::string& job, const std::string& queue = "/jobs/") const;

    /// @return index of the leading entry
    [[nodiscard]] std::optional<std::size_t> leader() const;

    /// @return all runs on all workers
    [[nodiscard]] std::vector<RunRecord> runs() const;

    /// @return tasks that run now, on all workers
    [[nodiscard]] std::set<std::string> running() const;

    /// @brief Writes a line to the record, with the time since the start.
    void note(const std::string& text);

    [[nodiscard]] Worker& worker(std::size_t index) { return *this->workers.at(index); }
    [[nodiscard]] Store& store() { return this->platformStore; }
    [[nodiscard]] std::size_t entryCount() const { return this->entries.size(); }

private:
    struct Entry {
        std::string name;
        std::string callers;
        std::string ready;
        std::string admin;
        pid_t process = 0;
    };

    pid_t spawn(const std::string& program, const std::vector<std::string>& words, const std::string& log);
    [[nodiscard]] std::size_t usableWorkers() const;

    std::string root;
    std::string folder;
    std::string label;
    std::ofstream record;
    std::mutex recordMutex;
    long long startedAt;
    Store platformStore;
    std::vector<Entry> entries;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<pid_t> agents;
    std::vector<pid_t> processes;
};

}
