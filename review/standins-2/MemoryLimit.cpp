#include "MemoryLimit.h"
#include <algorithm>
#include <csignal>
#include <utility>

namespace review {

namespace {

    /// Time after which the platform starts a process again.
    constexpr long long restartMs = 500;

}

MemoryLimit::MemoryLimit(long limitMb, std::vector<WatchedProcess> watched, Record& record)
    : limitMb(limitMb)
    , watched(std::move(watched))
    , record(record)
    , counts(this->watched.size())
{
    for (std::size_t number = 0; number < this->watched.size(); ++number)
        this->threads.emplace_back([this, number]() { this->watch(number); });
}

MemoryLimit::~MemoryLimit()
{
    this->stopping = true;
    for (std::thread& thread : this->threads)
        thread.join();
}

void MemoryLimit::watch(std::size_t number)
{
    const WatchedProcess& item = this->watched[number];
    Counts& own = this->counts[number];
    while (!this->stopping) {
        const long used = item.current().memoryMb();
        own.peakMb = std::max(own.peakMb.load(), used);
        if (used > this->limitMb || !item.current().runs()) {
            ++own.ends;
            this->record.line(item.name + " uses " + std::to_string(used) + " MB of " + std::to_string(this->limitMb) + " MB and is killed");
            item.current().signal(SIGKILL);
            static_cast<void>(item.current().waitForEnd(2000));
            sleepMs(restartMs);
            item.start();
        }
        sleepMs(1);
    }
}

}
