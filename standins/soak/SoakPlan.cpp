#include "SoakPlan.h"
#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace cowslipdoor::soak {

namespace {

    using std::chrono::milliseconds;

    /// Probability that the next fault follows within longestInSeries, so that faults overlap.
    constexpr std::uint32_t seriesPercent = 35;
    constexpr Duration longestInSeries = milliseconds(120);
    constexpr Duration longestPause = milliseconds(1500);

    // The longest faults exceed the limits of the programs: heartbeat interval of 1 s and silence limit of 4 s on links, and leases of runs.
    constexpr Duration shortestFault = milliseconds(50);
    constexpr Duration longestDown = milliseconds(1500);
    constexpr Duration longestSuspension = milliseconds(5500);
    constexpr Duration longestUpstreamSuspension = milliseconds(1500);
    constexpr Duration longestNetworkFault = milliseconds(5500);
    constexpr Duration longestDelay = milliseconds(150);
    constexpr int maximumLostAnswers = 4;
    /// Exceeds the 3.2 s after which the leases of a silent worker have expired and its agent declares it gone.
    constexpr Duration longestWorkerDown = milliseconds(4500);
    constexpr Duration longestFlap = milliseconds(900);
    constexpr int maximumFlaps = 4;
    constexpr Duration longestBetweenSilences = milliseconds(6000);
    /// Step of a VM's wall clock, and offset of start times in heartbeats of other writers; longer than any soak.
    constexpr Duration clockStep = std::chrono::hours(24);

    /// Most evacuations last longer than the bound on starts, as only later ones are checked.
    constexpr Duration shortestEvacuation = milliseconds(3000);
    constexpr Duration longestEvacuation = milliseconds(12000);
    constexpr Duration longestBetweenEvacuations = milliseconds(12000);

    // Sized so that three workers of 8 cores, with long-running tasks on them, end the jobs in time.
    constexpr Duration longestBetweenBursts = milliseconds(9000);
    constexpr Duration longestBurst = milliseconds(1500);
    constexpr Duration longestBurstTask = milliseconds(2600);
    /// Losses of slack per worker: two harmful tasks on a worker take a serving task below its target, several harmless ones do not.
    constexpr double harmfulLoss = 4;
    constexpr double harmlessLoss = 0.3;

    constexpr Duration longestBetweenConfigurations = milliseconds(5000);
    /// Eight times the 1,400 queues that one change adds on the platform.
    constexpr std::size_t maximumAddedQueues = 11'200;

    /// Silences, evacuations, bursts and configurations have random sequences of their own, so that the other faults of a seed don't depend on them.
    constexpr std::uint64_t silenceSequence = 1ULL << 63;
    constexpr std::uint64_t evacuationSequence = 1ULL << 62;
    constexpr std::uint64_t burstSequence = 1ULL << 61;
    constexpr std::uint64_t configurationSequence = 1ULL << 60;
    constexpr std::size_t kindsWithOwnSequence = 4;

    /// Draws faults and their times from a single random sequence, so that equal seeds give equal plans.
    class FaultGenerator {
    public:
        explicit FaultGenerator(const SoakSize& size)
            : size(size)
            , random(size.seed)
        {
        }

        std::size_t below(std::size_t count)
        {
            // Standard distributions differ between library implementations, and a seed must give the same plan with each.
            return static_cast<std::size_t>(this->random() % count);
        }

        Duration upTo(Duration longest) { return shortestFault + Duration(static_cast<Duration::rep>(this->below(static_cast<std::size_t>((longest - shortestFault).count())))); }

        Duration pause()
        {
            if (this->below(100) < seriesPercent)
                return this->upTo(longestInSeries);
            return this->upTo(longestPause);
        }

        std::size_t entry() { return this->below(this->size.entries); }
        std::size_t agent() { return this->below(this->size.agents); }
        ProcessName entryName() { return { Role::Entry, this->entry() }; }

        ProcessName entryOrAgent()
        {
            const std::size_t number = this->below(this->size.entries + this->size.agents);
            if (number < this->size.entries)
                return { Role::Entry, number };
            return { Role::Agent, number - this->size.entries };
        }

        ProcessName anyOfThree()
        {
            const ProcessName process = this->entryOrAgent();
            return process.role == Role::Agent && this->below(2) == 0 ? ProcessName { Role::Upstream, process.index } : process;
        }

        Suspend suspend(ProcessName process)
        {
            return { process, this->upTo(process.role == Role::Upstream ? longestUpstreamSuspension : longestSuspension) };
        }

        int lostAnswers() { return 1 + static_cast<int>(this->below(maximumLostAnswers)); }

        CrashWorker crash()
        {
            const std::size_t worker = this->agent();
            const bool flaps = this->below(2) == 0;
            const int times = flaps ? 2 + static_cast<int>(this->below(maximumFlaps - 1)) : 1;
            const Duration downFor = this->upTo(flaps ? longestFlap : longestWorkerDown);
            return { worker, times, downFor, this->below(2) == 0 ? Duration {} : -clockStep, this->below(3) == 0 };
        }

