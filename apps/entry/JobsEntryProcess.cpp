#include "JobsEntryProcess.h"
#include "BurnJson.h"
#include "StatusJson.h"
#include <algorithm>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/platform/JobJson.h>
#include <cowslipdoor/platform/Readiness.h>
#include <cowslipdoor/platform/StoreAdapter.h>
#include <cowslipdoor/runtime/Clock.h>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/runtime/SpawnTask.h>
#include <cowslipdoor/scheduling/CheckedJson.h>
#include <cowslipdoor/scheduling/Limits.h>

namespace cowslipdoor::entry {

using namespace runtime;

namespace {

    /// Time after the store's last answer for which the store counts as available: a feed request waits up to 800 ms for a change, and
    /// a slow store may take as long again to answer.
    constexpr Duration storeContactValidity = std::chrono::milliseconds(1600);

    /// Minimum limit on evacuations beyond the time that a start takes: the wait of the feed, and two slow answers.
    constexpr Duration minimumEvacuationSlack = std::chrono::milliseconds(1000);

    Duration operatorFeedWait(const Settings& settings)
    {
        return settings.duration("evacuation-limit") > Duration {} ? orderFeedWait : TableFeedConfig {}.wait;
    }

    EvacuationConfig evacuationConfig(const Settings& settings)
    {
        EvacuationConfig config;
        config.limit = settings.duration("evacuation-limit");
        const Duration least = config.startTime + minimumEvacuationSlack;
        if (config.limit > Duration {} && config.limit < least)
            throw Error(ErrorKind::BadSetting, "evacuation-limit: must be 0ms or at least " + std::to_string(toMilliseconds(least)) + " ms, as a start takes up to " + std::to_string(toMilliseconds(config.startTime)) + " ms");
        return config;
    }

    /// Beside it the smallest VM of entries (160 MB) holds the process and 3,000 connections.
    constexpr std::uint64_t entryReceiveLimit = std::uint64_t { 32 } * 1024 * 1024;
    /// Three quarters hold the largest body that the configuration permits by default, 262,144 bytes.
    constexpr std::uint64_t smallestReceiveLimit = std::uint64_t { 1 } * 1024 * 1024;

    /// Limits of requests to the admin address; the largest is a job whose placement is explained, which fits in a row.
    constexpr HttpLimits adminLimits { .bodyBytes = maximumRowBytes };

    SchedulerConfig schedulerConfig(const Settings& settings)
    {
        SchedulerConfig config;
        config.lease.holder = settings.text("name");
        config.lease.incarnation = static_cast<std::uint64_t>(newIncarnation());
        config.lease.milliCores = settings.milliCores("cores");
        config.evacuation = evacuationConfig(settings);
        config.placement.waits = settings.text("place-wait") == "on";
        // A deployment without the figure passes zero.
        config.placement.remoteFactor = std::max(1.0, settings.decimal("remote-factor"));
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
        { "remote-factor", DecimalSetting { 1, 100, true }, "1", "How many times as long a task takes off the rack of its data, or in a colocated step on several racks; with 1 racks do not matter." },
        { "place-wait", ChoiceSetting { { "on", "off" } }, "on", "Whether finite tasks wait for a better place as long as that pays; if not, best-effort tasks go to any worker at half of full pace." },
        { "connection-limit", NumberSetting { 1, 1'000'000 }, "3000", "Maximum number of connections of callers." },
        { "evacuation-limit", DurationSetting { std::chrono::milliseconds(0), std::chrono::hours(1) }, "0ms", "Time after which no task may start in a failure domain that the operator evacuates; 0ms if there is no such bound." },
        receiveLimitSetting(smallestReceiveLimit, entryReceiveLimit),
        { "drain-grace", DurationSetting { std::chrono::milliseconds(0), std::chrono::minutes(10) }, "2500ms", "Time for which a draining entry still accepts connections, until two probes of the balancer have failed." },
    };
    return joinSettings(commonSettings(), own);
}

JobsEntryProcess::JobsEntryProcess(const Settings& settings)
    : settings(settings)
    , name(settings.text("name"))
    , log(makeLog(settings, this->name))
    , limiter(settings.number(receiveLimitName), this->log, this->metrics)
    , context(1)
    , store(guardedStorePort(platform::makeStorePort(this->context.get_executor(), settings.text("store")), this->log, this->metrics))
    , intake(
          this->store, [this]() { return this->storeReachable(); }, this->log, this->metrics)
    , callers(this->context.get_executor(), settings.text("listen"), settings.number("connection-limit"), this->limiter, this->intake)
    , configuration(
          this->operatorStore(), operatorFeedWait(settings), this->configurationHandlers(), this->log, this->metrics)
    , scheduler(
          this->context.get_executor(), schedulerConfig(settings), this->store, [this](RowVersion upTo) { this->intake.learned(upTo); }, this->log, this->metrics)
    , readiness(this->context.get_executor(), settings.text("ready-listen"), pageLimits, this->limiter)
    , admin(this->context.get_executor(), settings.text("admin-listen"), adminLimits, this->limiter)
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
    spawnTask(this->context.get_executor(), "ConfigurationFeed", [this]() { return this->configuration.run(); });
    spawnTask(this->context.get_executor(), "SIGHUP handler", [this]() { return recordHangups(this->log); });
    this->stop.start();
    this->log.record(EventId::ProcessStarted, "callers at " + this->settings.text("listen") + ", store at " + this->settings.text("store"));
    return this->stop.run();
}

