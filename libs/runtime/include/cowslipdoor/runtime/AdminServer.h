#pragma once

/// @file
/// @brief HTTP server for operators and, on the agent, for announcements of the upstream.

#include "Asio.h"
#include "HttpServer.h"
#include "Listener.h"
#include <functional>
#include <map>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Limits of servers whose pages take no body.
constexpr HttpLimits pageLimits { .bodyBytes = 4096 };

/// @brief Handles one request of an operator or upstream.
using AdminHandler = std::function<asio::awaitable<Response>(const HttpRequest&)>;

/// @brief Routes requests to handlers by method and path.
/// @code
/// AdminServer server(executor, "127.0.0.1:9100", HttpLimits {}, limiter);
/// server.handle("GET", "/healthz", handler);
/// server.start();
/// @endcode
class AdminServer {
public:
    /// @param executor runs the tasks
    /// @param address IP address and port to listen on
    /// @param limits limits of each connection
    /// @param limiter limits of the process
    /// @throws Error with ErrorKind::BadSetting if the address cannot be listened on
    AdminServer(asio::any_io_executor executor, const std::string& address, HttpLimits limits, ClientLimiter& limiter);

    /// @brief Registers the handler of a page; replaces an earlier one.
    /// @param method HTTP method, in capitals
    /// @param path path without the query
    /// @param handler makes the response
    void handle(const std::string& method, const std::string& path, AdminHandler handler);

    /// @brief Starts accepting connections; the server must outlive the run of the executor.
    void start();

private:
    asio::awaitable<void> serve(tcp::socket socket);
    [[nodiscard]] asio::awaitable<Response> respond(const HttpRequest& request) const;

    Listener listener;
    HttpLimits limits;
    ClientLimiter& limiter;
    ClientPortId port;
    std::map<std::pair<std::string, std::string>, AdminHandler> handlers;
};

}
