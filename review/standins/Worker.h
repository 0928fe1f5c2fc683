#pragma once

/// @file
/// @brief Stand-in of a worker: runs, leases, fencing tokens and heartbeats as the pages describe them.

#include "Http.h"
#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

/// @brief Run of a task, as seen on the worker.
struct RunRecord {
    std::string worker;
    std::string task;
    std::uint64_t number = 0;
    long long startedAt = 0;
    /// Zero while it runs.
    long long endedAt = 0;
    std::string how;
    /// When a task that lasts is at work; zero for one that does not last.
    long long atWorkAt = 0;

    /// @return whether it lasts and is at work at a time before its end
    [[nodiscard]] bool atWork(long long at) const { return this->atWorkAt != 0 && at >= this->atWorkAt; }
};

/// @brief Worker that runs each task as its specification states: for a number of milliseconds, or until it is stopped if
/// that is zero; a second number is the figure that it reports for the task: tail latency or processor time in use. A task
/// that lasts is at work after a startup; a third number is the mean time after which its runs fail, in milliseconds.
class Worker {
public:
    /// @param id its identifier
    /// @param registry address of its agent for heartbeats
    /// @param milliCores its capacity
    /// @param label a label beside that of its rack
    Worker(std::string id, std::string registry, std::uint32_t milliCores, std::string label = "a");

    /// @return its address
    [[nodiscard]] const std::string& address() const { return this->server.address(); }

    /// @brief Crashes: all runs end, and from now on it neither answers nor sends heartbeats.
    void crash();

    /// @brief Starts again under the same identifier after a crash: it knows nothing of before, and its clock starts anew.
    /// @param firstBeatMs when it sends its first heartbeat
    void restart(long long firstBeatMs);

    /// @brief Multiplies the figure that it reports for its tasks from now on.
    void setLoad(std::uint64_t factor) { this->load = factor; }

    /// @return all runs so far
    [[nodiscard]] std::vector<RunRecord> runs();

    /// @return tasks that run now
    [[nodiscard]] std::set<std::string> running();

private:
    struct Run {
        std::size_t record = 0;
        long long endsAt = 0;
        bool lasts = false;
        std::uint64_t inUse = 0;
        bool fails = false;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::string saved;
    };

    HttpReply respond(const HttpRequest& request);
    HttpReply start(const std::string& body);
    HttpReply stop(const std::string& body);
    HttpReply hold(const std::string& body);
    HttpReply pace(const std::string& body);
    bool fenced(std::uint64_t newer);
    void advance();
    void end(const std::string& task, const std::string& how, long long at);
    [[nodiscard]] HttpReply refuse(const std::string& reason) const;
    [[nodiscard]] long long clockMs() const { return steadyMs() - this->bornSteady; }
    void sendHeartbeats(long long firstBeatMs);

    std::string id;
    std::string registry;
    std::uint32_t milliCores;
    long long born;
    long long bornSteady;
    std::mutex mutex;
    std::uint64_t token = 0;
    long long leaseUntil = 0;
    std::map<std::string, Run> current;
    std::map<std::string, std::uint64_t> highestEnded;
    std::vector<End> finished;
    std::uint64_t lastEnd = 0;
    std::vector<RunRecord> records;
    std::atomic<bool> down { false };
    std::atomic<std::uint64_t> incarnation { 1 };
    std::atomic<std::uint64_t> load { 1 };
    std::string label;
    std::mt19937_64 random;
    HttpServer server;
};

}
