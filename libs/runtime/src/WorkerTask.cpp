#include "cowslipdoor/runtime/WorkerTask.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/Process.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include "cowslipdoor/runtime/TurnWatch.h"
#include <algorithm>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/scheduling/Rows.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr std::size_t inboxCapacity = 4096;

    /// Delay before a failed registration is retried.
    constexpr Duration registrationRetryDelay = std::chrono::milliseconds(200);

    /// Silence that closes a link of a leader, which sends a renewal grant every 400 ms. The limit is long, because a stall of
    /// the leader is no reason to close the link and the leader dials again by itself.
    constexpr Duration leaderSilenceLimit = std::chrono::milliseconds(5000);

    constexpr const char* workerCallName = "call to the worker";

}

WorkerTask::WorkerTask(asio::any_io_executor executor, WorkerMachineConfig config, WorkerPort worker, const Log& log, Metrics& metrics)
    : executor(std::move(executor))
    , machine(std::move(config), bootTimeNow())
    , worker(std::move(worker))
    , log(log)
    , metrics(metrics)
    , messages(makeMailbox<WorkerInput>(this->executor, inboxCapacity))
    , timer(this->executor)
{
}

void WorkerTask::start()
{
    spawnTask(this->executor, "WorkerTask", [this]() { return this->run(); });
}

asio::awaitable<void> WorkerTask::run()
{
    while (true) {
        this->armTimer();
        const std::tuple<error_code, WorkerInput> received = co_await this->messages->async_receive(asTuple);
        if (std::get<0>(received))
            co_return;
        std::visit([this](const auto& message) { this->on(message); }, std::get<1>(received));
    }
}

void WorkerTask::on(const WorkerEvent& event)
{
    const LeaderDetached* const detached = std::get_if<LeaderDetached>(&event);
    if (detached)
        this->links.erase(detached->link);
    const TimePoint begin = monotonicNow();
    const WorkerMachine::Effects effects = this->machine.step(event, bootTimeNow());
    for (const WorkerEffect& effect : effects)
        std::visit([this](const auto& alternative) { this->carryOut(alternative); }, effect);
    recordTurn("WorkerTask", monotonicNow() - begin, effects.size(), this->log, this->metrics);
}

void WorkerTask::on(const LeaderLinkOpened& message)
{
    this->links.insert_or_assign(message.link, message.outbox);
    this->on(WorkerEvent(LeaderAttached { message.link }));
}

void WorkerTask::on(const WorkerStatusQuery& query)
{
    trySend(*query.reply, WorkerTaskStatus { this->machine.worker(), this->machine.settled(), this->machine.spareSlackShare() });
}

void WorkerTask::carryOut(const CallPoll& effect)
{
    this->spawnCall(this->worker.poll, effect);
}

void WorkerTask::carryOut(const CallStart& effect)
{
    this->spawnCall(this->worker.start, effect);
}

void WorkerTask::carryOut(const CallStop& effect)
{
    this->spawnCall(this->worker.stop, effect);
}

void WorkerTask::carryOut(const CallPace& effect)
{
    this->spawnCall(this->worker.pace, effect);
}

void WorkerTask::carryOut(const SendToLeader& effect)
{
    const std::map<LinkId, JobOutbox>::iterator it = this->links.find(effect.link);
    if (it == this->links.end() || queueForPeer(it->second, toJobMessage(effect.report), "leader", this->log, this->metrics))
        return;
    it->second->close();
    this->links.erase(it);
}

void WorkerTask::carryOut(const CloseLeaderLink& effect)
{
    const std::map<LinkId, JobOutbox>::iterator it = this->links.find(effect.link);
    if (it != this->links.end())
        trySend(*it->second, JobOutboxMessage(EndLink {}));
}

void WorkerTask::carryOut(const RecordEvent& effect)
{
    this->metrics.countEvent(effect.event);
    this->log.record(effect.event, effect.detail);
}

template <typename Call>
void WorkerTask::spawnCall(const std::function<asio::awaitable<WorkerEvent>(Call)>& function, const Call& call)
{
    const Mailbox<WorkerInput> inbox = this->messages;
    const auto body = [this, inbox, &function, call]() -> asio::awaitable<void> {
        const WorkerEvent event = co_await this->callWorker(function, call);
        const WorkerInput input(event);
        co_await send(inbox, input);
    };
    spawnOperation(this->executor, workerCallName, body, this->log, this->metrics);
}

