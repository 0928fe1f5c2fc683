#include "cowslipdoor/core/ClientPool.h"
#include <utility>

namespace cowslipdoor {

ClientPool::ClientPool(ClientPoolConfig config)
    : config(config)
{
}

ClientPortId ClientPool::addPort(std::size_t maximumClients)
{
    this->ports.push_back({ maximumClients });
    return ClientPortId { static_cast<std::uint32_t>(this->ports.size() - 1) };
}

ClientAdmission ClientPool::admit(ClientPortId number, TimePoint now)
{
    Port& port = this->ports.at(static_cast<std::size_t>(number));
    std::optional<ClientId> closed;
    if (port.clients >= port.maximumClients) {
        closed = this->replaceable(port, now);
        if (!closed)
            return ClientLimitReached {};
        this->remove(*closed);
    }
    const ClientId id { ++this->lastClient };
    ++port.clients;
    port.idle.push_back(id);
    this->clients.emplace(id, Client { number, &port.idle, std::prev(port.idle.end()), now });
    return ClientAdmitted { id, closed };
}

BytesDecision ClientPool::reserve(ClientId id, std::size_t bytes, TimePoint now)
{
    const std::unordered_map<ClientId, Client>::iterator found = this->clients.find(id);
    if (found == this->clients.end())
        return ClientLimitReached {};
    Client& client = found->second;
    const std::size_t limit = bytes <= this->config.smallRequestBytes ? this->config.bytes : this->config.bytes / 4 * 3;
    std::vector<ClientId> closed;
    // Memory that is returned needs no decision.
    while (bytes > client.bytes && this->reserved - client.bytes + bytes > limit) {
        const std::optional<ClientId> stalled = this->longestStalled(now);
        if (!stalled || *stalled == id)
            return ClientLimitReached { std::move(closed) };
        this->remove(*stalled);
        closed.push_back(*stalled);
    }
    this->reserved = this->reserved - client.bytes + bytes;
    client.bytes = bytes;
    return BytesReserved { std::move(closed) };
}

void ClientPool::received(ClientId id, std::size_t bytes, TimePoint now)
{
    const std::unordered_map<ClientId, Client>::iterator found = this->clients.find(id);
    if (found == this->clients.end())
        return;
    Client& client = found->second;
    Order& receiving = this->portOf(client).receiving;
    client.unrecorded += bytes;
    if (client.order == &receiving && client.unrecorded < this->config.progressBytes)
        return;
    client.unrecorded = 0;
    client.progressAt = now;
    ClientPool::moveTo(client, receiving);
}

void ClientPool::complete(ClientId id)
{
    const std::unordered_map<ClientId, Client>::iterator found = this->clients.find(id);
    if (found != this->clients.end())
        ClientPool::moveTo(found->second, this->portOf(found->second).handled);
}

void ClientPool::awaitRequest(ClientId id, TimePoint now)
{
    const std::unordered_map<ClientId, Client>::iterator found = this->clients.find(id);
    if (found == this->clients.end())
        return;
    Client& client = found->second;
    this->reserved -= std::exchange(client.bytes, 0);
    client.unrecorded = 0;
    client.progressAt = now;
    ClientPool::moveTo(client, this->portOf(client).idle);
}

void ClientPool::remove(ClientId id)
{
    const std::unordered_map<ClientId, Client>::iterator found = this->clients.find(id);
    if (found == this->clients.end())
        return;
    Client& client = found->second;
    client.order->erase(client.place);
    --this->portOf(client).clients;
    this->reserved -= client.bytes;
    this->clients.erase(found);
}

void ClientPool::moveTo(Client& client, Order& order)
{
    order.splice(order.end(), *client.order, client.place);
    client.order = &order;
}

bool ClientPool::isStalled(const Order& order, TimePoint now) const
{
    return !order.empty() && now - this->clients.at(order.front()).progressAt >= this->config.stallTime;
}

std::optional<ClientId> ClientPool::replaceable(const Port& port, TimePoint now) const
{
    const bool idle = this->isStalled(port.idle, now);
    const bool receiving = this->isStalled(port.receiving, now);
    if (receiving && (!idle || this->clients.at(port.receiving.front()).progressAt < this->clients.at(port.idle.front()).progressAt))
        return port.receiving.front();
    return port.idle.empty() ? std::nullopt : std::optional<ClientId>(port.idle.front());
}

std::optional<ClientId> ClientPool::longestStalled(TimePoint now) const
{
    std::optional<ClientId> longest;
    for (const Port& port : this->ports) {
        if (this->isStalled(port.receiving, now) && (!longest || this->clients.at(port.receiving.front()).progressAt < this->clients.at(*longest).progressAt))
            longest = port.receiving.front();
    }
    return longest;
}

}
