#include "cowslipdoor/runtime/Listener.h"
#include "cowslipdoor/runtime/Address.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <cowslipdoor/core/Error.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

    /// Counts a connection, also if its handler ends with an exception.
    class OpenConnection {
    public:
        explicit OpenConnection(std::size_t& count)
            : count(count)
        {
            ++this->count;
        }

        ~OpenConnection() { --this->count; }

        OpenConnection(const OpenConnection&) = delete;
        OpenConnection& operator=(const OpenConnection&) = delete;

    private:
        std::size_t& count;
    };

    tcp::acceptor listenOn(const asio::any_io_executor& executor, const std::string& address)
    {
        const tcp::endpoint endpoint = parseAddress(address);
        try {
            return tcp::acceptor(executor, endpoint);
        } catch (const boost::system::system_error& error) {
            throw Error(ErrorKind::BadSetting, "cannot listen on " + address + ": " + error.code().message());
        }
    }

}

Listener::Listener(asio::any_io_executor executor, const std::string& address, AcceptHandler handler)
    : executor(std::move(executor))
    , acceptor(listenOn(this->executor, address))
    , handler(std::move(handler))
{
}

void Listener::start()
{
    spawnTask(this->executor, "Listener", [this]() { return this->acceptAll(); });
}

void Listener::stop()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

asio::awaitable<void> Listener::acceptAll()
{
    asio::steady_timer pause(this->executor);
    while (this->acceptor.is_open()) {
        std::tuple<error_code, tcp::socket> accepted = co_await this->acceptor.async_accept(asTuple);
        if (!std::get<0>(accepted)) {
            // An error of the handler ends only its connection.
            asio::co_spawn(this->executor, this->serve(std::move(std::get<1>(accepted))), asio::detached);
            continue;
        }
        pause.expires_after(acceptRetryDelay);
        co_await pause.async_wait(asTuple);
    }
}

asio::awaitable<void> Listener::serve(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const OpenConnection counted(this->open);
    co_await this->handler(std::move(socket));
}

}
