#include "EntryProcess.h"
#include "BurnJson.h"
#include "RulesFile.h"
#include "StatusJson.h"
#include <boost/asio/signal_set.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/runtime/SpawnTask.h>
#include <csignal>
#include <random>

namespace cowslipdoor::entry {

using namespace runtime;

namespace {

    /// A queue of 4,096 small requests takes about half of it.
    constexpr std::uint64_t entryReceiveLimit = std::uint64_t { 64 } * 1024 * 1024;
    constexpr std::uint64_t smallestReceiveLimit = std::uint64_t { 1 } * 1024 * 1024;

    /// An agent sends its first message at once, so few links wait for theirs even when all agents link at the same time.
    constexpr std::uint64_t entryHelloLimit = 256;

    EntryConfig machineConfig(const Settings& settings)
    {
        std::random_device device;
        EntryConfig config;
        config.name = settings.text("name");
        config.incarnation = newEntryIncarnation();
        config.randomSeed = device();
        config.router.failureDomain = settings.text("failure-domain");
        config.maximumQueued = settings.number("queue-limit");
        config.keyWitnesses = static_cast<std::uint32_t>(settings.number("key-witnesses"));
        config.keySettleTime = settings.duration("key-settle");
        config.repeatWindow = settings.duration("repeat-window");
        return config;
    }

    CallerServerConfig callersConfig(const Settings& settings)
    {
        return { settings.text("listen"), settings.text("user-header"), settings.number("connection-limit"), httpLimits(settings) };
    }

}

std::vector<SettingSpec> entrySettings()
{
    const std::vector<SettingSpec> own {
        { "listen", AddressSetting {}, std::nullopt, "Address for callers, behind the platform's balancer." },
        { "link-listen", AddressSetting {}, std::nullopt, "Address for the links of agents." },
        { "rules", TextSetting {}, std::nullopt, "Path of the rules file; SIGHUP reads it again." },
        { "user-header", TextSetting {}, "X-User", "Request header that names the user." },
        { "queue-limit", NumberSetting { 1, 1'000'000 }, "4096", "Maximum number of queued requests." },
        { "connection-limit", NumberSetting { 1, 1'000'000 }, "4096", "Maximum number of connections of callers." },
        receiveLimitSetting(smallestReceiveLimit, entryReceiveLimit),
        helloLimitSetting(entryHelloLimit),
        { "silence-limit", DurationSetting { std::chrono::milliseconds(500), std::chrono::minutes(10) }, "4s", "Shortest time without frames after which a link is closed." },
        { "key-witnesses", NumberSetting { 0, 8 }, "2", "Maximum number of agents that fence a non-idempotent request before its home agent runs it." },
        { "key-settle", DurationSetting { std::chrono::milliseconds(0), std::chrono::minutes(1) }, "2s", "Time that an entry waits for further agents after its first one before it sends non-idempotent requests." },
        { "repeat-window", DurationSetting { std::chrono::seconds(1), std::chrono::hours(1) }, "30s", "Longest time within which a balancer or caller repeats a non-idempotent request." },
        { "drain-grace", DurationSetting { std::chrono::milliseconds(0), std::chrono::minutes(10) }, "3s", "Time for which a draining entry still accepts connections, until the balancer has seen /readyz change." },
    };
    return joinSettings(commonSettings(), joinSettings(httpSettings(), own));
}

EntryProcess::EntryProcess(const Settings& settings)
    : settings(settings)
    , name(settings.text("name"))
    , firstRules(readRulesFile(settings.text("rules")))
    , log(makeLog(settings, this->name))
    , limiter(receiveLimit(settings), this->log, this->metrics)
    , context(1)
    , task(this->context.get_executor(), machineConfig(settings), this->log, this->metrics)
    , callers(this->context.get_executor(), callersConfig(settings), this->task.inbox(), this->log, this->limiter)
    , links(this->context.get_executor(), settings.text("link-listen"), this->task.inbox(), settings.duration("silence-limit"), this->limiter, settings.number(helloLimitName), this->log, this->metrics)
    , admin(this->context.get_executor(), settings.text("admin-listen"), httpLimits(settings), this->limiter)
    , stop(this->context, this->log, { [this]() { return this->drain(); }, [this]() { return this->describeInFlight(); } })
{
    this->addAdminHandlers();
}

int EntryProcess::run()
{
    this->task.start();
    this->links.start();
    this->admin.start();
    spawnTask(this->context.get_executor(), "loading of the rules", [this]() { return this->loadRules(); });
    spawnTask(this->context.get_executor(), "SIGHUP handler", [this]() { return this->reloadOnHangup(); });
    this->stop.start();
    return this->stop.run();
}

void EntryProcess::addAdminHandlers()
{
    this->admin.handle("GET", "/healthz", [](const HttpRequest&) -> asio::awaitable<Response> { co_return plainResponse(200, "text/plain", "ok\n"); });
    this->admin.handle("GET", "/readyz", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const EntryStatus status = co_await this->status();
        co_return plainResponse(status.ready ? 200 : 503, "text/plain", status.ready ? "ready\n" : "not ready\n");
    });
    this->admin.handle("GET", "/status", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const EntryStatus status = co_await this->status();
        co_return plainResponse(200, "application/json", printStatus(status, this->name));
    });
    this->admin.handle("GET", "/rules", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const EntryStatus status = co_await this->status();
        co_return plainResponse(200, "application/json", printRules(status.rules));
    });
    this->admin.handle("GET", "/rules.txt", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const EntryStatus status = co_await this->status();
        co_return plainResponse(200, "text/plain; charset=utf-8", status.rules.text());
    });
    this->admin.handle("GET", "/burn", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const std::vector<BurnSeries> lines = co_await this->burn();
        co_return plainResponse(200, "application/json", printBurn(lines));
    });
    this->admin.handle("GET", "/metrics", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const EntryStatus status = co_await this->status();
        this->metrics.setGauge("cowslipdoor_queued_requests", "Requests that are queued until capacity is free", static_cast<double>(status.queued));
        this->metrics.setGauge("cowslipdoor_pending_requests", "Requests not answered yet", static_cast<double>(status.pending));
        this->metrics.setGauge("cowslipdoor_agents", "Agents with a link", static_cast<double>(status.agents.size()));
        this->metrics.setGauge("cowslipdoor_rules_version", "Version of the rules in force", static_cast<double>(status.rules.version()));
        co_return plainResponse(200, "text/plain; version=0.0.4", this->metrics.expose());
    });
}

