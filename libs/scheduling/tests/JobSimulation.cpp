#include "JobSimulation.h"
#include <algorithm>
#include <cowslipdoor/scheduling/TableEvents.h>
#include <cstdio>
#include <utility>

namespace cowslipdoor::tests {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration storeDelay = milliseconds(2);
    constexpr Duration linkDelay = milliseconds(1);
    constexpr Duration workerDelay = std::chrono::microseconds(500);
    constexpr Duration heartbeatInterval = milliseconds(1500);
    constexpr Duration stopTime = milliseconds(150);
    /// A stored cancellation must prevent new starts within this time, as the platform requires: 3 s.
    constexpr Duration cancelBound = milliseconds(3000);
    /// One job of this many is cancelled before it is stored.
    constexpr std::size_t cancelledEarlyInterval = 37;
    constexpr Duration maximumLease = milliseconds(6000);
    /// How long a long-running task may be without a run after its last run has ended, as the platform requires.
    constexpr Duration restartLimit = milliseconds(6000);
    /// How long a run must be missing without an excuse to count as a violation, as the platform requires.
    constexpr Duration restartWindow = milliseconds(3000);
    /// How long after the end of the last fault a missing run is still excused, as the platform requires.
    constexpr Duration recoveryTime = milliseconds(4000);
    constexpr Duration longRunningCheckInterval = milliseconds(100);
    /// Objective of long-running tasks where a fault raises tail latencies, and the tail latencies without and with it.
    constexpr Duration longRunningTarget = milliseconds(50);
    constexpr std::uint32_t usualTailMs = 20;
    constexpr std::uint32_t stalledTailMs = 30'000;
    /// How long a slow process takes to handle an event.
    constexpr Duration slowEventTime = milliseconds(40);
    /// Time until an agent closes a link on which it receives nothing.
    constexpr Duration agentSilenceLimit = milliseconds(5250);
    constexpr Duration waitingCheckInterval = milliseconds(100);
    /// Age that a count of waiting jobs may have, as the platform permits.
    constexpr Duration maximumCountAge = milliseconds(2000);
    /// How long after its acceptance a job may be unknown to the leader, as the platform permits.
    constexpr Duration visibilityTime = milliseconds(3000);
    /// How long after the last fault of the entries and the store their answers are excused, as the platform permits.
    constexpr Duration contactTime = milliseconds(3000);
    /// How long an answer of a feed takes while feeds lag; longer than a cancellation may take to prevent starts.
    constexpr Duration feedLag = milliseconds(4000);
    /// Time from the end of the faults until the remaining long-running jobs are cancelled: several times restartLimit.
    constexpr Duration longRunningCancelDelay = seconds(25);

    /// Time after the acknowledgement of an evacuation from which no task may start there, as the platform requires.
    constexpr Duration evacuationBound = milliseconds(5000);
    /// Interval of the answers to the feed of the operator's table.
    constexpr Duration operatorFeedInterval = milliseconds(100);
    /// How late a worker may carry out an order, at most.
    constexpr Duration longestOrderDelay = seconds(12);
    constexpr std::size_t failureDomainCount = 2;

    /// Failure domain of an agent and its worker.
    std::string domainOf(std::size_t index)
    {
        return "domain-" + std::to_string(index % failureDomainCount);
    }

    std::string describeTime(TimePoint time)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f ", static_cast<double>(time.time_since_epoch().count()) / 1e6 - 1000);
        return text;
    }

}

JobSimulation::JobSimulation(JobSimulationConfig config)
    : config(std::move(config))
    , random(this->config.seed)
    , entries(this->config.entries)
    , agents(this->config.agents)
    , workers(this->config.agents)
{
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        this->entries[index].name = "entry-" + std::to_string(index);
        this->startEntry(index);
    }
    for (std::size_t index = 0; index < this->agents.size(); ++index) {
        this->agents[index].name = "agent-" + std::to_string(index);
        this->workers[index].id = "worker-" + std::to_string(index);
        this->startAgent(index);
        this->startWorker(index);
    }
}

void JobSimulation::simulate()
{
    this->checkLongRunningTasks();
    this->checkWaitingCounts();
    this->runUntil(this->now + seconds(4));
    const TimePoint end = this->now + this->config.faultPeriod;
    for (std::size_t number = 0; number < this->config.jobs; ++number)
        this->after(this->jitter(this->config.faultPeriod), [this, number]() { this->submitJob(number); });
    for (TimePoint time = this->now; this->config.faultInterval > Duration {} && time < end; time += this->jitter(this->config.faultInterval * 2))
        this->at(time, [this]() { this->injectFault(); });
    this->runUntil(end);
    this->recover();
    this->runUntil(this->now + seconds(this->config.workerFaults.empty() ? 60 : 90));
    this->checkFinalState();
}

void JobSimulation::at(TimePoint time, Action action)
{
    this->actionQueue.emplace(std::max(time, this->now), std::move(action));
}

void JobSimulation::runUntil(TimePoint time)
{
    while (!this->actionQueue.empty() && this->actionQueue.begin()->first <= time) {
        this->now = this->actionQueue.begin()->first;
        const Action action = std::move(this->actionQueue.begin()->second);
        this->actionQueue.erase(this->actionQueue.begin());
        action();
    }
    this->now = time;
}

Duration JobSimulation::jitter(Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(1, most.count()))(this->random));
}

bool JobSimulation::chance(double probability)
{
    return std::bernoulli_distribution(probability)(this->random);
}

std::size_t JobSimulation::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

void JobSimulation::note(const std::string& line)
{
    this->historyLines.push_back(describeTime(this->now) + line);
}

void JobSimulation::recordViolation(const std::string& line)
{
    this->note("VIOLATION " + line);
    this->recordedViolations.push_back(describeTime(this->now) + line);
}

void JobSimulation::startEntry(std::size_t index)
{
    EntryNode& node = this->entries[index];
    SchedulerConfig settings = this->config.scheduler;
    settings.lease.holder = node.name;
    settings.lease.incarnation = ++node.incarnation;
    settings.lease.milliCores = 500 / (1 + index);
    node.machine = std::make_unique<Scheduler>(settings);
    node.backlog.clear();
    node.up = true;
    node.agentsToLink.clear();
    node.following = false;
    this->deliverToEntry(index, node.incarnation, TimePassed {});
    if (this->draws(WorkerFault::Evacuation))
        this->followOperator(index, node.incarnation);
}

void JobSimulation::startAgent(std::size_t index)
{
    AgentNode& node = this->agents[index];
    WorkerMachineConfig settings = this->config.agent;
    settings.agent = node.name;
    settings.failureDomain = domainOf(index);
    ++node.incarnation;
    node.machine = std::make_unique<WorkerMachine>(settings, this->now);
    node.backlog.clear();
    node.up = true;
    this->registerAgent(index);
    this->armAgent(index);
}

void JobSimulation::startWorker(std::size_t index)
{
    WorkerNode& worker = this->workers[index];
    const std::string id = worker.id;
    const Duration step = worker.clockStep;
    const TimePoint refusesUntil = worker.refusesUntil;
    const TimePoint cutUntil = worker.cutUntil;
    const TimePoint standsStillUntil = worker.standsStillUntil;
    std::int64_t startedAtMs = toMilliseconds(this->now.time_since_epoch() + step);
    if (this->config.workerFaults.empty())
        startedAtMs = std::max(worker.startedAtMs + 1, startedAtMs);
    else
        startedAtMs += startedAtMs == worker.startedAtMs ? 1 : 0;
    worker = WorkerNode();
    worker.id = id;
    worker.clockStep = step;
    worker.refusesUntil = refusesUntil;
    worker.cutUntil = cutUntil;
    worker.standsStillUntil = standsStillUntil;
    worker.startedAtMs = startedAtMs;
    worker.up = true;
    worker.incarnationStart = this->now;
    worker.clockRate = 0.98 + 0.02 * static_cast<double>(this->pick(100)) / 100;
    this->note(id + " starts, start time " + std::to_string(startedAtMs));
    this->sendHeartbeat(index, startedAtMs);
}

void JobSimulation::sendHeartbeat(std::size_t index, std::int64_t startedAtMs)
{
    const WorkerNode& worker = this->workers[index];
    if (!worker.up || worker.startedAtMs != startedAtMs)
        return;
    const WorkerInfo info { { worker.id, startedAtMs }, "service", this->config.workerCapacity, {}, false, {} };
    const Duration delay = this->chance(0.02) ? milliseconds(3000) : workerDelay;
    if (this->now >= worker.cutUntil)
        this->after(delay, [this, index, info]() { this->deliverToAgent(index, this->agents[index].incarnation, WorkerHeartbeat { info }); });
    this->after(heartbeatInterval, [this, index, startedAtMs]() { this->sendHeartbeat(index, startedAtMs); });
}

