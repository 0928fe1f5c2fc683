#pragma once

/// @file
/// @brief Soak of the programs that run jobs.

#include "FaultInjector.h"
#include "JobsDeployment.h"
#include "LastingWatch.h"
#include "SoakPlan.h"
#include "SoakReport.h"
#include "WorkerCrashes.h"
#include <atomic>

namespace cowslipdoor::soak {

/// @brief Real entries and agents for jobs, with stand-ins of store and workers, under jobs and the faults of a plan.
/// @code
/// const SoakReport report = JobSoak({ .seed = 7 }, "logs").run();
/// @endcode
class JobSoak {
public:
    /// @param size size and seed
    /// @param folder folder for logs; the story of the faults is its file story.txt
    JobSoak(const SoakSize& size, const std::string& folder);

    /// @brief Plays the plan and checks the promises while it runs and at its end.
    /// @return what was seen
    [[nodiscard]] SoakReport run();

private:
    /// What a caller knows of its job.
    struct Submitted {
        std::string job;
        unsigned tasks = 0;
        bool cancelled = false;
    };

    void submitLongRunningJobs();
    void submitJobs();
    void runPlan(const std::vector<Planned<JobFault>>& plan);
    void recover();
    void tick(TimePoint now);
    void checkWhileRunning(TimePoint now);
    [[nodiscard]] bool faultActive();
    void observeQuietPeriod();
    void cancelLongRunningJobs();
    void checkAtEnd();
    void checkJob(const Submitted& submitted, const std::map<std::string, std::size_t>& done);

    /// Faults that every kind of deployment knows.
    template <typename Common>
    void inject(const Common& fault, TimePoint now)
    {
        this->injector.inject(fault, now);
    }

    void inject(const StoreOutage& fault, TimePoint now);
    void inject(const LoseStoreAnswers& fault, TimePoint now);
    void inject(const DropStoreHistory& fault, TimePoint now);
    void inject(const LoseWorkerAnswers& fault, TimePoint now);
    void inject(const CrashWorker& fault, TimePoint now);
    void inject(const SendForeignHeartbeat& fault, TimePoint now);

    SoakSize size;
    std::string folder;
    platform::JobsDeployment deployment;
    FaultInjector injector;
    WorkerCrashes crashes;
    LongRunningTaskMonitor monitor;
    /// Those that last; the thread of the callers does not know them.
    std::vector<Submitted> longRunning;
    std::size_t answersLost = 0;
    bool faultInjected = false;
    std::optional<TimePoint> storeOutageEnd;
    std::atomic<bool> stopping = false;
    /// Written by the thread of the callers until it has ended.
    std::vector<Submitted> accepted;
    SoakReport report;
};

}
