#pragma once

/// @file
/// @brief Starts coroutines whose unexpected errors must not be lost.

#include "Asio.h"
#include "Log.h"
#include "Metrics.h"
#include <exception>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace cowslipdoor::runtime {

/// @brief An unexpected error ended a task on which the process depends.
class TaskFailure : public std::runtime_error {
public:
    /// @param task name of the task
    /// @param detail what the error says
    TaskFailure(const std::string& task, const std::string& detail);
};

/// @brief Body of a task.
using TaskBody = std::function<asio::awaitable<void>()>;

/// @brief Describes the error that ended a coroutine.
/// @param error the exception, or null if the coroutine returned
/// @return what the error says, or nothing if there is none or an operation was cancelled
[[nodiscard]] std::optional<std::string> unexpectedError(const std::exception_ptr& error);

/// @brief Logs and counts an unexpected error of one connection or call as EventId::ConnectionFailed.
/// @param detail what failed and what the error says
void recordConnectionFault(const Log& log, Metrics& metrics, const std::string& detail);

/// @brief Starts a task on which the process depends, such as one that owns a state machine.
///
/// An unexpected error of the body leaves the event loop as TaskFailure, so that the process ends and is restarted: its
/// state may be half updated. The end of the body and cancelled operations are no errors.
/// @param executor runs the task
/// @param name name of the task in the error
/// @param body the task
/// @code
/// spawnTask(executor, "EntryTask", [this]() { return this->run(); });
/// @endcode
void spawnTask(const asio::any_io_executor& executor, std::string name, TaskBody body);

/// @brief Starts a coroutine that serves one connection or one call.
///
/// An unexpected error of the body is logged and ends only this coroutine.
/// @param executor runs the coroutine
/// @param name name of the coroutine in the log
/// @param body the coroutine
/// @param log receives the error; must outlive the coroutine
/// @param metrics counts the error; must outlive the coroutine
void spawnOperation(const asio::any_io_executor& executor, std::string name, TaskBody body, const Log& log, Metrics& metrics);

}
