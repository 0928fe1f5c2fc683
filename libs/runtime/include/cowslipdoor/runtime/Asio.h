#pragma once

/// @file
/// @brief Aliases for Asio and Beast, and the channels between tasks.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <tuple>
#include <utility>

namespace cowslipdoor::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// @brief Completion token that returns errors as values.
inline constexpr asio::as_tuple_t<asio::use_awaitable_t<>> asTuple {};

/// @brief Bounded queue of messages to one task.
template <typename Message>
using Channel = asio::experimental::channel<void(error_code, Message)>;

/// @brief Shared handle of a channel, held by the task that reads it and by those that write to it.
template <typename Message>
using Mailbox = std::shared_ptr<Channel<Message>>;

/// @brief Makes a channel.
/// @param executor runs the tasks
/// @param capacity largest number of queued messages
/// @return the handle of the channel
template <typename Message>
[[nodiscard]] Mailbox<Message> makeMailbox(const asio::any_io_executor& executor, std::size_t capacity)
{
    return std::make_shared<Channel<Message>>(executor, capacity);
}

/// @brief Sends a message without waiting.
/// @return whether the message was queued; false if the mailbox is full or closed
template <typename Message>
bool trySend(Channel<Message>& mailbox, Message message)
{
    return mailbox.try_send(error_code(), std::move(message));
}

/// @brief Sends a message and waits while the mailbox is full.
/// @return whether the message was queued; false if the mailbox is closed
template <typename Message>
[[nodiscard]] asio::awaitable<bool> send(Mailbox<Message> mailbox, Message message)
{
    if (mailbox->try_send(error_code(), message))
        co_return true;
    const std::tuple<error_code> result = co_await mailbox->async_send(error_code(), std::move(message), asTuple);
    co_return !std::get<0>(result);
}

/// @brief Sends a query to a task and waits for the answer.
/// @tparam Query a message whose only member is the mailbox for the answer
/// @param inbox mailbox of the task
/// @return the answer
/// @code
/// const EntryStatus status = co_await ask<EntryInput, EntryStatusQuery, EntryStatus>(task.inbox());
/// @endcode
template <typename Input, typename Query, typename Answer>
[[nodiscard]] asio::awaitable<Answer> ask(Mailbox<Input> inbox)
{
    const Mailbox<Answer> reply = makeMailbox<Answer>(co_await asio::this_coro::executor, 1);
    const Input query(Query { reply });
    co_await send(inbox, query);
    const std::tuple<error_code, Answer> received = co_await reply->async_receive(asTuple);
    co_return std::get<1>(received);
}

}
