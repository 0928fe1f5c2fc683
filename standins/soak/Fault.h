#pragma once

/// @file
/// @brief Faults that a soak test injects from outside the processes.

#include <compare>
#include <cowslipdoor/core/Time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipdoor::soak {

/// @brief Kind of process that a fault applies to.
enum class Role : unsigned char {
    Entry,
    Agent,
    Upstream,
};

/// @brief Identifies one process of a deployment.
struct ProcessName {
    Role role = Role::Entry;
    std::size_t index = 0;

    std::strong_ordering operator<=>(const ProcessName&) const = default;
};

/// @param process a process
/// @return role and index, such as "agent 1"
[[nodiscard]] std::string describe(const ProcessName& process);

/// @brief Kills a process with SIGKILL and restarts it later.
struct Kill {
    ProcessName process;
    /// Time until the restart.
    Duration downFor {};

    bool operator==(const Kill&) const = default;
};

/// @brief Sends SIGTERM to a process and restarts it as soon as it has ended.
struct Replace {
    ProcessName process;

    bool operator==(const Replace&) const = default;
};

/// @brief Suspends a process with SIGSTOP and resumes it later with SIGCONT.
struct Suspend {
    ProcessName process;
    Duration length {};

    bool operator==(const Suspend&) const = default;
};

/// @brief Closes all connections through the proxy of a process.
struct DropConnections {
    ProcessName process;

    bool operator==(const DropConnections&) const = default;
};

/// @brief Holds back the data of one direction through the proxy of a process and forwards it at the end of the fault.
struct HoldOneWay {
    ProcessName process;
    bool toServer = false;
    Duration length {};

    bool operator==(const HoldOneWay&) const = default;
};

/// @brief Discards all frames on the links of an entry; the connections stay open.
struct SilenceLinks {
    std::size_t entry = 0;
    Duration length {};

    bool operator==(const SilenceLinks&) const = default;
};

/// @brief Delays all data through the proxy of a process.
struct SlowConnections {
    ProcessName process;
    Duration delay {};
    Duration length {};

    bool operator==(const SlowConnections&) const = default;
};

/// @brief Duplicates, delays and reorders answers on the links of an entry.
struct DuplicateAndDelayAnswers {
    std::size_t entry = 0;
    Duration length {};

    bool operator==(const DuplicateAndDelayAnswers&) const = default;
};

/// @brief Writes the next version of the rules and makes one entry load it with SIGHUP.
struct ChangeRules {
    std::size_t entry = 0;

    bool operator==(const ChangeRules&) const = default;
};

/// @brief Makes the store unavailable.
struct StoreOutage {
    Duration length {};

    bool operator==(const StoreOutage&) const = default;
};

/// @brief Makes the store execute the next writes without answering them.
struct LoseStoreAnswers {
    int count = 0;

    bool operator==(const LoseStoreAnswers&) const = default;
};

/// @brief Drops the change history of the store, so that all feeds restart from a snapshot.
struct DropStoreHistory {
    bool operator==(const DropStoreHistory&) const = default;
};

/// @brief Makes a worker execute the next orders without answering them.
struct LoseWorkerAnswers {
    std::size_t worker = 0;
    int count = 0;

    bool operator==(const LoseWorkerAnswers&) const = default;
};

/// @brief Crashes a worker with all its runs and restarts it as a new incarnation; with `times` above 1 the worker flaps.
struct CrashWorker {
    std::size_t worker = 0;
    int times = 1;
    /// Time until each restart, and from a restart to the next crash.
    Duration downFor {};
    /// Step of the VM's wall clock during the crash; after a negative step the heartbeats of the worker state an
    /// earlier start time than before.
    Duration clockStep {};
    /// Whether the worker restarts under a new identifier.
    bool otherId = false;

    bool operator==(const CrashWorker&) const = default;
};

/// @brief Sends an agent a heartbeat that another writer than its worker wrote.
struct SendForeignHeartbeat {
    std::size_t agent = 0;
    /// Whether the heartbeat names another worker identifier.
    bool otherId = false;
    /// Whether the heartbeat names a service without any configuration.
    bool unknownService = false;
    /// How far the start time in the heartbeat lies in the future.
    Duration startOffset {};

    bool operator==(const SendForeignHeartbeat&) const = default;
};

/// @brief Silences the open connections through the proxy of a process for good; new connections work.
struct SilenceConnections {
    /// The process, or nothing for all processes at the same moment.
    std::optional<ProcessName> process {};

    bool operator==(const SilenceConnections&) const = default;
};

/// @brief Evacuates a failure domain and returns it to service later.
struct Evacuate {
    std::size_t zone = 0;
    Duration length {};

    bool operator==(const Evacuate&) const = default;
};

/// @brief Writes a configuration with more queues than the one before; load, but no fault.
struct GrowConfiguration {
    /// Number of queues that are added.
    std::size_t queues = 0;

    bool operator==(const GrowConfiguration&) const = default;
};

/// @brief Large best-effort job with two steps of equal tasks.
struct BurstJob {
    /// Time since the begin of the burst.
    Duration after {};
    unsigned tasksPerStep = 0;
    /// Time that a task takes at full pace.
    Duration work {};
    std::uint32_t milliCores = 0;
    /// Slack that a task would take from serving tasks if it used the whole worker.
    double loss = 0;
    /// How long after its acceptance its client cancels it, or nothing if it does not.
    std::optional<Duration> cancelledAfter {};

    bool operator==(const BurstJob&) const = default;
};

/// @brief Submits large best-effort jobs within a short time; load, but no fault.
struct SubmitBurst {
    std::vector<BurstJob> jobs;

    bool operator==(const SubmitBurst&) const = default;
};

/// @brief Fault of a deployment that serves requests.
using RequestFault = std::variant<Kill, Replace, Suspend, DropConnections, HoldOneWay, SilenceLinks, SlowConnections, DuplicateAndDelayAnswers, ChangeRules>;

/// @brief Fault of a deployment that runs jobs, a burst of jobs, or a larger configuration.
using JobFault = std::variant<Kill, Replace, Suspend, DropConnections, HoldOneWay, SlowConnections, StoreOutage, LoseStoreAnswers, DropStoreHistory, LoseWorkerAnswers, CrashWorker, SendForeignHeartbeat, SilenceConnections, Evacuate, SubmitBurst, GrowConfiguration>;

/// @brief A fault and its time.
template <typename Fault>
struct Planned {
    /// Time since the start of the soak.
    Duration at {};
    Fault fault;

    bool operator==(const Planned&) const = default;
};

/// @brief Describes a fault for the fault log of a soak.
/// @param fault the fault
/// @return one line without a line end
[[nodiscard]] std::string describe(const RequestFault& fault);
[[nodiscard]] std::string describe(const JobFault& fault);

}
