#include "JobSoak.h"
#include "RunHistory.h"
#include "Timeline.h"
#include <algorithm>
#include <boost/asio/use_future.hpp>
#include <random>
#include <thread>
#include <utility>

namespace cowslipdoor::soak {

using namespace standins;
using platform::JobsDeployment;

namespace {

    constexpr std::chrono::milliseconds pauseBetweenJobs { 150 };
    constexpr std::uint32_t cancelledPercent = 10;
    constexpr unsigned maximumTasks = 6;
    constexpr std::size_t longRunningJobs = 3;
    /// 18 long-running tasks of one core each exceed two workers of 8 cores, so all three workers must be used.
    constexpr unsigned tasksOfLongRunningJob = 6;
    /// Larger than the number of any other job.
    constexpr std::size_t firstLongRunningNumber = 900'000;
    constexpr std::size_t firstBurstNumber = 500'000;
    /// How long a client of a burst repeats a request; exceeds the longest faults, so that bursts during an outage are played after it.
    constexpr Duration repeatLimit = std::chrono::seconds(30);
    /// How long a client of a burst keeps its connection; bounds the number of clients of a long soak.
    constexpr Duration connectionTime = std::chrono::seconds(10);
    /// All of them fit into the limits of an entry, and their text takes more than 8 MiB.
    constexpr std::size_t maximumFurtherQueues = 60'000;
    /// Headroom on one worker, in tasks, from which the platform requires that long-running tasks run.
    constexpr std::size_t requiredFreeTasks = 2;
    /// Allowance for late checks: they run every 20 ms, and less often on a busy VM.
    constexpr Duration checkDelayMargin = std::chrono::milliseconds(300);
    /// A draining entry finishes its requests in flight, whose timeout in the queue's rule is 3 s; the entry may also be suspended meanwhile.
    constexpr Duration stopLimit = std::chrono::seconds(20);

    platform::JobsDeploymentConfig configOf(const SoakSize& size, const std::string& folder)
    {
        platform::JobsDeploymentConfig config { .entries = size.entries, .agents = size.agents, .folder = folder };
        config.proxied = true;
        config.zones = soakZones;
        config.evacuationLimit = evacuationBound;
        config.drainLimit = stopLimit;
        return config;
    }

