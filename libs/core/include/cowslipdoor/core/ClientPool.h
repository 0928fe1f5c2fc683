#pragma once

/// @file
/// @brief Decides which connections of clients a process keeps, and what memory their requests may take.

#include "Time.h"
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cowslipdoor {

/// @brief Number of a client's connection within its process.
enum class ClientId : std::uint64_t {};

/// @brief Number of a listening port within its process.
enum class ClientPortId : std::uint32_t {};

/// @brief Settings of a ClientPool.
struct ClientPoolConfig {
    /// Memory for all requests that are received or handled, in bytes.
    std::size_t bytes = 0;
    /// Time without progress after which a connection whose request is incomplete may be closed for another one.
    Duration stallTime = std::chrono::seconds(1);
    /// Bytes that count as progress. A client that sends fewer within the stall time counts as stalled.
    std::size_t progressBytes = 256;
    /// Size up to which a request may take the last quarter of the memory, so that small requests are served beside large ones.
    std::size_t smallRequestBytes = std::size_t { 32 } * 1024;

    bool operator==(const ClientPoolConfig&) const = default;
};

/// @brief A connection was admitted.
struct ClientAdmitted {
    const ClientId client {};
    /// Connection to close in favour of the new one.
    const std::optional<ClientId> closed {};

    bool operator==(const ClientAdmitted&) const = default;
};

/// @brief Memory was reserved.
struct BytesReserved {
    /// Connections to close in favour of the request.
    const std::vector<ClientId> closed {};

    bool operator==(const BytesReserved&) const = default;
};

/// @brief The limit is reached.
struct ClientLimitReached {
    /// Connections to close although their memory did not suffice.
    const std::vector<ClientId> closed {};

    bool operator==(const ClientLimitReached&) const = default;
};

/// @brief Decision on a new connection.
using ClientAdmission = std::variant<ClientAdmitted, ClientLimitReached>;

/// @brief Decision on memory for a request.
using BytesDecision = std::variant<BytesReserved, ClientLimitReached>;

/// @brief Connections of all ports of a process, and the memory of their requests. Each decision takes constant time, apart from
/// the connections that it closes.
/// @code
/// ClientPool pool({ .bytes = 8 * 1024 * 1024 });
/// const ClientPortId port = pool.addPort(64);
/// const ClientAdmission admission = pool.admit(port, now);
/// @endcode
class ClientPool {
public:
    /// @param config settings
    explicit ClientPool(ClientPoolConfig config);

    /// @brief Adds a port.
    /// @param maximumClients largest number of connections
    /// @return its number
    [[nodiscard]] ClientPortId addPort(std::size_t maximumClients);

    /// @brief Decides on a new connection. At the limit of the port, it takes the place of the connection that has made no progress
    /// for the longest time, if that time has reached the stall time; else that of the one that has waited longest for a request.
    /// @param port port that accepted the connection
    /// @param now the time
    /// @return the decision; a connection to be closed has left the pool already
    [[nodiscard]] ClientAdmission admit(ClientPortId port, TimePoint now);

    /// @brief Changes the memory of a request that is being received. If the limit is exceeded, the memory of the connections of
    /// all ports that have made no progress for the stall time is taken, beginning with the longest such time.
    /// @param client a connection; one that has left the pool gets nothing
    /// @param bytes all memory of its request
    /// @param now the time
    /// @return the decision; connections to be closed have left the pool already
    [[nodiscard]] BytesDecision reserve(ClientId client, std::size_t bytes, TimePoint now);

    /// @brief Records bytes of an incomplete request.
    /// @param client a connection
    /// @param bytes number of bytes that arrived
    /// @param now the time
    void received(ClientId client, std::size_t bytes, TimePoint now);

    /// @brief Records that a request is complete. Until awaitRequest() its connection is not closed for another one.
    void complete(ClientId client);

    /// @brief Records that a connection waits for a request, and returns its memory.
    /// @param now the time
    void awaitRequest(ClientId client, TimePoint now);

    /// @brief Removes a connection that has closed, and returns its memory.
    void remove(ClientId client);

    /// @return memory that is reserved, in bytes
    [[nodiscard]] std::size_t reservedBytes() const noexcept { return this->reserved; }

    /// @param port a port
    /// @return number of its connections
    [[nodiscard]] std::size_t clientsOf(ClientPortId port) const { return this->ports.at(static_cast<std::size_t>(port)).clients; }

private:
    /// In order of the last progress.
    using Order = std::list<ClientId>;

    struct Port {
        std::size_t maximumClients = 0;
        std::size_t clients = 0;
        Order idle {};
        Order receiving {};
        /// Requests that are complete.
        Order handled {};
    };

    struct Client {
        ClientPortId port {};
        /// Order of the port that has the connection, and its place there.
        Order* order = nullptr;
        Order::iterator place {};
        TimePoint progressAt {};
        /// Bytes since the last progress.
        std::size_t unrecorded = 0;
        std::size_t bytes = 0;
    };

    [[nodiscard]] Port& portOf(const Client& client) { return this->ports[static_cast<std::size_t>(client.port)]; }
    static void moveTo(Client& client, Order& order);
    [[nodiscard]] bool isStalled(const Order& order, TimePoint now) const;
    [[nodiscard]] std::optional<ClientId> replaceable(const Port& port, TimePoint now) const;
    [[nodiscard]] std::optional<ClientId> longestStalled(TimePoint now) const;

    ClientPoolConfig config;
    /// A deque, because connections point to the orders of their port.
    std::deque<Port> ports;
    std::unordered_map<ClientId, Client> clients;
    std::uint64_t lastClient = 0;
    std::size_t reserved = 0;
};

}
