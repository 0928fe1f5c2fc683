#pragma once

/// @file
/// @brief Stand-in for a worker: runs tasks under leases, and sends heartbeats to the agent on its machine.

#include "Http.h"
#include "Record.h"
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// @brief Settings of a worker.
struct WorkerConfig {
    std::string id;
    int port = 0;
    /// Port to which heartbeats are sent.
    int registry = 0;
    std::string zone = "jylland-a";
    unsigned milliCores = 16000;
    unsigned memoryMb = 62500;
    std::vector<std::string> labels { "a", "r1-1" };
    /// Whether connections stay open after an answer.
    bool keepAlive = true;

    bool operator==(const WorkerConfig&) const = default;
};

/// @brief One run of a task, as the worker saw it; times in milliseconds of nowMs().
struct WorkerRun {
    std::string worker;
    std::string task;
    unsigned long long number = 0;
    unsigned milliCores = 0;
    long long startedAt = 0;
    long long endsAt = 0;
    /// Time of the end, or -1 while it runs.
    long long endedAt = -1;
    std::string how;
    /// Number of the end, and when ack-seq reached it, or -1 if it did not or the worker's lease had lapsed in between.
    unsigned long long endNumber = 0;
    long long acknowledgedAt = -1;

    bool operator==(const WorkerRun&) const = default;
};

/// @brief Answers orders of its agent as the platform's pages describe. A task works as long as its specification says:
/// "work-ms=NUMBER cpu=NUMBER"; without a number it lasts.
class Worker {
public:
    /// @param config settings
    /// @param record record of the case
    Worker(WorkerConfig config, Record& record);
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    ~Worker();

    /// @brief Cuts the worker off from its agent, or ends that; a call that arrives during the cut gets no answer.
    /// @param cut whether it is cut off
    void setCut(bool cut);

    /// @brief Lets the worker lose power: all that runs ends, nothing is answered, and nothing is sent.
    void losePower();

    /// @brief Starts the worker again under its identifier; it knows nothing of before, and its clock starts anew.
    /// @param heartbeatAfterMs when it sends its first heartbeat
    void startAgain(long long heartbeatAfterMs);

    /// @brief From now on, the heartbeats say that the worker is draining.
    void drain();

    /// @return when a heartbeat with the state "draining" was first acknowledged, or -1
    [[nodiscard]] long long drainingAcknowledgedAt();

    /// @return all runs so far
    [[nodiscard]] std::vector<WorkerRun> runs();

private:
    std::optional<HttpAnswer> respond(const HttpCall& call);
    HttpAnswer start(const nlohmann::json& body);
    HttpAnswer stop(const nlohmann::json& body);
    std::optional<HttpAnswer> hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
    void acknowledge(unsigned long long upTo);
    void work();
    void beat();
    void end(std::size_t run, const std::string& how);
    [[nodiscard]] long long clockMs() const;
    [[nodiscard]] HttpAnswer answer(int status, nlohmann::json body) const;

    WorkerConfig config;
    Record& record;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool draining = false;
    bool isCut = false;
    bool hasPower = true;
    /// Incremented by each loss of power, so that calls of an earlier life have no effect.
    unsigned life = 0;
    long long nextHeartbeat = 0;
    long long drainingAcknowledged = -1;
    long long startedAt = 0;
    long long bornMs = 0;
    unsigned long long token = 0;
    long long leaseUntil = 0;
    /// When the lease was last seen lapsed.
    long long lapsedAt = -1;
    unsigned long long heartbeats = 0;
    std::vector<WorkerRun> allRuns;
    std::map<std::string, std::size_t> running;
    std::map<std::string, unsigned long long> highestEnded;
    std::map<std::string, unsigned> paces;
    std::vector<nlohmann::json> finished;
    unsigned long long lastEnd = 0;
    HttpServer server;
    std::thread worker;
    std::thread heart;
};

}
