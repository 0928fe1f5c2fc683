#pragma once

/// @file
/// @brief Interface of the agent's task to its worker, implemented by an adapter.

#include "Asio.h"
#include <cowslipdoor/scheduling/WorkerMachine.h>
#include <functional>

namespace cowslipdoor::runtime {

/// @brief Calls to the worker; each returns its result as an event.
struct WorkerPort {
    std::function<asio::awaitable<WorkerEvent>(CallPoll)> poll;
    std::function<asio::awaitable<WorkerEvent>(CallStart)> start;
    std::function<asio::awaitable<WorkerEvent>(CallStop)> stop;
    std::function<asio::awaitable<WorkerEvent>(CallPace)> pace;
};

}
