#pragma once

/// @file
/// @brief Stands between clients and a server on loopback, and does to connections what networks do.

#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/runtime/Asio.h>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace cowslipdoor::standins {

/// @brief What a proxy reads and forwards as one piece.
enum class ProxyUnit : unsigned char {
    /// Whole frames of the link between agents and entries.
    Frames,
    /// Bytes as they come.
    Bytes,
};

/// @brief What a proxy does to the pieces that it forwards.
struct ProxyFaults {
    /// Neither side hears anything, and no connection is closed; for frames only.
    bool halfOpen = false;
    /// What one side sends is held back until this ends, and comes late then.
    bool heldToServer = false;
    bool heldToClient = false;
    /// Pause before each piece, both ways.
    Duration delay {};
    /// Percent of answers on links that are sent twice.
    std::uint32_t repeatedAnswersPercent = 0;
    /// Percent of answers on links that are put off, so that later frames pass them.
    std::uint32_t delayedAnswersPercent = 0;
    Duration answerDelay = std::chrono::milliseconds(50);

    bool operator==(const ProxyFaults&) const = default;
};

/// @brief Forwards between clients and one server, in a thread of its own.
class FaultProxy {
public:
    /// @param listen address for clients
    /// @param server address of the server
    /// @param unit what it forwards as one piece
    /// @param seed seed of the random faults
    FaultProxy(const std::string& listen, std::string server, ProxyUnit unit, std::uint64_t seed);
    ~FaultProxy();

    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    /// @brief Sets what happens to pieces from now on.
    /// @param faults the faults
    void setFaults(const ProxyFaults& faults);

    /// @brief Closes all connections.
    void dropConnections();

private:
    struct Session;

    runtime::asio::awaitable<void> acceptAll();
    runtime::asio::awaitable<void> serve(std::shared_ptr<Session> session);
    runtime::asio::awaitable<void> forward(std::shared_ptr<Session> session, bool fromClient);
    runtime::asio::awaitable<bool> forwardBytes(std::shared_ptr<Session> session, bool fromClient, std::string_view bytes);
    runtime::asio::awaitable<void> forwardFrame(std::shared_ptr<Session> session, bool fromClient, std::string payload);
    runtime::asio::awaitable<void> awaitRelease(std::shared_ptr<Session> session, bool fromClient);
    runtime::asio::awaitable<void> sendLater(std::shared_ptr<Session> session, std::string frame);
    [[nodiscard]] bool chance(std::uint32_t percent);

    std::string server;
    ProxyUnit unit;
    runtime::asio::io_context context;
    runtime::tcp::acceptor acceptor;
    std::mt19937_64 random;
    ProxyFaults faults;
    std::set<std::shared_ptr<Session>> sessions;
    std::thread thread;
};

}
