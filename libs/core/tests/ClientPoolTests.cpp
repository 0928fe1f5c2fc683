#include <catch2/catch.hpp>
#include <cowslipdoor/core/ClientPool.h>
#include <cowslipdoor/core/LimitReports.h>
#include <rapidcheck.h>
#include <vector>

using namespace cowslipdoor;

namespace {

constexpr TimePoint start {};
constexpr Duration second = std::chrono::seconds(1);
constexpr std::size_t kibibyte = 1024;

ClientId admitted(ClientPool& pool, ClientPortId port, TimePoint now)
{
    return std::get<ClientAdmitted>(pool.admit(port, now)).client;
}

std::optional<ClientId> closedBy(const ClientAdmission& admission)
{
    return std::get<ClientAdmitted>(admission).closed;
}

bool fits(ClientPool& pool, ClientId client, std::size_t bytes, TimePoint now)
{
    return std::holds_alternative<BytesReserved>(pool.reserve(client, bytes, now));
}

}

// Guards against: connections that send nothing, or stop within a request, keep all others away.
TEST_CASE("client pool: at the limit of a port, the connection with the longest time without progress gives way", "[clients]")
{
    ClientPool pool({ .bytes = 100 * kibibyte });
    const ClientPortId port = pool.addPort(3);
    const ClientId receiving = admitted(pool, port, start);
    const ClientId idle = admitted(pool, port, start);
    const ClientId handled = admitted(pool, port, start);
    pool.received(receiving, 100, start + second / 2);
    pool.received(handled, 100, start);
    pool.complete(handled);
    CHECK(closedBy(pool.admit(port, start + second)) == idle);
    CHECK(closedBy(pool.admit(port, start + second * 3 / 2)) == receiving);
    CHECK(pool.clientsOf(port) == 3);
}

// Guards against: a burst of connections closes those whose requests are just arriving.
TEST_CASE("client pool: before the stall time, only a connection that waits for a request gives way", "[clients]")
{
    ClientPool pool({ .bytes = 100 * kibibyte });
    const ClientPortId port = pool.addPort(2);
    const ClientId receiving = admitted(pool, port, start);
    const ClientId idle = admitted(pool, port, start + second / 4);
    pool.received(receiving, 1, start);
    const ClientAdmission replaced = pool.admit(port, start + second / 2);
    CHECK(closedBy(replaced) == idle);
    pool.received(std::get<ClientAdmitted>(replaced).client, 1, start + second / 2);
    CHECK(std::holds_alternative<ClientLimitReached>(pool.admit(port, start + second / 2)));
}

TEST_CASE("client pool: a complete request is never closed for another connection", "[clients]")
{
    ClientPool pool({ .bytes = 100 * kibibyte });
    const ClientPortId port = pool.addPort(1);
    const ClientId handled = admitted(pool, port, start);
    pool.received(handled, 100, start);
    REQUIRE(fits(pool, handled, 70 * kibibyte, start));
    pool.complete(handled);
    CHECK(std::holds_alternative<ClientLimitReached>(pool.admit(port, start + 100 * second)));
    const ClientPortId other = pool.addPort(1);
    CHECK_FALSE(fits(pool, admitted(pool, other, start), 70 * kibibyte, start + 100 * second));
    pool.awaitRequest(handled, start + 100 * second);
    CHECK(pool.reservedBytes() == 0);
    CHECK(closedBy(pool.admit(port, start + 100 * second)) == handled);
}

