#pragma once

/// @file
/// @brief Scheduler of one entry that tests drive by events.

#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/scheduling/Scheduler.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslipdoor::tests {

/// Scheduler of one entry, the effects of its last step, and functions that drive it.
struct SchedulerUnderTest {
    SchedulerConfig config = SchedulerConfig { .lease = { .holder = "me", .incarnation = 1 } };
    Scheduler machine { config };
    Scheduler::Effects effects {};
    TimePoint now = start;
    RowVersion version = 10;

    /// Failure domains that agents state, by agent.
    std::map<std::string, std::string> failureDomains {};

    /// Whether the feed of jobs is answered before each step.
    bool feedAnswers = true;

    void step(const SchedulerEvent& event)
    {
        this->effects.clear();
        if (this->feedAnswers && this->machine.isActiveLeader())
            this->add(this->machine.step(JobsFollowed { this->machine.lease().epoch(), this->version, this->now }, this->now));
        this->add(this->machine.step(event, this->now));
    }

    void add(const Scheduler::Effects& more)
    {
        for (const SchedulerEffect& effect : more)
            this->effects.push_back(effect);
    }

    template <typename Effect>
    std::optional<Effect> find() const
    {
        for (const SchedulerEffect& effect : this->effects) {
            const Effect* const found = std::get_if<Effect>(&effect);
            if (found)
                return *found;
        }
        return std::nullopt;
    }

    template <typename Message>
    std::optional<Message> sent() const
    {
        for (const SchedulerEffect& effect : this->effects) {
            const SendToAgent* const message = std::get_if<SendToAgent>(&effect);
            if (message && std::holds_alternative<Message>(message->message))
                return std::get<Message>(message->message);
        }
        return std::nullopt;
    }

    void commit() { this->step(CommitFinished { Applied { ++this->version } }); }

    /// Advances the time by a pause, after which a write must be due, and returns the write.
    Transaction awaitWrite(Duration pause = std::chrono::milliseconds(6))
    {
        this->now += pause;
        this->step(TimePassed {});
        const std::optional<SubmitCommit> commit = this->find<SubmitCommit>();
        REQUIRE(commit);
        return commit->transaction;
    }

    /// Takes over leadership, with one agent whose worker is settled.
    void becomeLeader(const std::vector<JobSpecHandle>& jobs)
    {
        this->step(LeaderRowRead { std::nullopt, 0 });
        this->commit();
        this->step(TablesRead { 1, jobs, {}, {}, { { "agent", { "address", 3 } } } });
        this->step(AgentLinked { "agent", LinkId { 1 } });
        const WorkerInfo worker { firstIncarnation, "service", { 8000, 8000, 0 }, {}, false, {}, false, this->failureDomains["agent"] };
        this->step(AgentReportReceived { "agent", LinkId { 1 }, WorkerSnapshot { "agent", 3, worker, true, {}, {}, {}, 0 } });
        this->step(AgentReportReceived { "agent", LinkId { 1 }, Ping { 1 } });
        // The scheduler writes the counts of pending jobs as soon as it knows them.
        if (!this->machine.lease().idle())
            this->commit();
    }

    /// Adds an agent whose worker is settled.
    void addWorker(const std::string& agent, LinkId link, std::uint32_t milliCores)
    {
        this->step(AgentStored { { agent, { agent, 1 } } });
        this->step(AgentLinked { agent, link });
        const WorkerInfo worker { { agent, 1 }, "service", { milliCores, 8000, 0 }, {}, false, {}, false, this->failureDomains[agent] };
        this->step(AgentReportReceived { agent, link, WorkerSnapshot { agent, 1, worker, true, {}, {}, {}, 0 } });
        this->step(AgentReportReceived { agent, link, Ping { 1 } });
    }

    /// Advances the time while all agents send pings; returns the first start order, or nothing if none is sent in time.
    std::optional<StartRun> awaitStart(Duration limit)
    {
        const TimePoint until = this->now + limit;
        while (this->now < until) {
            this->now += std::chrono::milliseconds(10);
            for (const Workers::value_type& worker : Workers(this->machine.workers()))
                this->step(AgentReportReceived { worker.first, *worker.second.link, Ping { 1 } });
            if (!this->machine.lease().idle())
                this->commit();
            const std::optional<StartRun> order = this->sent<StartRun>();
            if (order)
                return order;
        }
        return std::nullopt;
    }
};

}
