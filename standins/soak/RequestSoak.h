#pragma once

/// @file
/// @brief Soak test of entries and agents for requests.

#include "CallerLoad.h"
#include "Deployment.h"
#include "FaultInjector.h"
#include "SoakPlan.h"
#include "SoakReport.h"
#include <future>

namespace cowslipdoor::soak {

/// @brief Runs real entries and agents with simulated upstreams under a mixed load and the faults of a plan.
/// @code
/// const SoakReport report = RequestSoak({ .seed = 7 }, "logs").run();
/// @endcode
class RequestSoak {
public:
    /// @param size size and seed
    /// @param folder folder for logs, rules and story.txt, the log of injected faults
    RequestSoak(const SoakSize& size, const std::string& folder);

    /// @brief Injects the faults of the plan; checks the guarantees of the system during the run and at its end.
    /// @return numbers of faults and checked requests, and all violations
    [[nodiscard]] SoakReport run();

private:
    void runPlan(const std::vector<Planned<RequestFault>>& plan);
    void checkWhileRunning();
    void checkAtEnd(const standins::CallerLoad& load);
    void checkCapacity(const standins::UpstreamCounts& counts);

    /// Injects a fault that all deployments have in common.
    template <typename Common>
    void inject(const Common& fault, TimePoint now)
    {
        this->injector.inject(fault, now);
    }

    void inject(const SilenceLinks& fault, TimePoint now);
    void inject(const DuplicateAndDelayAnswers& fault, TimePoint now);
    void inject(const ChangeRules& fault, TimePoint now);

    SoakSize size;
    std::string folder;
    std::uint64_t rulesVersion = 1;
    standins::Deployment deployment;
    FaultInjector injector;
    std::future<standins::UpstreamCounts> counting;
    TimePoint nextCount {};
    SoakReport report;
};

}
