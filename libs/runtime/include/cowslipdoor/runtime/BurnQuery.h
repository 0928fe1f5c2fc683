#pragma once

/// @file
/// @brief Query for the counts of requests or jobs against their objectives.

#include "Asio.h"
#include <cowslipdoor/core/BurnTracker.h>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Asks for the counts of ended requests or jobs and of those that missed their objective.
struct BurnQuery {
    const Mailbox<std::vector<BurnSeries>> reply {};
};

}
