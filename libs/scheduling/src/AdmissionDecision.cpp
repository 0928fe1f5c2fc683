#include "cowslipdoor/scheduling/AdmissionDecision.h"
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Multiple of the objective after which the end of a job has no value.
    constexpr int valueEndFactor = 3;

    Duration scaled(Duration time, double factor)
    {
        return std::chrono::duration_cast<Duration>(time * factor);
    }

    /// Decision for the jobs of one service.
    class ServiceAdmission {
    public:
        ServiceAdmission(std::vector<const AdmissionCandidate*> jobs, const AdmissionHistory& before, const BestEffortRoom& room, const ServiceUse& service, const AdmissionConfig& config, TimePoint now)
            : jobs(std::move(jobs))
            , before(before)
            , room(room)
            , service(service)
            , config(config)
            , now(now)
        {
        }

        /// Adds the verdicts to a decision.
        void decide(AdmissionDecision& decision)
        {
            const bool suffices = this->sufficesForAll();
            if (suffices)
                this->admitAll();
            else
                this->select();
            decision.overloaded = decision.overloaded || !suffices;
            decision.spare[this->jobs.front()->service] = std::max(0.0, this->service.milliCores * (suffices ? 1 : 1 - this->config.oldShare) - this->used);
            decision.verdicts.merge(this->verdicts);
        }

    private:
        /// Jobs that get the same share of their demand as those of other groups: those of a queue, without or only its largest.
        using GroupKey = std::pair<std::string, bool>;

        struct Group {
            std::vector<const AdmissionCandidate*> waiting {};
            std::size_t next = 0;
            double demand = 0;
            double admitted = 0;
            bool blocked = false;

            [[nodiscard]] bool open() const { return !this->blocked && this->next < this->waiting.size(); }
            [[nodiscard]] double servedShare() const { return this->admitted / std::max(1.0, this->demand); }
        };

        [[nodiscard]] double roomFor(const TaskKind& kind) const
        {
            const std::map<TaskKind, double>::const_iterator it = this->room.byKind.find(kind);
            return it == this->room.byKind.end() ? 0 : it->second;
        }

        /// Milli-cores that a job can make use of; tasks of a kind without room take nothing from others.
        [[nodiscard]] double usable(const AdmissionCandidate& job) const
        {
            double sum = 0;
            for (const AdmissionDemand& demand : job.demands)
                sum += std::min(demand.total(), this->roomFor(demand.kind));
            return sum;
        }

        [[nodiscard]] bool canEndInTime(const AdmissionCandidate& job, double share) const { return this->now + scaled(job.remainingTime, share) <= job.due; }

        [[nodiscard]] bool sufficesForAll() const
        {
            double total = 0;
            std::map<TaskKind, double> byKind;
            for (const AdmissionCandidate* const job : this->jobs) {
                for (const AdmissionDemand& demand : job->demands) {
                    total += demand.total();
                    byKind[demand.kind] += demand.total();
                }
            }
            return total <= this->service.milliCores && std::all_of(byKind.begin(), byKind.end(), [this](const std::map<TaskKind, double>::value_type& item) { return item.second <= this->roomFor(item.first); });
        }

        void admitAll()
        {
            for (const AdmissionCandidate* const job : this->jobs)
                this->admit(*job, AdmissionReason::RoomForAll);
        }

        /// Jobs of one priority that do not go on as before.
        struct Level {
            /// Those that can end in time, those that just can, and those that cannot.
            std::vector<const AdmissionCandidate*> inTime {};
            std::vector<const AdmissionCandidate*> tight {};
            std::vector<const AdmissionCandidate*> late {};
        };

        void select()
        {
            std::vector<const AdmissionCandidate*> late;
            std::vector<const AdmissionCandidate*> valueless;
            this->findLargest();
            for (const std::map<std::uint32_t, Level>::value_type& item : this->sortIntoLevels(valueless)) {
                const Level& level = item.second;
                this->admitInTime(level.inTime);
                if (this->held.empty())
                    this->admitInTime(level.tight);
                else
                    this->held.insert(this->held.end(), level.tight.begin(), level.tight.end());
                this->admitLate(level.late, 1 - this->config.oldShare);
                late.insert(late.end(), level.late.begin(), level.late.end());
            }
            late.insert(late.end(), valueless.begin(), valueless.end());
            this->admitIdle(this->held);
            this->admitIdle(late);
            this->admitOld(late);
            this->full = false;
            this->admitLate(late, 1);
            this->yieldRuns(late);
            this->holdRest(this->held, AdmissionReason::HeldForOthers);
            this->holdRest(late, AdmissionReason::HeldAsLate);
        }

        /// Admits the jobs that go on, and sorts the others by priority and by whether they can end in time.
        [[nodiscard]] std::map<std::uint32_t, Level> sortIntoLevels(std::vector<const AdmissionCandidate*>& valueless)
        {
            std::map<std::uint32_t, Level> levels;
            for (const AdmissionCandidate* const job : this->jobs) {
                if (this->continues(*job)) {
                    this->admit(*job, AdmissionReason::Continues);
                    continue;
                }
                this->chargeRunning(*job);
                if (this->now > job->arrived + (job->due - job->arrived) * valueEndFactor)
                    valueless.push_back(job);
                else if (this->canEndInTime(*job, this->config.safeShare))
                    levels[job->priority].inTime.push_back(job);
                else if (this->canEndInTime(*job, 1))
                    levels[job->priority].tight.push_back(job);
                else
                    levels[job->priority].late.push_back(job);
            }
            return levels;
        }

        /// Whether a job keeps its admission. What has begun counts as admitted, also after a takeover.
        [[nodiscard]] bool continues(const AdmissionCandidate& job) const
        {
            const AdmissionHistory::const_iterator earlier = this->before.find(job.job);
            const bool admitted = job.begun || (earlier != this->before.end() && earlier->second);
            return admitted && this->canEndInTime(job, this->config.keptShare);
        }

        /// Admits jobs of one priority that can end in time; those for which no room is left are held.
        void admitInTime(const std::vector<const AdmissionCandidate*>& inTime)
        {
            std::map<GroupKey, Group> groups = this->groupsOf(inTime);
            for (Group* group = leastServed(groups); group && !this->full; group = leastServed(groups))
                this->full = !this->admitNext(*group);
            for (const std::map<GroupKey, Group>::value_type& group : groups)
                this->held.insert(this->held.end(), group.second.waiting.begin() + static_cast<std::ptrdiff_t>(group.second.next), group.second.waiting.end());
        }

        /// Admits the next job of a group if there is room for its kind; returns false if there is no room for any kind.
        bool admitNext(Group& group)
        {
            const AdmissionCandidate& job = *group.waiting[group.next];
            if (!this->fitsService(job, 1 - this->config.oldShare))
                return false;
            group.blocked = !this->fitsKinds(job);
            if (group.blocked)
                return true;
            this->admitMore(job, AdmissionReason::InTime);
            group.admitted += job.milliCores();
            ++group.next;
            return true;
        }

        [[nodiscard]] static Group* leastServed(std::map<GroupKey, Group>& groups)
        {
            Group* least = nullptr;
            for (std::map<GroupKey, Group>::value_type& item : groups) {
                if (item.second.open() && (!least || item.second.servedShare() < least->servedShare()))
                    least = &item.second;
            }
            return least;
        }

        [[nodiscard]] std::map<GroupKey, Group> groupsOf(const std::vector<const AdmissionCandidate*>& waiting) const
        {
            std::map<GroupKey, Group> groups;
            for (const AdmissionCandidate* const job : waiting) {
                Group& group = groups[this->groupOf(*job)];
                group.waiting.push_back(job);
                group.demand += job->milliCores();
            }
            for (const AdmissionCandidate* const job : this->jobs) {
                const std::map<GroupKey, Group>::iterator group = groups.find(this->groupOf(*job));
                const std::map<JobId, AdmissionVerdict>::const_iterator verdict = this->verdicts.find(job->job);
                if (group == groups.end() || verdict == this->verdicts.end())
                    continue;
                group->second.demand += job->milliCores();
                group->second.admitted += job->milliCores();
            }
            const auto before = [](const AdmissionCandidate* left, const AdmissionCandidate* right) { return std::tie(left->remainingWork, left->due, left->job) < std::tie(right->remainingWork, right->due, right->job); };
            for (std::map<GroupKey, Group>::value_type& item : groups)
                std::sort(item.second.waiting.begin(), item.second.waiting.end(), before);
            return groups;
        }

        [[nodiscard]] GroupKey groupOf(const AdmissionCandidate& job) const
        {
            const std::map<std::string, double>::const_iterator least = this->largestFrom.find(job.queue);
            return { job.queue, least != this->largestFrom.end() && job.totalWork >= least->second };
        }

        /// Finds the work from which a job counts as one of the largest of its queue. The largest tenth is not always among the jobs
        /// that are known now, so the limit is a size and not a rank.
        void findLargest()
        {
            constexpr double largerThanMedian = 1.5;
            std::map<std::string, std::vector<double>> works;
            for (const AdmissionCandidate* const job : this->jobs)
                works[job->queue].push_back(job->totalWork);
            for (std::map<std::string, std::vector<double>>::value_type& item : works) {
                std::vector<double>& sizes = item.second;
                const std::vector<double>::iterator middle = sizes.begin() + static_cast<std::ptrdiff_t>(sizes.size() / 2);
                std::nth_element(sizes.begin(), middle, sizes.end());
                this->largestFrom[item.first] = largerThanMedian * *middle;
            }
        }

        /// Lets the oldest jobs run as many tasks as a share of the capacity allows.
        void admitOld(const std::vector<const AdmissionCandidate*>& late)
        {
            std::vector<const AdmissionCandidate*> oldest = this->held;
            oldest.insert(oldest.end(), late.begin(), late.end());
            std::sort(oldest.begin(), oldest.end(), [](const AdmissionCandidate* left, const AdmissionCandidate* right) { return std::tie(left->arrived, left->job) < std::tie(right->arrived, right->job); });
            for (const AdmissionCandidate* const job : oldest) {
                const double left = this->service.milliCores * this->config.oldShare - this->forOld;
                if (left <= 0)
                    return;
                if (this->verdicts.contains(job->job))
                    continue;
                const double perTask = std::max(1U, job->demands.front().task.milliCores);
                const double tasks = std::ceil(std::min(left, job->milliCores()) / perTask);
                this->forOld += tasks * perTask;
                this->chargeWaiting(*job, tasks * perTask);
                const bool whole = tasks * perTask >= job->milliCores();
                this->verdicts[job->job] = { whole ? noTaskLimit : static_cast<std::uint32_t>(tasks), AdmissionReason::Old, false };
            }
        }

        /// Admits late jobs while no job that can end in time is held for them and there is room.
        void admitLate(std::vector<const AdmissionCandidate*> late, double share)
        {
            const auto before = [](const AdmissionCandidate* left, const AdmissionCandidate* right) { return std::tie(left->priority, left->remainingWork, left->due, left->job) < std::tie(right->priority, right->remainingWork, right->due, right->job); };
            std::sort(late.begin(), late.end(), before);
            for (const AdmissionCandidate* const job : late) {
                if (this->verdicts.contains(job->job) || this->full || !this->held.empty())
                    continue;
                this->full = !this->fitsService(*job, share);
                if (!this->full && this->fitsKinds(*job))
                    this->admitMore(*job, AdmissionReason::RoomLeft);
            }
        }

        /// Chooses late jobs whose runs give back their places to jobs of no lower priority, those with most work left first.
        void yieldRuns(std::vector<const AdmissionCandidate*> late)
        {
            double wanted = 0;
            std::uint32_t highest = std::numeric_limits<std::uint32_t>::max();
            for (const AdmissionCandidate* const job : this->held) {
                wanted += this->usable(*job);
                highest = std::min(highest, job->priority);
            }
            std::sort(late.begin(), late.end(), [](const AdmissionCandidate* left, const AdmissionCandidate* right) { return std::tie(right->remainingWork, right->job) < std::tie(left->remainingWork, left->job); });
            for (const AdmissionCandidate* const job : late) {
                if (wanted <= 0)
                    return;
                const bool keeps = this->verdicts.contains(job->job) || job->tasksAssigned == 0 || job->priority < highest;
                if (keeps || this->canEndInTime(*job, this->config.yieldShare))
                    continue;
                wanted -= runningOf(*job);
                this->verdicts[job->job] = { 0, AdmissionReason::HeldAsLate, true };
            }
        }

        void holdRest(const std::vector<const AdmissionCandidate*>& rest, AdmissionReason reason)
        {
            for (const AdmissionCandidate* const job : rest)
                this->verdicts.try_emplace(job->job, AdmissionVerdict { 0, reason, false });
        }

        /// Lets jobs run one task each where the platform requires that something of them runs.
        void admitIdle(const std::vector<const AdmissionCandidate*>& rest)
        {
            for (const AdmissionCandidate* const job : rest) {
                if (!this->mustRun(*job))
                    continue;
                const double milliCores = job->demands.front().task.milliCores;
                this->chargeWaiting(*job, milliCores);
                this->forOld += milliCores;
                this->verdicts[job->job] = { 1, AdmissionReason::Idle, false };
            }
        }

        /// Whether the platform requires that something of a held job runs: nothing has for a while, at least half of the service
        /// is free, and another two of its tasks would find memory.
        [[nodiscard]] bool mustRun(const AdmissionCandidate& job) const
        {
            if (!job.idleSince || this->now < *job.idleSince + this->config.idleLimit || this->service.reservedShare() > this->config.reservedShare)
                return false;
            const ResourceVector free = this->service.capacity.minus(this->service.used);
            return free.memoryMb >= 2 * job.demands.front().task.memoryMb;
        }

        /// Whether half of what a job does not run yet fits. The tasks of a job end one by one, so the next job begins before all
        /// have ended.
        [[nodiscard]] bool fitsService(const AdmissionCandidate& job, double share) const
        {
            const double capacity = this->service.milliCores * share;
            return this->used + std::min(this->usable(job) - runningOf(job), capacity) / 2 <= capacity;
        }

        [[nodiscard]] bool fitsKinds(const AdmissionCandidate& job) const
        {
            return std::all_of(job.demands.begin(), job.demands.end(), [this](const AdmissionDemand& demand) {
                const double capacity = this->roomFor(demand.kind);
                const std::map<TaskKind, double>::const_iterator it = this->usedByKind.find(demand.kind);
                return (it == this->usedByKind.end() ? 0 : it->second) + std::min(demand.total() - demand.running, capacity) / 2 <= capacity;
            });
        }

        [[nodiscard]] static double runningOf(const AdmissionCandidate& job)
        {
            double running = 0;
            for (const AdmissionDemand& demand : job.demands)
                running += demand.running;
            return running;
        }

        void admit(const AdmissionCandidate& job, AdmissionReason reason)
        {
            this->chargeRunning(job);
            this->admitMore(job, reason);
        }

        /// Admits a job whose running tasks are counted already.
        void admitMore(const AdmissionCandidate& job, AdmissionReason reason)
        {
            this->used += std::max(0.0, this->usable(job) - runningOf(job));
            for (const AdmissionDemand& demand : job.demands)
                this->usedByKind[demand.kind] += demand.total() - demand.running;
            this->verdicts[job.job] = { noTaskLimit, reason, false };
        }

        void chargeRunning(const AdmissionCandidate& job)
        {
            for (const AdmissionDemand& demand : job.demands) {
                this->used += demand.running;
                this->usedByKind[demand.kind] += demand.running;
            }
        }

        /// Counts what a held job may place beyond what it runs.
        void chargeWaiting(const AdmissionCandidate& job, double milliCores)
        {
            const double more = std::max(0.0, milliCores - runningOf(job));
            this->used += more;
            this->usedByKind[job.demands.front().kind] += more;
        }

        const std::vector<const AdmissionCandidate*> jobs;
        const AdmissionHistory& before;
        const BestEffortRoom& room;
        const ServiceUse& service;
        const AdmissionConfig& config;
        const TimePoint now;
        std::map<std::string, double> largestFrom {};
        double used = 0;
        /// Milli-cores that held and late jobs get although others need them.
        double forOld = 0;
        std::map<TaskKind, double> usedByKind {};
        std::map<JobId, AdmissionVerdict> verdicts {};
        /// Jobs that could end in time and for which no room is left.
        std::vector<const AdmissionCandidate*> held {};
        /// Whether the next job in order does not fit, so that none behind it is admitted in its place.
        bool full = false;
    };

}

