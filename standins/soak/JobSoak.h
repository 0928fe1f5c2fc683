#pragma once

/// @file
/// @brief Soak test of entries and agents for jobs.

#include "EvacuationMonitor.h"
#include "FaultInjector.h"
#include "JobsDeployment.h"
#include "LongRunningTaskMonitor.h"
#include "SoakPlan.h"
#include "SoakReport.h"
#include "SubmittedJob.h"
#include "WorkerCrashes.h"
#include <atomic>

namespace cowslipdoor::soak {

/// @brief Runs real entries and agents for jobs, with simulated store and workers, under a stream of jobs and the faults of a plan.
/// @code
/// const SoakReport report = JobSoak({ .seed = 7 }, "logs").run();
/// @endcode
class JobSoak {
public:
    /// @param size size and seed
    /// @param folder folder for logs and for story.txt, the log of injected faults
    JobSoak(const SoakSize& size, const std::string& folder);

    /// @brief Injects the faults of the plan; checks the guarantees of the system during the run and at its end.
    /// @return numbers of faults and checked jobs, and all violations
    [[nodiscard]] SoakReport run();

private:
    void submitLongRunningJobs();
    void submitJobs();
    [[nodiscard]] std::optional<SubmittedJob> runBurstClient(const BurstJob& planned, std::size_t number) const;
    /// Sends a cancellation to an entry and returns what is known of it then.
    [[nodiscard]] Cancellation cancel(const std::string& job, std::size_t entry);
    void runPlan(const std::vector<Planned<JobFault>>& plan);
    void recover();
    void tick(TimePoint now);
    void checkWhileRunning(TimePoint now);
    [[nodiscard]] bool faultActive();
    void observeQuietPeriod();
    void cancelLongRunningJobs();
    void checkAtEnd();
    void checkConfiguration();
    void checkJob(const SubmittedJob& submitted, const std::map<std::string, std::size_t>& done);

    /// Injects a fault that all deployments have in common.
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
    void inject(const SilenceConnections& fault, TimePoint now);
    void inject(const Evacuate& fault, TimePoint now);
    void inject(const SubmitBurst& burst, TimePoint now);
    void inject(const GrowConfiguration& fault, TimePoint now);
    void restoreZones(TimePoint now);

    SoakSize size;
    std::string folder;
    platform::JobsDeployment deployment;
    FaultInjector injector;
    WorkerCrashes crashes;
    LongRunningTaskMonitor monitor;
    EvacuationMonitor evacuationMonitor;
    /// Jobs with long-running tasks; used only by the main thread.
    std::vector<SubmittedJob> longRunning;
    /// Newest configuration: its version, and its queues beside that of the jobs.
    std::uint64_t configurationVersion = 7;
    std::size_t furtherQueues = 0;
    std::size_t answersLost = 0;
    bool faultInjected = false;
    std::optional<TimePoint> storeOutageEnd;
    std::atomic<bool> stopping = false;
    /// Written by the submitting thread until run() has joined it.
    std::vector<SubmittedJob> accepted;
    /// One client for each job of a burst; its result is the job if it was accepted.
    std::vector<std::future<std::optional<SubmittedJob>>> burstClients;
    SoakReport report;
};

}