template <typename Nodes, typename Event>
void JobSimulation::deliver(Nodes& nodes, std::size_t index, std::uint64_t incarnation, Event event)
{
    typename Nodes::value_type& node = nodes[index];
    if (!node.up || node.incarnation != incarnation)
        return;
    if (this->now >= node.stalledUntil && this->now >= node.slowUntil && node.backlog.empty())
        return this->step(index, event);
    node.backlog.push_back(std::move(event));
    if (node.backlog.size() == 1)
        this->at(std::max(node.stalledUntil, this->now), [this, &nodes, index, incarnation]() { this->deliverBacklog(nodes, index, incarnation); });
}

template <typename Nodes>
void JobSimulation::deliverBacklog(Nodes& nodes, std::size_t index, std::uint64_t incarnation)
{
    typename Nodes::value_type& node = nodes[index];
    if (!node.up || node.incarnation != incarnation)
        return;
    if (this->now < node.stalledUntil) {
        this->at(node.stalledUntil, [this, &nodes, index, incarnation]() { this->deliverBacklog(nodes, index, incarnation); });
        return;
    }
    if (this->now < node.slowUntil) {
        this->deliverSlowly(nodes, index, incarnation);
        return;
    }
    const decltype(node.backlog) backlog = std::exchange(node.backlog, {});
    for (const typename decltype(node.backlog)::value_type& event : backlog)
        this->step(index, event);
}

template <typename Nodes>
void JobSimulation::deliverSlowly(Nodes& nodes, std::size_t index, std::uint64_t incarnation)
{
    typename Nodes::value_type& node = nodes[index];
    const typename decltype(node.backlog)::value_type event = std::move(node.backlog.front());
    this->after(slowEventTime, [this, &nodes, index, incarnation, event]() {
        if (!nodes[index].up || nodes[index].incarnation != incarnation)
            return;
        this->step(index, event);
        nodes[index].backlog.pop_front();
        if (!nodes[index].backlog.empty())
            this->deliverBacklog(nodes, index, incarnation);
    });
}

void JobSimulation::deliverToEntry(std::size_t index, std::uint64_t incarnation, SchedulerEvent event)
{
    this->deliver(this->entries, index, incarnation, std::move(event));
}

void JobSimulation::deliverToAgent(std::size_t index, std::uint64_t incarnation, WorkerEvent event)
{
    this->deliver(this->agents, index, incarnation, std::move(event));
}

void JobSimulation::step(std::size_t index, const SchedulerEvent& event)
{
    const Scheduler::Effects effects = this->entries[index].machine->step(event, this->now);
    this->checkOutboxes(effects);
    for (const SchedulerEffect& effect : effects)
        this->applyEffect(index, effect);
    this->armEntry(index);
}

void JobSimulation::step(std::size_t index, const WorkerEvent& event)
{
    for (const WorkerEffect& effect : this->agents[index].machine->step(event, this->now))
        this->applyEffect(index, effect);
    this->armAgent(index);
}

void JobSimulation::armEntry(std::size_t index)
{
    EntryNode& node = this->entries[index];
    const std::optional<TimePoint> wakeup = node.machine->nextWakeup();
    const std::uint64_t timer = ++node.timer;
    const std::uint64_t incarnation = node.incarnation;
    if (!wakeup)
        return;
    this->at(std::max(*wakeup, this->now + std::chrono::microseconds(100)), [this, index, incarnation, timer]() {
        if (this->entries[index].timer == timer)
            this->deliverToEntry(index, incarnation, TimePassed {});
    });
}

void JobSimulation::armAgent(std::size_t index)
{
    AgentNode& node = this->agents[index];
    const std::optional<TimePoint> wakeup = node.machine->nextWakeup();
    const std::uint64_t timer = ++node.timer;
    const std::uint64_t incarnation = node.incarnation;
    if (!wakeup)
        return;
    this->at(std::max(*wakeup, this->now + std::chrono::microseconds(100)), [this, index, incarnation, timer]() {
        if (this->agents[index].timer == timer)
            this->deliverToAgent(index, incarnation, TimePassed {});
    });
}

void JobSimulation::applyEffect(std::size_t entry, const SchedulerEffect& effect)
{
    EntryNode& node = this->entries[entry];
    const std::uint64_t incarnation = node.incarnation;
    if (std::holds_alternative<ReadLeaderRow>(effect)) {
        const bool refused = node.storeCut || this->now < this->storeDownUntil;
        this->after(storeDelay, [this, entry, incarnation, refused]() {
            if (refused) {
                this->deliverToEntry(entry, incarnation, LeaderRowReadFailed {});
                return;
            }
            const std::map<RowKey, Row>::const_iterator it = this->rows.find(leaderRowKey());
            const bool present = it != this->rows.end();
            const LeaderRowRead read { present ? parseLeaderRecord(it->second.value) : std::nullopt, present ? it->second.version : 0 };
            this->after(storeDelay, [this, entry, incarnation, read]() { this->deliverToEntry(entry, incarnation, read); });
        });
    } else if (const SubmitCommit* const commit = std::get_if<SubmitCommit>(&effect)) {
        this->submit(entry, commit->transaction, [this, entry, incarnation](const TransactionResult& result) { this->deliverToEntry(entry, incarnation, CommitFinished { result }); });
    } else if (const ReadTables* const read = std::get_if<ReadTables>(&effect)) {
        ++this->takeoverCount;
        this->note(node.name + " leads epoch " + std::to_string(read->epoch));
        this->readTables(entry, read->epoch);
    } else if (std::holds_alternative<StopLeading>(effect)) {
        this->note(node.name + " no longer leads");
        node.following = false;
        node.agentsToLink.clear();
        this->closeLinks([entry](const Link& link) { return link.entry == entry && link.entryOpen; });
    } else if (const KeepAgentLinked* const keep = std::get_if<KeepAgentLinked>(&effect)) {
        node.agentsToLink.insert(keep->agent);
        for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
            if (this->agents[agent].name == keep->agent)
                this->dial(entry, incarnation, agent);
        }
    } else if (const SendToAgent* const message = std::get_if<SendToAgent>(&effect)) {
        const std::uint64_t link = static_cast<std::uint64_t>(message->link);
        const std::size_t agent = this->links.at(link).agent;
        const std::uint64_t agentIncarnation = this->agents[agent].incarnation;
        const LeaderMessage leaderMessage = message->message;
        this->sendOnLink(link, true, [this, agent, agentIncarnation, link, leaderMessage]() { this->deliverToAgent(agent, agentIncarnation, LeaderMessageReceived { LinkId { link }, leaderMessage }); });
    } else if (const RecordEvent* const record = std::get_if<RecordEvent>(&effect)) {
        this->note(node.name + " E" + std::to_string(static_cast<unsigned>(record->event)) + " " + record->detail);
        if (record->event == EventId::HeadroomExceeded)
            this->recordViolation(node.name + " chose a worker without headroom: " + record->detail);
    }
}

void JobSimulation::checkOutboxes(const Scheduler::Effects& effects)
{
    constexpr std::size_t outboxCapacity = 4096;
    std::map<LinkId, std::size_t> messages;
    for (const SchedulerEffect& effect : effects) {
        const SendToAgent* const message = std::get_if<SendToAgent>(&effect);
        if (message && ++messages[message->link] == outboxCapacity + 1)
            this->recordViolation("the outbox of a link overflows in one turn");
    }
}

void JobSimulation::applyEffect(std::size_t agent, const WorkerEffect& effect)
{
    AgentNode& node = this->agents[agent];
    const std::uint64_t incarnation = node.incarnation;
    if (const CallPoll* const poll = std::get_if<CallPoll>(&effect)) {
        this->answerPoll(agent, incarnation, *poll, true);
    } else if (const CallStart* const start = std::get_if<CallStart>(&effect)) {
        this->callWorker(agent, start->call, [this, agent, call = *start]() { return this->execute(agent, call); });
    } else if (const CallStop* const stop = std::get_if<CallStop>(&effect)) {
        this->callWorker(agent, stop->call, [this, agent, call = *stop]() { return this->execute(agent, call); });
    } else if (const CallPace* const pace = std::get_if<CallPace>(&effect)) {
        this->callWorker(agent, pace->call, [this, agent, call = *pace]() { return OrderAnswered { call.call, true, "", 0, this->clockMs(this->workers[agent]) }; });
    } else if (const SendToLeader* const message = std::get_if<SendToLeader>(&effect)) {
        const std::uint64_t link = static_cast<std::uint64_t>(message->link);
        const std::size_t entry = this->links.at(link).entry;
        const std::uint64_t entryIncarnation = this->entries[entry].incarnation;
        const AgentReport report = message->report;
        this->sendOnLink(link, false, [this, entry, entryIncarnation, link, report, name = node.name]() { this->deliverToEntry(entry, entryIncarnation, AgentReportReceived { name, LinkId { link }, report }); });
    } else if (const CloseLeaderLink* const close = std::get_if<CloseLeaderLink>(&effect)) {
        this->closeLink(static_cast<std::uint64_t>(close->link));
    } else if (const RecordEvent* const record = std::get_if<RecordEvent>(&effect)) {
        this->note(node.name + " E" + std::to_string(static_cast<unsigned>(record->event)) + " " + record->detail);
    }
}

