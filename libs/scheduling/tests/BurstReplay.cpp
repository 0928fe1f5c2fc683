#include "BurstReplay.h"
#include <algorithm>
#include <cowslipdoor/scheduling/TableEvents.h>
#include <random>
#include <utility>

namespace cowslipdoor::tests {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration tickTime = milliseconds(10);
    constexpr Duration writeTime = milliseconds(10);
    constexpr Duration reportInterval = milliseconds(500);
    constexpr std::uint32_t workerCores = 16'000;
    constexpr std::uint32_t servingCores = 6'000;
    constexpr std::size_t servingImages = 4;
    const std::string bestEffortImage = "bulk";
    /// Slack that each serving image would lose to the best-effort image if that used a whole worker.
    constexpr double losses[servingImages] = { 0.8, 2, 5, 9 };

    std::string labelOf(std::size_t worker)
    {
        return "serving-" + std::to_string(worker % servingImages);
    }

    double toSeconds(Duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

}

double ReplayOutcome::worth() const
{
    if (this->inTime())
        return 1;
    return this->latency > Duration {} && this->latency <= this->objective * 3 ? 0.15 : 0;
}

BurstReplay::BurstReplay(std::size_t workerCount, AdmissionConfig admission)
    : nodes(workerCount)
{
    this->config.lease.holder = "me";
    this->config.lease.incarnation = 1;
    this->config.admission = admission;
    for (std::size_t index = 0; index < workerCount; ++index) {
        this->nodes[index].agent = "agent-" + std::string(index < 10 ? "0" : "") + std::to_string(index);
        this->nodes[index].link = LinkId { index + 1 };
        this->nodes[index].idleSlack = 2.2 + 0.1 * static_cast<double>(index * 7 % 7);
    }
}

void BurstReplay::lead()
{
    this->machine = std::make_unique<Scheduler>(this->config);
    this->write.reset();
    this->messages.clear();
    this->step(LeaderRowRead { std::nullopt, 0 });
    this->step(CommitFinished { Applied { ++this->version } });
    this->write.reset();
    this->step(this->tablesRead());
    for (Node& node : this->nodes) {
        if (!node.up)
            continue;
        this->step(AgentStored { { node.agent, { node.agent, 1 } } });
        this->step(AgentLinked { node.agent, node.link });
        const std::size_t index = static_cast<std::size_t>(&node - this->nodes.data());
        const WorkerInfo info { { node.agent, 1 }, "service", { workerCores, 64'000 - this->reservedMemoryMb, 0 }, { labelOf(index) }, false, {} };
        std::vector<RunStatus> running;
        for (const std::map<RunId, Run>::value_type& item : node.runs)
            running.push_back({ item.first, "", 0, 0, fullPace });
        this->step(AgentReportReceived { node.agent, node.link, WorkerSnapshot { node.agent, 1, info, true, running, {}, {}, ~std::uint64_t(0) } });
        this->step(AgentReportReceived { node.agent, node.link, Ping { 1 } });
    }
}

SchedulerEvent BurstReplay::tablesRead() const
{
    std::vector<Row> all;
    for (const std::map<RowKey, Row>::value_type& item : this->rows)
        all.push_back(item.second);
    return decodeTables(this->machine->lease().epoch(), all, toMilliseconds(this->now.time_since_epoch()), this->version, this->now).read;
}

void BurstReplay::play(const std::vector<ReplayJob>& load)
{
    this->lead();
    for (std::size_t image = 0; image < servingImages; ++image) {
        StepSpec serving;
        serving.count = static_cast<std::uint32_t>(this->nodes.size() / servingImages);
        serving.demand = { servingCores, 1000, 0 };
        serving.longRunning = true;
        serving.image = labelOf(image);
        serving.requiredLabel = labelOf(image);
        serving.maximumPerWorker = 1;
        serving.target = milliseconds(100);
        JobSpec spec { .id = { "zz-" + labelOf(image) }, .queue = "serving", .service = "service", .payload = "", .steps = { serving } };
        this->rows[jobRowKey(spec.id)] = { jobRowKey(spec.id), print(spec), ++this->version, false };
        this->step(JobStored { std::make_shared<const JobSpec>(spec), 0, this->version });
    }
    for (const TimePoint warm = this->now + seconds(3); this->now < warm;)
        this->tick();
    const TimePoint begin = this->now;
    std::size_t next = 0;
    while (this->now < begin + seconds(120)) {
        for (; next < load.size() && begin + load[next].at <= this->now; ++next) {
            JobSpec spec = *load[next].spec;
            spec.acceptedAtMs = toMilliseconds(this->now.time_since_epoch());
            const JobSpecHandle handle = std::make_shared<const JobSpec>(spec);
            this->jobs[spec.id] = { load[next].at, handle, load[next].timeFactor };
            this->arrivals[spec.id] = this->now;
            this->served[spec.id].objective = std::chrono::duration_cast<Duration>(spec.longestChain() * spec.stretch) + spec.dueSlack;
            this->rows[jobRowKey(spec.id)] = { jobRowKey(spec.id), print(spec), ++this->version, false };
            this->step(JobStored { handle, spec.acceptedAtMs, this->version });
        }
        while (!this->losses.empty() && begin + this->losses.begin()->first <= this->now) {
            Node& lost = this->nodes[this->losses.begin()->second];
            lost.up = false;
            lost.runs.clear();
            this->step(AgentUnlinked { lost.agent, lost.link });
            this->losses.erase(this->losses.begin());
        }
        if (!this->takeOvers.empty() && begin + *this->takeOvers.begin() <= this->now) {
            this->takeOvers.erase(this->takeOvers.begin());
            this->lead();
        }
        this->tick();
        this->observeJobs();
        const bool ended = std::all_of(this->served.begin(), this->served.end(), [](const std::map<JobId, ReplayOutcome>::value_type& item) { return item.second.latency > Duration {}; });
        if (next == load.size() && ended)
            return;
    }
}

void BurstReplay::step(const SchedulerEvent& event)
{
    for (const SchedulerEffect& effect : this->machine->step(event, this->now))
        this->carryOut(effect);
}

void BurstReplay::carryOut(const SchedulerEffect& effect)
{
    const SubmitCommit* const commit = std::get_if<SubmitCommit>(&effect);
    const SendToAgent* const sent = std::get_if<SendToAgent>(&effect);
    const RecordEvent* const record = std::get_if<RecordEvent>(&effect);
    if (commit)
        this->write = { this->now + writeTime, commit->transaction };
    if (record)
        ++this->events[record->event];
    if (record && record->event == EventId::RunAssigned)
        this->assigned.push_back(std::to_string(toMilliseconds(this->now.time_since_epoch())) + " " + record->detail.substr(0, record->detail.find(';')));
    if (!sent)
        return;
    for (const Node& node : this->nodes) {
        if (node.link == sent->link && node.up)
            this->messages.emplace_back(node.agent, sent->message);
    }
}

void BurstReplay::receive(Node& node, const LeaderMessage& message)
{
    if (const DescribeRun* const describe = std::get_if<DescribeRun>(&message))
        node.control.describe(describe->run, describe->traits);
    const StopRun* const stop = std::get_if<StopRun>(&message);
    if (stop && node.runs.contains(stop->run))
        this->end(node, stop->run, RunEndKind::Stopped, std::to_string(node.runs[stop->run].done));
    const StartRun* const start = std::get_if<StartRun>(&message);
    if (!start)
        return;
    const TaskId& task = start->run.task;
    const std::map<JobId, ReplayJob>::const_iterator job = this->jobs.find(task.job);
    const TrackedJob& tracked = *this->machine->jobs().find(task.job);
    // One task of seven takes a fifth longer.
    const double noise = 0.9 + 0.05 * static_cast<double>((task.index * 5 + task.step * 3) % 7);
    node.runs[start->run] = { tracked.spec->steps[task.step], start->checkpoint.empty() ? 0 : std::stod(start->checkpoint), 1, noise * (job == this->jobs.end() ? 1 : job->second.timeFactor) };
    node.control.describe(start->run, start->traits);
    this->setPaces(node, node.control.started(start->run));
}

void BurstReplay::setPaces(Node& node, const std::vector<PaceOrder>& orders)
{
    for (const PaceOrder& order : orders) {
        if (node.runs.contains(order.run))
            node.runs[order.run].pace = order.percent / 100.0;
    }
}

void BurstReplay::tick()
{
    this->now += tickTime;
    if (this->write && this->write->first <= this->now) {
        const Transaction transaction = this->write->second;
        this->write.reset();
        ++this->version;
        for (const RowWrite& row : transaction.writes)
            this->rows[row.key] = { row.key, row.value, this->version, false };
        for (const RowKey& removal : transaction.removals)
            this->rows.erase(removal);
        this->step(CommitFinished { Applied { this->version } });
    }
    for (const std::pair<std::string, LeaderMessage>& message : std::exchange(this->messages, {})) {
        for (Node& node : this->nodes) {
            if (node.agent == message.first && node.up)
                this->receive(node, message.second);
        }
    }
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        if (!this->nodes[index].up)
            continue;
        this->runTasks(this->nodes[index]);
        if ((toMilliseconds(this->now.time_since_epoch()) + static_cast<std::int64_t>(index) * 50) % toMilliseconds(reportInterval) == 0)
            this->report(this->nodes[index]);
    }
    this->step(JobsFollowed { this->machine->lease().epoch(), this->version, this->now });
    this->step(TimePassed {});
}

void BurstReplay::runTasks(Node& node)
{
    double wanted = 0;
    for (const std::map<RunId, Run>::value_type& item : node.runs)
        wanted += item.second.step.bestEffort ? item.second.pace * item.second.step.demand.milliCores : 0;
    const double share = std::min(1.0, (workerCores - 0.6 * servingCores) / std::max(1.0, wanted));
    std::vector<RunId> done;
    for (std::map<RunId, Run>::value_type& item : node.runs) {
        Run& run = item.second;
        if (run.step.longRunning)
            continue;
        run.done += toSeconds(tickTime) * run.pace * share / (toSeconds(run.step.estimate) * run.timeFactor);
        if (run.done >= 1)
            done.push_back(item.first);
    }
    for (const RunId& run : done)
        this->end(node, run, RunEndKind::Done, "");
}

void BurstReplay::end(Node& node, const RunId& run, RunEndKind kind, const std::string& checkpoint)
{
    node.runs.erase(run);
    node.control.forget(run);
    this->step(AgentReportReceived { node.agent, node.link, RunsEnded { { node.agent, 1 }, { { ++node.ends, run, kind, checkpoint } } } });
}

double BurstReplay::slackOf(const Node& node) const
{
    const std::size_t image = static_cast<std::size_t>(&node - this->nodes.data()) % servingImages;
    double slack = node.idleSlack;
    for (const std::map<RunId, Run>::value_type& item : node.runs)
        slack -= item.second.step.bestEffort ? tests::losses[image] * item.second.pace * item.second.step.demand.milliCores / workerCores : 0;
    return std::max(0.1, slack);
}

void BurstReplay::report(Node& node)
{
    std::vector<RunStatus> statuses;
    for (const std::map<RunId, Run>::value_type& item : node.runs) {
        const Run& run = item.second;
        RunStatus status { item.first, "", run.step.longRunning ? 100U : static_cast<std::uint32_t>(run.done * 100), 0, fullPace };
        status.measurement = run.step.longRunning ? static_cast<std::uint32_t>(100 / this->slackOf(node)) : static_cast<std::uint32_t>(run.pace * run.step.demand.milliCores);
        statuses.push_back(status);
    }
    this->setPaces(node, node.control.update(statuses, this->now));
    for (RunStatus& status : statuses)
        status.pace = node.control.paceOf(status.run);
    this->step(AgentReportReceived { node.agent, node.link, Ping { toMilliseconds(this->now.time_since_epoch()) } });
    this->step(AgentReportReceived { node.agent, node.link, RunProgress { { node.agent, 1 }, statuses } });
}

void BurstReplay::observeJobs()
{
    std::map<JobId, std::size_t> running;
    for (const Node& node : this->nodes) {
        for (const std::map<RunId, Run>::value_type& item : node.runs)
            ++running[item.first.task.job];
    }
    for (std::map<JobId, ReplayOutcome>::value_type& item : this->served) {
        ReplayOutcome& outcome = item.second;
        const TrackedJob* const job = this->machine->jobs().find(item.first);
        if (outcome.latency > Duration {} || !job)
            continue;
        if (isTerminal(job->state)) {
            outcome.latency = this->now - this->arrivals[item.first];
            continue;
        }
        if (running[item.first] >= 2 && outcome.beganAfter == Duration {})
            outcome.beganAfter = this->now - this->arrivals[item.first];
        TimePoint& since = this->idleSince.try_emplace(item.first, this->arrivals[item.first]).first->second;
        since = running[item.first] > 0 ? this->now : since;
        outcome.idle = std::max(outcome.idle, this->now - since);
    }
}

double BurstReplay::inTimeShare(const std::string& prefix) const
{
    double all = 0;
    double inTime = 0;
    for (const std::map<JobId, ReplayOutcome>::value_type& item : this->served) {
        all += item.first.text.starts_with(prefix) ? 1 : 0;
        inTime += item.first.text.starts_with(prefix) && item.second.inTime() ? 1 : 0;
    }
    return inTime / std::max(1.0, all);
}

double BurstReplay::meanWorth(const std::string& prefix) const
{
    double all = 0;
    double worth = 0;
    for (const std::map<JobId, ReplayOutcome>::value_type& item : this->served) {
        all += item.first.text.starts_with(prefix) ? 1 : 0;
        worth += item.first.text.starts_with(prefix) ? item.second.worth() : 0;
    }
    return worth / std::max(1.0, all);
}

std::size_t BurstReplay::count(EventId event) const
{
    const std::map<EventId, std::size_t>::const_iterator it = this->events.find(event);
    return it == this->events.end() ? 0 : it->second;
}

std::shared_ptr<JobSpec> largeJob(const std::string& id, Duration estimate, std::uint32_t count)
{
    StepSpec first;
    first.count = count;
    first.demand = { 3500, 1000, 0 };
    first.estimate = estimate;
    first.checkpointing = true;
    first.bestEffort = true;
    first.image = bestEffortImage;
    StepSpec second = first;
    second.after = { 0 };
    return std::make_shared<JobSpec>(JobSpec { .id = { id }, .queue = "large", .service = "service", .priority = 0, .attempts = 3, .stretch = 2, .dueSlack = seconds(1), .payload = "", .steps = { first, second } });
}

std::vector<ReplayJob> burstLoad(Duration usualInterval, bool burst, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<ReplayJob> load;
    Duration time {};
    while (time < seconds(30)) {
        const bool inBurst = burst && time >= seconds(10) && time < seconds(16);
        time += std::chrono::duration_cast<Duration>(usualInterval * (0.5 + static_cast<double>(random() % 1000) / 1000) / (inBurst ? 2.3 : 1));
        const std::string number = std::to_string(1000 + load.size());
        load.push_back({ time, largeJob("large-" + number, milliseconds(2300 + random() % 400)), 1 });
    }
    return load;
}

}
