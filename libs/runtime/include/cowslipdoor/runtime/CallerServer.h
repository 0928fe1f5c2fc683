#pragma once

/// @file
/// @brief Takes callers' requests over HTTP.

#include "Asio.h"
#include "EntryTask.h"
#include "HttpServer.h"
#include "Listener.h"
#include "Log.h"

namespace cowslipdoor::runtime {

/// @brief Settings of the callers' side.
struct CallerServerConfig {
    std::string listen;
    std::string userHeader;
    std::size_t maximumConnections = 0;
    HttpLimits limits;

    bool operator==(const CallerServerConfig&) const = default;
};

/// @brief Accepts callers; each connection is a task that owns its socket.
/// @code
/// CallerServer server(executor, config, entryTask.inbox(), log);
/// server.start();
/// @endcode
class CallerServer {
public:
    /// @param executor executor of the tasks
    /// @param config settings
    /// @param entry inbox of the entry's task
    /// @param log where events go
    /// @throws Error when the address cannot be listened on
    CallerServer(asio::any_io_executor executor, CallerServerConfig config, Mailbox<EntryInput> entry, const Log& log);

    /// @brief Starts accepting; the server must outlive the executor's run.
    void start();

    /// @brief Stops accepting; open connections stay.
    void stopAccepting();

    /// @return the number of open connections
    [[nodiscard]] std::size_t connections() const noexcept { return this->listener.connections(); }

private:
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<bool> serveOne(beast::tcp_stream& stream, beast::flat_buffer& buffer, CallerId caller, const Mailbox<CallerMessage>& mailbox);
    asio::awaitable<bool> relay(beast::tcp_stream& stream, const HttpRequest& request, CallerId caller, const Mailbox<CallerMessage>& mailbox);

    asio::any_io_executor executor;
    CallerServerConfig config;
    Mailbox<EntryInput> entry;
    const Log& log;
    Listener listener;
    std::uint64_t lastCaller = 0;
};

}
