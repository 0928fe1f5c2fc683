#pragma once

/// @file
/// @brief The task that owns the entry's decisions; all others talk to it by messages.

#include "Asio.h"
#include "BurnQuery.h"
#include "FramedStream.h"
#include "Log.h"
#include "Metrics.h"
#include <cowslipdoor/core/EntryMachine.h>
#include <cowslipdoor/core/WakeupGate.h>
#include <map>
#include <memory>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Answer to a caller's task.
struct CallerReply {
    const RequestId id {};
    const Completion completion {};
    /// Whether the connection is to be closed after the answer, because the entry is stopping.
    const bool closeAfter = false;
};

/// @brief Tells an idle caller's task to close its connection.
struct CloseWhenIdle { };

/// @brief Messages to a caller's task.
using CallerMessage = std::variant<CallerReply, CloseWhenIdle>;

/// @brief A caller's connection is open.
struct CallerAttached {
    const CallerId caller {};
    const Mailbox<CallerMessage> mailbox {};
};

/// @brief A caller's connection is gone.
struct CallerDetached {
    const CallerId caller {};
};

/// @brief An agent's link is open.
struct AgentAttached {
    const LinkId link {};
    const Hello hello {};
    const Outbox outbox {};
};

/// @brief What operators see of an entry.
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

/// @brief The grace for the balancer is over; idle callers' connections are closed.
struct CloseIdleCallers { };

/// @brief Every message to the entry's task.
using EntryInput = std::variant<EntryEvent, CallerAttached, CallerDetached, AgentAttached, EntryStatusQuery, BurnQuery, CloseIdleCallers>;

/// @brief Runs an EntryMachine: takes messages in, carries its effects out.
/// @code
/// EntryTask task(executor, config, log, metrics);
/// task.start();
/// co_await send(task.inbox(), EntryInput(EntryEvent(RulesLoaded { rules })));
/// @endcode
class EntryTask {
public:
    /// @param executor executor of the tasks
    /// @param config settings of the decisions
    /// @param log where events go
    /// @param metrics where counts go
    EntryTask(asio::any_io_executor executor, EntryConfig config, const Log& log, Metrics& metrics);

    /// @brief Starts the task; it must outlive the executor's run.
    void start();

    /// @return where to send messages for the task
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
    /// When the machine may be told that time has passed, if it waits for that; notes a standstill.
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
