#pragma once

/// @file
/// @brief Clients outside the limits.

#include <atomic>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/runtime/Asio.h>
#include <string>
#include <thread>
#include <vector>

namespace cowslipdoor::tests {

/// What each client of a crowd sends; then it keeps its connection open.
struct CrowdPlan {
    std::size_t clients = 0;
    std::string begin;
    /// Repeated after the begin, up to a number of bytes.
    std::string piece;
    std::size_t bytes = 0;
};

/// Clients that send what a plan says, on a thread of their own.
class ClientCrowd {
public:
    ClientCrowd(const std::string& address, CrowdPlan plan)
        : plan(std::move(plan))
    {
        while (!this->plan.piece.empty() && this->plan.piece.size() < writeBytes)
            this->plan.piece += this->plan.piece;
        const runtime::tcp::endpoint endpoint = runtime::parseAddress(address);
        for (std::size_t number = 0; number < this->plan.clients; ++number)
            runtime::asio::co_spawn(this->context, this->send(endpoint), runtime::asio::detached);
        this->thread = std::thread([this]() { this->context.run(); });
    }

    ~ClientCrowd() { this->close(); }

    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /// Waits until each client has sent all, has lost its connection, or the whole crowd is held up by the other side.
    void awaitSent() const
    {
        std::size_t before = 0;
        for (int quiet = 0; quiet < quietChecks && this->finished < this->plan.clients; ++quiet) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            if (this->sent != before)
                quiet = 0;
            before = this->sent;
        }
    }

    /// Closes all connections.
    void close()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
        this->sockets.clear();
    }

private:
    static constexpr std::size_t writeBytes = 64 * 1024;
    static constexpr int quietChecks = 15;

    runtime::asio::awaitable<void> send(runtime::tcp::endpoint endpoint)
    {
        const std::shared_ptr<runtime::tcp::socket> socket = std::make_shared<runtime::tcp::socket>(this->context);
        this->sockets.push_back(socket);
        const std::tuple<runtime::error_code> connected = co_await socket->async_connect(endpoint, runtime::asTuple);
        runtime::error_code error = std::get<0>(connected);
        std::string_view next = this->plan.begin;
        std::size_t left = this->plan.bytes;
        while (!error && !next.empty()) {
            const std::tuple<runtime::error_code, std::size_t> written = co_await runtime::asio::async_write(*socket, runtime::asio::buffer(next), runtime::asTuple);
            error = std::get<0>(written);
            this->sent += std::get<1>(written);
            next = std::string_view(this->plan.piece).substr(0, left);
            left -= next.size();
        }
        ++this->finished;
    }

    CrowdPlan plan;
    runtime::asio::io_context context { 1 };
    std::vector<std::shared_ptr<runtime::tcp::socket>> sockets;
    std::atomic<std::size_t> sent = 0;
    std::atomic<std::size_t> finished = 0;
    std::thread thread;
};

}
