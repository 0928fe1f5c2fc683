#pragma once

/// @file
/// @brief The task that owns the agent's state machine; other tasks communicate with it by messages.

#include "Asio.h"
#include "FramedStream.h"
#include "Log.h"
#include "Metrics.h"
#include "UpstreamCaller.h"
#include <cowslipdoor/core/AgentMachine.h>
#include <map>

namespace cowslipdoor::runtime {

/// @brief An upstream announced itself and waits for a reply.
struct AnnouncementReceived {
    const Announcement announcement {};
    const Mailbox<AnnouncementReply> reply {};
};

/// @brief A link to an entry was opened.
struct EntryAttached {
    const LinkId link {};
    const Welcome welcome {};
    const Outbox outbox {};
};

/// @brief Asks for the first message of a new link.
struct HelloQuery {
    const Mailbox<Hello> reply {};
};

/// @brief State of an agent for operators.
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

/// @brief Asks to close all links after their queued messages are written.
struct CloseLinks { };

/// @brief Any message to the agent's task.
using AgentInput = std::variant<AgentEvent, AnnouncementReceived, EntryAttached, HelloQuery, AgentStatusQuery, CloseLinks>;

/// @brief Runs an AgentMachine: passes it the messages and applies its effects.
/// @code
/// AgentTask task(executor, config, callerConfig, log, metrics);
/// task.start();
/// @endcode
class AgentTask {
public:
    /// @param executor runs the tasks
    /// @param config settings of the state machine
    /// @param callerConfig settings of calls to the upstream
    /// @param log receives the events
    /// @param metrics receives the counts
    AgentTask(asio::any_io_executor executor, AgentConfig config, UpstreamCallerConfig callerConfig, const Log& log, Metrics& metrics);

    /// @brief Starts the task, which must outlive the run of the executor.
    void start();

    /// @return the mailbox for messages to the task
    [[nodiscard]] const Mailbox<AgentInput>& inbox() const noexcept { return this->messages; }

    /// @return a mailbox that receives one message when a drain has finished all work
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
