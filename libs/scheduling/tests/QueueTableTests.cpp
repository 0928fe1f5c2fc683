#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/scheduling/Configuration.h>
#include <random>

using namespace cowslipdoor;

namespace {

/// Finds a queue by comparing all.
const QueueRule* search(const std::vector<QueueRule>& queues, std::string_view host, std::string_view path)
{
    const QueueRule* best = nullptr;
    for (const QueueRule& queue : queues) {
        const bool matches = equalIgnoringCase(queue.host, host) && path.starts_with(queue.prefix);
        if (matches && (!best || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

Configuration configurationOf(std::size_t queues)
{
    Configuration configuration;
    for (std::size_t number = 0; number < queues; ++number)
        configuration.queues.add({ .name = std::to_string(number), .host = "host.example", .prefix = "/p" + std::to_string(number) + "/" });
    return configuration;
}

/// Least time for many requests for the queues of a configuration, of several tries.
std::chrono::steady_clock::duration timeToFind(const Configuration& configuration)
{
    constexpr std::size_t requests = 2'000;
    std::chrono::steady_clock::duration least = std::chrono::steady_clock::duration::max();
    for (int attempt = 0; attempt < 5; ++attempt) {
        std::size_t found = 0;
        const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        for (std::size_t number = 0; number < requests; ++number)
            found += configuration.queueOf("host.example:80", "/p" + std::to_string(number * 7 % configuration.queues.size()) + "/5c0e7a21d94b36f8") ? 1 : 0;
        least = std::min(least, std::chrono::steady_clock::now() - begin);
        CHECK(found == requests);
    }
    return least;
}

}

TEST_CASE("queue table: a request finds the same queue as by comparing all", "[jobs]")
{
    std::mt19937 random(11);
    const std::vector<std::string> hosts { "", "a.example", "A.Example", "b.example" };
    const std::vector<std::string> parts { "", "/", "/x", "/x/", "/x/y/", "/xy/", "/z/" };
    for (int round = 0; round < 200; ++round) {
        QueueTable table;
        for (std::size_t count = random() % 12; count > 0; --count)
            table.add({ .name = std::to_string(count), .host = hosts[random() % hosts.size()], .prefix = parts[random() % parts.size()] });
        for (const std::string& host : hosts) {
            for (const std::string& path : parts) {
                CHECK(table.find(host, path) == search(table.all(), host, path));
                CHECK(table.find(host, path + "y/1") == search(table.all(), host, path + "y/1"));
            }
        }
    }
}

// Guards against: each request of a caller is compared with all queues, which takes milliseconds on a small VM.
TEST_CASE("queue table: the time to find a queue does not grow with the number of queues", "[jobs]")
{
    CHECK(timeToFind(configurationOf(50'000)) < timeToFind(configurationOf(50)) * 20);
}