void JobSimulation::submit(std::size_t entry, Transaction transaction, std::function<void(TransactionResult)> done)
{
    const bool refused = this->entries[entry].storeCut || this->now < this->storeDownUntil;
    if (refused && this->chance(0.5)) {
        this->after(storeDelay, [done]() { done(StoreRefused { "refused" }); });
        return;
    }
    if (refused || this->chance(this->answerLossProbability)) {
        // The answer is lost; the transaction applies soon, seconds later, or never.
        if (this->chance(0.7))
            this->after(this->chance(0.5) ? storeDelay : milliseconds(1000) + this->jitter(milliseconds(5000)), [this, transaction]() { static_cast<void>(this->apply(transaction)); });
        this->after(milliseconds(800), [done]() { done(OutcomeAmbiguous { "no answer" }); });
        return;
    }
    this->after(storeDelay + this->config.extraWriteTime + this->jitter(milliseconds(3)), [this, transaction, done]() {
        const TransactionResult result = this->apply(transaction);
        this->after(storeDelay, [done, result]() { done(result); });
    });
}

TransactionResult JobSimulation::apply(const Transaction& transaction)
{
    Conflict conflict;
    bool holds = true;
    for (const RowCondition& condition : transaction.conditions) {
        const std::map<RowKey, Row>::const_iterator it = this->rows.find(condition.key);
        if (it != this->rows.end())
            conflict.rows.push_back(it->second);
        holds = holds && (it == this->rows.end() ? 0 : it->second.version) == condition.version;
    }
    if (!holds)
        return conflict;
    ++this->version;
    for (const RowWrite& write : transaction.writes) {
        const Row row { write.key, write.value, this->version, false };
        this->rows[write.key] = row;
        this->changes.push_back(row);
    }
    for (const RowKey& removal : transaction.removals)
        this->rows.erase(removal);
    return Applied { this->version };
}

void JobSimulation::readTables(std::size_t entry, std::uint64_t epoch)
{
    const std::uint64_t incarnation = this->entries[entry].incarnation;
    if (this->entries[entry].storeCut || this->now < this->storeDownUntil) {
        this->after(milliseconds(150), [this, entry, incarnation, epoch]() {
            if (this->entries[entry].incarnation == incarnation && this->entries[entry].machine->lease().epoch() == epoch)
                this->readTables(entry, epoch);
        });
        return;
    }
    // Agents are delivered before the other tables are read, as the leader links to them and sends them renewal grants meanwhile.
    for (const std::map<RowKey, Row>::value_type& item : this->rows) {
        const std::optional<SchedulerEvent> agent = item.first.table == agentTable ? eventOf(item.second) : std::nullopt;
        if (agent)
            this->after(storeDelay, [this, entry, incarnation, agent]() { this->deliverToEntry(entry, incarnation, *agent); });
    }
    this->after(this->config.tableReadTime, [this, entry, incarnation, epoch]() {
        std::vector<Row> all;
        for (const std::map<RowKey, Row>::value_type& item : this->rows) {
            const std::string& table = item.first.table;
            if (table == jobTable || table == progressTable || table == agentTable)
                all.push_back(item.second);
        }
        const DecodedTables tables = decodeTables(epoch, all, 0, this->version, this->now);
        if (!tables.ignored.empty())
            this->recordViolation("a row is malformed: " + tables.ignored.front().key);
        const RowVersion asOf = this->version;
        const TablesRead read = tables.read;
        this->after(storeDelay, [this, entry, incarnation, read, asOf]() {
            this->deliverToEntry(entry, incarnation, read);
            EntryNode& node = this->entries[entry];
            if (node.incarnation != incarnation)
                return;
            node.feedVersion = asOf;
            const bool follows = std::exchange(node.following, true);
            if (std::exchange(node.feedEpoch, read.epoch) != read.epoch || !follows)
                this->follow(entry, incarnation, read.epoch);
        });
    });
}

void JobSimulation::follow(std::size_t entry, std::uint64_t incarnation, std::uint64_t epoch)
{
    EntryNode& node = this->entries[entry];
    if (node.incarnation != incarnation || !node.following || node.feedEpoch != epoch)
        return;
    if (!node.storeCut && this->now >= this->storeDownUntil) {
        std::vector<SchedulerEvent> events;
        for (const Row& row : this->changes) {
            if (row.version <= node.feedVersion)
                continue;
            if (row.key.table != jobTable && row.key.table != agentTable)
                continue;
            const std::optional<SchedulerEvent> event = eventOf(row);
            if (event)
                events.push_back(*event);
        }
        node.feedVersion = this->version;
        events.push_back(JobsFollowed { node.machine->lease().epoch(), this->version, this->now });
        const auto answer = [this, entry, incarnation, epoch, events]() {
            if (this->entries[entry].feedEpoch != epoch)
                return;
            for (const SchedulerEvent& event : events)
                this->deliverToEntry(entry, incarnation, event);
            this->after(milliseconds(10), [this, entry, incarnation, epoch]() { this->follow(entry, incarnation, epoch); });
        };
        if (this->now < this->feedLagsUntil)
            return this->after(feedLag, answer);
        return answer();
    }
    this->after(milliseconds(10), [this, entry, incarnation, epoch]() { this->follow(entry, incarnation, epoch); });
}

void JobSimulation::followOperator(std::size_t entry, std::uint64_t incarnation)
{
    EntryNode& node = this->entries[entry];
    if (!node.up || node.incarnation != incarnation)
        return;
    if (!node.storeCut && this->now >= this->storeDownUntil) {
        std::set<std::string> failureDomains;
        for (const std::map<std::string, TimePoint>::value_type& item : this->evacuatedSince)
            failureDomains.insert(item.first);
        const EvacuationsFollowed followed { failureDomains, this->now };
        // A stalled process asks for no further answer until it has handled this one.
        const Duration delay = this->now < this->feedLagsUntil ? feedLag : storeDelay;
        this->after(delay, [this, entry, incarnation, followed]() { this->deliverToEntry(entry, incarnation, followed); });
        this->at(std::max(this->now + delay + operatorFeedInterval, node.stalledUntil), [this, entry, incarnation]() { this->followOperator(entry, incarnation); });
        return;
    }
    this->after(operatorFeedInterval, [this, entry, incarnation]() { this->followOperator(entry, incarnation); });
}

void JobSimulation::registerAgent(std::size_t agent)
{
    const std::uint64_t incarnation = this->agents[agent].incarnation;
    if (this->now < this->storeDownUntil) {
        this->after(milliseconds(200), [this, agent, incarnation]() {
            if (this->agents[agent].incarnation == incarnation)
                this->registerAgent(agent);
        });
        return;
    }
    const RowKey key = agentRowKey(this->agents[agent].name);
    const std::map<RowKey, Row>::const_iterator it = this->rows.find(key);
    const std::uint64_t generation = it == this->rows.end() ? 1 : parseAgentRecord(it->second.value)->generation + 1;
    const Transaction transaction { {}, { { key, print(AgentRecord { "address", generation }) } }, {} };
    static_cast<void>(this->apply(transaction));
    this->after(storeDelay * 2, [this, agent, incarnation, generation]() { this->deliverToAgent(agent, incarnation, GenerationGranted { generation }); });
}

