#pragma once

/// @file
/// @brief Applies the limits of clients to the connections of a process.

#include "Asio.h"
#include "Listener.h"
#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/core/ClientPool.h>
#include <cowslipdoor/core/LimitReports.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace cowslipdoor::runtime {

/// @brief Name of the limit of memory for requests; also that of its setting.
constexpr const char* receiveLimitName = "receive-limit";

/// @brief Name of the limit of links that have not sent their first message; also that of its setting.
constexpr const char* helloLimitName = "hello-limit";

/// @brief Closes a socket; its pending operations end with an error.
void closeSocket(tcp::socket& socket) noexcept;

class ClientTicket;

/// @brief Limits of one process. Must outlive its tickets, and so the context that runs the connections.
/// @code
/// ClientLimiter limiter(receiveLimit, log, metrics);
/// const ClientPortId port = limiter.addPort("connection-limit", 4096);
/// const std::unique_ptr<ClientTicket> ticket = limiter.admit(port, [&socket]() { socket.close(); });
/// @endcode
class ClientLimiter {
public:
    /// @param bytes memory for the requests of all connections, in bytes
    /// @param log receives an event when a limit takes effect, at most one a second for each limit
    /// @param metrics counts how often limits take effect
    ClientLimiter(std::size_t bytes, const Log& log, Metrics& metrics);

    ClientLimiter(const ClientLimiter&) = delete;
    ClientLimiter& operator=(const ClientLimiter&) = delete;

    /// @brief Adds a port.
    /// @param limit name of the limit of its connections
    /// @param maximumClients largest number of its connections
    /// @return its number
    [[nodiscard]] ClientPortId addPort(std::string limit, std::size_t maximumClients);

    /// @brief Admits a connection, and closes another one for it if the limit requires that.
    /// @param port port that accepted the connection
    /// @param close closes the connection without waiting; called at most once, and only while the ticket exists
    /// @return the ticket, or null if the connection is not to be served
    [[nodiscard]] std::unique_ptr<ClientTicket> admit(ClientPortId port, std::function<void()> close);

    /// @brief Makes a handler that records an unexpected error of another one.
    /// Without it, such an error would be lost.
    /// @param handler serves each connection
    /// @return the handler for a Listener
    [[nodiscard]] AcceptHandler guarded(AcceptHandler handler);

    /// @brief Records an unexpected error that ended the service of a connection.
    /// @param detail what the error says
    void recordFault(const std::string& detail);

private:
    friend class ClientTicket;

    [[nodiscard]] asio::awaitable<void> serveGuarded(const AcceptHandler& handler, tcp::socket socket);

    void closeAll(const std::vector<ClientId>& clients);
    void count(const std::string& limit);

    const Log& log;
    Metrics& metrics;
    ClientPool pool;
    /// Names of the limits of the ports, by number of the port.
    std::vector<std::string> portLimits;
    std::unordered_map<ClientId, std::function<void()>> closers;
    std::map<std::string, LimitReports> reports;
};

/// @brief Place of one connection within the limits; the destructor returns it. Without a limiter, nothing is limited.
class ClientTicket {
public:
    ClientTicket() = default;

    /// @param limiter the limits; must outlive the ticket
    /// @param client number of the connection
    ClientTicket(ClientLimiter& limiter, ClientId client);
    ~ClientTicket();

    ClientTicket(const ClientTicket&) = delete;
    ClientTicket& operator=(const ClientTicket&) = delete;

    /// @brief Changes the memory that is reserved for the connection's request.
    /// @param bytes all memory of the request, in bytes
    /// @return whether it is available; if not, the former reservation stays
    [[nodiscard]] bool reserve(std::size_t bytes);

    /// @brief Records bytes of an incomplete request.
    void received(std::size_t bytes);

    /// @brief Records that the request is complete.
    void complete();

    /// @brief Records that the connection waits for a request.
    void awaitRequest();

private:
    ClientLimiter* limiter = nullptr;
    ClientId client {};
};

}
