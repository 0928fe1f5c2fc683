#pragma once

/// @file
/// @brief Stand-ins of the platform's store and of its workers, and a small deployment of the project's programs on loopback.
///
/// The stand-ins follow PROTOCOL.md: paging, conditions, feeds, fencing tokens, leases on the worker's clock, and numbered ends.

#include "ChildProcess.h"
#include "StandinServer.h"
#include <atomic>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/core/Time.h>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;
using cowslipdoor::Duration;
using cowslipdoor::TimePoint;
namespace runtime = cowslipdoor::runtime;

/// @return milliseconds since the start of the case
[[nodiscard]] std::int64_t nowMs();

/// @brief Writes the lines of record.txt; all functions may be called from any thread.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// @brief The platform's store: rows, transactions, feeds and parts. It keeps its whole history.
class Store {
public:
    explicit Store(const std::string& address);
    /// @brief Writes a row as the operator does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    /// @return number of calls so far
    [[nodiscard]] std::size_t calls();
    /// @brief Repeats the rows that the system has written for an ended job under other identifiers, as many such jobs leave them.
    /// @param job the ended job
    /// @param first number of the first identifier
    /// @param count number of jobs
    void repeatJob(const std::string& job, std::uint64_t first, std::size_t count);
    /// @return number of rows of jobs and of their progress, with and without those of repeatJob()
    [[nodiscard]] std::size_t jobRows();

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct StoredRow {
        std::string value;
        std::uint64_t version = 0;
    };

    runtime::asio::awaitable<cowslipdoor::Response> respond(cowslipdoor::platform::StandinCall call);
    [[nodiscard]] cowslipdoor::Response transact(const std::string& body);
    [[nodiscard]] cowslipdoor::Response read(std::map<std::string, std::string> query) const;
    runtime::asio::awaitable<cowslipdoor::Response> follow(std::map<std::string, std::string> query);
    [[nodiscard]] cowslipdoor::Response parts(std::map<std::string, std::string> query) const;

    std::map<Key, StoredRow> rows;
    std::map<std::uint64_t, std::vector<Key>> changes;
    std::uint64_t version = 1;
    std::size_t callCount = 0;
    cowslipdoor::platform::StandinServer server;
};

/// @brief What a worker has seen of one run.
struct SeenRun {
    std::string task;
    std::uint64_t number = 0;
    std::string worker;
    std::int64_t startedAtMs = 0;
    /// Negative while the run goes on.
    std::int64_t endedAtMs = -1;
    std::string how;
};

/// @brief A start that brought a worker over its capacity.
struct Overfill {
    std::string worker;
    std::string task;
    std::int64_t atMs = 0;
    std::uint64_t milliCores = 0;
    std::uint64_t capacity = 0;
};

/// @brief Settings of a worker.
struct WorkerConfig {
    std::string id;
    std::string address;
    std::string registry;
    std::string service = "service";
    std::uint32_t milliCores = 32000;
    std::uint32_t memoryMb = 128000;
    std::vector<std::string> labels { "a" };
    Duration heartbeatInterval = std::chrono::milliseconds(1500);
};

/// @brief A worker that doesn't guard its capacity. The `spec` of a job is a JSON text whose `ms` is the time that each task takes, and whose
/// `cpu` is what each task requests.
class Worker {
public:
    explicit Worker(WorkerConfig config);
    [[nodiscard]] std::vector<SeenRun> seen();
    [[nodiscard]] std::size_t running();
    [[nodiscard]] std::vector<Overfill> overfills();

private:
    struct Run {
        std::uint64_t number = 0;
        std::size_t index = 0;
        std::int64_t endsAtMs = 0;
        std::uint64_t milliCores = 0;
        std::int64_t takesMs = 0;
    };

    runtime::asio::awaitable<cowslipdoor::Response> respond(cowslipdoor::platform::StandinCall call);
    runtime::asio::awaitable<cowslipdoor::Response> hold(Json body);
    [[nodiscard]] cowslipdoor::Response start(const Json& body);
    [[nodiscard]] cowslipdoor::Response stop(const Json& body);
    runtime::asio::awaitable<void> sendHeartbeats();
    void advance();
    void end(const std::string& task, const std::string& how);
    [[nodiscard]] std::int64_t clockMs() const;
    [[nodiscard]] cowslipdoor::Response answer(std::uint16_t status, Json body) const;

    WorkerConfig config;
    std::int64_t bornMs = 0;
    TimePoint bornAt {};
    std::uint64_t token = 0;
    std::int64_t leaseUntilMs = 0;
    std::uint64_t beats = 0;
    std::uint64_t lastEnd = 0;
    std::map<std::string, Run> runs;
    /// Tasks by the time at which they end.
    std::multimap<std::int64_t, std::string> ends;
    std::map<std::string, std::uint64_t> highestEnded;
    std::deque<Json> finished;
    std::vector<SeenRun> history;
    std::vector<Overfill> overfilled;
    cowslipdoor::platform::StandinServer server;
};

/// @brief Size of a deployment.
struct DeploymentConfig {
    std::size_t entries = 3;
    std::size_t agents = 4;
    std::size_t workersPerRack = 3;
    std::string folder;
    /// An entry whose resident memory exceeds this is killed and started again, as the platform does; zero for no limit.
    std::size_t entryMemoryMb = 0;
};

/// @brief Entries and agents with the commands of deploy/system.toml, a store and a worker beside each agent.
class Deployment {
public:
    explicit Deployment(DeploymentConfig config);
    ~Deployment();

    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    cowslipdoor::standins::ChildProcess& entry(std::size_t index) { return *this->entries.at(index); }
    cowslipdoor::standins::ChildProcess& agent(std::size_t index) { return *this->agents.at(index); }
    Worker& worker(std::size_t index) { return *this->workers.at(index); }
    Store& store() { return *this->storeStandin; }

    /// @brief Sends a caller's request to an entry.
    /// @return status and body; status zero without an answer
    std::pair<unsigned, Json> call(std::size_t entry, const std::string& method, const std::string& job, const std::string& body = "", Duration timeout = std::chrono::milliseconds(3000), std::size_t queue = 0);
    /// @return index of the entry that says that it leads, or nothing
    std::optional<std::size_t> leader();
    /// @return number of jobs that a leading entry holds
    std::size_t jobs(std::size_t entry);
    /// @brief Waits until an entry leads and sees all workers as usable, and all entries answer.
    bool awaitReady(Duration limit);
    [[nodiscard]] std::vector<SeenRun> seen();
    /// @brief Restarts entries that have ended, and kills those over the memory limit. To be called often.
    /// @return number of ends since the last call
    std::size_t supervise(Record& record);
    /// @brief The same for one entry.
    /// @return whether it has ended since the last call
    bool superviseOne(std::size_t index, Record& record);
    [[nodiscard]] std::size_t residentMb(std::size_t entry);
    [[nodiscard]] std::size_t size() const { return this->config.entries; }

private:
    DeploymentConfig config;
    std::string storeAddress;
    std::vector<std::string> callerAddresses, readyAddresses, entryAdmins, agentAdmins, workerAddresses, registryAddresses, linkAddresses;
    std::unique_ptr<Store> storeStandin;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<cowslipdoor::standins::ChildProcess>> entries, agents;
    std::vector<std::int64_t> restartAtMs;
};

/// @brief Kills all processes that deployments have started; for handlers of signals.
void killChildren() noexcept;

/// @param number a number
/// @return an identifier of 16 hexadecimal digits
[[nodiscard]] std::string jobId(std::uint64_t number);

}
