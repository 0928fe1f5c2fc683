#pragma once

/// @file
/// @brief The entry's server for links of agents.

#include "Asio.h"
#include "ClientLimiter.h"
#include "EntryTask.h"
#include "FramedStream.h"
#include "Listener.h"
#include "Log.h"
#include "Metrics.h"

namespace cowslipdoor::runtime {

/// @brief Accepts links of agents; each link is a task that owns its socket.
/// @code
/// LinkServer server(executor, "127.0.0.1:7000", entryTask.inbox(), silenceLimit, limiter, helloLimit, log, metrics);
/// server.start();
/// @endcode
class LinkServer {
public:
    /// @param executor runs the tasks
    /// @param address IP address and port to listen on
    /// @param entry mailbox of the entry's task
    /// @param silenceLimit silence that closes a link, unless three heartbeat intervals are longer
    /// @param limiter limits of the process
    /// @param helloLimit largest number of links that have not sent their first message
    /// @param log receives the events
    /// @param metrics receives the counts
    /// @throws Error with ErrorKind::BadSetting if the address cannot be listened on
    LinkServer(asio::any_io_executor executor, const std::string& address, Mailbox<EntryInput> entry, Duration silenceLimit, ClientLimiter& limiter, std::size_t helloLimit, const Log& log, Metrics& metrics);

    /// @brief Starts accepting connections; the server must outlive the run of the executor.
    void start();

private:
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> relayAll(FramedStream& stream, LinkId link);

    Mailbox<EntryInput> entry;
    Duration silenceLimit;
    ClientLimiter& limiter;
    ClientPortId port;
    const Log& log;
    Metrics& metrics;
    Listener listener;
    std::uint64_t lastLink = 0;
};

}
