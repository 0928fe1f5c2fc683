#pragma once

/// @file
/// @brief TCP proxy that injects network faults between clients and a server on loopback.

#include <cowslipdoor/core/Time.h>
#include <cowslipdoor/runtime/Asio.h>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace cowslipdoor::standins {

/// @brief Unit that a proxy forwards, delays or drops as a whole.
enum class ProxyUnit : unsigned char {
    /// Complete frames of the link between agents and entries.
    Frames,
    /// Bytes as they are read from the socket.
    Bytes,
};

/// @brief Faults of a proxy. Answers are those of agents on links, so faults on answers need ProxyUnit::Frames.
struct ProxyFaults {
    /// Frames are dropped in both directions while connections stay open; needs ProxyUnit::Frames.
    bool halfOpen = false;
    /// Data in one direction is held back while the flag is set and is forwarded afterwards.
    bool heldToServer = false;
    bool heldToClient = false;
    /// Delay before each unit, in both directions.
    Duration delay {};
    /// Percentage of answers that are sent twice.
    std::uint32_t repeatedAnswersPercent = 0;
    /// Percentage of answers that are delayed by answerDelay, so that later frames overtake them.
    std::uint32_t delayedAnswersPercent = 0;
    Duration answerDelay = std::chrono::milliseconds(50);

    bool operator==(const ProxyFaults&) const = default;
};

/// @brief Forwards connections of clients to one server, in its own thread. All functions may be called from any thread.
class FaultProxy {
public:
    /// @param listen address for clients
    /// @param server address of the server
    /// @param unit unit that is forwarded as a whole
    /// @param seed seed of the random choice of answers
    FaultProxy(const std::string& listen, std::string server, ProxyUnit unit, std::uint64_t seed);
    ~FaultProxy();

    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    /// @brief Replaces the faults; applies to units that are forwarded from now on.
    /// @param faults the new faults
    void setFaults(const ProxyFaults& faults);

    /// @brief Closes all open connections; new ones are accepted.
    void dropConnections();

    /// @brief Swallows from now on whatever arrives on the connections that are open, in both directions, for good. Neither
    /// end learns that the other end has closed its connection. New connections work.
    void silenceConnections();

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
