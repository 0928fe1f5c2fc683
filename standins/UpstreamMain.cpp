#include "UpstreamStandin.h"
#include <boost/asio/signal_set.hpp>
#include <cowslipdoor/runtime/Process.h>
#include <csignal>
#include <iostream>

namespace {

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

std::vector<SettingSpec> upstreamSettings()
{
    const std::uint64_t maximum = 1'000'000;
    return {
        { "listen", AddressSetting {}, std::nullopt, "Address for requests." },
        { "agent", AddressSetting {}, std::nullopt, "Admin address of the agent." },
        { "failure-domain", TextSetting {}, "chuping", "Failure domain." },
        { "slots", NumberSetting { 1, maximum }, "8", "Slots." },
        { "connections", NumberSetting { 1, maximum }, "64", "Connections." },
        { "cores", NumberSetting { 1, maximum }, "32", "Cores." },
        { "memory-mb", NumberSetting { 1, 100 * maximum }, "125000", "Memory in megabytes." },
        { "remembers", ChoiceSetting { { "yes", "no" } }, "yes", "Whether announcements name finished non-idempotent requests." },
    };
}

standins::UpstreamStandinConfig toConfig(const Settings& settings)
{
    return {
        settings.text("listen"),
        settings.text("agent"),
        settings.text("failure-domain"),
        {
            .slots = static_cast<std::uint32_t>(settings.number("slots")),
            .connections = static_cast<std::uint32_t>(settings.number("connections")),
            .milliCores = static_cast<std::uint32_t>(settings.number("cores") * 1000),
            .memoryMb = static_cast<std::uint32_t>(settings.number("memory-mb")),
        },
        settings.text("remembers") == "yes",
    };
}

asio::awaitable<void> leaveOnSignal(asio::io_context& context, standins::UpstreamStandin& upstream)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asTuple);
    co_await upstream.leave();
    context.stop();
}

int runUpstream(const std::vector<std::string>& arguments)
{
    const CommandLine line = readCommandLine(upstreamSettings(), arguments, processEnvironment);
    if (line.helpWanted) {
        std::cout << "standin-upstream: simulates an upstream\n\n"
                  << describeSettings(upstreamSettings());
        return 0;
    }
    asio::io_context context(1);
    standins::UpstreamStandin upstream(context.get_executor(), toConfig(line.settings));
    upstream.start();
    asio::co_spawn(context, leaveOnSignal(context, upstream), asio::detached);
    context.run();
    return 0;
}

}

int main(int count, char** words)
{
    const std::vector<std::string> arguments(words + 1, words + count);
    return guardedMain("standin-upstream", [&arguments]() { return runUpstream(arguments); });
}
