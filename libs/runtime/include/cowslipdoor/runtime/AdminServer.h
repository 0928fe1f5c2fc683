#pragma once

/// @file
/// @brief HTTP pages for operators: metrics, health, rules, status; and announcements at the agent.

#include "Asio.h"
#include "HttpServer.h"
#include "Listener.h"
#include <functional>
#include <map>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Answers one request of an operator or upstream.
using AdminHandler = std::function<asio::awaitable<Response>(const HttpRequest&)>;

/// @brief Serves pages by method and path.
/// @code
/// AdminServer server(executor, "127.0.0.1:9100", HttpLimits {});
/// server.handle("GET", "/healthz", handler);
/// server.start();
/// @endcode
class AdminServer {
public:
    /// @param executor executor of the tasks
    /// @param address IP number and port to listen on
    /// @param limits limits of each connection
    /// @throws Error when the address cannot be listened on
    AdminServer(asio::any_io_executor executor, const std::string& address, HttpLimits limits);

    /// @brief Adds a page.
    /// @param method HTTP method
    /// @param path path without query
    /// @param handler what answers
    void handle(const std::string& method, const std::string& path, AdminHandler handler);

    /// @brief Starts accepting; the server must outlive the executor's run.
    void start();

private:
    asio::awaitable<void> serve(tcp::socket socket);
    [[nodiscard]] asio::awaitable<Response> respond(const HttpRequest& request) const;

    Listener listener;
    HttpLimits limits;
    std::map<std::pair<std::string, std::string>, AdminHandler> handlers;
};

}
