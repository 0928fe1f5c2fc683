#pragma once

/// @file
/// @brief The task that owns an agent's WorkerMachine, and its listener for leaders.

#include "Asio.h"
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

/// @brief Link of a leader as the task learns of it.
struct LeaderLinkOpened {
    LinkId link {};
    JobOutbox outbox;
};

/// @brief What a status page shows of the agent's worker.
struct WorkerTaskStatus {
    std::optional<WorkerInfo> worker {};
    bool settled = false;
    /// Share of the spare slack of serving runs that filling ones may take.
    double spareSlackShare = 0;
};

/// @brief Asks for the status.
struct WorkerStatusQuery {
    Mailbox<WorkerTaskStatus> reply;
};

/// @brief What the task takes.
using WorkerInput = std::variant<WorkerEvent, LeaderLinkOpened, WorkerStatusQuery>;

/// @brief Steps the machine and carries out its effects.
/// @code
/// WorkerTask task(executor, config, worker, log, metrics);
/// task.start();
/// @endcode
class WorkerTask {
public:
    /// @param executor executor of the tasks
    /// @param config settings
    /// @param worker the worker
    /// @param log where events go
    /// @param metrics where counts go
    WorkerTask(asio::any_io_executor executor, WorkerMachineConfig config, WorkerPort worker, const Log& log, Metrics& metrics);

    /// @brief Starts the task; it must outlive the executor's run.
    void start();

    /// @return where to send events
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

/// @brief Takes links of leaders at an agent; each link is a task that owns its socket.
class LeaderLinkServer {
public:
    /// @param executor executor of the tasks
    /// @param address IP number and port to listen on
    /// @param agent inbox of the agent's task
    /// @param log where events go
    /// @param metrics where counts go
    /// @throws Error when the address cannot be listened on
    LeaderLinkServer(asio::any_io_executor executor, const std::string& address, Mailbox<WorkerInput> agent, const Log& log, Metrics& metrics);

    /// @brief Starts accepting; the listener must outlive the executor's run.
    void start();

private:
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> relayAll(LinkId link, std::shared_ptr<JobStream> stream);

    Mailbox<WorkerInput> agent;
    const Log& log;
    Metrics& metrics;
    Listener listener;
    std::uint64_t lastLink = 0;
};

/// @brief Registers this run of the agent in the store until that has succeeded, and tells the task its generation.
/// @param store the store
/// @param agent name of the agent
/// @param address where it takes links of leaders
/// @param inbox inbox of the agent's task
/// @param log where events go
[[nodiscard]] asio::awaitable<void> registerAgent(StorePort store, std::string agent, std::string address, Mailbox<WorkerInput> inbox, const Log& log);

}
