#include "cowslipdoor/runtime/GracefulShutdown.h"
#include "cowslipdoor/runtime/Process.h"
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
    asio::co_spawn(
        this->context, [this]() { return this->awaitFirstSignal(); }, asio::detached);
}

asio::awaitable<void> GracefulShutdown::awaitFirstSignal()
{
    asio::signal_set signals(this->context, SIGTERM, SIGINT);
    co_await signals.async_wait(asTuple);
    asio::co_spawn(
        this->context, [this]() { return this->awaitSecondSignal(); }, asio::detached);
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
