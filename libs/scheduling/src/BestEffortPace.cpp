#include "cowslipdoor/scheduling/BestEffortPace.h"
#include "cowslipdoor/scheduling/PaceControl.h"
#include <algorithm>
#include <limits>

namespace cowslipdoor {

namespace {

    /// Share of its cores that a long-running task leaves unused at its peak load.
    constexpr double longRunningUnusedShare = 0.4;

    double unusedCores(const TrackedWorker& worker, const std::map<std::string, ImageLoad>& bestEffort, std::uint32_t pacedDownMilliCores)
    {
        double unused = static_cast<double>(worker.free().milliCores) + longRunningUnusedShare * worker.longRunningMilliCores + pacedDownMilliCores;
        for (const std::map<std::string, ImageLoad>::value_type& item : bestEffort)
            unused -= item.second.milliCores;
        return unused;
    }

    double expectedPace(const TrackedWorker& worker, const std::map<std::string, ImageLoad>& bestEffort, const StepSpec& step, const InterferenceModel& interference)
    {
        const double cores = std::max(1U, worker.info->capacity.milliCores);
        double pace = 1;
        for (const std::map<std::string, ImageLoad>::value_type& serving : worker.servingByImage) {
            const std::map<std::string, double>::const_iterator alone = worker.baselineSlack.find(serving.first);
            double left = (alone == worker.baselineSlack.end() ? worker.assumedSlack : alone->second) - PaceConfig {}.minimumSlack;
            const double lossPerWorker = interference.lossOf(serving.first, step.image);
            const double loss = lossPerWorker * step.demand.milliCores / cores;
            if (loss <= PaceConfig {}.negligibleLoss)
                continue;
            // Agents share slack among best-effort runs by increasing loss, so only runs with no greater loss come before this one.
            for (const std::map<std::string, ImageLoad>::value_type& other : bestEffort) {
                const double earlier = interference.lossOf(serving.first, other.first);
                left -= earlier <= lossPerWorker ? earlier * other.second.milliCores / cores : 0;
            }
            if (loss * pace > left)
                pace = std::max(0.0, left) / loss;
        }
        return pace;
    }

}

BestEffortLoad bestEffortLoadOf(const TrackedWorker& worker)
{
    return { worker.bestEffortByImage, worker.pacedDownMilliCores };
}

double expectedPace(const TrackedWorker& worker, const StepSpec& step, const InterferenceModel& interference)
{
    return expectedPace(worker, worker.bestEffortByImage, step, interference);
}

double unusedCores(const TrackedWorker& worker)
{
    return unusedCores(worker, worker.bestEffortByImage, worker.pacedDownMilliCores);
}

double bestEffortSlowdown(const TrackedWorker& worker, const BestEffortLoad& load, const StepSpec& step, const InterferenceModel& interference)
{
    double pace = expectedPace(worker, load.byImage, step, interference);
    // A task that is alone may use all cores, whatever other tasks reserve.
    if (!load.byImage.empty() && step.demand.milliCores > 0)
        pace *= std::clamp(unusedCores(worker, load.byImage, load.pacedDownMilliCores) / step.demand.milliCores, 0.0, 1.0);
    return pace > 0 ? 1 / pace : std::numeric_limits<double>::infinity();
}

}
