#pragma once

/// @file
/// @brief Stands between agents and an entry, and does to links what networks do.

#include <atomic>
#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/runtime/Asio.h>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace cowslipdoor::standins {

/// @brief What a proxy does to whole frames.
struct LinkProxyFaults {
    /// Neither side hears anything, and no connection is closed.
    bool halfOpen = false;
    /// Percent of answers that are sent twice.
    std::uint32_t repeatedAnswersPercent = 0;
    /// Percent of answers that are held back, so that later frames pass them.
    std::uint32_t delayedAnswersPercent = 0;
    Duration delay = std::chrono::milliseconds(50);

    bool operator==(const LinkProxyFaults&) const = default;
};

/// @brief Forwards frames between agents and one entry, in a thread of its own.
class LinkProxy {
public:
    /// @param listen address for agents
    /// @param entry link address of the entry
    /// @param seed seed of the random faults
    LinkProxy(const std::string& listen, std::string entry, std::uint64_t seed);
    ~LinkProxy();

    LinkProxy(const LinkProxy&) = delete;
    LinkProxy& operator=(const LinkProxy&) = delete;

    /// @brief Sets what happens to frames from now on.
    /// @param faults the faults
    void setFaults(const LinkProxyFaults& faults);

    /// @brief Closes all connections.
    void cutAll();

private:
    struct Session;

    runtime::asio::awaitable<void> acceptAll();
    runtime::asio::awaitable<void> serve(std::shared_ptr<Session> session);
    runtime::asio::awaitable<void> forward(std::shared_ptr<Session> session, bool fromAgent);
    runtime::asio::awaitable<void> sendLater(std::shared_ptr<Session> session, std::string frame);
    [[nodiscard]] bool chance(std::uint32_t percent);

    std::string entry;
    runtime::asio::io_context context;
    runtime::tcp::acceptor acceptor;
    std::mt19937_64 random;
    LinkProxyFaults faults;
    std::set<std::shared_ptr<Session>> sessions;
    std::thread thread;
};

}
