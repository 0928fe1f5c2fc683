#include "cowslipdoor/runtime/GracefulShutdown.h"
#include "cowslipdoor/runtime/Process.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

namespace cowslipdoor::runtime {

GracefulShutdown::GracefulShutdown(asio::io_context& context, const Log& log, GracefulShutdownActions actions)
    : context(context)
    , log(log)
    , actions(std::move(actions))
{
}

void GracefulShutdown::start()
{
    spawnTask(this->context.get_executor(), "GracefulShutdown", [this]() { return this->awaitFirstSignal(); });
}

int GracefulShutdown::run()
{
    try {
        this->context.run();
    } catch (const TaskFailure& failure) {
        this->log.record(EventId::TaskFailed, failure.what());
        this->code = exitFailure;
    }
    this->log.record(EventId::ProcessStopped, "exit code " + std::to_string(this->code));
    return this->code;
}

asio::awaitable<void> GracefulShutdown::awaitFirstSignal()
{
    asio::signal_set signals(this->context, SIGTERM, SIGINT);
    co_await signals.async_wait(asTuple);
    spawnTask(this->context.get_executor(), "GracefulShutdown", [this]() { return this->awaitSecondSignal(); });
    const bool finished = co_await this->actions.drain();
    if (!finished)
        co_await this->abortDrain("drain limit");
    this->context.stop();
}

asio::awaitable<void> GracefulShutdown::awaitSecondSignal()
{
    asio::signal_set signals(this->context, SIGTERM, SIGINT);
    co_await signals.async_wait(asTuple);
    co_await this->abortDrain("second signal");
}

asio::awaitable<void> GracefulShutdown::abortDrain(std::string why)
{
    const std::string inFlight = co_await this->actions.describeInFlight();
    this->log.record(EventId::DrainCut, why + ", " + inFlight + " cut off");
    this->code = exitFailure;
    this->context.stop();
}

}