        SilenceConnections silence()
        {
            if (this->below(2) == 0)
                return {};
            return { this->entryOrAgent() };
        }

        Evacuate evacuation()
        {
            const std::size_t zone = this->below(soakZones);
            return { zone, shortestEvacuation + this->upTo(longestEvacuation - shortestEvacuation) };
        }

        SubmitBurst burst()
        {
            SubmitBurst burst { std::vector<BurstJob>(4 + this->below(3)) };
            for (BurstJob& job : burst.jobs)
                job = { this->upTo(longestBurst), 2 + static_cast<unsigned>(this->below(2)), this->upTo(longestBurstTask), 2000 + 500 * static_cast<std::uint32_t>(this->below(4)), this->below(2) == 0 ? harmfulLoss : harmlessLoss };
            // One is cancelled right away, and one when its tasks may wait or run.
            burst.jobs.front().cancelledAfter = Duration {};
            burst.jobs.back().cancelledAfter = this->upTo(longestBurst);
            return burst;
        }

        GrowConfiguration configuration() { return { 1 + this->below(maximumAddedQueues) }; }

        SendForeignHeartbeat drawForeignHeartbeat()
        {
            const std::size_t agent = this->agent();
            const bool otherId = this->below(2) == 0;
            return { agent, otherId, this->below(3) == 0, this->below(2) == 0 ? Duration {} : clockStep };
        }

    private:
        SoakSize size;
        std::mt19937_64 random;
    };

    RequestFault drawRequestFault(FaultGenerator& generator)
    {
        switch (generator.below(std::variant_size_v<RequestFault>)) {
        case 0:
            return Kill { generator.entryOrAgent(), generator.upTo(longestDown) };
        case 1:
            return Replace { generator.entryOrAgent() };
        case 2:
            return generator.suspend(generator.anyOfThree());
        case 3:
            return DropConnections { generator.entryName() };
        case 4:
            return HoldOneWay { generator.entryName(), generator.below(2) == 0, generator.upTo(longestNetworkFault) };
        case 5:
            return SilenceLinks { generator.entry(), generator.upTo(longestNetworkFault) };
        case 6:
            return SlowConnections { generator.entryName(), generator.upTo(longestDelay), generator.upTo(longestNetworkFault) };
        case 7:
            return DuplicateAndDelayAnswers { generator.entry(), generator.upTo(longestNetworkFault) };
        default:
            return ChangeRules { generator.entry() };
        }
    }

    JobFault drawJobFault(FaultGenerator& generator)
    {
        switch (generator.below(std::variant_size_v<JobFault> - kindsWithOwnSequence)) {
        case 0:
            return Kill { generator.entryOrAgent(), generator.upTo(longestDown) };
        case 1:
            return Replace { generator.entryOrAgent() };
        case 2:
            return generator.suspend(generator.entryOrAgent());
        case 3:
            return DropConnections { generator.entryOrAgent() };
        case 4:
            return HoldOneWay { generator.entryOrAgent(), generator.below(2) == 0, generator.upTo(longestNetworkFault) };
        case 5:
            return SlowConnections { generator.entryOrAgent(), generator.upTo(longestDelay), generator.upTo(longestNetworkFault) };
        case 6:
            return StoreOutage { generator.upTo(longestNetworkFault) };
        case 7:
            return LoseStoreAnswers { generator.lostAnswers() };
        case 8:
            return DropStoreHistory {};
        case 9:
            return LoseWorkerAnswers { generator.agent(), generator.lostAnswers() };
        case 10:
            return generator.crash();
        default:
            return generator.drawForeignHeartbeat();
        }
    }

    template <typename Fault>
    std::vector<Planned<Fault>> plan(const SoakSize& size, Fault (*draw)(FaultGenerator&))
    {
        FaultGenerator generator(size);
        std::vector<Planned<Fault>> faults;
        for (Duration at = generator.pause(); at < size.length; at += generator.pause())
            faults.push_back({ at, draw(generator) });
        return faults;
    }

    /// Plans faults of one kind, with a random sequence of its own.
    template <typename Fault>
    std::vector<Planned<JobFault>> planSeries(SoakSize size, std::uint64_t sequence, Duration longestBetween, Fault (FaultGenerator::*draw)())
    {
        size.seed ^= sequence;
        FaultGenerator generator(size);
        std::vector<Planned<JobFault>> faults;
        for (Duration at = generator.upTo(longestBetween); at < size.length; at += generator.upTo(longestBetween))
            faults.push_back({ at, (generator.*draw)() });
        return faults;
    }

    std::string lengthOf(Duration duration)
    {
        return " for " + std::to_string(toMilliseconds(duration)) + " ms";
    }

