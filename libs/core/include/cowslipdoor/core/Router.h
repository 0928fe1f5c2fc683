#pragma once

/// @file
/// @brief Chooses the agent for each attempt from what the agents last said.

#include "Ids.h"
#include "Messages.h"
#include "Time.h"
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of routing.
struct RouterConfig {
    /// The entry's own failure domain; agents in it are nearer.
    std::string failureDomain;
    /// One-way delay that is added to an agent of another failure domain.
    Duration remotePenalty = std::chrono::microseconds(1500);
    /// Failures in a row that eject an agent.
    std::uint32_t ejectAfter = 3;
    /// First ejection; each further one doubles it.
    Duration initialEjection = std::chrono::milliseconds(500);
    Duration maximumEjection = std::chrono::seconds(30);
    /// How long a new or returned agent takes to get its whole share.
    Duration slowStart = std::chrono::seconds(2);
    /// Share of agents that may be out at once, in percent.
    std::uint32_t maximumEjectedPercent = 50;

    bool operator==(const RouterConfig&) const = default;
};

/// @brief How an attempt went, as far as the agent's health is concerned.
enum class AttemptHealth : unsigned char {
    Good,
    Bad,
    /// Says nothing of the agent's health, such as a refusal for want of room.
    Neutral,
};

/// @brief Agent as an entry sees it.
struct AgentView {
    std::string agent;
    std::string failureDomain;
    Load load;
    std::uint32_t inFlight = 0;

    bool operator==(const AgentView&) const = default;
};

/// @brief What a change of health did.
enum class HealthChange : unsigned char {
    None,
    Ejected,
    Readmitted,
};

/// @brief Least expected wait of two random choices, with ejection, probing and slow start.
/// @code
/// const std::optional<LinkId> link = router.choose(demand, 0, TrafficClass::Quick, {}, now, random);
/// @endcode
class Router {
public:
    /// @param config settings
    explicit Router(RouterConfig config);

    /// @brief Adds an agent on a new link.
    /// @param link the link
    /// @param hello what the agent said first
    /// @param now the present
    void add(LinkId link, const Hello& hello, TimePoint now);

    /// @brief Removes the agent of a link; its health is remembered by name.
    /// @param link the link
    void remove(LinkId link);

    /// @brief Takes in what an agent said of its load.
    /// @param link the link
    /// @param load the load
    void update(LinkId link, const Load& load);

    /// @brief Chooses an agent that seems to have room.
    /// @param demand what the request takes
    /// @param reserveSlots slots that must stay free
    /// @param trafficClass the class, for the expected wait
    /// @param avoid agents that the request has already failed on, taken only when there is no other
    /// @param now the present
    /// @param random source of the two choices
    /// @return the link, or nothing when no agent seems to have room
    [[nodiscard]] std::optional<LinkId> choose(const Capacity& demand, std::uint32_t reserveSlots, TrafficClass trafficClass,
        const std::set<std::string>& avoid, TimePoint now, std::mt19937_64& random);

    /// @brief Tells whether one agent seems to have room.
    /// @param link the link
    /// @param demand what the request takes
    /// @param now the present
    /// @return whether the agent takes work and the demand fits what it last said
    [[nodiscard]] bool hasHeadroom(LinkId link, const Capacity& demand, TimePoint now) const;

    /// @brief Counts an attempt against an agent until recordEnd() is called.
    /// @param link the link
    /// @param demand what the attempt takes
    void recordStart(LinkId link, const Capacity& demand);

    /// @brief Takes in how an attempt went.
    /// @param link the link
    /// @param demand what the attempt took
    /// @param trafficClass its class
    /// @param latency time from sending to answer
    /// @param health what it says of the agent
    /// @param now the present
    /// @return whether the agent went out or came back
    HealthChange recordEnd(LinkId link, const Capacity& demand, TrafficClass trafficClass, Duration latency, AttemptHealth health, TimePoint now);

    /// @brief Marks an agent as full until it says otherwise.
    /// @param link the link
    void markFull(LinkId link);

    /// @param link the link
    /// @return the view of its agent, or nothing
    [[nodiscard]] std::optional<AgentView> view(LinkId link) const;

    /// @return the views of all agents, by link
    [[nodiscard]] std::vector<AgentView> views() const;

    /// @return the number of agents
    [[nodiscard]] std::size_t size() const noexcept { return this->agents.size(); }

    /// @param link the link
    /// @param now the present
    /// @return whether its agent is ejected and not due for a probe
    [[nodiscard]] bool ejected(LinkId link, TimePoint now) const;

private:
    struct Health {
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0;
        std::optional<TimePoint> ejectedUntil;
        bool probing = false;
        TimePoint slowStartFrom;
    };

    struct Agent {
        LinkId link {};
        AgentView view;
        Capacity inFlightDemand;
        Capacity estimatedFree;
        std::array<Duration, trafficClassCount> latency {};
        Health health;
    };

    [[nodiscard]] Agent* find(LinkId link) noexcept;
    [[nodiscard]] const Agent* find(LinkId link) const noexcept;
    [[nodiscard]] const Agent* pick(const Capacity& demand, std::uint32_t reserveSlots, const std::set<std::string>* avoid,
        TimePoint now, std::mt19937_64& random) const;

    [[nodiscard]] bool fits(const Agent& agent, const Capacity& demand, std::uint32_t reserveSlots, TimePoint now) const;
    [[nodiscard]] bool acceptsWork(const Agent& agent, TimePoint now) const;
    [[nodiscard]] Duration expectedWait(const Agent& agent, TrafficClass trafficClass) const;
    [[nodiscard]] bool withinSlowStart(const Agent& agent, TimePoint now) const;
    [[nodiscard]] bool mayEject() const noexcept;
    HealthChange recordFailure(Agent& agent, TimePoint now);
    HealthChange recordSuccess(Agent& agent, TimePoint now);

    RouterConfig config;
    std::vector<Agent> agents;
    std::unordered_map<LinkId, std::size_t> positions;
    std::map<std::string, Health> healthOfDisconnected;
    std::size_t ejectedCount = 0;
};

}
