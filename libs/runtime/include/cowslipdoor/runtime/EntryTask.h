#pragma once

/// @file
/// @brief The task that owns the entry's state machine; other tasks communicate with it by messages.

#include "Asio.h"
#include "BurnQuery.h"
#include "FramedStream.h"
#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/core/EntryMachine.h>
#include <cowslipdoor/core/StallGuard.h>
#include <map>
#include <memory>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Answer for a caller, sent to the task of its connection.
struct CallerReply {
    const RequestId id {};
    const Completion completion {};
    /// Whether the connection is closed after the answer, because the entry is stopping.
    const bool closeAfter = false;
};

/// @brief Asks the task of a caller's connection to close it if no request is in progress.
struct CloseWhenIdle { };

/// @brief Any message to the task of a caller's connection.
using CallerMessage = std::variant<CallerReply, CloseWhenIdle>;

/// @brief A caller's connection was opened.
struct CallerAttached {
    const CallerId caller {};
    const Mailbox<CallerMessage> mailbox {};
};

/// @brief A caller's connection was closed.
struct CallerDetached {
    const CallerId caller {};
};

/// @brief An agent's link was opened.
struct AgentAttached {
    const LinkId link {};
    const Hello hello {};
    const Outbox outbox {};
};

/// @brief State of an entry for operators.
struct EntryStatus {
    const bool ready = false;
    const bool stopping = false;
    const std::size_t queued = 0;
    const std::size_t pending = 0;
    const EntryCounters counters {};
    const std::vector<AgentView> agents {};
    const RuleSet rules {};
};

/// @brief Asks for the status.
struct EntryStatusQuery {
    const Mailbox<EntryStatus> reply {};
};

/// @brief Asks to close the idle connections of callers, once the load balancer has had time to stop using this entry.
struct CloseIdleCallers { };

/// @brief Any message to the entry's task.
using EntryInput = std::variant<EntryEvent, CallerAttached, CallerDetached, AgentAttached, EntryStatusQuery, BurnQuery, CloseIdleCallers>;

/// @brief Runs an EntryMachine: passes it the messages and applies its effects.
/// @code
/// EntryTask task(executor, config, log, metrics);
/// task.start();
/// co_await send(task.inbox(), EntryInput(EntryEvent(RulesLoaded { rules })));
/// @endcode
class EntryTask {
public:
    /// @param executor runs the tasks
    /// @param config settings of the state machine
    /// @param log receives the events
    /// @param metrics receives the counts
    EntryTask(asio::any_io_executor executor, EntryConfig config, const Log& log, Metrics& metrics);

    /// @brief Starts the task, which must outlive the run of the executor.
    void start();

    /// @return the mailbox for messages to the task
    [[nodiscard]] const Mailbox<EntryInput>& inbox() const noexcept { return this->messages; }

private:
    asio::awaitable<void> run();
    void on(const EntryEvent& event);
    void on(const CallerAttached& message);
    void on(const CallerDetached& message);
    void on(const AgentAttached& message);
    void on(const EntryStatusQuery& message);
    void on(const BurnQuery& message);
    void on(const CloseIdleCallers& message);
    void carryOut(const SendToLink& effect);
    void carryOut(const CloseLink& effect);
    void carryOut(const ReplyToCaller& effect);
    void carryOut(const ObserveRequest& effect);
    void carryOut(const RecordEvent& effect);
    void step(const EntryEvent& event);
    /// Returns when TimePassed may be delivered, or nothing if the state machine needs no wakeup. Logs a stall of the process.
    [[nodiscard]] std::optional<TimePoint> wakeupDueAt(TimePoint now);
    void deliverTimePassed();
    void armTimer();

    asio::any_io_executor executor;
    EntryMachine machine;
    const Log& log;
    Metrics& metrics;
    Mailbox<EntryInput> messages;
    StallGuard stallGuard;
    asio::steady_timer timer;
    std::map<CallerId, Mailbox<CallerMessage>> callers;
    std::map<LinkId, Outbox> links;
};

}
