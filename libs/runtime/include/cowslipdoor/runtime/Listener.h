#pragma once

/// @file
/// @brief Listening socket whose task hands each connection on.

#include "Asio.h"
#include <cowslipdoor/core/Time.h>
#include <functional>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Takes one accepted connection.
using AcceptHandler = std::function<asio::awaitable<void>(tcp::socket)>;

/// @brief Accepts connections and runs a task for each.
/// @code
/// Listener listener(executor, "127.0.0.1:8080", serve);
/// listener.start();
/// @endcode
class Listener {
public:
    /// @param executor executor of the tasks
    /// @param address IP number and port
    /// @param handler runs each connection
    /// @throws Error with ErrorKind::BadSetting when the address cannot be listened on
    Listener(asio::any_io_executor executor, const std::string& address, AcceptHandler handler);

    /// @brief Starts accepting; the listener must outlive the executor's run.
    void start();

    /// @brief Stops accepting; open connections stay.
    void stop();

    /// @return the number of connections whose tasks run
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