void JobSimulation::dial(std::size_t entry, std::uint64_t incarnation, std::size_t agent)
{
    EntryNode& node = this->entries[entry];
    if (node.incarnation != incarnation || !node.up || !node.agentsToLink.contains(this->agents[agent].name))
        return;
    const bool linked = std::any_of(this->links.begin(), this->links.end(), [entry, agent](const std::map<std::uint64_t, Link>::value_type& item) {
        return item.second.entry == entry && item.second.agent == agent && item.second.entryOpen;
    });
    if (!linked && this->agents[agent].up && !this->cut(entry, agent) && this->now >= node.stalledUntil) {
        const std::uint64_t link = ++this->lastLink;
        this->links[link] = { .entry = entry, .agent = agent, .entryOpen = true, .agentOpen = true, .lastToAgent = this->now, .lastToEntry = this->now, .lastReceivedAt = this->now };
        this->deliverToAgent(agent, this->agents[agent].incarnation, LeaderAttached { LinkId { link } });
        this->deliverToEntry(entry, incarnation, AgentLinked { this->agents[agent].name, LinkId { link } });
        this->watchLink(link);
    }
    this->after(milliseconds(200), [this, entry, incarnation, agent]() { this->dial(entry, incarnation, agent); });
}

void JobSimulation::sendOnLink(std::uint64_t link, bool toAgentSide, Action deliver)
{
    Link& state = this->links.at(link);
    if (!(toAgentSide ? state.entryOpen : state.agentOpen))
        return;
    const Action receive = [this, link, toAgentSide, deliver]() {
        Link& arrived = this->links.at(link);
        if (!(toAgentSide ? arrived.agentOpen : arrived.entryOpen))
            return;
        if (!toAgentSide)
            arrived.lastReceivedAt = this->now;
        deliver();
    };
    if (toAgentSide ? state.silentToAgent : state.silentToEntry)
        return;
    if (this->cutInDirection(state.entry, state.agent, toAgentSide)) {
        state.held.push_back(receive);
        return;
    }
    TimePoint& last = toAgentSide ? state.lastToAgent : state.lastToEntry;
    last = std::max(last, this->now + linkDelay + this->jitter(milliseconds(2)));
    this->at(last, receive);
}

void JobSimulation::closeLink(std::uint64_t link)
{
    Link& state = this->links.at(link);
    state.held.clear();
    if (std::exchange(state.entryOpen, false))
        this->deliverToEntry(state.entry, this->entries[state.entry].incarnation, AgentUnlinked { this->agents[state.agent].name, LinkId { link } });
    if (std::exchange(state.agentOpen, false))
        this->deliverToAgent(state.agent, this->agents[state.agent].incarnation, LeaderDetached { LinkId { link } });
}

void JobSimulation::closeLinks(const std::function<bool(const Link&)>& which)
{
    for (const std::map<std::uint64_t, Link>::value_type& item : this->links) {
        if (which(item.second))
            this->closeLink(item.first);
    }
}

void JobSimulation::watchLink(std::uint64_t link)
{
    Link& state = this->links.at(link);
    if (!state.entryOpen)
        return;
    if (this->now - state.lastReceivedAt > milliseconds(1300) && this->now >= this->entries[state.entry].stalledUntil) {
        // The entry closes its end of a silent link; the agent's end stays open until the agent closes it.
        state.entryOpen = false;
        this->deliverToEntry(state.entry, this->entries[state.entry].incarnation, AgentUnlinked { this->agents[state.agent].name, LinkId { link } });
        return;
    }
    this->after(milliseconds(250), [this, link]() { this->watchLink(link); });
}

bool JobSimulation::cut(std::size_t entry, std::size_t agent) const
{
    return this->cuts.contains({ entry, agent }) || this->oneWayCuts.contains({ entry, agent, false }) || this->oneWayCuts.contains({ entry, agent, true });
}

bool JobSimulation::cutInDirection(std::size_t entry, std::size_t agent, bool toAgentSide) const
{
    return this->cuts.contains({ entry, agent }) || this->oneWayCuts.contains({ entry, agent, toAgentSide });
}

void JobSimulation::deliverHeldMessages(std::size_t entry, std::size_t agent)
{
    for (std::map<std::uint64_t, Link>::value_type& item : this->links) {
        if (item.second.entry != entry || item.second.agent != agent)
            continue;
        for (const Action& held : std::exchange(item.second.held, {}))
            held();
    }
}

void JobSimulation::callWorker(std::size_t agent, CallNumber call, std::function<std::optional<WorkerEvent>()> execute)
{
    const std::uint64_t incarnation = this->agents[agent].incarnation;
    const bool late = this->chance(this->lateOrderProbability);
    if (late)
        this->lateOrdersUntil = std::max(this->lateOrdersUntil, this->now + longestOrderDelay);
    // Calls that an incarnation of the worker has received but not executed are lost when it ends.
    const std::int64_t startedAtMs = this->workers[agent].startedAtMs;
    const Duration delay = late ? milliseconds(2000) + this->jitter(seconds(10)) : workerDelay;
    const bool cutOff = this->now < this->workers[agent].cutUntil;
    this->after(delay, [this, agent, incarnation, startedAtMs, late, cutOff, execute]() {
        if (!this->workers[agent].up || this->workers[agent].startedAtMs != startedAtMs || cutOff)
            return;
        const std::optional<WorkerEvent> answer = execute();
        if (answer && !late)
            this->after(workerDelay, [this, agent, incarnation, answer]() { this->deliverToAgent(agent, incarnation, *answer); });
    });
    if (late || cutOff || !this->workers[agent].up)
        this->after(milliseconds(400), [this, agent, incarnation, call]() { this->deliverToAgent(agent, incarnation, CallUnanswered { call }); });
}

void JobSimulation::answerPoll(std::size_t agent, std::uint64_t incarnation, const CallPoll& call, bool mayWait)
{
    WorkerNode& worker = this->workers[agent];
    if (mayWait) {
        if (!worker.up || this->now < worker.cutUntil || this->chance(this->lateOrderProbability)) {
            this->after(call.wait + milliseconds(400), [this, agent, incarnation, call]() { this->deliverToAgent(agent, incarnation, CallUnanswered { call.call }); });
            return;
        }
        if (call.worker != worker.id) {
            this->after(workerDelay * 2, [this, agent, incarnation, call]() { this->deliverToAgent(agent, incarnation, CallMisdirected { call.call }); });
            return;
        }
        if (call.token < worker.token) {
            this->after(workerDelay * 2, [this, agent, incarnation, call]() { this->deliverToAgent(agent, incarnation, CallFenced { call.call }); });
            return;
        }
        worker.token = call.token;
        this->acknowledge(worker, call.acknowledgeUpTo);
        if (call.leaseUntilMs)
            this->extendLease(agent, *call.leaseUntilMs);
        if (call.wait > Duration {} && worker.ended.empty()) {
            const std::int64_t startedAtMs = worker.startedAtMs;
            const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
            const Action answer = [this, agent, incarnation, call, startedAtMs, answered]() {
                if (!std::exchange(*answered, true) && this->workers[agent].up && this->workers[agent].startedAtMs == startedAtMs)
                    this->answerPoll(agent, incarnation, call, false);
            };
            worker.waiters.push_back(answer);
            this->after(call.wait, answer);
            this->after(call.wait + milliseconds(400), [this, agent, incarnation, call]() { this->deliverToAgent(agent, incarnation, CallUnanswered { call.call }); });
            return;
        }
    }
    std::vector<RunStatus> running;
    for (const std::map<RunId, Run>::value_type& item : worker.running)
        running.push_back({ item.first, "", 50, this->measurementOf(worker, item.first) });
    const PollAnswered answer { call.call, worker.startedAtMs, this->clockMs(worker), running, worker.ended };
    this->after(workerDelay + this->jitter(milliseconds(2)), [this, agent, incarnation, answer]() { this->deliverToAgent(agent, incarnation, answer); });
}

std::optional<WorkerEvent> JobSimulation::execute(std::size_t index, const CallStart& call)
{
    WorkerNode& worker = this->workers[index];
    const std::int64_t startedAtMs = worker.startedAtMs;
    if (call.worker != worker.id)
        return CallMisdirected { call.call };
    if (call.token < worker.token)
        return CallFenced { call.call };
    worker.token = call.token;
    if (worker.running.contains(call.run))
        return OrderAnswered { call.call, true, "", 0, this->clockMs(worker) };
    const std::map<TaskId, std::uint32_t>::const_iterator highest = worker.highestEnded.find(call.run.task);
    if (highest != worker.highestEnded.end() && call.run.number <= highest->second)
        return OrderAnswered { call.call, false, "old", 0, this->clockMs(worker) };
    if (call.leaseUntilMs <= this->clockMs(worker))
        return OrderAnswered { call.call, false, "late", 0, this->clockMs(worker) };
    if (this->now < worker.refusesUntil)
        return OrderAnswered { call.call, false, "503", 0, this->clockMs(worker) };
    this->extendLease(index, call.leaseUntilMs);
    this->checkStart(index, call.run, call.payload);
    worker.running[call.run] = { call.payload, this->now, false };
    ++this->startCount;
    this->jobs.at(call.run.task.job).begun = true;
    this->note(worker.id + " starts " + describe(call.run));
    const StepSpec& step = this->jobs.at(call.run.task.job).spec->steps[call.run.task.step];
    const bool fails = this->chance(0.05);
    if (!step.longRunning || fails) {
        const Duration time = milliseconds(100) + this->jitter(milliseconds(1500));
        this->after(time, [this, index, startedAtMs, run = call.run, fails]() { this->endRunInTime(index, startedAtMs, run, fails ? RunEndKind::Failed : RunEndKind::Done); });
    }
    return OrderAnswered { call.call, true, "", 0, this->clockMs(worker) };
}

