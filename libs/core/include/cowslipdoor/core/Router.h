#pragma once

/// @file
/// @brief Choice of the agent for each attempt, from the load that the agents last reported.

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

/// @brief Settings of a Router.
struct RouterConfig {
    /// Failure domain of the entry; agents in other domains get the remote penalty.
    std::string failureDomain;
    /// Added to the expected wait of an agent in another failure domain: the one-way network delay.
    Duration remotePenalty = std::chrono::microseconds(1500);
    /// Consecutive failures that eject an agent.
    std::uint32_t ejectAfter = 3;
    /// Duration of the first ejection; each further ejection takes twice as long.
    Duration initialEjection = std::chrono::milliseconds(500);
    Duration maximumEjection = std::chrono::seconds(30);
    /// Time after which a new or readmitted agent gets its full share of requests.
    Duration slowStart = std::chrono::seconds(2);
    /// Maximum share of agents that may be ejected at once, in percent.
    std::uint32_t maximumEjectedPercent = 50;

    bool operator==(const RouterConfig&) const = default;
};

/// @brief What the result of an attempt says about the agent's health.
enum class AttemptHealth : unsigned char {
    Good,
    Bad,
    /// Says nothing about the agent's health, such as a refusal for lack of capacity.
    Neutral,
};

/// @brief Agent as seen by an entry.
struct AgentView {
    std::string agent;
    std::string failureDomain;
    Load load;
    std::uint32_t inFlight = 0;

    bool operator==(const AgentView&) const = default;
};

/// @brief Change of an agent's health state.
enum class HealthChange : unsigned char {
    None,
    Ejected,
    Readmitted,
};

/// @brief Chooses, of two random candidates, the agent with the shorter expected wait. Ejects failing agents, probes them and
/// readmits them with slow start.
/// @code
/// const std::optional<LinkId> link = router.choose(demand, 0, TrafficClass::Quick, {}, now, random);
/// @endcode
class Router {
public:
    /// @param config settings of the router
    explicit Router(RouterConfig config);

    /// @brief Adds an agent on a new link.
    /// @param link new link
    /// @param hello first message of the agent
    /// @param now current time
    void add(LinkId link, const Hello& hello, TimePoint now);

    /// @brief Removes the agent of a link; the health of an ejected agent is kept until it connects again.
    /// @param link link of the agent
    void remove(LinkId link);

    /// @brief Updates the load of an agent.
    /// @param link link of the agent
    /// @param load load that the agent reported
    void update(LinkId link, const Load& load);

    /// @brief Chooses an agent that appears to have enough free capacity.
    /// @param demand resources that the request needs
    /// @param reserveSlots slots that must stay free
    /// @param trafficClass class of the request, for the expected wait
    /// @param avoid names of agents on which the request has failed; chosen only if no other agent fits
    /// @param now current time
    /// @param random source of the random candidates
    /// @return the link of the agent, or nothing if no agent fits
    [[nodiscard]] std::optional<LinkId> choose(const Capacity& demand, std::uint32_t reserveSlots, TrafficClass trafficClass,
        const std::set<std::string>& avoid, TimePoint now, std::mt19937_64& random);

    /// @brief Tells whether one agent appears to have enough free capacity.
    /// @param link link of the agent
    /// @param demand resources that the request needs
    /// @param now current time
    /// @return whether the agent accepts requests and the demand fits its last reported load
    [[nodiscard]] bool hasHeadroom(LinkId link, const Capacity& demand, TimePoint now) const;

    /// @brief Counts an attempt as in flight until recordEnd() is called.
    /// @param link link of the agent
    /// @param demand resources that the attempt needs
    void recordStart(LinkId link, const Capacity& demand);

    /// @brief Records the end of an attempt.
    /// @param link link of the agent
    /// @param demand demand that was passed to recordStart()
    /// @param trafficClass class of the request
    /// @param latency time from dispatch to answer
    /// @param health what the result says about the agent's health
    /// @param now current time
    /// @return whether the agent was ejected or readmitted
    HealthChange recordEnd(LinkId link, const Capacity& demand, TrafficClass trafficClass, Duration latency, AttemptHealth health, TimePoint now);

    /// @brief Treats an agent as full until it reports its load again.
    /// @param link link of the agent
    void markFull(LinkId link);

    /// @param link link of an agent
    /// @return the agent, or nothing if the link is unknown
    [[nodiscard]] std::optional<AgentView> view(LinkId link) const;

    /// @return all agents, in no particular order
    [[nodiscard]] std::vector<AgentView> views() const;

    /// @return the number of agents
    [[nodiscard]] std::size_t size() const noexcept { return this->agents.size(); }

    /// @param link link of an agent
    /// @param now current time
    /// @return whether the agent is ejected and not yet due for a probe
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
