#pragma once

/// @file
/// @brief Takes links of agents at an entry.

#include "Asio.h"
#include "EntryTask.h"
#include "FramedStream.h"
#include "Listener.h"
#include "Log.h"
#include "Metrics.h"

namespace cowslipdoor::runtime {

/// @brief Accepts agents; each link is a task that owns its socket.
/// @code
/// LinkServer server(executor, "127.0.0.1:7000", entryTask.inbox(), silenceLimit, log, metrics);
/// server.start();
/// @endcode
class LinkServer {
public:
    /// @param executor executor of the tasks
    /// @param address IP number and port to listen on
    /// @param entry inbox of the entry's task
    /// @param silenceLimit shortest silence that closes a link
    /// @param log where events go
    /// @param metrics where counts go
    /// @throws Error when the address cannot be listened on
    LinkServer(asio::any_io_executor executor, const std::string& address, Mailbox<EntryInput> entry, Duration silenceLimit, const Log& log, Metrics& metrics);

    /// @brief Starts accepting; the server must outlive the executor's run.
    void start();

private:
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> relayAll(FramedStream& stream, LinkId link);

    Mailbox<EntryInput> entry;
    Duration silenceLimit;
    const Log& log;
    Metrics& metrics;
    Listener listener;
    std::uint64_t lastLink = 0;
};

}
