#include "JobsEntryProcess.h"
#include "BurnJson.h"
#include "StatusJson.h"
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/platform/Readiness.h>
#include <cowslipdoor/platform/StoreAdapter.h>
#include <cowslipdoor/runtime/Clock.h>
#include <cowslipdoor/runtime/Process.h>

namespace cowslipdoor::entry {

using namespace runtime;

namespace {

    /// Time after the store's last answer for which the store counts as available: a feed request waits up to 800 ms for a change, and
    /// a slow store may take as long again to answer.
    constexpr Duration storeContactValidity = std::chrono::milliseconds(1600);

    SchedulerConfig schedulerConfig(const Settings& settings)
    {
        SchedulerConfig config;
        config.lease.holder = settings.text("name");
        config.lease.incarnation = static_cast<std::uint64_t>(newIncarnation());
        config.lease.milliCores = settings.milliCores("cores");
        config.admission.enabled = settings.text("job-admission") == "on";
        return config;
    }

}

std::vector<SettingSpec> jobsEntrySettings()
{
    const std::vector<SettingSpec> own {
        { "listen", AddressSetting {}, std::nullopt, "Address for callers, behind the platform's balancer." },
        { "ready-listen", AddressSetting {}, std::nullopt, "Address for the probe of the platform's balancer." },
        { "store", AddressSetting {}, std::nullopt, "Address of the platform's store." },
        { "cores", CoresSetting { 1'000'000 }, "1", "Processor cores of this VM; among several entries, the one with the most cores leads the scheduling of jobs." },
        { "job-admission", ChoiceSetting { { "on", "off" } }, "on", "Whether the leader holds jobs with best-effort tasks while the capacity does not suffice for all of them." },
        { "connection-limit", NumberSetting { 1, 1'000'000 }, "3000", "Maximum number of connections of callers." },
        { "drain-grace", DurationSetting { std::chrono::milliseconds(0), std::chrono::minutes(10) }, "2500ms", "Time for which a draining entry still accepts connections, until two probes of the balancer have failed." },
    };
    return joinSettings(commonSettings(), own);
}

JobsEntryProcess::JobsEntryProcess(const Settings& settings)
    : settings(settings)
    , name(settings.text("name"))
    , log(makeLog(settings, this->name))
    , context(1)
    , store(platform::makeStorePort(this->context.get_executor(), settings.text("store")))
    , intake(
          this->store, [this]() { return this->storeReachable(); }, this->log, this->metrics)
    , callers(this->context.get_executor(), settings.text("listen"), settings.number("connection-limit"), this->intake)
    , configuration(
          this->store, [this](ConfigurationHandle newer) { this->callers.apply(std::move(newer)); }, [this](bool answered) { this->onStoreContact(answered); }, this->log, this->metrics)
    , scheduler(
          this->context.get_executor(), schedulerConfig(settings), this->store, [this](RowVersion upTo) { this->intake.learned(upTo); }, this->log, this->metrics)
    , readiness(this->context.get_executor(), settings.text("ready-listen"), pageLimits)
    , admin(this->context.get_executor(), settings.text("admin-listen"), pageLimits)
    , stop(this->context, this->log, { [this]() { return this->drain(); }, [this]() { return this->describeInFlight(); } })
{
    this->addAdminHandlers();
}

int JobsEntryProcess::run()
{
    this->readiness.start();
    this->admin.start();
    this->callers.start();
    this->scheduler.start();
    asio::co_spawn(
        this->context, [this]() { return this->configuration.run(); }, asio::detached);
    asio::co_spawn(
        this->context, [this]() { return recordHangups(this->log); }, asio::detached);
    this->stop.start();
    this->log.record(EventId::ProcessStarted, "callers at " + this->settings.text("listen") + ", store at " + this->settings.text("store"));
    this->context.run();
    this->log.record(EventId::ProcessStopped, "exit code " + std::to_string(this->stop.exitCode()));
    return this->stop.exitCode();
}

void JobsEntryProcess::addAdminHandlers()
{
    platform::addReadinessProbe(this->readiness, [this]() { return this->ready(); });
    this->admin.handle("GET", "/healthz", [](const HttpRequest&) -> asio::awaitable<Response> { co_return plainResponse(200, "text/plain", "ok\n"); });
    this->admin.handle("GET", "/status", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const SchedulerStatus status = co_await this->status();
        co_return plainResponse(200, "application/json", printStatus(status));
    });
    this->admin.handle("GET", "/jobs", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const JobList list = co_await this->jobs();
        co_return plainResponse(200, "application/json", printJobs(list));
    });
    this->admin.handle("GET", "/burn", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const std::vector<BurnSeries> lines = co_await this->burn();
        co_return plainResponse(200, "application/json", printBurn(lines));
    });
    this->admin.handle("GET", "/metrics", [this](const HttpRequest&) -> asio::awaitable<Response> {
        const SchedulerStatus status = co_await this->status();
        this->metrics.setGauge("cowslipdoor_leading", "Whether this entry leads the scheduling of jobs", status.leading ? 1 : 0);
        this->metrics.setGauge("cowslipdoor_epoch", "Epoch of the leader", static_cast<double>(status.epoch));
        this->metrics.setGauge("cowslipdoor_known_jobs", "Jobs that the leader knows", static_cast<double>(status.jobs));
        this->metrics.setGauge("cowslipdoor_waiting_jobs", "Jobs with a task to place", static_cast<double>(status.waitingJobs));
        this->metrics.setGauge("cowslipdoor_unmatched_cancellations", "Cancellations known to the leader whose jobs have not arrived", static_cast<double>(status.unmatchedCancellations));
        this->metrics.setGauge("cowslipdoor_knowledge_age_seconds", "How long ago the leader knew all jobs and cancellations", std::chrono::duration<double>(status.knowledgeAge).count());
        this->metrics.setGauge("cowslipdoor_learning_lag_seconds", "How far the leader lags behind the jobs that this entry has stored", std::chrono::duration<double>(this->intake.learningLag()).count());
        this->metrics.setGauge("cowslipdoor_idle_lasting_tasks", "Long-running tasks that no worker has listed for 2 s", static_cast<double>(status.idleLongRunningTasks));
        this->metrics.setGauge("cowslipdoor_held_jobs", "Jobs with best-effort tasks that wait because others need the capacity", static_cast<double>(status.heldJobs));
        this->metrics.setGauge("cowslipdoor_best_effort_room_cores", "Cores that best-effort tasks can use at a useful pace", status.bestEffortMilliCores / 1000);
        co_return plainResponse(200, "text/plain; version=0.0.4", this->metrics.expose());
    });
}

