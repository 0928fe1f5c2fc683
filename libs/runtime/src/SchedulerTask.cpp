#include "cowslipdoor/runtime/SchedulerTask.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/Process.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include "cowslipdoor/runtime/TurnWatch.h"
#include <algorithm>
#include <cowslipdoor/scheduling/TableEvents.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr std::size_t inboxCapacity = 4096;

    /// Delay before a failed read is retried.
    constexpr Duration tableRetryDelay = std::chrono::milliseconds(150);

}

SchedulerTask::SchedulerTask(asio::any_io_executor executor, SchedulerConfig config, StorePort store, LearnedHandler onLearned, const Log& log, Metrics& metrics)
    : executor(std::move(executor))
    , machine(std::move(config))
    , store(std::move(store))
    , onLearned(std::move(onLearned))
    , log(log)
    , metrics(metrics)
    , messages(makeMailbox<SchedulerInput>(this->executor, inboxCapacity))
    , timer(this->executor)
    , dialer(
          this->executor, AgentDialerConfig {}, [this](SchedulerEvent event) { return this->post(std::move(event)); }, log, metrics)
{
}

void SchedulerTask::start()
{
    spawnTask(this->executor, "SchedulerTask", [this]() { return this->run(); });
}

asio::awaitable<void> SchedulerTask::run()
{
    this->on(SchedulerEvent(TimePassed {}));
    while (true) {
        this->armTimer();
        const std::tuple<error_code, SchedulerInput> received = co_await this->messages->async_receive(asTuple);
        if (std::get<0>(received))
            co_return;
        std::visit([this](const auto& message) { this->on(message); }, std::get<1>(received));
    }
}

void SchedulerTask::on(const SchedulerEvent& event)
{
    const TimePoint begin = monotonicNow();
    const Scheduler::Effects effects = this->machine.step(event, bootTimeNow());
    for (const SchedulerEffect& effect : effects)
        std::visit([this](const auto& alternative) { this->carryOut(alternative); }, effect);
    recordTurn("SchedulerTask", monotonicNow() - begin, effects.size(), this->log, this->metrics);
}

void SchedulerTask::on(const SchedulerStatusQuery& query)
{
    const TimePoint now = bootTimeNow();
    SchedulerStatus status;
    status.leading = this->machine.isActiveLeader();
    status.epoch = this->machine.lease().epoch();
    status.leader = this->machine.lease().record().holder;
    status.jobs = this->machine.jobs().jobs().size();
    status.waitingJobs = this->machine.jobs().waiting().size();
    status.knowledgeAge = this->machine.knowledgeAge(now);
    status.unmatchedCancellations = this->machine.unmatchedCancellationCount();
    status.idleLongRunningTasks = this->machine.idleLongRunningTasks();
    status.evacuationKnowledgeAge = this->machine.evacuations().age(now);
    status.evacuatedDomains = this->machine.evacuatedDomains();
    status.tasksAwaitingPlace = this->machine.tasksAwaitingPlace();
    for (const Workers::value_type& item : this->machine.workers()) {
        const TrackedWorker& worker = item.second;
        status.workers.push_back({ item.first, worker.info ? worker.info->identity.id : "", worker.link.has_value(), worker.usable(now), worker.tasks.size(), worker.free(), worker.failureDomain });
    }
    trySend(*query.reply, std::move(status));
}

void SchedulerTask::on(const JobListQuery& query)
{
    JobList list { .leading = this->machine.isActiveLeader(), .leader = this->machine.lease().record().holder };
    if (list.leading)
        list.lines = listJobs(this->machine.jobs(), bootTimeNow());
    trySend(*query.reply, std::move(list));
}

void SchedulerTask::on(const BurnQuery& query)
{
    trySend(*query.reply, this->machine.burn().series(bootTimeNow()));
}

void SchedulerTask::on(const ExplainQuery& query)
{
    PlacementExplanation explanation { .leading = this->machine.isActiveLeader(), .leader = this->machine.lease().record().holder };
    if (explanation.leading)
        explanation.steps = this->machine.explain(query.spec, bootTimeNow());
    trySend(*query.reply, std::move(explanation));
}

void SchedulerTask::carryOut(const ReadLeaderRow&)
{
    spawnOperation(
        this->executor, "reading of the leader's row", [this]() { return this->readLeaderRow(); }, this->log, this->metrics);
}

void SchedulerTask::carryOut(const SubmitCommit& effect)
{
    spawnOperation(
        this->executor, "write of the leader", [this, transaction = effect.transaction]() { return this->submit(transaction); }, this->log, this->metrics);
}

void SchedulerTask::carryOut(const ReadTables& effect)
{
    this->stopFollowing();
    this->follower = std::make_shared<TableFollower>();
    this->follower->epoch = effect.epoch;
    spawnTask(this->executor, "reading of the tables", [this, follower = this->follower]() { return this->readTables(follower); });
}

void SchedulerTask::carryOut(const StopLeading&)
{
    this->stopFollowing();
    this->dialer.closeAll();
}

