#pragma once

/// @file
/// @brief The platform's limit on the memory of processes.

#include "Deployment.h"
#include "Record.h"
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// @brief Process that is watched.
struct WatchedProcess {
    std::string name;
    /// Returns the process that has the role now.
    std::function<Process&()> current;
    /// Starts it again.
    std::function<void()> start;
};

/// @brief Kills processes that exceed their memory, and starts them again, as the platform does.
class MemoryLimit {
public:
    /// @param limitMb memory of each process
    /// @param watched the processes
    /// @param record record of the case
    MemoryLimit(long limitMb, std::vector<WatchedProcess> watched, Record& record);
    MemoryLimit(const MemoryLimit&) = delete;
    MemoryLimit& operator=(const MemoryLimit&) = delete;
    ~MemoryLimit();

    /// @param number number of the process in the order given
    /// @return how often it was killed or ended
    [[nodiscard]] std::size_t ends(std::size_t number) const { return this->counts.at(number).ends; }

    /// @param number number of the process in the order given
    /// @return the largest memory seen, in MB
    [[nodiscard]] long peakMb(std::size_t number) const { return this->counts.at(number).peakMb; }

private:
    struct Counts {
        std::atomic<std::size_t> ends = 0;
        std::atomic<long> peakMb = 0;
    };

    void watch(std::size_t number);

    long limitMb;
    std::vector<WatchedProcess> watched;
    Record& record;
    std::vector<Counts> counts;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> threads;
};

}
