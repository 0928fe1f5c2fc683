#pragma once

/// @file
/// @brief Small blocking HTTP/1.1 server and client for the stand-ins of the review; one thread for each connection.

#include <functional>
#include <map>
#include <string>

namespace review {

/// @brief Request as received.
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Headers by lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// @brief Reply to a request; status zero closes the connection without an answer.
struct HttpReply {
    int status = 0;
    std::string body;
};

/// @return milliseconds of the steady clock
long long steadyMs();

/// @param milliseconds how long to sleep
void sleepMs(long long milliseconds);

/// @return "127.0.0.1:" and a port that is free at present
std::string freeAddress();

/// @brief Server on a loopback address. It is never stopped; the process ends with it.
class HttpServer {
public:
    using Handler = std::function<HttpReply(const HttpRequest&)>;

    /// @param handler answers requests; called from several threads at the same time
    explicit HttpServer(Handler handler);

    /// @return the address on which it listens
    [[nodiscard]] const std::string& address() const { return this->listenAddress; }

private:
    void acceptAll(int listener) const;
    void serve(int connection) const;

    Handler handler;
    std::string listenAddress;
};

/// @brief Sends a request on a connection of its own and waits for the answer.
/// @param address loopback address
/// @param method HTTP method
/// @param target path and query
/// @param headers further header lines, each with its line end
/// @param body body of the request
/// @param timeoutMs limit for the whole call
/// @return the answer; status zero without one
HttpReply callHttp(const std::string& address, const std::string& method, const std::string& target, const std::string& headers, const std::string& body, long long timeoutMs);

}