    std::string bodyOf(const BurstJob& job)
    {
        const nlohmann::json payload { { "work-ms", toMilliseconds(job.work) }, { "cpu", job.milliCores }, { "loss", job.loss } };
        nlohmann::json step { { "count", job.tasksPerStep }, { "cpu", job.milliCores }, { "mem-mb", platform::bestEffortMemoryMb }, { "estimate-ms", toMilliseconds(job.work) },
            { "fills", true }, { "checkpointing", true }, { "image", "loss-" + std::to_string(job.loss) } };
        nlohmann::json steps = nlohmann::json::array({ step });
        step["after"] = nlohmann::json::array({ 0 });
        steps.push_back(step);
        return nlohmann::json { { "spec", payload.dump() }, { "phases", steps } }.dump();
    }

}

JobSoak::JobSoak(const SoakSize& size, const std::string& folder)
    : size(size)
    , folder(folder)
    , deployment(configOf(size, folder))
    , injector([this](const ProcessName& process) -> FaultProxy& {
        return process.role == Role::Entry ? this->deployment.storeProxyOfEntry(process.index) : this->deployment.storeProxyOfAgent(process.index);
    })
    , crashes(this->deployment)
{
    this->injector.add(Role::Entry, size.entries, this->deployment, &JobsDeployment::entry, &JobsDeployment::startEntry);
    this->injector.add(Role::Agent, size.agents, this->deployment, &JobsDeployment::agent, &JobsDeployment::startAgent);
}

SoakReport JobSoak::run()
{
    this->submitLongRunningJobs();
    std::thread callers([this]() { this->submitJobs(); });
    const std::vector<Planned<JobFault>> plan = planJobFaults(this->size);
    this->report.faults = plan.size();
    this->runPlan(plan);
    this->recover();
    this->stopping = true;
    callers.join();
    for (std::future<std::optional<SubmittedJob>>& client : this->burstClients) {
        if (const std::optional<SubmittedJob> job = client.get())
            this->accepted.push_back(*job);
    }
    this->observeQuietPeriod();
    this->cancelLongRunningJobs();
    this->checkAtEnd();
    return this->report;
}

void JobSoak::recover()
{
    this->deployment.store().setDown(false);
    this->storeOutageEnd.reset();
    this->deployment.store().loseAnswers(0);
    for (std::size_t worker = 0; worker < this->size.agents; ++worker)
        this->deployment.worker(worker).loseAnswers(0);
    this->crashes.recover();
    this->restoreZones(TimePoint::max());
    this->injector.recover();
}

void JobSoak::submitLongRunningJobs()
{
    for (std::size_t number = 0; number < longRunningJobs; ++number) {
        const SubmittedJob submitted { platform::jobId(firstLongRunningNumber + number), tasksOfLongRunningJob, Cancellation::Acknowledged };
        JobsDeployment::await("a long-running job to be accepted", [this, &submitted, number]() { return this->deployment.submitLongRunning(submitted.job, submitted.tasks, number > 0); });
        this->longRunning.push_back(submitted);
        for (unsigned task = 0; task < submitted.tasks; ++task)
            this->monitor.track(submitted.job + ".0.0." + std::to_string(task), runtime::monotonicNow());
    }
}

void JobSoak::submitJobs()
{
    std::mt19937_64 random(this->size.seed);
    for (std::size_t number = 0; !this->stopping; ++number) {
        SubmittedJob submitted { platform::jobId(number), 1 + static_cast<unsigned>(random() % maximumTasks) };
        bool isAccepted = false;
        while (!isAccepted && !this->stopping) {
            isAccepted = this->deployment.submit(submitted.job, submitted.tasks);
            std::this_thread::sleep_for(pauseBetweenJobs);
        }
        if (!isAccepted)
            return;
        if (random() % 100 < cancelledPercent)
            submitted.cancellation = this->cancel(submitted.job, random() % this->size.entries);
        if (submitted.cancellation == Cancellation::Acknowledged)
            submitted.cancelledAt = runtime::monotonicNow();
        this->accepted.push_back(submitted);
    }
}

std::optional<SubmittedJob> JobSoak::runBurstClient(const BurstJob& planned, std::size_t number) const
{
    std::this_thread::sleep_for(planned.after);
    SubmittedJob submitted { platform::jobId(firstBurstNumber + number), planned.tasksPerStep * 2, planned.cancelledAfter ? Cancellation::Possible : Cancellation::None };
    runtime::asio::io_context context;
    std::unique_ptr<runtime::KeepAliveClient> connection;
    // Repeats a request until it succeeds, over the open connection or to the next entry.
    auto repeat = [this, &submitted, &context, &connection, entry = number](const std::string& method, const std::string& body) mutable {
        for (const TimePoint end = runtime::monotonicNow() + repeatLimit; runtime::monotonicNow() < end;) {
            if (!connection)
                connection = std::make_unique<runtime::KeepAliveClient>(context.get_executor(), this->deployment.callerAddress(entry++ % this->size.entries));
            std::future<runtime::PeerResult> result = runtime::asio::co_spawn(context, connection->call(JobsDeployment::requestOf(method, submitted.job, body)), runtime::asio::use_future);
            context.restart();
            context.run();
            const runtime::PeerResult outcome = result.get();
            const runtime::PeerAnswer* const answer = std::get_if<runtime::PeerAnswer>(&outcome);
            if (answer && answer->status == 200)
                return true;
            connection.reset();
            std::this_thread::sleep_for(pauseBetweenJobs);
        }
        return false;
    };
    if (!repeat("POST", bodyOf(planned)))
        return std::nullopt;
    std::this_thread::sleep_for(planned.cancelledAfter.value_or(Duration {}));
    if (planned.cancelledAfter && repeat("DELETE", "")) {
        submitted.cancellation = Cancellation::Acknowledged;
        submitted.cancelledAt = runtime::monotonicNow();
    }
    for (const TimePoint end = runtime::monotonicNow() + connectionTime; runtime::monotonicNow() < end && !this->stopping;)
        std::this_thread::sleep_for(pauseBetweenJobs);
    return submitted;
}

Cancellation JobSoak::cancel(const std::string& job, std::size_t entry)
{
    const std::pair<unsigned, nlohmann::json> answer = this->deployment.call(entry, "DELETE", job);
    return cancellationOf(answer.first, answer.second);
}

void JobSoak::runPlan(const std::vector<Planned<JobFault>>& plan)
{
    const auto inject = [this](TimePoint now, const auto& alternative) {
        // Load does not postpone the checks that wait for the end of faults.
        using Kind = std::decay_t<decltype(alternative)>;
        if constexpr (!std::is_same_v<Kind, SubmitBurst> && !std::is_same_v<Kind, GrowConfiguration>)
            this->faultInjected = true;
        this->inject(alternative, now);
    };
    const auto tick = [this](TimePoint now) { this->tick(now); };
    runFaultPlan(plan, this->size.length, this->folder + "/story.txt", inject, tick);
}

void JobSoak::tick(TimePoint now)
{
    this->injector.tick(now);
    this->crashes.tick(now);
    if (this->storeOutageEnd && now >= *this->storeOutageEnd) {
        this->deployment.store().setDown(false);
        this->storeOutageEnd.reset();
    }
    this->restoreZones(now);
    this->checkWhileRunning(now);
}

void JobSoak::checkWhileRunning(TimePoint now)
{
    if (this->deployment.overfilled() > 0)
        this->report.add("a worker exceeded its capacity");
    LongRunningTaskObservation observation { .faultActive = this->faultActive() };
    const std::vector<platform::WorkerStandinState> states = this->deployment.workerStates();
    for (std::size_t worker = 0; worker < states.size(); ++worker) {
        const std::string zone = this->deployment.zoneOf(worker);
        observation.running.insert(states[worker].running.begin(), states[worker].running.end());
        observation.headroom = observation.headroom || (states[worker].headroom >= requiredFreeTasks && !this->evacuationMonitor.evacuated(zone));
        this->evacuationMonitor.observe(zone, worker, this->deployment.worker(worker).counts().started, now);
    }
    this->monitor.observe(observation, now);
}

bool JobSoak::faultActive()
{
    std::size_t lost = this->deployment.store().lostAnswers();
    for (std::size_t worker = 0; worker < this->size.agents; ++worker)
        lost += this->deployment.worker(worker).counts().lostAnswers;
    const bool answersWereLost = std::exchange(this->answersLost, lost) != lost;
    return std::exchange(this->faultInjected, false) || answersWereLost || this->storeOutageEnd || !this->crashes.quiet() || !this->injector.quiet();
}

void JobSoak::observeQuietPeriod()
{
    this->faultInjected = true;
    const TimePoint begin = runtime::monotonicNow();
    for (TimePoint now = begin; now - begin < longRunningRestartLimit + longRunningWindow + checkDelayMargin; now = runtime::monotonicNow()) {
        this->tick(now);
        std::this_thread::sleep_for(timelineInterval);
    }
    for (const std::string& line : this->monitor.violations())
        this->report.add(line);
    for (const std::string& line : this->evacuationMonitor.violations())
        this->report.add(line);
}

void JobSoak::cancelLongRunningJobs()
{
    for (const SubmittedJob& submitted : this->longRunning) {
        JobsDeployment::await("a long-running job to be cancelled", [this, &submitted]() { return this->deployment.call(0, "DELETE", submitted.job).first == 200; });
        this->accepted.push_back(submitted);
        this->accepted.back().cancelledAt = runtime::monotonicNow();
    }
}

void JobSoak::checkAtEnd()
{
    for (const SubmittedJob& submitted : this->accepted) {
        try {
            JobsDeployment::await(submitted.job, [this, &submitted]() {
                const std::string state = this->deployment.state(submitted.job);
                return state == "done" || state == "failed" || state == "cancelled";
            });
        } catch (const std::runtime_error&) {
            this->report.add("job " + submitted.job + " was accepted but does not end: " + this->deployment.state(submitted.job));
        }
    }
    this->checkConfiguration();
    const std::map<std::string, std::size_t> done = this->deployment.done();
    std::map<std::string, TimePoint> cancellations;
    for (const SubmittedJob& submitted : this->accepted) {
        this->checkJob(submitted, done);
        if (submitted.cancelledAt)
            cancellations[submitted.job] = *submitted.cancelledAt;
    }
    for (const std::string& line : findRunViolations(this->deployment.runs(), cancellations))
        this->report.add(line);
    for (const std::string& task : this->deployment.completedTwice())
        this->report.add("task " + task + " ran to its end " + std::to_string(done.at(task)) + " times");
    this->checkWhileRunning(runtime::monotonicNow());
    for (const std::string& line : this->injector.unexpectedExits())
        this->report.add(line);
    this->report.checked = this->accepted.size();
}

void JobSoak::checkConfiguration()
{
    if (this->furtherQueues == 0)
        return;
    for (std::size_t entry = 0; entry < this->size.entries; ++entry) {
        try {
            JobsDeployment::await("the newest configuration", [this, entry]() { return this->deployment.askQueue(entry, this->furtherQueues - 1).status == 200; });
        } catch (const std::runtime_error&) {
            this->report.add("entry " + std::to_string(entry) + " does not serve the newest of " + std::to_string(this->furtherQueues) + " queues");
        }
    }
}

void JobSoak::checkJob(const SubmittedJob& submitted, const std::map<std::string, std::size_t>& done)
{
    const std::string state = this->deployment.state(submitted.job);
    const auto ofJob = [&submitted](const std::map<std::string, std::size_t>::value_type& item) { return item.first.starts_with(submitted.job); };
    const std::size_t ended = static_cast<std::size_t>(std::count_if(done.begin(), done.end(), ofJob));
    const std::optional<std::string> violation = violationOf(submitted, state, ended);
    if (violation)
        this->report.add(*violation);
}

void JobSoak::inject(const StoreOutage& fault, TimePoint now)
{
    this->deployment.store().setDown(true);
    this->storeOutageEnd = now + fault.length;
}

void JobSoak::inject(const LoseStoreAnswers& fault, TimePoint)
{
    this->deployment.store().loseAnswers(fault.count);
}

void JobSoak::inject(const DropStoreHistory&, TimePoint)
{
    this->deployment.store().dropHistory();
}

void JobSoak::inject(const LoseWorkerAnswers& fault, TimePoint)
{
    this->deployment.worker(fault.worker).loseAnswers(fault.count);
}

void JobSoak::inject(const CrashWorker& fault, TimePoint now)
{
    this->crashes.inject(fault, now);
}

void JobSoak::inject(const SendForeignHeartbeat& fault, TimePoint)
{
    const platform::ForeignHeartbeat heartbeat { fault.otherId ? "other-writer" : "", fault.unknownService ? "nobody-knows" : "", fault.startOffset };
    (void)this->deployment.worker(fault.agent).sendForeignHeartbeat(heartbeat);
}

void JobSoak::inject(const SilenceConnections& fault, TimePoint)
{
    if (fault.process)
        this->injector.proxy(*fault.process).silenceConnections();
    else
        this->deployment.silenceStoreConnections();
}

void JobSoak::inject(const Evacuate& fault, TimePoint now)
{
    const std::string zone = "zone-" + std::to_string(fault.zone);
    this->deployment.evacuate(zone);
    this->evacuationMonitor.evacuate(zone, now, now + fault.length);
}

void JobSoak::inject(const SubmitBurst& burst, TimePoint)
{
    for (const BurstJob& job : burst.jobs)
        this->burstClients.push_back(std::async(std::launch::async, [this, job, number = this->burstClients.size()]() { return this->runBurstClient(job, number); }));
}

void JobSoak::inject(const GrowConfiguration& fault, TimePoint)
{
    this->furtherQueues = std::min(this->furtherQueues + fault.queues, maximumFurtherQueues);
    this->deployment.configure(++this->configurationVersion, this->furtherQueues);
}

void JobSoak::restoreZones(TimePoint now)
{
    for (const std::string& zone : this->evacuationMonitor.takeEnded(now)) {
        this->deployment.restore(zone);
        this->faultInjected = true;
    }
}

}
