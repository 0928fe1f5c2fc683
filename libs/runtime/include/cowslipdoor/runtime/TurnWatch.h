#pragma once

/// @file
/// @brief Logs turns of the event loop that delay lease renewals and renewal grants.

#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/core/Time.h>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Time of a turn from which it is logged: two thirds of the 375 ms between renewals of the leader's lease.
constexpr Duration longTurn = std::chrono::milliseconds(250);

/// @brief Logs and counts a turn of at least longTurn as EventId::TurnTookLong.
/// @param task name of the task
/// @param taken time of the turn, without suspensions of the VM
/// @param effects number of effects that were carried out
/// @param log receives the event
/// @param metrics counts the event
void recordTurn(const std::string& task, Duration taken, std::size_t effects, const Log& log, Metrics& metrics);

}
