#include "RequestSoak.h"
#include "Timeline.h"
#include <cowslipdoor/core/Error.h>
#include <csignal>

namespace cowslipdoor::soak {

using namespace standins;
using runtime::monotonicNow;

namespace {

    constexpr Duration countInterval = std::chrono::seconds(1);
    /// With a pause of 20 ms between attempts, callers retry throughout every interval without an available entry.
    constexpr std::uint32_t callerAttempts = 1000;

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
                { .name = "quick", .path = "/quick", .perSecond = 60, .milliseconds = 5, .answerBytes = 3000, .callTimeout = std::chrono::seconds(20), .keepAliveConnections = 6 },
                { .name = "tally", .path = "/tally", .keyed = true, .perSecond = 30, .milliseconds = 10, .callTimeout = std::chrono::seconds(20), .keepAliveConnections = 3 },
                { .name = "batch", .path = "/batch", .perSecond = 5, .milliseconds = 300, .answerBytes = 50'000, .callTimeout = std::chrono::seconds(60), .keepAliveConnections = 1 },
            },
        };
        config.maximumAttempts = callerAttempts;
        config.seed = size.seed;
        return config;
    }

}

RequestSoak::RequestSoak(const SoakSize& size, const std::string& folder)
    : size(size)
    , folder(folder)
    , deployment(configOf(size, folder))
    , injector([this](const ProcessName& process) -> FaultProxy& { return this->deployment.proxy(process.index); })
{
    this->injector.add(Role::Entry, size.entries, this->deployment, &Deployment::entry, &Deployment::startEntry);
    this->injector.add(Role::Agent, size.agents, this->deployment, &Deployment::agent, &Deployment::startAgent);
    this->injector.add(Role::Upstream, size.agents, this->deployment, &Deployment::upstream, &Deployment::startUpstream);
}

SoakReport RequestSoak::run()
{
    this->deployment.startAll();
    CallerLoad load(loadOf(this->size, this->deployment));
    load.start();
    const std::vector<Planned<RequestFault>> plan = planRequestFaults(this->size);
    this->report.faults = plan.size();
    this->runPlan(plan);
    this->injector.recover();
    this->deployment.awaitAgents(this->size.agents);
    load.stop();
    this->checkAtEnd(load);
    return this->report;
}

void RequestSoak::runPlan(const std::vector<Planned<RequestFault>>& plan)
{
    const auto inject = [this](TimePoint now, const auto& alternative) { this->inject(alternative, now); };
    const auto tick = [this](TimePoint now) {
        this->injector.tick(now);
        this->checkWhileRunning();
    };
    runFaultPlan(plan, this->size.length, this->folder + "/story.txt", inject, tick);
}

void RequestSoak::checkWhileRunning()
{
    if (this->counting.valid() && this->counting.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        return;
    if (this->counting.valid()) {
        try {
            this->checkCapacity(this->counting.get());
        } catch (const Error&) {
            // A suspended upstream does not answer in time; the check at the end covers all counts.
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
    for (const std::string& reason : evaluate(load.records(), counts).reasons)
        this->report.add(reason);
    this->checkCapacity(counts);
    for (const std::string& line : this->injector.unexpectedExits())
        this->report.add(line);
    if (!this->deployment.rulesInForceEverywhere(this->rulesVersion))
        this->report.add("rules of version " + std::to_string(this->rulesVersion) + " are not in force everywhere");
    this->report.checked = load.records().size();
}

void RequestSoak::checkCapacity(const UpstreamCounts& counts)
{
    if (counts.overfilled > 0)
        this->report.add("an upstream exceeded its capacity");
}

void RequestSoak::inject(const SilenceLinks& fault, TimePoint now)
{
    this->injector.addProxyFault({ Role::Entry, fault.entry }, now + fault.length, [](ProxyFaults& faults) { faults.halfOpen = true; });
}

void RequestSoak::inject(const DuplicateAndDelayAnswers& fault, TimePoint now)
{
    constexpr std::uint32_t affectedPercent = 30;
    this->injector.addProxyFault({ Role::Entry, fault.entry }, now + fault.length, [](ProxyFaults& faults) {
        faults.repeatedAnswersPercent = affectedPercent;
        faults.delayedAnswersPercent = affectedPercent;
    });
}

void RequestSoak::inject(const ChangeRules& fault, TimePoint)
{
    this->deployment.writeRules(rulesOfVersion(++this->rulesVersion));
    this->deployment.entry(fault.entry).signal(SIGHUP);
}

}
