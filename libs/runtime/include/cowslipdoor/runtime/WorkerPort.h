#pragma once

/// @file
/// @brief What the agent's task asks of its worker; an adapter gives the functions.

#include "Asio.h"
#include <cowslipdoor/scheduling/WorkerMachine.h>
#include <functional>

namespace cowslipdoor::runtime {

/// @brief Functions of the worker; each gives the event that tells what became of the call.
struct WorkerPort {
    std::function<asio::awaitable<WorkerEvent>(CallPoll)> poll;
    std::function<asio::awaitable<WorkerEvent>(CallStart)> start;
    std::function<asio::awaitable<WorkerEvent>(CallStop)> stop;
    std::function<asio::awaitable<WorkerEvent>(CallPace)> pace;
};

}
