#pragma once

/// @file
/// @brief The task that owns the agent's decisions; all others talk to it by messages.

#include "Asio.h"
#include "FramedStream.h"
#include "Log.h"
#include "Metrics.h"
#include "UpstreamCaller.h"
#include <cowslipdoor/core/AgentMachine.h>
#include <map>

namespace cowslipdoor::runtime {

/// @brief An upstream's announcement, and where the reply goes.
struct AnnouncementReceived {
    const Announcement announcement {};
    const Mailbox<AnnouncementReply> reply {};
};

/// @brief A link to an entry is open.
struct EntryAttached {
    const LinkId link {};
    const Welcome welcome {};
    const Outbox outbox {};
};

/// @brief Asks what to say first on a new link.
struct HelloQuery {
    const Mailbox<Hello> reply {};
};

/// @brief What operators see of an agent.
struct AgentStatus {
    const Load load {};
    const std::size_t activeCalls = 0;
    const std::size_t allocationCount = 0;
    const std::size_t ledgerRecords = 0;
    const std::size_t links = 0;
    const std::uint64_t rulesVersion = 0;
};

/// @brief Asks for the status.
struct AgentStatusQuery {
    const Mailbox<AgentStatus> reply {};
};

/// @brief Ends all links once what is queued on them is written.
struct CloseLinks { };

/// @brief Every message to the agent's task.
using AgentInput = std::variant<AgentEvent, AnnouncementReceived, EntryAttached, HelloQuery, AgentStatusQuery, CloseLinks>;

/// @brief Runs an AgentMachine: takes messages in, carries its effects out.
/// @code
/// AgentTask task(executor, config, callerConfig, log, metrics);
/// task.start();
/// @endcode
class AgentTask {
public:
    /// @param executor executor of the tasks
    /// @param config settings of the decisions
    /// @param callerConfig settings of calls to the upstream
    /// @param log where events go
    /// @param metrics where counts go
    AgentTask(asio::any_io_executor executor, AgentConfig config, UpstreamCallerConfig callerConfig, const Log& log, Metrics& metrics);

    /// @brief Starts the task; it must outlive the executor's run.
    void start();

    /// @return where to send messages for the task
    [[nodiscard]] const Mailbox<AgentInput>& inbox() const noexcept { return this->messages; }

    /// @return a mailbox that gets one message when a planned stop has finished everything
    [[nodiscard]] const Mailbox<Drained>& drained() const noexcept { return this->drainedMailbox; }

private:
    asio::awaitable<void> run();
    asio::awaitable<void> tick();
    void on(const AgentEvent& event);
    void on(const AnnouncementReceived& message);
    void on(const EntryAttached& message);
    void on(const HelloQuery& message);
    void on(const AgentStatusQuery& message);
    void on(const CloseLinks& message);
    void carryOut(const SendToLink& effect);
    void carryOut(const CallUpstream& effect);
    void carryOut(const AbandonCall& effect);
    void carryOut(const ReplyToAnnouncement& effect);
    void carryOut(const RecordEvent& effect);
    void carryOut(const Drained& effect);
    void step(const AgentEvent& event);

    asio::any_io_executor executor;
    AgentMachine machine;
    const Log& log;
    Metrics& metrics;
    Mailbox<AgentInput> messages;
    Mailbox<Drained> drainedMailbox;
    UpstreamCaller caller;
    std::map<LinkId, Outbox> links;
    std::map<CallerId, Mailbox<AnnouncementReply>> announcers;
    std::uint64_t lastAnnouncer = 0;
};

}