std::optional<WorkerEvent> JobSimulation::execute(std::size_t index, const CallStop& call)
{
    WorkerNode& worker = this->workers[index];
    if (call.worker != worker.id)
        return CallMisdirected { call.call };
    if (call.token < worker.token)
        return CallFenced { call.call };
    worker.token = call.token;
    const std::map<RunId, Run>::iterator it = worker.running.find(call.run);
    if (it == worker.running.end()) {
        std::uint32_t& highest = worker.highestEnded[call.run.task];
        highest = std::max(highest, call.run.number);
        return OrderAnswered { call.call, false, "old", 0, this->clockMs(worker) };
    }
    it->second.stopping = true;
    const std::int64_t startedAtMs = worker.startedAtMs;
    this->after(this->jitter(stopTime), [this, index, startedAtMs, run = call.run]() {
        if (this->workers[index].up && this->workers[index].startedAtMs == startedAtMs)
            this->endRun(index, run, RunEndKind::Stopped);
    });
    return OrderAnswered { call.call, true, "", 0, this->clockMs(worker) };
}

std::int64_t JobSimulation::clockMs(const WorkerNode& worker) const
{
    return 1000 + static_cast<std::int64_t>(static_cast<double>(toMilliseconds(this->now - worker.incarnationStart)) * worker.clockRate);
}

void JobSimulation::extendLease(std::size_t index, std::int64_t untilMs)
{
    WorkerNode& worker = this->workers[index];
    worker.leaseMs = std::max(worker.leaseMs, std::min<std::int64_t>(untilMs, this->clockMs(worker) + toMilliseconds(maximumLease)));
    const std::int64_t startedAtMs = worker.startedAtMs;
    const Duration left = std::chrono::duration_cast<Duration>(milliseconds(worker.leaseMs - this->clockMs(worker)) / worker.clockRate);
    this->after(left + milliseconds(2), [this, index, startedAtMs]() { this->checkLease(index, startedAtMs); });
}

void JobSimulation::checkLease(std::size_t index, std::int64_t startedAtMs)
{
    WorkerNode& worker = this->workers[index];
    if (!worker.up || worker.startedAtMs != startedAtMs || this->clockMs(worker) < worker.leaseMs)
        return;
    const std::map<RunId, Run> running = worker.running;
    for (const std::map<RunId, Run>::value_type& item : running)
        this->endRun(index, item.first, RunEndKind::LeaseExpired);
}

void JobSimulation::endRunInTime(std::size_t index, std::int64_t startedAtMs, const RunId& run, RunEndKind kind)
{
    const WorkerNode& worker = this->workers[index];
    if (!worker.up || worker.startedAtMs != startedAtMs)
        return;
    if (this->now < worker.standsStillUntil)
        this->at(worker.standsStillUntil, [this, index, startedAtMs, run, kind]() { this->endRunInTime(index, startedAtMs, run, kind); });
    else
        this->endRun(index, run, kind);
}

std::uint32_t JobSimulation::measurementOf(const WorkerNode& worker, const RunId& run) const
{
    const StepSpec& step = this->jobs.at(run.task.job).spec->steps[run.task.step];
    if (step.target <= Duration {})
        return 0;
    return this->now < std::max(worker.standsStillUntil, this->overloadUntil) ? stalledTailMs : usualTailMs;
}

bool JobSimulation::draws(WorkerFault fault) const
{
    return std::find(this->config.workerFaults.begin(), this->config.workerFaults.end(), fault) != this->config.workerFaults.end();
}

void JobSimulation::endRun(std::size_t index, const RunId& run, RunEndKind kind)
{
    WorkerNode& worker = this->workers[index];
    if (worker.running.erase(run) == 0)
        return;
    std::uint32_t& highest = worker.highestEnded[run.task];
    highest = std::max(highest, run.number);
    worker.ended.push_back({ ++worker.lastEnd, run, kind, "" });
    this->note(worker.id + " ends " + describe(run) + " " + std::string(toString(kind)));
    OracleJob& oracleJob = this->jobs.at(run.task.job);
    if (oracleJob.longRunningTasks.contains(run.task))
        oracleJob.longRunningTasks.at(run.task).lastRun = this->now;
    if (kind == RunEndKind::Done)
        oracleJob.done.insert(run.task);
    if (kind == RunEndKind::Failed)
        ++oracleJob.failures[run.task];
    for (const Action& waiter : std::exchange(worker.waiters, {}))
        waiter();
}

void JobSimulation::acknowledge(WorkerNode& worker, std::uint64_t upTo)
{
    for (const RunEnd& end : worker.ended) {
        if (end.number > upTo)
            continue;
        OracleJob& oracleJob = this->jobs.at(end.run.task.job);
        if (end.kind == RunEndKind::Failed)
            ++oracleJob.failuresNoted[end.run.task];
        const std::map<RowKey, Row>::const_iterator row = this->rows.find(progressRowKey(end.run.task.job));
        if (row == this->rows.end())
            this->recordViolation("an end of " + describe(end.run) + " is acknowledged although no progress of its job is stored");
    }
    std::erase_if(worker.ended, [upTo](const RunEnd& end) { return end.number <= upTo; });
    worker.acknowledged = std::max(worker.acknowledged, upTo);
}

void JobSimulation::checkStart(std::size_t index, const RunId& run, const std::string& payload)
{
    const std::map<JobId, OracleJob>::const_iterator job = this->jobs.find(run.task.job);
    if (job == this->jobs.end()) {
        this->recordViolation(describe(run) + " starts although its job is not stored");
        return;
    }
    const OracleJob& oracleJob = job->second;
    const StepSpec& step = oracleJob.spec->steps[run.task.step];
    if (payload != oracleJob.spec->payload)
        this->recordViolation(describe(run) + " starts with a wrong payload");
    this->checkEvacuation(index, run);
    ResourceVector used = step.countedDemand();
    for (const std::map<RunId, Run>::value_type& item : this->workers[index].running)
        used = used.plus(this->jobs.at(item.first.task.job).spec->steps[item.first.task.step].countedDemand());
    if (!this->config.workerCapacity.covers(used))
        this->recordViolation(describe(run) + " exceeds the capacity of " + this->workers[index].id);
    for (const WorkerNode& other : this->workers) {
        for (const std::map<RunId, Run>::value_type& item : other.running) {
            if (other.up && item.first.task == run.task)
                this->recordViolation(describe(run) + " starts on " + this->workers[index].id + " while " + describe(item.first) + " runs on " + other.id);
        }
    }
    for (const std::uint32_t earlier : step.after) {
        for (std::uint32_t task = 0; task < oracleJob.spec->steps[earlier].count; ++task) {
            if (!oracleJob.done.contains({ run.task.job, earlier, task }))
                this->recordViolation(describe(run) + " starts before step " + std::to_string(earlier) + " is done");
        }
    }
    const std::map<TaskId, std::uint32_t>::const_iterator failures = oracleJob.failuresNoted.find(run.task);
    if (!step.longRunning && failures != oracleJob.failuresNoted.end() && failures->second >= oracleJob.spec->attempts)
        this->recordViolation(describe(run) + " starts after its last attempt");
    // A stalled or disconnected agent may carry out an order late, until its leases end.
    const bool ordersDelayed = !this->config.onlyWorkerFaults || this->config.workerFaults != std::vector<WorkerFault> { WorkerFault::LaggingFeed };
    if (oracleJob.cancelledAt && this->now > *oracleJob.cancelledAt + cancelBound + (ordersDelayed ? maximumLease : Duration {}))
        this->recordViolation(describe(run) + " starts long after its job was cancelled");
}

