#include "Bench.h"
#include "Deployment.h"
#include <algorithm>
#include <chrono>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/runtime/Asio.h>
#include <iomanip>
#include <iostream>

namespace cowslipdoor::bench {

namespace {

    using namespace runtime;
    using Clock = std::chrono::steady_clock;

    const std::string rules = "version 1\nrule quick path=/quick* class=quick deadline=5s # bench: cost of the path\n";

    struct PathMeasurement {
        double perSecond = 0;
        double p50 = 0;
        double p99 = 0;
    };

    asio::awaitable<void> callRepeatedly(std::string address, int count, std::vector<double>& latencies)
    {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        co_await stream.async_connect(parseAddress(address), asio::use_awaitable);
        stream.socket().set_option(tcp::no_delay(true));
        beast::flat_buffer buffer;
        for (int call = 0; call < count; ++call) {
            http::request<http::empty_body> request(http::verb::get, "/quick?bytes=200", 11);
            request.set(http::field::host, address);
            const Clock::time_point begun = Clock::now();
            co_await http::async_write(stream, request, asio::use_awaitable);
            http::response<http::string_body> response;
            co_await http::async_read(stream, buffer, response, asio::use_awaitable);
            if (response.result() == http::status::ok)
                latencies.push_back(std::chrono::duration<double, std::micro>(Clock::now() - begun).count());
        }
    }

    PathMeasurement measure(const std::vector<std::string>& addresses, int callers, int callsOfEach)
    {
        asio::io_context context(1);
        std::vector<double> latencies;
        for (int caller = 0; caller < callers; ++caller)
            asio::co_spawn(context, callRepeatedly(addresses[static_cast<std::size_t>(caller) % addresses.size()], callsOfEach, latencies), asio::detached);
        const Clock::time_point begun = Clock::now();
        context.run();
        const double seconds = std::chrono::duration<double>(Clock::now() - begun).count();
        std::sort(latencies.begin(), latencies.end());
        if (latencies.empty())
            throw Error(ErrorKind::Internal, "no call succeeded");
        return { static_cast<double>(latencies.size()) / seconds, latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100] };
    }

}

void runPathBench(const std::string& folder)
{
    standins::Deployment deployment({ .agents = 3, .entries = 2, .slots = 64, .rules = rules, .folder = folder });
    deployment.startAll();
    std::cout << "path (2 entries, 3 agents; direct: requests sent straight to the stand-in upstreams)\n"
              << std::fixed;
    for (const int callers : { 1, 16, 64 }) {
        const int calls = 24'000 / (callers + 7);
        (void)measure(deployment.callerAddresses(), callers, calls / 10);
        const PathMeasurement direct = measure(deployment.upstreamAddresses(), callers, calls);
        const PathMeasurement path = measure(deployment.callerAddresses(), callers, calls);
        std::cout << std::setprecision(0) << "  " << std::setw(3) << callers << " callers: direct " << direct.perSecond << "/s p50 " << direct.p50 << " us p99 " << direct.p99
                  << " us; path " << path.perSecond << "/s p50 " << path.p50 << " us p99 " << path.p99 << " us; added p50 " << path.p50 - direct.p50 << " us, p99 "
                  << path.p99 - direct.p99 << " us; throughput ratio " << std::setprecision(2) << path.perSecond / direct.perSecond << "\n";
    }
}

}
