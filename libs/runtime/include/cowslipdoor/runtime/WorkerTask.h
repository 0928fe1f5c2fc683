#pragma once

/// @file
/// @brief The task that owns an agent's WorkerMachine, and the agent's server for links of leaders.

#include "Asio.h"
#include "ClientLimiter.h"
#include "FramedStream.h"
#include "Listener.h"
#include "Log.h"
#include "Metrics.h"
#include "StorePort.h"
#include "WorkerPort.h"
#include <cowslipdoor/scheduling/WorkerMachine.h>
#include <map>
#include <string>

namespace cowslipdoor::runtime {

/// @brief A link of a leader was opened.
struct LeaderLinkOpened {
    LinkId link {};
    JobOutbox outbox;
};

/// @brief State of the agent's worker for the status page.
struct WorkerTaskStatus {
    std::optional<WorkerInfo> worker {};
    bool settled = false;
    /// Share of the spare slack of serving runs that best-effort runs may take.
    double spareSlackShare = 0;
};

/// @brief Asks for the status.
struct WorkerStatusQuery {
    Mailbox<WorkerTaskStatus> reply;
};

/// @brief Any message to the agent's task for its worker.
using WorkerInput = std::variant<WorkerEvent, LeaderLinkOpened, WorkerStatusQuery>;

/// @brief Runs a WorkerMachine: passes it the messages and applies its effects.
/// @code
/// WorkerTask task(executor, config, worker, log, metrics);
/// task.start();
/// @endcode
class WorkerTask {
public:
    /// @param executor runs the tasks
    /// @param worker calls to the worker
    /// @param log receives the events
    /// @param metrics receives the counts
    WorkerTask(asio::any_io_executor executor, WorkerMachineConfig config, WorkerPort worker, const Log& log, Metrics& metrics);

    /// @brief Starts the task, which must outlive the run of the executor.
    void start();

    /// @return the mailbox for messages to the task
    [[nodiscard]] const Mailbox<WorkerInput>& inbox() const noexcept { return this->messages; }

private:
    asio::awaitable<void> run();
    void on(const WorkerEvent& event);
    void on(const LeaderLinkOpened& message);
    void on(const WorkerStatusQuery& query);
    void carryOut(const CallPoll& effect);
    void carryOut(const CallStart& effect);
    void carryOut(const CallStop& effect);
    void carryOut(const CallPace& effect);
    void carryOut(const SendToLeader& effect);
    void carryOut(const CloseLeaderLink& effect);
    void carryOut(const RecordEvent& effect);
    template <typename Call>
    void spawnCall(const std::function<asio::awaitable<WorkerEvent>(Call)>& function, const Call& call);
    /// Calls the worker; an unexpected error is logged and counts as a call without an answer.
    template <typename Call>
    asio::awaitable<WorkerEvent> callWorker(const std::function<asio::awaitable<WorkerEvent>(Call)>& function, const Call& call);
    void armTimer();

    asio::any_io_executor executor;
    WorkerMachine machine;
    WorkerPort worker;
    const Log& log;
    Metrics& metrics;
    Mailbox<WorkerInput> messages;
    asio::steady_timer timer;
    std::map<LinkId, JobOutbox> links;
};

/// @brief Accepts links of leaders at an agent; each link is a task that owns its socket.
class LeaderLinkServer {
public:
    /// @param executor runs the tasks
    /// @param address IP address and port to listen on
    /// @param agent mailbox of the agent's task
    /// @param limiter limits of the process
    /// @param helloLimit largest number of links that have not sent their first message
    /// @param log receives the events
    /// @param metrics receives the counts
    /// @throws Error with ErrorKind::BadSetting if the address cannot be listened on
    LeaderLinkServer(asio::any_io_executor executor, const std::string& address, Mailbox<WorkerInput> agent, ClientLimiter& limiter, std::size_t helloLimit, const Log& log, Metrics& metrics);

    /// @brief Starts accepting connections; the server must outlive the run of the executor.
    void start();

private:
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> relayAll(LinkId link, std::shared_ptr<JobStream> stream, std::unique_ptr<ClientTicket> ticket);

    Mailbox<WorkerInput> agent;
    ClientLimiter& limiter;
    ClientPortId port;
    const Log& log;
    Metrics& metrics;
    Listener listener;
    std::uint64_t lastLink = 0;
};

/// @brief Registers this incarnation of the agent in the store, with retries until that succeeds, and sends the generation to the task.
/// @param agent name of the agent
/// @param address IP address and port at which the agent accepts links of leaders
/// @param inbox mailbox of the agent's task
/// @param log receives the event
[[nodiscard]] asio::awaitable<void> registerAgent(StorePort store, std::string agent, std::string address, Mailbox<WorkerInput> inbox, const Log& log);

}
