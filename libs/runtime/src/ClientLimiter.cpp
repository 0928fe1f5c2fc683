#include "cowslipdoor/runtime/ClientLimiter.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <utility>

namespace cowslipdoor::runtime {

void closeSocket(tcp::socket& socket) noexcept
{
    error_code ignored;
    socket.close(ignored);
}

ClientLimiter::ClientLimiter(std::size_t bytes, const Log& log, Metrics& metrics)
    : log(log)
    , metrics(metrics)
    , pool(ClientPoolConfig { .bytes = bytes })
{
}

ClientPortId ClientLimiter::addPort(std::string limit, std::size_t maximumClients)
{
    this->portLimits.push_back(std::move(limit));
    return this->pool.addPort(maximumClients);
}

std::unique_ptr<ClientTicket> ClientLimiter::admit(ClientPortId port, std::function<void()> close)
{
    const ClientAdmission admission = this->pool.admit(port, monotonicNow());
    const ClientAdmitted* const admitted = std::get_if<ClientAdmitted>(&admission);
    if (!admitted || admitted->closed)
        this->count(this->portLimits.at(static_cast<std::size_t>(port)));
    if (!admitted)
        return nullptr;
    this->closers.emplace(admitted->client, std::move(close));
    if (admitted->closed)
        this->closeAll({ *admitted->closed });
    return std::make_unique<ClientTicket>(*this, admitted->client);
}

AcceptHandler ClientLimiter::guarded(AcceptHandler handler)
{
    return [this, handler = std::move(handler)](tcp::socket socket) { return this->serveGuarded(handler, std::move(socket)); };
}

asio::awaitable<void> ClientLimiter::serveGuarded(const AcceptHandler& handler, tcp::socket socket)
{
    try {
        co_await handler(std::move(socket));
    } catch (const std::exception& error) {
        this->recordFault(error.what());
    }
}

void ClientLimiter::recordFault(const std::string& detail)
{
    recordConnectionFault(this->log, this->metrics, detail);
}

void ClientLimiter::closeAll(const std::vector<ClientId>& clients)
{
    for (const ClientId client : clients) {
        const std::unordered_map<ClientId, std::function<void()>>::iterator found = this->closers.find(client);
        if (found == this->closers.end())
            continue;
        const std::function<void()> close = std::move(found->second);
        this->closers.erase(found);
        close();
    }
}

void ClientLimiter::count(const std::string& limit)
{
    this->metrics.countLimitedClient(limit);
    const std::optional<std::uint64_t> due = this->reports[limit].count(monotonicNow());
    if (due)
        this->log.record(EventId::ClientLimited, limit + ": " + std::to_string(*due) + " connections closed or requests refused");
}

ClientTicket::ClientTicket(ClientLimiter& limiter, ClientId client)
    : limiter(&limiter)
    , client(client)
{
}

ClientTicket::~ClientTicket()
{
    if (!this->limiter)
        return;
    this->limiter->closers.erase(this->client);
    this->limiter->pool.remove(this->client);
}

bool ClientTicket::reserve(std::size_t bytes)
{
    if (!this->limiter)
        return true;
    const BytesDecision decision = this->limiter->pool.reserve(this->client, bytes, monotonicNow());
    const std::vector<ClientId>& closed = std::visit([](const auto& alternative) -> const std::vector<ClientId>& { return alternative.closed; }, decision);
    const bool fits = std::holds_alternative<BytesReserved>(decision);
    for (std::size_t times = closed.size() + (fits ? 0 : 1); times > 0; --times)
        this->limiter->count(receiveLimitName);
    this->limiter->closeAll(closed);
    return fits;
}

void ClientTicket::received(std::size_t bytes)
{
    if (this->limiter)
        this->limiter->pool.received(this->client, bytes, monotonicNow());
}

void ClientTicket::complete()
{
    if (this->limiter)
        this->limiter->pool.complete(this->client);
}

void ClientTicket::awaitRequest()
{
    if (this->limiter)
        this->limiter->pool.awaitRequest(this->client, monotonicNow());
}

}
