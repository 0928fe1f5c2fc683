#include "cowslipdoor/runtime/SpawnTask.h"
#include <boost/asio/experimental/channel_error.hpp>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    bool isCancellation(const error_code& code)
    {
        return code == asio::error::operation_aborted || code == asio::experimental::error::channel_closed || code == asio::experimental::error::channel_cancelled;
    }

}

TaskFailure::TaskFailure(const std::string& task, const std::string& detail)
    : std::runtime_error(task + ": " + detail)
{
}

std::optional<std::string> unexpectedError(const std::exception_ptr& error)
{
    if (!error)
        return std::nullopt;
    try {
        std::rethrow_exception(error);
    } catch (const boost::system::system_error& known) {
        return isCancellation(known.code()) ? std::nullopt : std::optional<std::string>(known.what());
    } catch (const std::exception& known) {
        return known.what();
    } catch (...) {
        return "an error of unknown type";
    }
}

void recordConnectionFault(const Log& log, Metrics& metrics, const std::string& detail)
{
    metrics.countEvent(EventId::ConnectionFailed);
    log.record(EventId::ConnectionFailed, detail);
}

void spawnTask(const asio::any_io_executor& executor, std::string name, TaskBody body)
{
    asio::co_spawn(executor, std::move(body), [name = std::move(name)](const std::exception_ptr& error) {
        const std::optional<std::string> detail = unexpectedError(error);
        if (detail)
            throw TaskFailure(name, *detail);
    });
}

void spawnOperation(const asio::any_io_executor& executor, std::string name, TaskBody body, const Log& log, Metrics& metrics)
{
    asio::co_spawn(executor, std::move(body), [name = std::move(name), &log, &metrics](const std::exception_ptr& error) {
        const std::optional<std::string> detail = unexpectedError(error);
        if (detail)
            recordConnectionFault(log, metrics, name + ": " + *detail);
    });
}

}