void JobSimulation::checkEvacuation(std::size_t index, const RunId& run)
{
    const std::map<std::string, TimePoint>::const_iterator since = this->evacuatedSince.find(domainOf(index));
    if (since != this->evacuatedSince.end() && this->now > since->second + evacuationBound && this->now >= this->lateOrdersUntil)
        this->recordViolation(describe(run) + " starts on " + this->workers[index].id + " " + std::to_string(toMilliseconds(this->now - since->second)) + " ms after the evacuation of " + since->first);
}

void JobSimulation::evacuate(const std::string& failureDomain, Duration length)
{
    if (this->now < this->storeDownUntil) {
        this->after(milliseconds(500), [this, failureDomain, length]() { this->evacuate(failureDomain, length); });
        return;
    }
    if (!this->evacuatedSince.emplace(failureDomain, this->now).second)
        return;
    ++this->evacuationCount;
    this->note("fault: " + failureDomain + " is evacuated");
    this->after(length, [this, failureDomain]() { this->restore(failureDomain); });
}

void JobSimulation::restore(const std::string& failureDomain)
{
    this->note(failureDomain + " is restored");
    this->evacuatedSince.erase(failureDomain);
}

void JobSimulation::submitJob(std::size_t number)
{
    const std::uint64_t hash = this->random();
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(hash));
    JobSpec spec;
    spec.id = { id };
    spec.queue = "queue";
    spec.service = "service";
    spec.priority = number % 3 == 0 ? 2 : 0;
    spec.attempts = 4;
    spec.stretch = 2;
    spec.payload = "payload-" + std::to_string(number);
    const bool large = this->config.largeJobSteps > 0 && number % 10 == 0;
    const bool longRunning = !large && this->chance(0.15);
    if (large) {
        StepSpec step;
        step.count = 1000;
        step.demand = { 1, 1, 0 };
        step.estimate = milliseconds(800);
        spec.steps.assign(this->config.largeJobSteps, step);
    }
    const std::size_t steps = large ? 0 : longRunning ? 1
                                                      : 1 + this->pick(3);
    for (std::size_t step = 0; step < steps; ++step) {
        StepSpec next;
        next.count = static_cast<std::uint32_t>(1 + this->pick(6));
        next.demand = { static_cast<std::uint32_t>(500 + 500 * this->pick(6)), 1000, 0 };
        next.estimate = milliseconds(800);
        next.longRunning = longRunning;
        if (longRunning && (this->draws(WorkerFault::StandStill) || this->draws(WorkerFault::Overload))) {
            next.image = "web";
            next.target = longRunningTarget;
            next.mayMiss = number % 2 == 0 && next.count > 1 ? 1 : 0;
        }
        next.bestEffort = !longRunning && this->chance(0.2);
        if (step > 0)
            next.after = { static_cast<std::uint32_t>(step - 1) };
        spec.steps.push_back(next);
    }
    const JobSpecHandle handle = std::make_shared<const JobSpec>(spec);
    const Transaction transaction { { { jobRowKey(spec.id), 0 }, { cancelRowKey(spec.id), 0 } }, { { jobRowKey(spec.id), print(spec) } }, {} };
    // The caller has cancelled the job while its submission was under way.
    if (number % cancelledEarlyInterval == cancelledEarlyInterval - 1)
        static_cast<void>(this->apply({ { { cancelRowKey(spec.id), 0 }, { jobRowKey(spec.id), 0 } }, { { cancelRowKey(spec.id), "{}" } }, {} }));
    if (this->now < this->storeDownUntil || !std::holds_alternative<Applied>(this->apply(transaction)))
        return;
    OracleJob& oracleJob = this->jobs[spec.id];
    oracleJob.spec = handle;
    oracleJob.storedAt = this->now;
    for (std::uint32_t index = 0; longRunning && index < spec.steps.front().count; ++index)
        oracleJob.longRunningTasks.emplace(TaskId { spec.id, 0, index }, OracleLongRunningTask { .lastRun = this->now });
    this->note("job " + spec.id.text + (longRunning ? ", long-running" : ""));
    if (longRunning && !this->config.workerFaults.empty() && this->chance(0.5))
        return;
    if (longRunning || this->chance(this->draws(WorkerFault::LaggingFeed) ? 0.5 : 0.15))
        this->after(milliseconds(200) + this->jitter(seconds(10)), [this, job = spec.id]() { this->cancel(job); });
}

void JobSimulation::cancel(const JobId& job)
{
    if (this->now < this->storeDownUntil) {
        this->after(milliseconds(500), [this, job]() { this->cancel(job); });
        return;
    }
    const Transaction transaction { { { cancelRowKey(job), 0 } }, { { cancelRowKey(job), "{}" } }, {} };
    static_cast<void>(this->apply(transaction));
    this->jobs[job].cancelledAt = this->now;
    this->note("cancel " + job.text);
}

void JobSimulation::injectFault()
{
    if (!this->config.workerFaults.empty() && (this->config.onlyWorkerFaults || this->chance(0.5))) {
        this->injectWorkerFault(this->config.workerFaults[this->pick(this->config.workerFaults.size())]);
        return;
    }
    const Duration length = milliseconds(200) + this->jitter(milliseconds(6000));
    this->extendFaultPeriod(length);
    const std::size_t entry = this->pick(this->entries.size());
    const std::size_t agent = this->pick(this->agents.size());
    switch (this->pick(11)) {
    case 0:
        this->note("fault: entry killed " + std::to_string(entry));
        this->killEntry(entry, milliseconds(300) + this->jitter(milliseconds(4000)));
        break;
    case 1:
        this->note("fault: entry stalled " + std::to_string(entry));
        this->extendLeaderFaultPeriod(length);
        this->entries[entry].stalledUntil = std::max(this->entries[entry].stalledUntil, this->now + length);
        break;
    case 2:
        this->note("fault: entry cut from the store " + std::to_string(entry));
        this->extendLeaderFaultPeriod(length);
        this->entries[entry].storeCut = true;
        this->after(length, [this, entry]() { this->entries[entry].storeCut = false; });
        break;
    case 3:
        this->note("fault: store down");
        this->extendLeaderFaultPeriod(length / 2);
        this->storeDownUntil = this->now + length / 2;
        break;
    case 4:
        this->note("fault: answers of the store lost");
        this->extendLeaderFaultPeriod(length);
        this->answerLossProbability = 0.35;
        this->after(length, [this]() { this->answerLossProbability = 0; });
        break;
    case 5:
        this->note("fault: agent killed " + std::to_string(agent));
        this->killAgent(agent, milliseconds(300) + this->jitter(milliseconds(4000)));
        break;
    case 6:
        this->note("fault: agent stalled " + std::to_string(agent));
        this->agents[agent].stalledUntil = std::max(this->agents[agent].stalledUntil, this->now + length);
        break;
    case 7:
        this->note("fault: links cut " + std::to_string(entry) + "-" + std::to_string(agent));
        this->cuts.insert({ entry, agent });
        this->after(length, [this, entry, agent]() {
            this->cuts.erase({ entry, agent });
            this->deliverHeldMessages(entry, agent);
        });
        break;
    case 8:
        this->note("fault: worker killed " + std::to_string(agent));
        this->killWorker(agent, length / 2);
        break;
    case 9:
        this->note("fault: calls to workers late");
        this->lateOrderProbability = 0.2;
        this->after(length, [this]() { this->lateOrderProbability = 0; });
        break;
    default:
        this->note("fault: all entries and agents killed");
        for (std::size_t index = 0; index < this->entries.size(); ++index)
            this->killEntry(index, milliseconds(700));
        for (std::size_t index = 0; index < this->agents.size(); ++index)
            this->killAgent(index, milliseconds(700));
        break;
    }
}

