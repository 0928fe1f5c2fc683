#include "ProcessSupervisor.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Clock.h>
#include <csignal>
#include <memory>

using namespace cowslipdoor;
using namespace cowslipdoor::soak;
using runtime::monotonicNow;
using standins::ChildProcess;

namespace {

constexpr ProcessName name { Role::Agent, 0 };

/// One supervised process that runs sleep(1).
class Sleeper {
public:
    explicit Sleeper(const std::string& seconds = "60")
        : seconds(seconds)
    {
        this->start();
        this->supervisor.add(name, { [this]() -> ChildProcess& { return *this->process; }, [this]() { this->start(); } });
    }

    void start()
    {
        ++this->starts;
        this->process = std::make_unique<ChildProcess>("/bin/sleep", std::vector<std::string> { this->seconds }, "/dev/null");
    }

    std::string seconds;
    int starts = 0;
    std::unique_ptr<ChildProcess> process;
    ProcessSupervisor supervisor;
};

}

TEST_CASE("process supervisor: a killed process is restarted at the given time and not before", "[soak]")
{
    Sleeper sleeper;
    const TimePoint until = monotonicNow() + std::chrono::milliseconds(200);
    sleeper.supervisor.kill(name, until);
    (void)sleeper.process->wait();
    sleeper.supervisor.tick(until - std::chrono::milliseconds(1));
    CHECK(sleeper.starts == 1);
    sleeper.supervisor.tick(until);
    CHECK(sleeper.starts == 2);
    CHECK(sleeper.supervisor.unexpectedExits().empty());
}

TEST_CASE("process supervisor: an unexpected exit is reported", "[soak]")
{
    Sleeper sleeper("0");
    (void)sleeper.process->wait();
    sleeper.supervisor.tick(monotonicNow());
    CHECK(sleeper.supervisor.unexpectedExits().size() == 1);
}

TEST_CASE("process supervisor: a suspended process can be killed, and recovery restarts it", "[soak]")
{
    Sleeper sleeper;
    sleeper.supervisor.suspend(name, monotonicNow() + std::chrono::hours(1));
    sleeper.supervisor.kill(name, monotonicNow() + std::chrono::milliseconds(50));
    sleeper.supervisor.recover();
    CHECK(sleeper.starts == 2);
    CHECK(sleeper.process->running());
    CHECK(sleeper.supervisor.unexpectedExits().empty());
}
