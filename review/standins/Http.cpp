#include "Http.h"
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

    constexpr const char* loopback = "127.0.0.1";
    constexpr int backlog = 512;

    sockaddr_in socketAddress(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, loopback, &address.sin_addr);
        return address;
    }

    int portOf(int descriptor)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    int bindAnyPort()
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socketAddress(0);
        if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            throw std::runtime_error("no free port");
        return descriptor;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return text;
    }

    std::string trimmed(const std::string& text)
    {
        const std::size_t first = text.find_first_not_of(" \t");
        const std::size_t last = text.find_last_not_of(" \t\r");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

    std::string unescape(const std::string& text)
    {
        std::string plain;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                plain += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
                index += 2;
            } else {
                plain += text[index];
            }
        }
        return plain;
    }

    bool readMore(int descriptor, std::string& buffer)
    {
        char bytes[16384];
        const ssize_t count = recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool writeAll(int descriptor, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// First line, headers and body of one message, taken from the front of a buffer.
    struct Message {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    std::optional<Message> readMessage(int descriptor, std::string& buffer)
    {
        std::size_t end = buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!readMore(descriptor, buffer))
                return std::nullopt;
            end = buffer.find("\r\n\r\n");
        }
        Message message;
        std::size_t from = 0;
        while (from < end) {
            const std::size_t lineEnd = std::min(buffer.find("\r\n", from), end);
            const std::string line = buffer.substr(from, lineEnd - from);
            from = lineEnd + 2;
            const std::size_t colon = line.find(':');
            if (message.firstLine.empty())
                message.firstLine = line;
            else if (colon != std::string::npos)
                message.headers[lowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
        const std::size_t length = message.headers.contains("content-length") ? std::stoul(message.headers["content-length"]) : 0;
        while (buffer.size() < end + 4 + length) {
            if (!readMore(descriptor, buffer))
                return std::nullopt;
        }
        message.body = buffer.substr(end + 4, length);
        buffer.erase(0, end + 4 + length);
        return message;
    }

    HttpRequest requestOf(const Message& message)
    {
        const std::size_t space = message.firstLine.find(' ');
        const std::size_t last = message.firstLine.rfind(' ');
        const std::string target = message.firstLine.substr(space + 1, last - space - 1);
        const std::size_t mark = std::min(target.find('?'), target.size());
        HttpRequest request { message.firstLine.substr(0, space), target.substr(0, mark), {}, message.headers, message.body };
        std::size_t from = mark + 1;
        while (from < target.size()) {
            const std::size_t next = std::min(target.find('&', from), target.size());
            const std::string pair = target.substr(from, next - from);
            const std::size_t equals = std::min(pair.find('='), pair.size());
            request.query[pair.substr(0, equals)] = equals < pair.size() ? unescape(pair.substr(equals + 1)) : std::string();
            from = next + 1;
        }
        return request;
    }

}

long long steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepMs(long long milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string freeAddress()
{
    // Below the range from which the system takes ports for connections, so that no connection takes it before the process.
    constexpr int firstPort = 20000;
    constexpr int portCount = 12000;
    static std::atomic<int> next { static_cast<int>(getpid()) * 97 };
    while (true) {
        const int port = firstPort + next++ % portCount;
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = socketAddress(port);
        const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(descriptor);
        if (isFree)
            return std::string(loopback) + ":" + std::to_string(port);
    }
}

HttpServer::HttpServer(Handler handler)
    : handler(std::move(handler))
{
    const int listener = bindAnyPort();
    if (listen(listener, backlog) != 0)
        throw std::runtime_error("cannot listen");
    this->listenAddress = std::string(loopback) + ":" + std::to_string(portOf(listener));
    std::thread([this, listener]() { this->acceptAll(listener); }).detach();
}

void HttpServer::acceptAll(int listener) const
{
    while (true) {
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            sleepMs(5);
            continue;
        }
        const int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, connection]() { this->serve(connection); }).detach();
    }
}

void HttpServer::serve(int connection) const
{
    std::string buffer;
    while (true) {
        const std::optional<Message> message = readMessage(connection, buffer);
        if (!message)
            break;
        const HttpReply reply = this->handler(requestOf(*message));
        if (reply.status == 0)
            break;
        const std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        if (!writeAll(connection, text))
            break;
    }
    close(connection);
}

HttpReply callHttp(const std::string& address, const std::string& method, const std::string& target, const std::string& headers, const std::string& body, long long timeoutMs)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit {};
    limit.tv_sec = timeoutMs / 1000;
    limit.tv_usec = (timeoutMs % 1000) * 1000;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in peer = socketAddress(std::stoi(address.substr(address.find(':') + 1)));
    HttpReply reply;
    const std::string text = method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0 && writeAll(descriptor, text)) {
        std::string buffer;
        const std::optional<Message> message = readMessage(descriptor, buffer);
        if (message)
            reply = { std::stoi(message->firstLine.substr(9, 3)), message->body };
    }
    close(descriptor);
    return reply;
}

}