asio::awaitable<void> EntryProcess::loadRules()
{
    const EntryInput rulesLoaded(EntryEvent(RulesLoaded { this->firstRules }));
    co_await send(this->task.inbox(), rulesLoaded);
    this->callers.start();
    this->log.record(EventId::ProcessStarted, "callers at " + this->settings.text("listen") + ", agents at " + this->settings.text("link-listen"));
}

asio::awaitable<void> EntryProcess::reloadOnHangup()
{
    asio::signal_set signals(this->context, SIGHUP);
    while (true) {
        co_await signals.async_wait(asTuple);
        try {
            const RuleSet rules = readRulesFile(this->settings.text("rules"));
            const EntryInput rulesLoaded(EntryEvent(RulesLoaded { rules }));
            co_await send(this->task.inbox(), rulesLoaded);
        } catch (const std::exception& error) {
            this->metrics.countEvent(EventId::RulesRefused);
            this->log.record(EventId::RulesRefused, error.what());
        }
    }
}

asio::awaitable<bool> EntryProcess::drain()
{
    const EntryInput stopRequested(EntryEvent(StopRequested {}));
    co_await send(this->task.inbox(), stopRequested);
    co_await pauseFor(this->settings.duration("drain-grace"));
    this->callers.stopAccepting();
    const EntryInput closeIdleCallers(CloseIdleCallers {});
    co_await send(this->task.inbox(), closeIdleCallers);
    const bool inTime = co_await waitUntil([this]() { return this->callers.connections() == 0; }, this->settings.duration("drain-limit"));
    if (inTime)
        this->log.record(EventId::DrainFinished, "no caller is connected");
    co_return inTime;
}

asio::awaitable<std::string> EntryProcess::describeInFlight()
{
    const EntryStatus status = co_await this->status();
    co_return std::to_string(status.pending) + " requests";
}

asio::awaitable<EntryStatus> EntryProcess::status()
{
    return ask<EntryInput, EntryStatusQuery, EntryStatus>(this->task.inbox());
}

asio::awaitable<std::vector<BurnSeries>> EntryProcess::burn()
{
    return ask<EntryInput, BurnQuery, std::vector<BurnSeries>>(this->task.inbox());
}

}