std::string_view toString(AdmissionReason reason) noexcept
{
    switch (reason) {
    case AdmissionReason::RoomForAll:
        return "there is room for all jobs";
    case AdmissionReason::Continues:
        return "it runs and can end in time";
    case AdmissionReason::InTime:
        return "it can end in time";
    case AdmissionReason::RoomLeft:
        return "it is late, and there is room left";
    case AdmissionReason::Old:
        return "it is among the oldest";
    case AdmissionReason::Idle:
        return "nothing of it has run for long";
    case AdmissionReason::HeldForOthers:
        return "others need the room first";
    case AdmissionReason::HeldAsLate:
        return "it cannot end in time, and others can";
    }
    return "";
}

std::size_t AdmissionDecision::heldJobs() const
{
    return static_cast<std::size_t>(std::count_if(this->verdicts.begin(), this->verdicts.end(), [](const std::map<JobId, AdmissionVerdict>::value_type& item) { return !item.second.admitted(); }));
}

AdmissionDecision decideAdmission(const std::vector<AdmissionCandidate>& candidates, const AdmissionHistory& before, const BestEffortRoom& room, const AdmissionConfig& config, TimePoint now)
{
    std::map<std::string, std::vector<const AdmissionCandidate*>> byService;
    for (const AdmissionCandidate& candidate : candidates)
        byService[candidate.service].push_back(&candidate);
    AdmissionDecision decision;
    for (const std::map<std::string, std::vector<const AdmissionCandidate*>>::value_type& item : byService) {
        const std::map<std::string, ServiceUse>::const_iterator service = room.byService.find(item.first);
        const ServiceUse use = service == room.byService.end() ? ServiceUse {} : service->second;
        ServiceAdmission(item.second, before, room, use, config, now).decide(decision);
    }
    return decision;
}

}