void SchedulerTask::carryOut(const KeepAgentLinked& effect)
{
    this->dialer.keepLinked(effect.agent, effect.address);
}

void SchedulerTask::carryOut(const SendToAgent& effect)
{
    this->dialer.send(effect.link, toJobMessage(effect.message));
}

void SchedulerTask::carryOut(const ObserveJob& effect)
{
    this->metrics.observeJob(effect.queue, std::string(toString(effect.state)), effect.latency);
}

void SchedulerTask::carryOut(const ReportLearned& effect)
{
    this->onLearned(effect.upTo);
}

void SchedulerTask::carryOut(const RecordEvent& effect)
{
    this->metrics.countEvent(effect.event);
    this->log.record(effect.event, effect.detail);
}

asio::awaitable<void> SchedulerTask::readLeaderRow()
{
    const RowRange range = rangeOf(leaderRowKey());
    const ReadResult result = co_await this->store.read(range);
    const RowPage* const page = std::get_if<RowPage>(&result);
    if (!page) {
        recordContact(this->rowReads.failed(std::get<StoreRefused>(result).reason, bootTimeNow()), this->log, this->metrics);
        const SchedulerEvent unread = LeaderRowReadFailed {};
        co_await this->post(unread);
        co_return;
    }
    recordContact(this->rowReads.answered(bootTimeNow()), this->log, this->metrics);
    const bool present = !page->rows.empty();
    const SchedulerEvent read = LeaderRowRead { present ? parseLeaderRecord(page->rows.front().value) : std::nullopt, present ? page->rows.front().version : 0 };
    co_await this->post(read);
}

asio::awaitable<void> SchedulerTask::submit(Transaction transaction)
{
    const TransactionResult result = co_await this->store.transact(std::move(transaction), storeCallLimit);
    this->noteWrite(result);
    const SchedulerEvent finished = CommitFinished { result };
    co_await this->post(finished);
}

void SchedulerTask::noteWrite(const TransactionResult& result)
{
    const StoreRefused* const refused = std::get_if<StoreRefused>(&result);
    const OutcomeAmbiguous* const ambiguous = std::get_if<OutcomeAmbiguous>(&result);
    const TimePoint now = bootTimeNow();
    if (refused)
        recordContact(this->writes.failed(refused->reason, now), this->log, this->metrics);
    else if (ambiguous)
        recordContact(this->writes.failed(ambiguous->reason, now), this->log, this->metrics);
    else
        recordContact(this->writes.answered(now), this->log, this->metrics);
}

asio::awaitable<void> SchedulerTask::readTables(std::shared_ptr<TableFollower> follower)
{
    using namespace asio::experimental::awaitable_operators;

    // Only the leader writes progress and models, and its earlier holder can no longer do so; a job that is stored meanwhile
    // comes with the feed. So the tables can be read at the same time, which takes the round trips of one table only.
    const TimePoint jobsAsOf = bootTimeNow();
    const std::tuple<RowPage, RowPage, RowPage, RowPage> pages = co_await (this->readAgents(follower) && this->readTableUntilDone(follower, jobTable) && this->readTableUntilDone(follower, progressTable) && this->readTableUntilDone(follower, modelTable));
    const RowPage& agents = std::get<0>(pages);
    const RowPage& jobs = std::get<1>(pages);
    const RowPage& progress = std::get<2>(pages);
    const RowPage& models = std::get<3>(pages);
    if (follower->stopped)
        co_return;
    std::vector<Row> rows = jobs.rows;
    rows.insert(rows.end(), progress.rows.begin(), progress.rows.end());
    rows.insert(rows.end(), agents.rows.begin(), agents.rows.end());
    rows.insert(rows.end(), models.rows.begin(), models.rows.end());
    for (const RowPage* const page : { &jobs, &progress, &agents, &models })
        this->recordAllIgnored(page->unreadable);
    const DecodedTables tables = decodeTables(follower->epoch, rows, timeOfDayMs(), jobs.version, jobsAsOf);
    this->recordAllIgnored(tables.ignored);
    const SchedulerEvent read = tables.read;
    co_await this->post(read);
    if (follower->stopped)
        co_return;
    this->followJobs(follower, jobs.version);
    this->followTable(follower, { .table = agentTable }, agents.version, {});
}

asio::awaitable<RowPage> SchedulerTask::readAgents(std::shared_ptr<TableFollower> follower)
{
    const RowPage agents = co_await this->readTableUntilDone(follower, agentTable);
    // Agents are linked and get renewal grants while the other tables are read.
    for (const Row& row : agents.rows)
        co_await this->postRow(row);
    co_return agents;
}

void SchedulerTask::followJobs(const std::shared_ptr<TableFollower>& follower, RowVersion after)
{
    const TableFeedConfig config { .table = jobTable, .wait = orderFeedWait, .comesFirst = [](const Row& row) { return cancelledJob(row.key).has_value(); } };
    this->followTable(follower, config, after, [this, follower](RowVersion version, TimePoint asOf) {
        return this->post(JobsFollowed { follower->epoch, version, asOf });
    });
}

