#pragma once

/// @file
/// @brief HTTP server for callers.

#include "Asio.h"
#include "EntryTask.h"
#include "HttpServer.h"
#include "Listener.h"
#include "Log.h"

namespace cowslipdoor::runtime {

/// @brief Settings of the server for callers.
struct CallerServerConfig {
    std::string listen;
    std::string userHeader;
    std::size_t maximumConnections = 0;
    HttpLimits limits;

    bool operator==(const CallerServerConfig&) const = default;
};

/// @brief Accepts connections of callers; each is a task that owns its socket.
/// @code
/// CallerServer server(executor, config, entryTask.inbox(), log, limiter);
/// server.start();
/// @endcode
class CallerServer {
public:
    /// @param executor runs the tasks
    /// @param entry mailbox of the entry's task
    /// @param log receives the events
    /// @param limiter limits of the process
    /// @throws Error with ErrorKind::BadSetting if the address cannot be listened on
    CallerServer(asio::any_io_executor executor, CallerServerConfig config, Mailbox<EntryInput> entry, const Log& log, ClientLimiter& limiter);

    /// @brief Starts accepting connections; the server must outlive the run of the executor.
    void start();

    /// @brief Stops accepting connections; open ones stay.
    void stopAccepting();

    /// @return the number of open connections
    [[nodiscard]] std::size_t connections() const noexcept { return this->listener.connections(); }

private:
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<bool> serveOne(beast::tcp_stream& stream, beast::flat_buffer& buffer, ClientTicket& ticket, CallerId caller, const Mailbox<CallerMessage>& mailbox);
    asio::awaitable<bool> relay(beast::tcp_stream& stream, const HttpRequest& request, CallerId caller, const Mailbox<CallerMessage>& mailbox);

    asio::any_io_executor executor;
    CallerServerConfig config;
    Mailbox<EntryInput> entry;
    const Log& log;
    ClientLimiter& limiter;
    ClientPortId port;
    Listener listener;
    std::uint64_t lastCaller = 0;
};

}
