#include "Http.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int openSocket()
    {
        const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (opened < 0)
            throw std::runtime_error("no socket");
        return opened;
    }

    bool sendAll(int socket, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Appends what arrives before the deadline; returns false at the end of the stream, on an error or after the deadline.
    bool receiveMore(int socket, std::string& buffer, long long deadline)
    {
        while (true) {
            pollfd waited { socket, POLLIN, 0 };
            const long long left = deadline - nowMs();
            if (left <= 0)
                return false;
            const int ready = poll(&waited, 1, static_cast<int>(std::min(left, 1000LL)));
            if (ready < 0 && errno != EINTR)
                return false;
            if (ready > 0)
                break;
        }
        char bytes[16384];
        const ssize_t count = recv(socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return text;
    }

    struct Message {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    /// Reads one message with a Content-Length or without a body; std::nullopt if it is not complete before the deadline.
    std::optional<Message> readMessage(int socket, std::string& buffer, long long deadline)
    {
        std::size_t end = std::string::npos;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receiveMore(socket, buffer, deadline))
                return std::nullopt;
        }
        Message message;
        std::size_t line = buffer.find("\r\n");
        message.firstLine = buffer.substr(0, line);
        while (line < end) {
            const std::size_t begin = line + 2;
            line = buffer.find("\r\n", begin);
            const std::string text = buffer.substr(begin, line - begin);
            const std::size_t colon = text.find(':');
            if (colon == std::string::npos)
                continue;
            const std::size_t value = text.find_first_not_of(' ', colon + 1);
            message.headers[lowerCase(text.substr(0, colon))] = value == std::string::npos ? "" : text.substr(value);
        }
        const std::size_t length = message.headers.contains("content-length") ? std::stoul(message.headers["content-length"]) : 0;
        while (buffer.size() < end + 4 + length) {
            if (!receiveMore(socket, buffer, deadline))
                return std::nullopt;
        }
        message.body = buffer.substr(end + 4, length);
        buffer.erase(0, end + 4 + length);
        return message;
    }

    std::string unescape(const std::string& text)
    {
        std::string plain;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
                index += 2;
            } else {
                plain += text[index];
            }
        }
        return plain;
    }

    HttpCall toCall(const Message& message)
    {
        HttpCall call;
        const std::size_t first = message.firstLine.find(' ');
        const std::size_t second = message.firstLine.find(' ', first + 1);
        call.method = message.firstLine.substr(0, first);
        const std::string target = message.firstLine.substr(first + 1, second - first - 1);
        const std::size_t mark = target.find('?');
        call.path = target.substr(0, mark);
        call.headers = message.headers;
        call.body = message.body;
        std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
        while (begin < target.size()) {
            const std::size_t end = std::min(target.find('&', begin), target.size());
            const std::string field = target.substr(begin, end - begin);
            const std::size_t equals = std::min(field.find('='), field.size());
            call.query[field.substr(0, equals)] = unescape(equals < field.size() ? field.substr(equals + 1) : "");
            begin = end + 1;
        }
        return call;
    }

}

HttpServer::HttpServer(int port, Handler handler, bool keepAlive)
    : handler(std::move(handler))
    , keepAlive(keepAlive)
    , listener(openSocket())
{
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(this->listener, 512) != 0)
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    this->acceptor = std::thread([this]() { this->acceptAll(); });
}

HttpServer::~HttpServer()
{
    this->stopping = true;
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    {
        const std::scoped_lock lock(this->mutex);
        for (const int socket : this->sockets)
            shutdown(socket, SHUT_RDWR);
    }
    for (std::thread& connection : this->connections)
        connection.join();
    close(this->listener);
}

void HttpServer::acceptAll()
{
    while (!this->stopping) {
        const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::scoped_lock lock(this->mutex);
        this->sockets.insert(accepted);
        this->connections.emplace_back([this, accepted]() { this->serve(accepted); });
    }
}

void HttpServer::loseConnections()
{
    const std::scoped_lock lock(this->mutex);
    this->lost = this->sockets;
}

bool HttpServer::isLost(int socket)
{
    const std::scoped_lock lock(this->mutex);
    return this->lost.contains(socket);
}

void HttpServer::awaitReset(int socket)
{
    constexpr long long pauseMs = 20;
    const linger reset { 1, 0 };
    while (!this->stopping) {
        pollfd waited { socket, POLLIN, 0 };
        if (poll(&waited, 1, pauseMs) > 0)
            break;
    }
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void HttpServer::serve(int socket)
{
    constexpr long long sliceMs = 20;
    std::string buffer;
    while (!this->stopping && !this->isLost(socket)) {
        const std::optional<Message> message = readMessage(socket, buffer, nowMs() + sliceMs);
        if (!message) {
            char next = 0;
            const ssize_t count = recv(socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
            if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
                break;
            continue;
        }
        const std::optional<HttpAnswer> answer = this->handler(toCall(*message));
        if (!answer || this->isLost(socket)) {
            const std::scoped_lock lock(this->mutex);
            this->lost.insert(socket);
            break;
        }
        const std::string head = "HTTP/1.1 " + std::to_string(answer->status) + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer->body.size()) + (this->keepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
        if (!sendAll(socket, head + answer->body) || !this->keepAlive)
            break;
    }
    if (this->isLost(socket))
        this->awaitReset(socket);
    const std::scoped_lock lock(this->mutex);
    this->sockets.erase(socket);
    this->lost.erase(socket);
    close(socket);
}

HttpAnswer request(int port, const std::string& method, const std::string& target, const std::vector<std::string>& headers, const std::string& body, int timeoutMs)
{
    const long long deadline = nowMs() + timeoutMs;
    const int socket = openSocket();
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    HttpAnswer answer;
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const std::string& header : headers)
            text += header + "\r\n";
        std::string buffer;
        if (sendAll(socket, text + "\r\n" + body)) {
            const std::optional<Message> message = readMessage(socket, buffer, deadline);
            if (message)
                answer = { std::stoi(message->firstLine.substr(message->firstLine.find(' ') + 1)), message->body };
        }
    }
    close(socket);
    return answer;
}

int freePort()
{
    // Cases that start at the same time look in different ranges, all below the ports of outgoing connections.
    constexpr int firstPort = 10000;
    constexpr int portsEach = 64;
    constexpr int ranges = 340;
    static std::mutex mutex;
    static int next = 0;
    const std::scoped_lock lock(mutex);
    while (next < portsEach * ranges) {
        const int port = firstPort + (getpid() % ranges * portsEach + next++) % (portsEach * ranges);
        const int probe = openSocket();
        const sockaddr_in address = loopback(port);
        const bool bound = bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(probe);
        if (bound)
            return port;
    }
    throw std::runtime_error("no free port");
}

long long nowMs()
{
    static const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

void sleepMs(long long milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

}