void JobSimulation::injectWorkerFault(WorkerFault fault)
{
    const Duration length = milliseconds(200) + this->jitter(milliseconds(6000));
    const std::size_t index = this->pick(this->workers.size());
    WorkerNode& worker = this->workers[index];
    const bool instantaneous = fault == WorkerFault::LossWithLeader || fault == WorkerFault::Overload || fault == WorkerFault::TotalPowerLoss || fault == WorkerFault::SilentLinks || fault == WorkerFault::SilentStore || fault == WorkerFault::LaggingFeed || fault == WorkerFault::Evacuation;
    this->extendFaultPeriod(instantaneous ? Duration {} : length);
    switch (fault) {
    case WorkerFault::ClockStep:
        this->stepClock(index, length);
        break;
    case WorkerFault::Flapping:
        this->note("fault: " + worker.id + " crashes and restarts repeatedly");
        this->flapWorker(index, this->now + length);
        break;
    case WorkerFault::Refusal:
        this->note("fault: " + worker.id + " refuses starts");
        worker.refusesUntil = this->now + length;
        break;
    case WorkerFault::Cut:
        this->note("fault: " + worker.id + " is cut off from its agent");
        worker.cutUntil = this->now + length;
        break;
    case WorkerFault::Replacement:
        this->replaceWorker(index, length / 2);
        break;
    case WorkerFault::ForeignHeartbeat:
        this->sendForeignHeartbeat(index);
        break;
    case WorkerFault::LateSignOff:
        this->note("fault: late sign-off of " + worker.id);
        this->deliverToAgent(index, this->agents[index].incarnation, WorkerSignedOff { worker.id });
        break;
    case WorkerFault::PowerLoss:
        this->note("fault: agent and worker lose power " + std::to_string(index));
        this->killAgent(index, length);
        this->killWorker(index, length);
        break;
    case WorkerFault::LossWithLeader:
        this->loseWithLeader(index);
        break;
    case WorkerFault::StandStill:
        this->note("fault: runs on " + worker.id + " stand still");
        worker.standsStillUntil = this->now + length;
        break;
    case WorkerFault::Overload:
        this->note("fault: all workers are overloaded");
        this->overloadUntil = this->now + length * 4;
        break;
    case WorkerFault::TotalPowerLoss:
        this->losePowerEverywhere(index);
        break;
    case WorkerFault::PlannedStop:
        this->stopAsPlanned(index);
        break;
    case WorkerFault::AgentReplacement:
        this->replaceAgent(index, length / 2);
        break;
    case WorkerFault::SlowProcess:
        this->slowDown(index, length);
        break;
    case WorkerFault::OneWayCut:
        this->cutOneWay(index, length);
        break;
    case WorkerFault::SilentLinks:
        this->silenceLinks(index);
        break;
    case WorkerFault::SilentStore:
        this->note("fault: the store is silent");
        this->extendLeaderFaultPeriod(length / 2);
        this->storeDownUntil = this->now + length / 2;
        break;
    case WorkerFault::LaggingFeed:
        this->note("fault: feeds lag");
        // Without current knowledge of cancellations nothing may be started, long-running tasks included.
        this->extendFaultPeriod(length + feedLag * 3);
        this->extendLeaderFaultPeriod(length + feedLag * 3);
        this->feedLagsUntil = this->now + length + feedLag * 2;
        break;
    case WorkerFault::Evacuation:
        // Long enough for starts after the bound; while both failure domains are evacuated, no task has to run.
        this->evacuate(domainOf(index), length * 2);
        if (this->chance(0.2))
            this->evacuate(domainOf(index + 1), length);
        break;
    }
}

void JobSimulation::losePowerEverywhere(std::size_t index)
{
    constexpr Duration restartTime = milliseconds(500);
    constexpr Duration downtime = seconds(15);
    this->note("fault: all lose power; the leader and agent " + std::to_string(index) + " stay down");
    const TimePoint calm = std::max(this->faultsEndAt, this->now + restartTime);
    this->killLeader(downtime);
    this->killAgent(index, downtime);
    this->killWorker(index, downtime);
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (this->entries[entry].up)
            this->killEntry(entry, restartTime);
    }
    for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
        if (this->agents[agent].up)
            this->killAgent(agent, restartTime);
        if (this->workers[agent].up)
            this->killWorker(agent, restartTime);
    }
    this->faultsEndAt = calm;
}

void JobSimulation::killLeader(Duration downtime)
{
    // At least one entry must stay up to take over.
    const std::ptrdiff_t up = std::count_if(this->entries.begin(), this->entries.end(), [](const EntryNode& node) { return node.up; });
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (this->entries[entry].up && this->entries[entry].machine->isActiveLeader() && up > 1)
            this->killEntry(entry, downtime);
    }
}

void JobSimulation::stopAsPlanned(std::size_t agent)
{
    const std::size_t entry = this->pick(this->entries.size());
    const Duration downtime = milliseconds(500) + this->jitter(seconds(2));
    if (this->chance(0.5)) {
        this->note("fault: agent " + std::to_string(agent) + " is stopped");
        this->killAgent(agent, downtime);
        return;
    }
    this->note("fault: entry " + std::to_string(entry) + " is stopped");
    this->deliverToEntry(entry, this->entries[entry].incarnation, ReleaseRequested {});
    this->after(milliseconds(300), [this, entry, downtime]() { this->killEntry(entry, downtime); });
}

void JobSimulation::replaceAgent(std::size_t index, Duration downtime)
{
    this->note("fault: agent " + this->agents[index].name + " is replaced");
    this->killAgent(index, downtime);
    this->replaceWorker(index, downtime);
    this->agents[index].name = "agent-" + std::to_string(index) + "-" + std::to_string(this->version);
}

void JobSimulation::slowDown(std::size_t agent, Duration length)
{
    const std::size_t entry = this->pick(this->entries.size());
    const TimePoint until = this->now + length;
    if (this->chance(0.5)) {
        this->note("fault: agent " + std::to_string(agent) + " is slow");
        this->agents[agent].slowUntil = until;
    } else {
        this->note("fault: entry " + std::to_string(entry) + " is slow");
        this->entries[entry].slowUntil = until;
    }
}

void JobSimulation::cutOneWay(std::size_t agent, Duration length)
{
    const std::size_t entry = this->pick(this->entries.size());
    const bool toAgentSide = this->chance(0.5);
    this->note("fault: link cut one way " + std::to_string(entry) + (toAgentSide ? " to " : " from ") + std::to_string(agent));
    this->oneWayCuts.insert({ entry, agent, toAgentSide });
    this->after(length, [this, entry, agent, toAgentSide]() {
        this->oneWayCuts.erase({ entry, agent, toAgentSide });
        this->deliverHeldMessages(entry, agent);
    });
}

void JobSimulation::silenceLinks(std::size_t agent)
{
    const bool toAgentSide = this->chance(0.7);
    const bool toEntrySide = !toAgentSide || this->chance(0.3);
    this->note("fault: links of agent " + std::to_string(agent) + " go silent " + (toAgentSide ? "towards it " : "") + (toEntrySide ? "from it" : ""));
    for (std::map<std::uint64_t, Link>::value_type& item : this->links) {
        Link& link = item.second;
        if (link.agent != agent || !link.entryOpen)
            continue;
        link.silentToAgent = link.silentToAgent || toAgentSide;
        link.silentToEntry = link.silentToEntry || toEntrySide;
        if (link.silentToAgent)
            this->after(agentSilenceLimit, [this, id = item.first]() { this->closeLink(id); });
    }
}

void JobSimulation::loseWithLeader(std::size_t index)
{
    constexpr Duration downtime = seconds(15);
    this->note("fault: agent, worker and leader fail together " + std::to_string(index));
    // The loss counts as over at once: the other processes must restart the tasks while these ones stay down.
    const TimePoint calm = std::max(this->faultsEndAt, this->now);
    this->killAgent(index, downtime);
    this->killWorker(index, downtime);
    this->killLeader(downtime);
    this->faultsEndAt = calm;
}

void JobSimulation::stepClock(std::size_t index, Duration length)
{
    WorkerNode& worker = this->workers[index];
    worker.clockStep = milliseconds(this->chance(0.5) ? 2000 : -2000);
    this->note("fault: clock of " + worker.id + " steps by " + std::to_string(toMilliseconds(worker.clockStep)) + " ms");
    this->after(length, [this, index]() { this->workers[index].clockStep = Duration {}; });
    if (this->chance(0.5))
        this->killWorker(index, milliseconds(300));
}

void JobSimulation::replaceWorker(std::size_t index, Duration downtime)
{
    WorkerNode& worker = this->workers[index];
    this->note("fault: " + worker.id + " is replaced");
    this->killWorker(index, downtime);
    worker.id = "worker-" + std::to_string(index) + "-" + std::to_string(this->version);
}

