#pragma once

/// @file
/// @brief Listening socket.

#include "Asio.h"
#include <cowslipdoor/core/Time.h>
#include <functional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Serves one accepted connection.
using AcceptHandler = std::function<asio::awaitable<void>(tcp::socket)>;

/// @brief Accepts connections and starts a task for each.
/// @code
/// Listener listener(executor, "127.0.0.1:8080", serve);
/// listener.start();
/// @endcode
class Listener {
public:
    /// @param executor runs the tasks
    /// @param address IP address and port
    /// @param handler serves each connection; the connection counts as open until the handler ends, and is closed if
    /// it throws; ClientLimiter::guarded() logs such errors
    /// @throws Error with ErrorKind::BadSetting if the address cannot be listened on
    Listener(asio::any_io_executor executor, const std::string& address, AcceptHandler handler);

    /// @brief Starts accepting connections; the listener must outlive the run of the executor.
    void start();

    /// @brief Stops accepting connections; open ones stay.
    void stop();

    /// @return the address that it listens on
    [[nodiscard]] tcp::endpoint endpoint() const { return this->acceptor.local_endpoint(); }

    /// @return the number of open connections
    [[nodiscard]] std::size_t connections() const noexcept { return this->open; }

private:
    asio::awaitable<void> acceptAll();
    asio::awaitable<void> serve(tcp::socket socket);

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    AcceptHandler handler;
    std::size_t open = 0;
};

}