// Guards against: unfinished bodies keep the memory for requests until they time out.
TEST_CASE("client pool: memory of stalled requests of any port goes to requests that make progress", "[clients]")
{
    ClientPool pool({ .bytes = 100 * kibibyte });
    const ClientPortId first = pool.addPort(10);
    const ClientPortId other = pool.addPort(10);
    const ClientId older = admitted(pool, first, start);
    const ClientId younger = admitted(pool, other, start);
    const ClientId next = admitted(pool, other, start);
    pool.received(older, 1, start);
    pool.received(younger, 1, start + second / 2);
    pool.received(next, 1, start + second);
    REQUIRE(fits(pool, older, 30 * kibibyte, start));
    REQUIRE(fits(pool, younger, 30 * kibibyte, start));
    CHECK(pool.reserve(next, 40 * kibibyte, start + second) == BytesDecision(BytesReserved { { older } }));
    CHECK(pool.reserve(next, 60 * kibibyte, start + second) == BytesDecision(ClientLimitReached {}));
    CHECK(pool.reserve(next, 60 * kibibyte, start + 2 * second) == BytesDecision(BytesReserved { { younger } }));
    CHECK(pool.reservedBytes() == 60 * kibibyte);
}

TEST_CASE("client pool: small requests are served while large ones take their share of the memory", "[clients]")
{
    ClientPool pool({ .bytes = 128 * kibibyte });
    const ClientPortId port = pool.addPort(10);
    const ClientId large = admitted(pool, port, start);
    const ClientId small = admitted(pool, port, start);
    CHECK(fits(pool, large, 96 * kibibyte, start));
    CHECK_FALSE(fits(pool, large, 97 * kibibyte, start));
    CHECK_FALSE(fits(pool, small, 33 * kibibyte, start));
    CHECK(fits(pool, small, 32 * kibibyte, start));
}

// Guards against: a client that sends a byte now and then holds its place without end.
TEST_CASE("client pool: a client that sends less than the required progress is stalled", "[clients]")
{
    ClientPool pool({ .bytes = 100 * kibibyte });
    const ClientPortId port = pool.addPort(2);
    const ClientId slow = admitted(pool, port, start);
    const ClientId steady = admitted(pool, port, start);
    for (int tenth = 0; tenth <= 10; ++tenth) {
        pool.received(slow, 1, start + tenth * second / 10);
        pool.received(steady, 256, start + tenth * second / 10);
    }
    CHECK(closedBy(pool.admit(port, start + second)) == slow);
}

TEST_CASE("client pool: neither limit is exceeded, whatever clients do", "[clients]")
{
    const bool kept = rc::check("connections of a port and memory", [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& steps) {
        constexpr std::size_t maximumClients = 5;
        const ClientPoolConfig config { .bytes = 64 * kibibyte };
        ClientPool pool(config);
        const std::vector<ClientPortId> ports { pool.addPort(maximumClients), pool.addPort(maximumClients) };
        std::vector<ClientId> clients { ClientId {} };
        TimePoint now = start;
        for (const std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>& step : steps) {
            const ClientId client = clients[std::get<1>(step) % clients.size()];
            now += std::chrono::milliseconds(std::get<2>(step) % 400);
            switch (std::get<0>(step) % 6) {
            case 0:
            case 1: {
                const ClientAdmission admission = pool.admit(ports[std::get<1>(step) % ports.size()], now);
                if (std::holds_alternative<ClientAdmitted>(admission))
                    clients.push_back(std::get<ClientAdmitted>(admission).client);
                break;
            }
            case 2:
                (void)pool.reserve(client, std::get<2>(step), now);
                break;
            case 3:
                pool.received(client, std::get<2>(step), now);
                break;
            case 4:
                pool.complete(client);
                break;
            default:
                pool.awaitRequest(client, now);
            }
            RC_ASSERT(pool.reservedBytes() <= config.bytes);
            RC_ASSERT(pool.clientsOf(ports[0]) <= maximumClients);
            RC_ASSERT(pool.clientsOf(ports[1]) <= maximumClients);
        }
        for (const ClientId client : clients)
            pool.remove(client);
        RC_ASSERT(pool.reservedBytes() == 0U);
        RC_ASSERT(pool.clientsOf(ports[0]) + pool.clientsOf(ports[1]) == 0U);
    });
    CHECK(kept);
}

TEST_CASE("limit reports: at most one a second, which counts what was left out", "[clients]")
{
    LimitReports reports;
    CHECK(reports.count(start) == 1U);
    CHECK(reports.count(start + second / 2) == std::nullopt);
    CHECK(reports.count(start + second) == 2U);
}