void JobSimulation::sendForeignHeartbeat(std::size_t index)
{
    const WorkerNode& worker = this->workers[index];
    const std::int64_t startedAtMs = worker.startedAtMs + (this->chance(0.5) ? 1 : 1'000'000'000);
    const WorkerIdentity identity { this->chance(0.5) ? worker.id : "other-writer", startedAtMs };
    const WorkerInfo info { identity, this->chance(0.5) ? "service" : "other-service", this->config.workerCapacity, {}, false, {} };
    this->note("fault: heartbeat of another writer at the agent of " + worker.id + ": " + identity.id + ", start time " + std::to_string(startedAtMs) + ", " + info.service);
    this->deliverToAgent(index, this->agents[index].incarnation, WorkerHeartbeat { info });
}

void JobSimulation::killWorker(std::size_t index, Duration downtime)
{
    this->extendFaultPeriod(downtime);
    WorkerNode& worker = this->workers[index];
    for (const std::map<RunId, Run>::value_type& item : worker.running) {
        OracleJob& oracleJob = this->jobs.at(item.first.task.job);
        if (oracleJob.longRunningTasks.contains(item.first.task))
            oracleJob.longRunningTasks.at(item.first.task).lastRun = this->now;
    }
    worker.up = false;
    worker.downUntil = std::max(worker.downUntil, this->now + downtime);
    worker.running.clear();
    this->after(downtime, [this, index]() {
        if (!this->workers[index].up && this->now >= this->workers[index].downUntil)
            this->startWorker(index);
    });
}

void JobSimulation::flapWorker(std::size_t index, TimePoint end)
{
    constexpr Duration gap = milliseconds(700);
    if (this->now >= end)
        return;
    this->killWorker(index, gap);
    this->after(gap * 2, [this, index, end]() { this->flapWorker(index, end); });
}

void JobSimulation::killEntry(std::size_t index, Duration downtime)
{
    this->extendFaultPeriod(downtime);
    this->extendLeaderFaultPeriod(downtime);
    this->entries[index].up = false;
    this->closeLinks([index](const Link& link) { return link.entry == index; });
    this->after(downtime, [this, index]() {
        if (!this->entries[index].up)
            this->startEntry(index);
    });
}

void JobSimulation::killAgent(std::size_t index, Duration downtime)
{
    this->extendFaultPeriod(downtime);
    this->agents[index].up = false;
    this->closeLinks([index](const Link& link) { return link.agent == index; });
    this->after(downtime, [this, index]() {
        if (!this->agents[index].up)
            this->startAgent(index);
    });
}

void JobSimulation::recover()
{
    this->note("all faults ended");
    this->extendFaultPeriod(Duration {});
    for (const std::map<JobId, OracleJob>::value_type& item : this->jobs) {
        if (!item.second.longRunningTasks.empty() && !item.second.cancelledAt)
            this->after(longRunningCancelDelay, [this, job = item.first]() { this->cancel(job); });
    }
    this->answerLossProbability = 0;
    this->lateOrderProbability = 0;
    this->storeDownUntil = this->now;
    this->evacuatedSince.clear();
}

void JobSimulation::extendFaultPeriod(Duration length)
{
    // Processes that were killed or cut off are back within half a second after that time.
    this->faultsEndAt = std::max(this->faultsEndAt, this->now + length);
}

void JobSimulation::extendLeaderFaultPeriod(Duration length)
{
    this->leaderFaultsEndAt = std::max(this->leaderFaultsEndAt, this->now + length);
}

void JobSimulation::checkWaitingCounts()
{
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    for (std::map<JobId, OracleJob>::value_type& item : this->jobs) {
        OracleJob& oracleJob = item.second;
        if (this->isWaiting(item.first, oracleJob))
            oracleJob.notWaitingSince.reset();
        else if (!oracleJob.notWaitingSince)
            oracleJob.notWaitingSince = this->now;
        least += !oracleJob.begun && !oracleJob.cancelledAt && this->now > oracleJob.storedAt + visibilityTime + maximumCountAge ? 1 : 0;
        most += !oracleJob.notWaitingSince || this->now <= *oracleJob.notWaitingSince + maximumCountAge ? 1 : 0;
    }
    const std::uint32_t count = this->waitingCount();
    const bool tooLow = count < least && this->now >= this->leaderFaultsEndAt + contactTime;
    const bool tooHigh = count > most && this->now >= std::max(this->faultsEndAt, this->leaderFaultsEndAt) + recoveryTime;
    if ((tooLow || tooHigh) && !std::exchange(this->reportedWaitingCount, true))
        this->recordViolation(std::to_string(count) + " jobs are stored as waiting, but " + std::to_string(least) + " to " + std::to_string(most) + " wait");
    this->after(waitingCheckInterval, [this]() { this->checkWaitingCounts(); });
}

std::uint32_t JobSimulation::waitingCount() const
{
    const std::map<RowKey, Row>::const_iterator row = this->rows.find(pendingRowKey());
    const std::optional<PendingCounts> counts = row == this->rows.end() ? std::nullopt : parsePendingCounts(row->second.value);
    return counts && counts->contains("queue") ? counts->at("queue") : 0;
}

bool JobSimulation::isWaiting(const JobId& id, const OracleJob& oracleJob) const
{
    if (oracleJob.cancelledAt)
        return false;
    const bool runs = std::any_of(this->workers.begin(), this->workers.end(), [&id](const WorkerNode& worker) {
        const std::map<RunId, Run>::const_iterator first = worker.running.lower_bound({ { id, 0, 0 }, 0 });
        return worker.up && first != worker.running.end() && first->first.task.job == id;
    });
    if (runs)
        return false;
    const std::map<RowKey, Row>::const_iterator row = this->rows.find(progressRowKey(id));
    const std::optional<ProgressRecord> record = row == this->rows.end() ? std::nullopt : parseProgressRecord(row->second.value);
    return !record || !isTerminal(record->state);
}

void JobSimulation::checkLongRunningTasks()
{
    for (std::map<JobId, OracleJob>::value_type& item : this->jobs) {
        if (item.second.cancelledAt)
            continue;
        for (std::map<TaskId, OracleLongRunningTask>::value_type& task : item.second.longRunningTasks)
            this->checkLongRunningTask(task.first, item.second.spec->steps[task.first.step], task.second);
    }
    this->after(longRunningCheckInterval, [this]() { this->checkLongRunningTasks(); });
}

void JobSimulation::checkLongRunningTask(const TaskId& id, const StepSpec& step, OracleLongRunningTask& task)
{
    const bool excused = this->running(id) || this->now < task.lastRun + restartLimit || this->now < this->faultsEndAt + recoveryTime || this->headroomFor(step) < 2;
    if (excused) {
        task.missingSince.reset();
        return;
    }
    if (!task.missingSince)
        task.missingSince = this->now;
    if (task.reported || this->now < *task.missingSince + restartWindow)
        return;
    task.reported = true;
    this->recordViolation(describe(id) + " is long-running and has no run, although workers have headroom for it");
}

bool JobSimulation::running(const TaskId& id) const
{
    return std::any_of(this->workers.begin(), this->workers.end(), [&id](const WorkerNode& worker) {
        const std::map<RunId, Run>::const_iterator first = worker.running.lower_bound({ id, 0 });
        return worker.up && first != worker.running.end() && first->first.task == id;
    });
}

std::uint32_t JobSimulation::headroomFor(const StepSpec& step) const
{
    std::uint32_t count = 0;
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        const WorkerNode& worker = this->workers[index];
        if (this->evacuatedSince.contains(domainOf(index)))
            continue;
        ResourceVector free = this->config.workerCapacity;
        for (const std::map<RunId, Run>::value_type& item : worker.running)
            free = free.minus(this->jobs.at(item.first.task.job).spec->steps[item.first.task.step].countedDemand());
        for (; worker.up && free.covers(step.countedDemand()); free = free.minus(step.countedDemand()))
            ++count;
    }
    return count;
}

void JobSimulation::checkFinalState()
{
    for (const std::map<JobId, OracleJob>::value_type& item : this->jobs) {
        const std::map<RowKey, Row>::const_iterator row = this->rows.find(progressRowKey(item.first));
        const std::optional<ProgressRecord> record = row == this->rows.end() ? std::nullopt : parseProgressRecord(row->second.value);
        if (!record || !isTerminal(record->state)) {
            this->recordViolation("job " + item.first.text + " has not ended");
            continue;
        }
        if (record->state == JobState::Failed && std::none_of(item.second.failures.begin(), item.second.failures.end(), [&item](const std::map<TaskId, std::uint32_t>::value_type& failures) { return failures.second >= item.second.spec->attempts; }))
            this->recordViolation("job " + item.first.text + " is stored as failed without cause");
        std::size_t tasks = 0;
        for (const StepSpec& step : item.second.spec->steps)
            tasks += step.count;
        if (record->state == JobState::Done && item.second.done.size() != tasks)
            this->recordViolation("job " + item.first.text + " is stored as done although not all of its tasks are");
    }
    for (const WorkerNode& worker : this->workers) {
        if (worker.up && !worker.running.empty())
            this->recordViolation(worker.id + " still runs " + describe(worker.running.begin()->first));
        if (worker.up && !worker.ended.empty())
            this->recordViolation(worker.id + " still lists " + describe(worker.ended.front().run));
    }
}

}