asio::awaitable<RowPage> SchedulerTask::readTableUntilDone(std::shared_ptr<TableFollower> follower, std::string table)
{
    const TableParts parts = co_await this->listPartsUntilDone(follower, table);
    const SchedulerEvent listed = TablesProgress { follower->epoch };
    co_await this->post(listed);
    const Mailbox<RowPage> pages = makeMailbox<RowPage>(this->executor, parts.names.size());
    for (const std::string& part : parts.names) {
        const RowRange range { table, part, "", "" };
        spawnTask(this->executor, "reading of a table", [this, follower, range, pages]() { return this->readPartInto(follower, range, pages); });
    }
    RowPage whole { .rows = {}, .version = parts.version };
    for (std::size_t received = 0; received < parts.names.size(); ++received) {
        std::tuple<error_code, RowPage> page = co_await pages->async_receive(asTuple);
        appendPage(whole, std::move(std::get<1>(page)));
        const SchedulerEvent progress = TablesProgress { follower->epoch };
        co_await this->post(progress);
    }
    co_return whole;
}

asio::awaitable<TableParts> SchedulerTask::listPartsUntilDone(std::shared_ptr<TableFollower> follower, std::string table)
{
    while (!follower->stopped) {
        const TablePartsResult result = co_await listTableParts(this->store, table);
        const TableParts* const parts = std::get_if<TableParts>(&result);
        if (parts)
            co_return *parts;
        this->log.record(EventId::StoreLost, "the parts of " + table + " could not be listed: " + std::get<StoreRefused>(result).reason + "; retrying");
        co_await pauseFor(tableRetryDelay);
    }
    co_return TableParts {};
}

asio::awaitable<void> SchedulerTask::readPartInto(std::shared_ptr<TableFollower> follower, RowRange part, Mailbox<RowPage> pages)
{
    const RowPage page = co_await this->readPartUntilDone(follower, std::move(part));
    co_await send(pages, page);
}

asio::awaitable<RowPage> SchedulerTask::readPartUntilDone(std::shared_ptr<TableFollower> follower, RowRange part)
{
    while (!follower->stopped) {
        const ReadResult result = co_await this->store.read(part);
        const RowPage* const page = std::get_if<RowPage>(&result);
        if (page)
            co_return *page;
        this->log.record(EventId::StoreLost, part.table + " could not be read: " + std::get<StoreRefused>(result).reason + "; retrying");
        co_await pauseFor(tableRetryDelay);
    }
    co_return RowPage {};
}

void SchedulerTask::followTable(const std::shared_ptr<TableFollower>& follower, const TableFeedConfig& table, RowVersion after, TableFeed::CaughtUpHandler caughtUp)
{
    follower->feeds.push_back(std::make_unique<TableFeed>(
        this->store, table, [this, follower](Row row) { return follower->stopped ? this->ignoreRow() : this->postRow(std::move(row)); }, TableFeed::ContactHandler(), this->log, this->metrics));
    TableFeed* const feed = follower->feeds.back().get();
    feed->onCaughtUp(std::move(caughtUp));
    spawnTask(this->executor, "TableFeed", [follower, feed, after]() { return feed->run(after); });
}

asio::awaitable<void> SchedulerTask::post(SchedulerEvent event)
{
    const SchedulerInput input(std::move(event));
    co_await send(this->messages, input);
}

asio::awaitable<void> SchedulerTask::postRow(Row row)
{
    std::optional<SchedulerEvent> event = eventOf(row, timeOfDayMs());
    if (event)
        co_await this->post(std::move(*event));
    else if (!row.deleted)
        recordIgnored(row.key, this->log, this->metrics);
}

void SchedulerTask::recordAllIgnored(const std::vector<RowKey>& keys)
{
    for (const RowKey& key : keys)
        recordIgnored(key, this->log, this->metrics);
}

asio::awaitable<void> SchedulerTask::ignoreRow()
{
    co_return;
}

void SchedulerTask::stopFollowing()
{
    if (!this->follower)
        return;
    this->follower->stopped = true;
    for (const std::unique_ptr<TableFeed>& feed : this->follower->feeds)
        feed->stop();
    this->follower.reset();
}

void SchedulerTask::armTimer()
{
    const std::optional<TimePoint> wakeup = this->machine.nextWakeup();
    if (!wakeup) {
        this->timer.cancel();
        return;
    }
    // The clock of the state machine counts suspension and that of the timer does not, so the timer is set to the remaining time.
    this->timer.expires_after(std::max(Duration {}, *wakeup - bootTimeNow()));
    const Mailbox<SchedulerInput> inbox = this->messages;
    this->timer.async_wait([inbox](error_code error) {
        if (!error)
            trySend(*inbox, SchedulerInput(SchedulerEvent(TimePassed {})));
    });
}

}