template <typename Call>
asio::awaitable<WorkerEvent> WorkerTask::callWorker(const std::function<asio::awaitable<WorkerEvent>(Call)>& function, const Call& call)
{
    try {
        const WorkerEvent event = co_await function(call);
        co_return event;
    } catch (const std::exception& error) {
        recordConnectionFault(this->log, this->metrics, std::string(workerCallName) + ": " + error.what());
    }
    // The worker may have taken the call, as after a lost answer.
    co_return CallUnanswered { call.call };
}

void WorkerTask::armTimer()
{
    const std::optional<TimePoint> wakeup = this->machine.nextWakeup();
    if (!wakeup) {
        this->timer.cancel();
        return;
    }
    this->timer.expires_after(std::max(Duration {}, *wakeup - bootTimeNow()));
    const Mailbox<WorkerInput> inbox = this->messages;
    this->timer.async_wait([inbox](error_code error) {
        if (!error)
            trySend(*inbox, WorkerInput(WorkerEvent(TimePassed {})));
    });
}

LeaderLinkServer::LeaderLinkServer(asio::any_io_executor executor, const std::string& address, Mailbox<WorkerInput> agent, ClientLimiter& limiter, std::size_t helloLimit, const Log& log, Metrics& metrics)
    : agent(std::move(agent))
    , limiter(limiter)
    , port(limiter.addPort(helloLimitName, helloLimit))
    , log(log)
    , metrics(metrics)
    , listener(std::move(executor), address, limiter.guarded([this](tcp::socket socket) { return this->serve(std::move(socket)); }))
{
}

void LeaderLinkServer::start()
{
    this->listener.start();
}

asio::awaitable<void> LeaderLinkServer::serve(tcp::socket socket)
{
    const std::shared_ptr<JobStream> stream = std::make_shared<JobStream>(std::move(socket), [this](const JobMessage&, std::size_t bytes) { this->metrics.countControlBytes(bytes); });
    std::unique_ptr<ClientTicket> ticket = this->limiter.admit(this->port, [stream]() { stream->close(); });
    if (!ticket)
        co_return;
    stream->setSilenceLimit(leaderSilenceLimit);
    stream->setFrameLimit(firstFrameBytes);
    stream->startWriter();
    const LinkId link { ++this->lastLink };
    const WorkerInput attached(LeaderLinkOpened { link, stream->outbox() });
    co_await send(this->agent, attached);
    co_await this->relayAll(link, stream, std::move(ticket));
    stream->close();
    const WorkerInput detached(WorkerEvent(LeaderDetached { link }));
    co_await send(this->agent, detached);
}

asio::awaitable<void> LeaderLinkServer::relayAll(LinkId link, std::shared_ptr<JobStream> stream, std::unique_ptr<ClientTicket> ticket)
{
    try {
        while (true) {
            const JobMessage message = co_await stream->receive();
            const std::optional<LeaderMessage> received = fromJobMessage<LeaderMessage>(message);
            if (!received)
                throw Error(ErrorKind::BadFrame, "a leader sent a message that only an agent may send");
            if (ticket)
                stream->setFrameLimit(wire::maximumPayloadBytes);
            ticket.reset();
            const WorkerInput input(WorkerEvent(LeaderMessageReceived { link, *received }));
            co_await send(this->agent, input);
        }
    } catch (const Error& error) {
        this->metrics.countEvent(EventId::FrameRefused);
        this->log.record(EventId::FrameRefused, error.what());
    } catch (const boost::system::system_error& error) {
        this->log.record(stream->closedForSilence() ? EventId::LinkSilent : EventId::LinkClosed, error.code().message());
    } catch (const std::exception& error) {
        this->limiter.recordFault(error.what());
    }
}

asio::awaitable<void> registerAgent(StorePort store, std::string agent, std::string address, Mailbox<WorkerInput> inbox, const Log& log)
{
    const RowKey key = agentRowKey(agent);
    while (true) {
        const RowRange range = rangeOf(key);
        const ReadResult read = co_await store.read(range);
        const RowPage* const page = std::get_if<RowPage>(&read);
        if (page) {
            const bool present = !page->rows.empty();
            const std::optional<AgentRecord> before = present ? parseAgentRecord(page->rows.front().value) : std::nullopt;
            const AgentRecord next { address, before ? before->generation + 1 : 1 };
            const Transaction transaction { { { key, present ? page->rows.front().version : 0 } }, { { key, print(next) } }, {} };
            const TransactionResult result = co_await store.transact(transaction, storeCallLimit);
            if (std::holds_alternative<Applied>(result)) {
                log.record(EventId::GenerationTaken, std::to_string(next.generation) + ", from the store");
                const WorkerInput granted(WorkerEvent(GenerationGranted { next.generation }));
                co_await send(inbox, granted);
                co_return;
            }
        }
        co_await pauseFor(registrationRetryDelay);
    }
}

}
