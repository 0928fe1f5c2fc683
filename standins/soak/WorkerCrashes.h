#pragma once

/// @file
/// @brief Stand-in workers that go down and come up, once or several times in a row.

#include "Fault.h"
#include "JobsDeployment.h"
#include <map>

namespace cowslipdoor::soak {

/// @brief Takes workers down and brings them up by the clock; a later crash of a worker replaces the one under way.
class WorkerCrashes {
public:
    /// @param deployment whose workers; outlives this object's use
    explicit WorkerCrashes(platform::JobsDeployment& deployment);

    /// @brief Takes a worker down.
    /// @param fault how, and how it comes back
    /// @param now the present
    void inject(const CrashWorker& fault, TimePoint now);

    /// @brief Takes workers down and brings them up, as far as that is due.
    /// @param now the present
    void tick(TimePoint now);

    /// @brief Brings all workers up.
    void recover();

    /// @return whether no crash is under way
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