StorePort JobsEntryProcess::operatorStore()
{
    // A large configuration takes longer to arrive than the contact with the store stays valid.
    const platform::StoreReading reading = platform::operatorTableReading([this]() { this->onStoreContact(true); });
    return guardedStorePort(platform::makeStorePort(this->context.get_executor(), this->settings.text("store"), reading), this->log, this->metrics);
}

platform::ConfigurationHandlers JobsEntryProcess::configurationHandlers()
{
    return {
        [this](ConfigurationState newer) { this->callers.apply(std::move(newer)); },
        [this](EvacuationsFollowed followed) { return this->postEvacuations(std::move(followed)); },
        [this](bool answered) { this->onStoreContact(answered); },
    };
}

asio::awaitable<void> JobsEntryProcess::postEvacuations(EvacuationsFollowed followed)
{
    const SchedulerInput input(SchedulerEvent(std::move(followed)));
    co_await send(this->scheduler.inbox(), input);
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
    this->admin.handle("POST", "/jobs/explain", [this](const HttpRequest& request) { return this->explain(request); });
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
        this->metrics.setGauge("cowslipdoor_tasks_awaiting_place", "Tasks that wait for a better place than the available one", static_cast<double>(status.tasksAwaitingPlace));
        this->metrics.setGauge("cowslipdoor_idle_lasting_tasks", "Long-running tasks that no worker has listed for 2 s", static_cast<double>(status.idleLongRunningTasks));
        if (status.evacuationKnowledgeAge)
            this->metrics.setGauge("cowslipdoor_evacuation_knowledge_age_seconds", "How long ago this entry knew all evacuations", std::chrono::duration<double>(*status.evacuationKnowledgeAge).count());
        std::size_t runsLeft = 0;
        for (const EvacuatedDomain& domain : status.evacuatedDomains)
            runsLeft += domain.runs;
        this->metrics.setGauge("cowslipdoor_evacuated_domains", "Failure domains that the operator evacuates", static_cast<double>(status.evacuatedDomains.size()));
        this->metrics.setGauge("cowslipdoor_evacuated_domain_runs", "Runs in evacuated failure domains, as known to the leader", static_cast<double>(runsLeft));
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

asio::awaitable<Response> JobsEntryProcess::explain(const HttpRequest& request)
{
    JobSpecHandle spec;
    std::string fault;
    try {
        spec = this->jobToExplain(request.body.view());
    } catch (const Error& error) {
        fault = error.what();
    }
    if (!spec)
        co_return plainResponse(400, "text/plain", fault + "\n");
    const Mailbox<PlacementExplanation> reply = makeMailbox<PlacementExplanation>(co_await asio::this_coro::executor, 1);
    const SchedulerInput query(ExplainQuery { spec, reply });
    co_await send(this->scheduler.inbox(), query);
    const std::tuple<error_code, PlacementExplanation> received = co_await reply->async_receive(asTuple);
    co_return plainResponse(200, "application/json", printExplanation(std::get<1>(received)));
}

JobSpecHandle JobsEntryProcess::jobToExplain(std::string_view body) const
{
    const CheckedJson json = CheckedJson::parse(body);
    const std::string queue = json.at("queue").text();
    const std::string job = json.at("job").text();
    const ConfigurationHandle& configuration = this->callers.inForce();
    if (!configuration)
        throw Error(ErrorKind::BadRequest, "this entry has no configuration yet");
    const std::vector<QueueRule>& queues = configuration->queues.all();
    const std::vector<QueueRule>::const_iterator it = std::find_if(queues.begin(), queues.end(), [&queue](const QueueRule& rule) { return rule.name == queue; });
    if (it == queues.end())
        throw Error(ErrorKind::BadRequest, "there is no queue '" + queue + "'");
    return std::make_shared<const JobSpec>(platform::parseJob({ "explained" }, *it, job));
}

asio::awaitable<std::vector<BurnSeries>> JobsEntryProcess::burn()
{
    return ask<SchedulerInput, BurnQuery, std::vector<BurnSeries>>(this->scheduler.inbox());
}

}
