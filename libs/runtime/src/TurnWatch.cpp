#include "cowslipdoor/runtime/TurnWatch.h"

namespace cowslipdoor::runtime {

void recordTurn(const std::string& task, Duration taken, std::size_t effects, const Log& log, Metrics& metrics)
{
    if (taken < longTurn)
        return;
    metrics.countEvent(EventId::TurnTookLong);
    log.record(EventId::TurnTookLong, task + ": " + std::to_string(toMilliseconds(taken)) + " ms, " + std::to_string(effects) + " effects");
}

}
