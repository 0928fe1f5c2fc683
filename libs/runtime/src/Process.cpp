#include "cowslipdoor/runtime/Process.h"
#include "cowslipdoor/runtime/Clock.h"
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <random>

namespace cowslipdoor::runtime {

namespace {

    constexpr Duration conditionInterval = std::chrono::milliseconds(10);
    constexpr std::uint64_t largestBody = 7 * 1024 * 1024;

    Duration sinceEpoch()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    }

}

std::vector<SettingSpec> commonSettings()
{
    return {
        { "name", TextSetting {}, std::nullopt, "Name of this process, unique among all processes." },
        { "failure-domain", TextSetting {}, std::nullopt, "Failure domain that the VM is in." },
        { "admin-listen", AddressSetting {}, std::nullopt, "Address for /metrics, /healthz, /readyz and /status." },
        { "log-form", ChoiceSetting { { "text", "json" } }, "text", "Format of the log lines on standard output." },
        { "log-level", ChoiceSetting { { "debug", "info", "warning", "error" } }, "info", "Lowest level of the events that are logged." },
        { "drain-limit", DurationSetting { std::chrono::seconds(1), std::chrono::hours(1) }, "60s", "Longest graceful shutdown; work that is not finished by then is aborted." },
    };
}

Log makeLog(const Settings& settings, const std::string& process)
{
    const LogForm form = settings.text("log-form") == "json" ? LogForm::Json : LogForm::Text;
    return { process, form, eventLevelFromString(settings.text("log-level")) };
}

Incarnation newIncarnation()
{
    return Incarnation { static_cast<std::uint64_t>(sinceEpoch().count()) };
}

Incarnation newEntryIncarnation()
{
    std::random_device device;
    return saltedIncarnation(sinceEpoch(), device());
}

HttpLimits httpLimits(const Settings& settings)
{
    HttpLimits limits;
    limits.headerBytes = settings.number("header-limit");
    limits.bodyBytes = settings.number("body-limit");
    limits.idle = settings.duration("idle-limit");
    limits.headerTimeout = settings.duration("slow-limit");
    limits.bodyTimeout = settings.duration("slow-limit");
    return limits;
}

SettingSpec receiveLimitSetting(std::uint64_t minimum, std::uint64_t bytes)
{
    constexpr std::uint64_t largest = std::uint64_t { 4 } * 1024 * 1024 * 1024;
    return { receiveLimitName, NumberSetting { minimum, largest }, std::to_string(bytes), "Memory for all requests that are received or handled, in bytes." };
}

std::size_t receiveLimit(const Settings& settings)
{
    const std::uint64_t bytes = settings.number(receiveLimitName);
    // A large request may take three quarters, and the buffer of its connection comes beside it.
    if (settings.number("body-limit") + settings.number("header-limit") > bytes / 2)
        throw Error(ErrorKind::BadSetting, std::string(receiveLimitName) + ": must be at least twice body-limit and header-limit together");
    return bytes;
}

SettingSpec helloLimitSetting(std::uint64_t links)
{
    return { helloLimitName, NumberSetting { 1, 1'000'000 }, std::to_string(links), "Maximum number of links that have not sent their first message." };
}

std::vector<SettingSpec> httpSettings()
{
    return {
        { "header-limit", NumberSetting { 1024, 1024 * 1024 }, "16384", "Largest HTTP header, in bytes." },
        { "body-limit", NumberSetting { 0, largestBody }, "1048576", "Largest HTTP body of a request, in bytes." },
        { "idle-limit", DurationSetting { std::chrono::seconds(1), std::chrono::hours(1) }, "60s", "Longest wait of an HTTP connection for its next request." },
        { "slow-limit", DurationSetting { std::chrono::milliseconds(100), std::chrono::hours(1) }, "10s", "Longest time to receive the header of a request, and again for its body." },
    };
}

asio::awaitable<void> recordHangups(const Log& log)
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGHUP);
    while (true) {
        co_await signals.async_wait(asTuple);
        log.record(EventId::SettingsReread, "settings given by flags change only at a restart");
    }
}

asio::awaitable<void> pauseFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

asio::awaitable<bool> waitUntil(std::function<bool()> condition, Duration limit)
{
    const TimePoint end = monotonicNow() + limit;
    while (!condition()) {
        if (monotonicNow() >= end)
            co_return false;
        co_await pauseFor(conditionInterval);
    }
    co_return true;
}

std::vector<SettingSpec> joinSettings(std::vector<SettingSpec> first, const std::vector<SettingSpec>& second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

int guardedMain(const std::string& program, const std::function<int()>& body)
{
    try {
        return body();
    } catch (const Error& error) {
        std::cerr << program << ": " << error.what() << "\n";
        return error.kind() == ErrorKind::BadSetting || error.kind() == ErrorKind::BadRules ? exitBadUsage : exitFailure;
    } catch (const std::exception& error) {
        std::cerr << program << ": " << error.what() << "\n";
        return exitFailure;
    }
}

}
