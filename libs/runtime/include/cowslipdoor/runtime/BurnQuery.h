#pragma once

/// @file
/// @brief Question for counts against objectives, to the task that owns them.

#include "Asio.h"
#include <cowslipdoor/core/BurnBook.h>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Asks for counts of ends against objectives.
struct BurnQuery {
    const Mailbox<std::vector<BurnSeries>> reply {};
};

}
