#pragma once

/// @file
/// @brief Crashes and restarts simulated workers, once or several times in a row.

#include "Fault.h"
#include "JobsDeployment.h"
#include <map>

namespace cowslipdoor::soak {

/// @brief Crashes workers and restarts them when they are due; a new crash of a worker replaces one in progress.
class WorkerCrashes {
public:
    /// @param deployment deployment of the workers; must outlive this object
    explicit WorkerCrashes(platform::JobsDeployment& deployment);

    /// @brief Crashes a worker.
    /// @param fault the worker, the number of crashes, and how it restarts
    /// @param now current monotonic time
    void inject(const CrashWorker& fault, TimePoint now);

    /// @brief Crashes and restarts the workers that are due.
    /// @param now current monotonic time
    void tick(TimePoint now);

    /// @brief Restarts all crashed workers and cancels their further crashes.
    void recover();

    /// @return whether no crash is in progress
    [[nodiscard]] bool quiet() const noexcept { return this->crashes.empty(); }

private:
    struct Crash {
        CrashWorker fault;
        int timesLeft = 0;
        bool down = true;
        TimePoint nextTransitionAt {};
    };

    void bringUp(const CrashWorker& fault);

    platform::JobsDeployment& deployment;
    std::map<std::size_t, Crash> crashes;
    std::size_t incarnations = 0;
};

}
