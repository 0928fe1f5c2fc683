#include "RequestSoak.h"
#include "Timeline.h"
#include <algorithm>
#include <cowslipdoor/core/Error.h>
#include <csignal>
#include <fstream>

namespace cowslipdoor::soak {

using namespace standins;
using runtime::monotonicNow;

namespace {

    constexpr Duration countInterval = std::chrono::seconds(1);
    /// Tries of a caller, 20 ms apart, outlast every time for which no entry is there.
    constexpr std::uint32_t callerTries = 1000;

    std::string rulesOfVersion(std::uint64_t version)
    {
        return "version " + std::to_string(version) + "\n"
            + "rule quick path=/quick* class=quick deadline=2s retry=2 # Siti: gangs wait\n"
              "rule batch path=/batch* class=batch deadline=30s retry=3 # Siti: rain shifts the plan\n"
              "rule tally path=/tally* class=tally deadline=4s # Ahmad: no member is paid twice\n";
    }

    DeploymentConfig configOf(const SoakSize& size, const std::string& folder)
    {
        return { .agents = size.agents, .entries = size.entries, .rules = rulesOfVersion(1), .folder = folder, .proxied = true, .entryFlags = { "--drain-grace=1s" } };
    }

    CallerLoadConfig loadOf(const SoakSize& size, const Deployment& deployment)
    {
        CallerLoadConfig config {
            .entries = deployment.callerAddresses(),
            .entryAdmins = deployment.entryAdmins(),
            .classes = {
                { .name = "quick", .path = "/quick", .perSecond = 60, .milliseconds = 5, .answerBytes = 3000, .patience = std::chrono::seconds(20), .keptConnections = 6 },
                { .name = "tally", .path = "/tally", .keyed = true, .perSecond = 30, .milliseconds = 10, .patience = std::chrono::seconds(20), .keptConnections = 3 },
                { .name = "batch", .path = "/batch", .perSecond = 5, .milliseconds = 300, .answerBytes = 50'000, .patience = std::chrono::seconds(60), .keptConnections = 1 },
            },
        };
        config.tries = callerTries;
        config.seed = size.seed;
        return config;
    }

}

RequestSoak::RequestSoak(const SoakSize& size, const std::string& folder)
    : size(size)
    , folder(folder)
    , deployment(configOf(size, folder))
{
    for (std::size_t index = 0; index < size.entries; ++index)
        this->victims.add({ Role::Entry, index }, { [this, index]() -> ChildProcess& { return this->deployment.entry(index); }, [this, index]() { this->deployment.startEntry(index); } });
    for (std::size_t index = 0; index < size.agents; ++index) {
        this->victims.add({ Role::Agent, index }, { [this, index]() -> ChildProcess& { return this->deployment.agent(index); }, [this, index]() { this->deployment.startAgent(index); } });
        this->victims.add({ Role::Upstream, index }, { [this, index]() -> ChildProcess& { return this->deployment.upstream(index); }, [this, index]() { this->deployment.startUpstream(index); } });
    }
}

SoakReport RequestSoak::run()
{
    this->deployment.startAll();
    CallerLoad load(loadOf(this->size, this->deployment));
    load.start();
    const std::vector<Planned<RequestFault>> plan = planRequestFaults(this->size);
    this->report.faults = plan.size();
    this->play(plan);
    // Processes that were asked to end finish what they hold first, for which they need their links.
    this->disturbances.heal();
    this->victims.heal();
    this->deployment.awaitAgents(this->size.agents);
    load.stop();
    this->checkAtEnd(load);
    return this->report;
}

void RequestSoak::play(const std::vector<Planned<RequestFault>>& plan)
{
    std::ofstream story(this->folder + "/story.txt");
    const auto inject = [this](TimePoint now, const auto& alternative) { this->inject(alternative, now); };
    const auto tick = [this](TimePoint now) {
        this->victims.tick(now);
        this->disturbances.tick(now);
        this->checkWhileRunning();
    };
    playPlan(plan, this->size.length, story, inject, tick);
}

void RequestSoak::checkWhileRunning()
{
    if (this->counting.valid() && this->counting.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        return;
    if (this->counting.valid()) {
        try {
            if (this->counting.get().overfilled > 0)
                this->report.add("an upstream got more than it holds");
        } catch (const Error&) {
            // An upstream that is frozen for long does not answer; the count at the end holds all.
        }
    }
    if (monotonicNow() < this->nextCount)
        return;
    this->nextCount = monotonicNow() + countInterval;
    this->counting = std::async(std::launch::async, [this]() { return this->deployment.counts(); });
}

void RequestSoak::checkAtEnd(const CallerLoad& load)
{
    if (this->counting.valid())
        this->counting.wait();
    Deployment::await("upstreams to finish", [this]() { return this->deployment.counts().running == 0; });
    const UpstreamCounts counts = this->deployment.counts();
    for (const std::string& reason : judge(load.records(), counts).reasons)
        this->report.add(reason);
    if (counts.overfilled > 0)
        this->report.add("an upstream got more than it holds");
    for (const std::string& line : this->victims.unaskedEnds())
        this->report.add(line);
    this->checkRules();
    this->report.checked = load.records().size();
}

void RequestSoak::checkRules()
{
    const std::uint64_t version = this->rulesVersion;
    const auto newestEverywhere = [this, version]() {
        std::vector<std::string> admins = this->deployment.entryAdmins();
        admins.insert(admins.end(), this->deployment.agentAdmins().begin(), this->deployment.agentAdmins().end());
        return std::all_of(admins.begin(), admins.end(), [version](const std::string& admin) {
            const nlohmann::json page = Deployment::status(admin);
            return !page.is_null() && page.at("rules_version") == version;
        });
    };
    if (!newestEverywhere())
        this->report.add("rules of version " + std::to_string(version) + " are not in force everywhere");
}

void RequestSoak::inject(const Kill& fault, TimePoint now)
{
    this->victims.kill(fault.process, now + fault.downFor);
}

void RequestSoak::inject(const Replace& fault, TimePoint)
{
    this->victims.replace(fault.process);
}

void RequestSoak::inject(const Freeze& fault, TimePoint now)
{
    this->victims.freeze(fault.process, now + fault.length);
}

void RequestSoak::inject(const CutConnections& fault, TimePoint)
{
    this->deployment.proxy(fault.process.index).cutAll();
}

void RequestSoak::inject(const HoldOneWay& fault, TimePoint now)
{
    this->disturbances.add(this->deployment.proxy(fault.process.index), now + fault.length, [toServer = fault.toServer](ProxyFaults& faults) { (toServer ? faults.heldToServer : faults.heldToClient) = true; });
}

void RequestSoak::inject(const SilenceLinks& fault, TimePoint now)
{
    this->disturbances.add(this->deployment.proxy(fault.entry), now + fault.length, [](ProxyFaults& faults) { faults.halfOpen = true; });
}

void RequestSoak::inject(const SlowConnections& fault, TimePoint now)
{
    this->disturbances.add(this->deployment.proxy(fault.process.index), now + fault.length, [delay = fault.delay](ProxyFaults& faults) { faults.delay = delay; });
}

void RequestSoak::inject(const DisturbAnswers& fault, TimePoint now)
{
    constexpr std::uint32_t disturbedPercent = 30;
    this->disturbances.add(this->deployment.proxy(fault.entry), now + fault.length, [](ProxyFaults& faults) {
        faults.repeatedAnswersPercent = disturbedPercent;
        faults.delayedAnswersPercent = disturbedPercent;
    });
}

void RequestSoak::inject(const ChangeRules& fault, TimePoint)
{
    this->deployment.writeRules(rulesOfVersion(++this->rulesVersion));
    this->deployment.entry(fault.entry).signal(SIGHUP);
}

}
