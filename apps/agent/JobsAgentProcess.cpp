#include "JobsAgentProcess.h"
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/platform/StoreAdapter.h>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/runtime/SpawnTask.h>
#include <nlohmann/json.hpp>

namespace cowslipdoor::agent {

using namespace runtime;

namespace {

    /// Three quarters hold two of the largest heartbeats, 4 MiB each.
    constexpr std::uint64_t agentReceiveLimit = std::uint64_t { 12 } * 1024 * 1024;
    /// Three quarters hold the largest heartbeat.
    constexpr std::uint64_t smallestReceiveLimit = std::uint64_t { 6 } * 1024 * 1024;

    /// One entry leads, and it sends its first message at once.
    constexpr std::uint64_t agentHelloLimit = 32;

    WorkerMachineConfig machineConfig(const Settings& settings)
    {
        WorkerMachineConfig config;
        config.agent = settings.text("name");
        config.failureDomain = settings.text("failure-domain");
        if (config.lease > settings.duration("lease-limit"))
            throw Error(ErrorKind::BadSetting, "lease-limit: must be at least " + std::to_string(toMilliseconds(config.lease)) + " ms, the lease that an agent needs to restart");
        return config;
    }

}

std::vector<SettingSpec> jobsAgentSettings()
{
    const std::vector<SettingSpec> own {
        { "worker", AddressSetting {}, std::nullopt, "Address of the worker on this VM." },
        { "registry-listen", AddressSetting {}, std::nullopt, "Address for the heartbeats of the worker." },
        { "link-listen", AddressSetting {}, std::nullopt, "Address for the link of the leader." },
        { "store", AddressSetting {}, std::nullopt, "Address of the platform's store." },
        receiveLimitSetting(smallestReceiveLimit, agentReceiveLimit),
        helloLimitSetting(agentHelloLimit),
        { "lease-limit", DurationSetting { std::chrono::milliseconds(100), std::chrono::hours(1) }, "6s", "Longest lease that the worker grants." },
    };
    return joinSettings(commonSettings(), own);
}

JobsAgentProcess::JobsAgentProcess(const Settings& settings)
    : settings(settings)
    , name(settings.text("name"))
    , log(makeLog(settings, this->name))
    , limiter(settings.number(receiveLimitName), this->log, this->metrics)
    , context(1)
    , store(guardedStorePort(platform::makeStorePort(this->context.get_executor(), settings.text("store")), this->log, this->metrics))
    , task(this->context.get_executor(), machineConfig(settings), platform::makeWorkerPort(this->context.get_executor(), settings.text("worker"), this->log, this->metrics), this->log, this->metrics)
    , leaders(this->context.get_executor(), settings.text("link-listen"), this->task.inbox(), this->limiter, settings.number(helloLimitName), this->log, this->metrics)
    , registry(this->context.get_executor(), settings.text("registry-listen"), this->task.inbox(), this->limiter, this->log, this->metrics)
    , admin(this->context.get_executor(), settings.text("admin-listen"), pageLimits, this->limiter)
    , stop(this->context, this->log, { []() -> asio::awaitable<bool> { co_return true; }, []() -> asio::awaitable<std::string> { co_return "nothing"; } })
{
    this->addAdminHandlers();
}

int JobsAgentProcess::run()
{
    this->task.start();
    this->leaders.start();
    this->registry.start();
    this->admin.start();
    spawnTask(this->context.get_executor(), "registration", [this]() { return registerAgent(this->store, this->name, this->settings.text("link-listen"), this->task.inbox(), this->log); });
    spawnTask(this->context.get_executor(), "SIGHUP handler", [this]() { return recordHangups(this->log); });
    this->stop.start();
    this->log.record(EventId::ProcessStarted, "worker at " + this->settings.text("worker") + ", links at " + this->settings.text("link-listen"));
    return this->stop.run();
}

void JobsAgentProcess::addAdminHandlers()
{
    this->admin.handle("GET", "/healthz", [](const HttpRequest&) -> asio::awaitable<Response> { co_return plainResponse(200, "text/plain", "ok\n"); });
    this->admin.handle("GET", "/status", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const WorkerTaskStatus status = co_await this->status();
        const nlohmann::ordered_json page { { "worker", status.worker ? status.worker->identity.id : "" }, { "settled", status.settled }, { "pace_caution", status.spareSlackShare } };
        co_return plainResponse(200, "application/json", page.dump(2) + "\n");
    });
    this->admin.handle("GET", "/metrics", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const WorkerTaskStatus status = co_await this->status();
        this->metrics.setGauge("cowslipdoor_worker_settled", "Whether all runs on the worker are known", status.settled ? 1 : 0);
        this->metrics.setGauge("cowslipdoor_pace_caution", "Share of the spare slack of serving runs that best-effort runs may take", status.spareSlackShare);
        co_return plainResponse(200, "text/plain; version=0.0.4", this->metrics.expose());
    });
}

asio::awaitable<WorkerTaskStatus> JobsAgentProcess::status()
{
    return ask<WorkerInput, WorkerStatusQuery, WorkerTaskStatus>(this->task.inbox());
}

}