    struct Description {
        std::string operator()(const Kill& fault) const { return describe(fault.process) + " is killed, down" + lengthOf(fault.downFor); }
        std::string operator()(const Replace& fault) const { return describe(fault.process) + " is replaced"; }
        std::string operator()(const Suspend& fault) const { return describe(fault.process) + " is suspended" + lengthOf(fault.length); }
        std::string operator()(const DropConnections& fault) const { return "connections of " + describe(fault.process) + " are closed"; }
        std::string operator()(const HoldOneWay& fault) const
        {
            return "connections of " + describe(fault.process) + " are held back " + (fault.toServer ? "towards" : "from") + " the server" + lengthOf(fault.length);
        }
        std::string operator()(const SilenceLinks& fault) const { return "links of entry " + std::to_string(fault.entry) + " are silent" + lengthOf(fault.length); }
        std::string operator()(const SlowConnections& fault) const { return "connections of " + describe(fault.process) + " are delayed" + lengthOf(fault.length); }
        std::string operator()(const DuplicateAndDelayAnswers& fault) const { return "answers to entry " + std::to_string(fault.entry) + " are duplicated or delayed" + lengthOf(fault.length); }
        std::string operator()(const ChangeRules& fault) const { return "rules change at entry " + std::to_string(fault.entry); }
        std::string operator()(const StoreOutage& fault) const { return "the store is unavailable" + lengthOf(fault.length); }
        std::string operator()(const LoseStoreAnswers& fault) const { return "the store loses " + std::to_string(fault.count) + " answers"; }
        std::string operator()(const DropStoreHistory&) const { return "the store drops its history"; }
        std::string operator()(const LoseWorkerAnswers& fault) const { return "worker " + std::to_string(fault.worker) + " loses " + std::to_string(fault.count) + " answers"; }
        std::string operator()(const CrashWorker& fault) const
        {
            return "worker " + std::to_string(fault.worker) + " is down " + std::to_string(fault.times) + " times" + lengthOf(fault.downFor)
                + (fault.otherId ? ", under another id" : "") + (fault.clockStep < Duration {} ? ", with an earlier start time" : "");
        }
        std::string operator()(const SendForeignHeartbeat& fault) const
        {
            return "another writer sends a heartbeat to agent " + std::to_string(fault.agent) + (fault.otherId ? ", with another id" : "")
                + (fault.unknownService ? ", with an unknown service" : "") + (fault.startOffset > Duration {} ? ", with a start time in the future" : "");
        }
        std::string operator()(const SilenceConnections& fault) const
        {
            return "open connections of " + (fault.process ? describe(*fault.process) : "all processes") + " fall silent for good";
        }
        std::string operator()(const Evacuate& fault) const { return "zone-" + std::to_string(fault.zone) + " is evacuated" + lengthOf(fault.length); }
        std::string operator()(const GrowConfiguration& fault) const { return "a configuration with " + std::to_string(fault.queues) + " more queues is written"; }
        std::string operator()(const SubmitBurst& burst) const { return "a burst of " + std::to_string(burst.jobs.size()) + " best-effort jobs begins"; }
    };

}

std::vector<Planned<RequestFault>> planRequestFaults(const SoakSize& size)
{
    return plan<RequestFault>(size, drawRequestFault);
}

std::vector<Planned<JobFault>> planJobFaults(const SoakSize& size)
{
    const std::vector<Planned<JobFault>> faults = plan<JobFault>(size, drawJobFault);
    std::vector<Planned<JobFault>> others = planSeries(size, silenceSequence, longestBetweenSilences, &FaultGenerator::silence);
    const std::vector<Planned<JobFault>> evacuations = planSeries(size, evacuationSequence, longestBetweenEvacuations, &FaultGenerator::evacuation);
    const auto earlier = [](const Planned<JobFault>& left, const Planned<JobFault>& right) { return left.at < right.at; };
    const std::vector<Planned<JobFault>> bursts = planSeries(size, burstSequence, longestBetweenBursts, &FaultGenerator::burst);
    others.insert(others.end(), evacuations.begin(), evacuations.end());
    others.insert(others.end(), bursts.begin(), bursts.end());
    const std::vector<Planned<JobFault>> configurations = planSeries(size, configurationSequence, longestBetweenConfigurations, &FaultGenerator::configuration);
    others.insert(others.end(), configurations.begin(), configurations.end());
    std::stable_sort(others.begin(), others.end(), earlier);
    std::vector<Planned<JobFault>> merged;
    std::merge(faults.begin(), faults.end(), others.begin(), others.end(), std::back_inserter(merged), earlier);
    return merged;
}

std::string describe(const ProcessName& process)
{
    switch (process.role) {
    case Role::Entry:
        return "entry " + std::to_string(process.index);
    case Role::Agent:
        return "agent " + std::to_string(process.index);
    case Role::Upstream:
        break;
    }
    return "upstream " + std::to_string(process.index);
}

std::string describe(const RequestFault& fault)
{
    return std::visit(Description {}, fault);
}

std::string describe(const JobFault& fault)
{
    return std::visit(Description {}, fault);
}

}
