#pragma once

/// @file
/// @brief Link between a worker and its agent's registry that can be cut; what was sent during the cut arrives later.

#include "Http.h"
#include "Record.h"
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// @brief Forwards HTTP calls from one port to another.
class HeartbeatLink {
public:
    /// @param port a free port
    /// @param target port to which calls are forwarded
    /// @param record record of the case
    HeartbeatLink(int port, int target, Record& record);
    HeartbeatLink(const HeartbeatLink&) = delete;
    HeartbeatLink& operator=(const HeartbeatLink&) = delete;
    ~HeartbeatLink();

    /// @brief From now on, calls are held back.
    void cut();

    /// @brief Ends the cut; calls that were held back still are.
    void heal();

    /// @brief Delivers the calls that were held back, in their order.
    void deliver();

private:
    HttpAnswer forward(const HttpCall& call) const;
    std::optional<HttpAnswer> respond(const HttpCall& call);

    int target;
    Record& record;
    std::mutex mutex;
    bool isCut = false;
    std::vector<HttpCall> held;
    HttpServer server;
};

}