bool JobsEntryProcess::ready() const
{
    return !this->stopping && this->callers.configured() && this->storeReachable();
}

bool JobsEntryProcess::storeReachable() const
{
    return this->storeAnswered && bootTimeNow() < this->storeAnsweredAt + storeContactValidity;
}

void JobsEntryProcess::onStoreContact(bool answered)
{
    this->storeAnswered = answered;
    if (answered)
        this->storeAnsweredAt = bootTimeNow();
}

asio::awaitable<bool> JobsEntryProcess::drain()
{
    this->stopping = true;
    this->log.record(EventId::DrainStarted, std::to_string(this->callers.connections()) + " connections");
    this->callers.beginDrain();
    const SchedulerInput release(SchedulerEvent(ReleaseRequested {}));
    co_await send(this->scheduler.inbox(), release);
    co_await pauseFor(this->settings.duration("drain-grace"));
    this->callers.closeIdle();
    const bool inTime = co_await waitUntil([this]() { return this->callers.connections() == 0; }, this->settings.duration("drain-limit"));
    if (inTime)
        this->log.record(EventId::DrainFinished, "no caller is connected");
    co_return inTime;
}

asio::awaitable<std::string> JobsEntryProcess::describeInFlight()
{
    co_return std::to_string(this->callers.connections()) + " connections";
}

asio::awaitable<SchedulerStatus> JobsEntryProcess::status()
{
    return ask<SchedulerInput, SchedulerStatusQuery, SchedulerStatus>(this->scheduler.inbox());
}

asio::awaitable<JobList> JobsEntryProcess::jobs()
{
    return ask<SchedulerInput, JobListQuery, JobList>(this->scheduler.inbox());
}

asio::awaitable<std::vector<BurnSeries>> JobsEntryProcess::burn()
{
    return ask<SchedulerInput, BurnQuery, std::vector<BurnSeries>>(this->scheduler.inbox());
}

}
