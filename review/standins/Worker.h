#pragma once

/// @file
/// @brief Stand-in of a worker: runs, leases, fencing tokens and heartbeats as the pages describe them.

#include "Http.h"
#include <atomic>
#include <cstdint>
#include <mutex>
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
};

/// @brief Worker that runs each task as its specification states: for a number of milliseconds, or until it is stopped if
/// that is zero; a second number is the processor time in use that it reports for a task that fills.
class Worker {
public:
    /// @param id its identifier
    /// @param registry address of its agent for heartbeats
    /// @param milliCores its capacity
    Worker(std::string id, std::string registry, std::uint32_t milliCores);

    /// @return its address
    [[nodiscard]] const std::string& address() const { return this->server.address(); }

    /// @brief Crashes for good: all runs end, and from now on it neither answers nor sends heartbeats.
    void crash();

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
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
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
    void sendHeartbeats();

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
    HttpServer server;
};

}
