#pragma once

/// @file
/// @brief Minimal blocking HTTP/1.1 client and server on loopback addresses, for the stand-ins of the review.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// @brief Request as a stand-in receives it.
struct HttpCall {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Headers by lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// @brief Answer to a request; status zero means that there was none.
struct HttpAnswer {
    int status = 0;
    std::string body;

    bool operator==(const HttpAnswer&) const = default;
};

/// @brief Listens on a port and answers each connection in a thread of its own.
class HttpServer {
public:
    /// Returns std::nullopt to leave the call unanswered; the connection then delivers nothing more.
    using Handler = std::function<std::optional<HttpAnswer>(const HttpCall&)>;

    /// @param port a free port on the loopback address
    /// @param handler answers calls, from several threads
    /// @param keepAlive whether connections stay open after an answer
    HttpServer(int port, Handler handler, bool keepAlive = true);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

    /// @brief Silences all open connections, as after a loss of power: nothing more is sent on them, and what arrives resets them.
    void loseConnections();

private:
    void acceptAll();
    void serve(int socket);
    [[nodiscard]] bool isLost(int socket);
    /// Resets a lost connection once bytes arrive; returns when it has ended.
    void awaitReset(int socket);

    Handler handler;
    bool keepAlive = true;
    int listener = -1;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<int> sockets;
    std::set<int> lost;
    std::vector<std::thread> connections;
    std::thread acceptor;
};

/// @brief Sends one request on a connection of its own.
/// @param port port on the loopback address
/// @param method method
/// @param target path and query
/// @param headers further headers, each a whole line
/// @param body body
/// @param timeoutMs time after which the connection is closed without an answer
/// @return the answer; status zero if there was none in time
[[nodiscard]] HttpAnswer request(int port, const std::string& method, const std::string& target, const std::vector<std::string>& headers, const std::string& body, int timeoutMs);

/// @return a port on the loopback address that is free now
[[nodiscard]] int freePort();

/// @return milliseconds on the steady clock since the first call
[[nodiscard]] long long nowMs();

/// @param milliseconds how long the calling thread sleeps
void sleepMs(long long milliseconds);

}
