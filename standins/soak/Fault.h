#pragma once

/// @file
/// @brief Faults that a soak injects from outside the processes.

#include <compare>
#include <cowslipdoor/core/Time.h>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor::soak {

/// @brief Kind of process that faults befall.
enum class Role : unsigned char {
    Entry,
    Agent,
    Upstream,
};

/// @brief One process of a deployment.
struct ProcessName {
    Role role = Role::Entry;
    std::size_t index = 0;

    std::strong_ordering operator<=>(const ProcessName&) const = default;
};

/// @param process a process
/// @return its name, such as "agent 1"
[[nodiscard]] std::string describe(const ProcessName& process);

/// @brief SIGKILL; the process is started again later.
struct Kill {
    ProcessName process;
    Duration downFor {};

    bool operator==(const Kill&) const = default;
};

/// @brief SIGTERM; the process is started again as soon as it has ended.
struct Replace {
    ProcessName process;

    bool operator==(const Replace&) const = default;
};

/// @brief SIGSTOP, and SIGCONT later.
struct Freeze {
    ProcessName process;
    Duration length {};

    bool operator==(const Freeze&) const = default;
};

/// @brief Every connection through the proxy of a process is reset.
struct DropConnections {
    ProcessName process;

    bool operator==(const DropConnections&) const = default;
};

/// @brief What goes one way through the proxy of a process is held back, and comes late.
struct HoldOneWay {
    ProcessName process;
    bool toServer = false;
    Duration length {};

    bool operator==(const HoldOneWay&) const = default;
};

/// @brief Nothing passes the proxy of an entry's links, and nothing of it comes later.
struct SilenceLinks {
    std::size_t entry = 0;
    Duration length {};

    bool operator==(const SilenceLinks&) const = default;
};

/// @brief Each piece through the proxy of a process is delayed.
struct SlowConnections {
    ProcessName process;
    Duration delay {};
    Duration length {};

    bool operator==(const SlowConnections&) const = default;
};

/// @brief Answers on an entry's links come twice, or late and out of order.
struct DuplicateAndDelayAnswers {
    std::size_t entry = 0;
    Duration length {};

    bool operator==(const DuplicateAndDelayAnswers&) const = default;
};

/// @brief Rules of the next version are written, and one entry is told by SIGHUP.
struct ChangeRules {
    std::size_t entry = 0;

    bool operator==(const ChangeRules&) const = default;
};

/// @brief The store turns everyone away.
struct StoreOutage {
    Duration length {};

    bool operator==(const StoreOutage&) const = default;
};

/// @brief The store carries out the next writes and loses their answers.
struct LoseStoreAnswers {
    int count = 0;

    bool operator==(const LoseStoreAnswers&) const = default;
};

/// @brief The store forgets what changed when, so that feeds begin anew.
struct DropStoreHistory {
    bool operator==(const DropStoreHistory&) const = default;
};

/// @brief A worker carries out the next orders and loses their answers.
struct LoseWorkerAnswers {
    std::size_t worker = 0;
    int count = 0;

    bool operator==(const LoseWorkerAnswers&) const = default;
};

/// @brief A worker goes down with all that it runs, and comes back; several times in a row, it flaps.
struct CrashWorker {
    std::size_t worker = 0;
    int times = 1;
    /// Also how long it is up between two times.
    Duration downFor {};
    /// By how much the time of day of its VM was set forward meanwhile; if back, it states an earlier start than before.
    Duration clockStep {};
    bool otherId = false;

    bool operator==(const CrashWorker&) const = default;
};

/// @brief An agent gets a report of another writer about its worker.
struct SendForeignHeartbeat {
    std::size_t agent = 0;
    bool otherId = false;
    bool unknownService = false;
    /// How far the stated start is ahead of the present.
    Duration startOffset {};

    bool operator==(const SendForeignHeartbeat&) const = default;
};

/// @brief Faults of a deployment that serves requests.
using RequestFault = std::variant<Kill, Replace, Freeze, DropConnections, HoldOneWay, SilenceLinks, SlowConnections, DuplicateAndDelayAnswers, ChangeRules>;

/// @brief Faults of a deployment that runs jobs.
using JobFault = std::variant<Kill, Replace, Freeze, DropConnections, HoldOneWay, SlowConnections, StoreOutage, LoseStoreAnswers, DropStoreHistory, LoseWorkerAnswers, CrashWorker, SendForeignHeartbeat>;

/// @brief A fault, and when it comes.
template <typename Fault>
struct Planned {
    /// Counted from the begin of the soak.
    Duration at {};
    Fault fault;

    bool operator==(const Planned&) const = default;
};

/// @brief Writes a fault for the story of a soak.
/// @param fault the fault
/// @return a short line
[[nodiscard]] std::string describe(const RequestFault& fault);
[[nodiscard]] std::string describe(const JobFault& fault);

}
