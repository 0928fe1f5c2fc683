#include "ProcessSupervisor.h"
#include <algorithm>
#include <chrono>
#include <cowslipdoor/runtime/Clock.h>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cowslipdoor::soak {

using runtime::monotonicNow;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 20 };
    /// Exceeds the drain limit of the programs, 60 s, which bounds a graceful shutdown.
    constexpr Duration recoveryTimeout = std::chrono::seconds(90);

}

void ProcessSupervisor::add(const ProcessName& name, SupervisedProcess supervised)
{
    this->states.insert_or_assign(name, State { std::move(supervised), std::nullopt, std::nullopt, false });
}

void ProcessSupervisor::kill(const ProcessName& name, TimePoint until)
{
    State& state = this->states.at(name);
    state.supervised.process().signal(SIGKILL);
    state.killed = true;
    state.resumeAt.reset();
    state.startAt = std::max(state.startAt.value_or(until), until);
}

void ProcessSupervisor::replace(const ProcessName& name)
{
    State& state = this->states.at(name);
    // A second SIGTERM would abort the drain and with it the requests in flight.
    if (state.startAt)
        return;
    state.supervised.process().signal(SIGTERM);
    state.startAt = monotonicNow();
}

void ProcessSupervisor::suspend(const ProcessName& name, TimePoint until)
{
    State& state = this->states.at(name);
    if (state.killed)
        return;
    state.supervised.process().signal(SIGSTOP);
    state.resumeAt = std::max(state.resumeAt.value_or(until), until);
}

void ProcessSupervisor::tick(TimePoint now)
{
    for (std::map<ProcessName, State>::value_type& item : this->states) {
        State& state = item.second;
        if (state.resumeAt && now >= *state.resumeAt)
            this->resume(state);
        if (!state.supervised.process().running() && now >= state.startAt.value_or(now))
            this->restart(item.first, state);
    }
}

void ProcessSupervisor::recover()
{
    for (std::map<ProcessName, State>::value_type& item : this->states)
        this->resume(item.second);
    const TimePoint end = monotonicNow() + recoveryTimeout;
    while (std::any_of(this->states.begin(), this->states.end(), [](const std::map<ProcessName, State>::value_type& item) { return item.second.startAt.has_value(); })) {
        if (monotonicNow() > end)
            throw std::runtime_error("timed out waiting for processes to end after SIGTERM");
        this->tick(monotonicNow());
        std::this_thread::sleep_for(pollInterval);
    }
}

bool ProcessSupervisor::quiet() const
{
    return std::none_of(this->states.begin(), this->states.end(), [](const std::map<ProcessName, State>::value_type& item) { return item.second.resumeAt || item.second.startAt; });
}

void ProcessSupervisor::resume(State& state) const
{
    if (state.resumeAt)
        state.supervised.process().signal(SIGCONT);
    state.resumeAt.reset();
}

void ProcessSupervisor::restart(const ProcessName& name, State& state)
{
    const int result = state.supervised.process().wait();
    const bool requested = state.startAt && (state.killed ? result == -SIGKILL || result == 0 : result == 0);
    if (!requested)
        this->unexpected.push_back(describe(name) + " exited unexpectedly, result " + std::to_string(result));
    state.supervised.start();
    state.startAt.reset();
    state.killed = false;
}

}
