#pragma once

/// @file
/// @brief Soak of the programs that serve requests.

#include "CallerLoad.h"
#include "Deployment.h"
#include "FaultInjector.h"
#include "SoakPlan.h"
#include "SoakReport.h"
#include <future>

namespace cowslipdoor::soak {

/// @brief Real entries, agents and stand-in upstreams under a mixed load and the faults of a plan.
/// @code
/// const SoakReport report = RequestSoak({ .seed = 7 }, "logs").run();
/// @endcode
class RequestSoak {
public:
    /// @param size size and seed
    /// @param folder folder for logs and rules; the story of the faults is its file story.txt
    RequestSoak(const SoakSize& size, const std::string& folder);

    /// @brief Plays the plan and checks the promises while it runs and at its end.
    /// @return what was seen
    [[nodiscard]] SoakReport run();

private:
    void runPlan(const std::vector<Planned<RequestFault>>& plan);
    void checkWhileRunning();
    void checkAtEnd(const standins::CallerLoad& load);
    void checkCapacity(const standins::UpstreamCounts& counts);

    /// Faults that every kind of deployment knows.
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
