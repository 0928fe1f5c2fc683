#include "AgentProcess.h"
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/runtime/AnnouncementJson.h>
#include <cowslipdoor/runtime/Process.h>
#include <nlohmann/json.hpp>

namespace cowslipdoor::agent {

using namespace runtime;

namespace {

    AgentConfig machineConfig(const Settings& settings, Incarnation incarnation)
    {
        AgentConfig config;
        config.name = settings.text("name");
        config.failureDomain = settings.text("failure-domain");
        config.incarnation = incarnation;
        config.ledger.repeatWindow = settings.duration("repeat-window");
        config.announceInterval = settings.duration("announce-interval");
        return config;
    }

    UpstreamCallerConfig callerConfig(const Settings& settings, Incarnation incarnation)
    {
        UpstreamCallerConfig config;
        config.incarnation = incarnation;
        config.connectTimeout = settings.duration("connect-limit");
        config.bodyBytes = settings.number("answer-limit");
        return config;
    }

    EntryDialerConfig entryDialerConfig(const Settings& settings)
    {
        return { settings.text("name"), parseAddressList(settings.text("entries")), settings.number("links"), settings.duration("silence-limit") };
    }

    nlohmann::ordered_json printCapacity(const Capacity& capacity)
    {
        return { { "slots", capacity.slots }, { "connections", capacity.connections }, { "milli_cores", capacity.milliCores }, { "memory_mb", capacity.memoryMb } };
    }

    std::string printStatus(const AgentStatus& status, const std::string& name)
    {
        const nlohmann::ordered_json json {
            { "agent", name },
            { "ready", status.load.ready },
            { "draining", status.load.draining },
            { "ledger_complete", status.load.ledgerComplete },
            { "total", printCapacity(status.load.total) },
            { "free", printCapacity(status.load.free) },
            { "active_calls", status.activeCalls },
            { "held", status.allocationCount },
            { "ledger_records", status.ledgerRecords },
            { "links", status.links },
            { "rules_version", status.rulesVersion },
        };
        return json.dump(2) + "\n";
    }

}

AgentProcess::AgentProcess(const Settings& settings)
    : settings(settings)
    , name(settings.text("name"))
    , log(makeLog(settings, this->name))
    , limiter(receiveLimit(settings), this->log, this->metrics)
    , context(1)
    , incarnation(newIncarnation())
    , task(this->context.get_executor(), machineConfig(settings, this->incarnation), callerConfig(settings, this->incarnation), this->log, this->metrics)
    , entryDialer(this->context.get_executor(), entryDialerConfig(settings), this->task.inbox(), this->log, this->metrics)
    , admin(this->context.get_executor(), settings.text("admin-listen"), httpLimits(settings), this->limiter)
    , stop(this->context, this->log, { [this]() { return this->drain(); }, [this]() { return this->describeInFlight(); } })
{
    this->addAdminHandlers();
}

int AgentProcess::run()
{
    this->task.start();
    this->entryDialer.start();
    this->admin.start();
    this->stop.start();
    this->log.record(EventId::ProcessStarted, "announcements at " + this->settings.text("admin-listen"));
    return this->stop.run();
}

void AgentProcess::addAdminHandlers()
{
    this->admin.handle("POST", "/announce", [this](const HttpRequest& request) { return this->announce(request); });
    this->admin.handle("GET", "/healthz", [](const HttpRequest&) -> asio::awaitable<Response> { co_return plainResponse(200, "text/plain", "ok\n"); });
    this->admin.handle("GET", "/readyz", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const AgentStatus status = co_await this->status();
        const bool ready = status.load.ready && !status.load.draining;
        co_return plainResponse(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    });
    this->admin.handle("GET", "/status", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const AgentStatus status = co_await this->status();
        co_return plainResponse(200, "application/json", printStatus(status, this->name));
    });
    this->admin.handle("GET", "/metrics", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const AgentStatus status = co_await this->status();
        this->metrics.setGauge("cowslipdoor_free_slots", "Free slots of the VM", status.load.free.slots);
        this->metrics.setGauge("cowslipdoor_active_calls", "Calls to the upstream in progress", static_cast<double>(status.activeCalls));
        co_return plainResponse(200, "text/plain; version=0.0.4", this->metrics.expose());
    });
}

asio::awaitable<bool> AgentProcess::drain()
{
    const AgentInput stopRequested(AgentEvent(StopRequested {}));
    co_await send(this->task.inbox(), stopRequested);
    bool finished = false;
    const Mailbox<Drained> drained = this->task.drained();
    const bool inTime = co_await waitUntil(
        [&finished, &drained]() {
            finished = finished || drained->try_receive([](error_code, const Drained&) {});
            return finished;
        },
        this->settings.duration("drain-limit"));
    if (!inTime)
        co_return false;
    co_await pauseFor(this->settings.duration("drain-linger"));
    this->entryDialer.stop();
    const AgentInput closeLinks(CloseLinks {});
    co_await send(this->task.inbox(), closeLinks);
    const Duration flushLimit = std::chrono::seconds(5);
    co_return co_await waitUntil([this]() { return this->entryDialer.openLinks() == 0; }, flushLimit);
}

asio::awaitable<std::string> AgentProcess::describeInFlight()
{
    const AgentStatus status = co_await this->status();
    // Messages that wait on an open link, such as answers, are lost too.
    co_return std::to_string(status.activeCalls) + " calls and " + std::to_string(this->entryDialer.openLinks()) + " links";
}

asio::awaitable<Response> AgentProcess::announce(const HttpRequest& request)
{
    try {
        const Announcement announcement = parseAnnouncement(request.body.view());
        const Mailbox<AnnouncementReply> reply = makeMailbox<AnnouncementReply>(this->context.get_executor(), 1);
        const AgentInput announcementReceived(AnnouncementReceived { announcement, reply });
        co_await send(this->task.inbox(), announcementReceived);
        const std::tuple<error_code, AnnouncementReply> received = co_await reply->async_receive(asTuple);
        co_return plainResponse(200, "application/json", printReply(std::get<1>(received)));
    } catch (const Error& error) {
        this->log.record(EventId::AnnouncementRefused, error.what());
        co_return errorResponse(error.kind(), error.what(), "");
    }
}

asio::awaitable<AgentStatus> AgentProcess::status()
{
    return ask<AgentInput, AgentStatusQuery, AgentStatus>(this->task.inbox());
}

}
