#include "Victims.h"
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
    constexpr Duration healLimit = std::chrono::seconds(90);

}

void Victims::add(const ProcessName& name, Victim victim)
{
    this->states.insert_or_assign(name, State { std::move(victim), std::nullopt, std::nullopt, false });
}

void Victims::kill(const ProcessName& name, TimePoint until)
{
    State& state = this->states.at(name);
    state.victim.process().signal(SIGKILL);
    state.killed = true;
    state.thawAt.reset();
    state.startAt = std::max(state.startAt.value_or(until), until);
}

void Victims::replace(const ProcessName& name)
{
    State& state = this->states.at(name);
    // A second SIGTERM would abort the drain and with it the requests in flight.
    if (state.startAt)
        return;
    state.victim.process().signal(SIGTERM);
    state.startAt = monotonicNow();
}

void Victims::freeze(const ProcessName& name, TimePoint until)
{
    State& state = this->states.at(name);
    if (state.killed)
        return;
    state.victim.process().signal(SIGSTOP);
    state.thawAt = std::max(state.thawAt.value_or(until), until);
}

void Victims::tick(TimePoint now)
{
    for (std::map<ProcessName, State>::value_type& item : this->states) {
        State& state = item.second;
        if (state.thawAt && now >= *state.thawAt)
            this->thaw(state);
        if (!state.victim.process().running() && now >= state.startAt.value_or(now))
            this->bringBack(item.first, state);
    }
}

void Victims::heal()
{
    for (std::map<ProcessName, State>::value_type& item : this->states)
        this->thaw(item.second);
    const TimePoint end = monotonicNow() + healLimit;
    while (std::any_of(this->states.begin(), this->states.end(), [](const std::map<ProcessName, State>::value_type& item) { return item.second.startAt.has_value(); })) {
        if (monotonicNow() > end)
            throw std::runtime_error("timed out waiting for processes to end after SIGTERM");
        this->tick(monotonicNow());
        std::this_thread::sleep_for(pollInterval);
    }
}

bool Victims::calm() const
{
    return std::none_of(this->states.begin(), this->states.end(), [](const std::map<ProcessName, State>::value_type& item) { return item.second.thawAt || item.second.startAt; });
}

void Victims::thaw(State& state) const
{
    if (state.thawAt)
        state.victim.process().signal(SIGCONT);
    state.thawAt.reset();
}

void Victims::bringBack(const ProcessName& name, State& state)
{
    const int result = state.victim.process().wait();
    const bool asked = state.startAt && (state.killed ? result == -SIGKILL || result == 0 : result == 0);
    if (!asked)
        this->unasked.push_back(describe(name) + " exited unexpectedly, result " + std::to_string(result));
    state.victim.start();
    state.startAt.reset();
    state.killed = false;
}

}
