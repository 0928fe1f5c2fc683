#pragma once

/// @file
/// @brief Time limit for the pending operations of a socket.

#include "Asio.h"
#include <cowslipdoor/core/Time.h>
#include <memory>

namespace cowslipdoor::runtime {

/// @brief Cancels the pending operations of a socket at a time limit and leaves the socket open.
///
/// If the process is stalled when the limit passes, the socket's received data is read before the operations are cancelled.
/// The socket must outlive the deadline.
/// @code
/// SocketDeadline deadline(socket, std::chrono::seconds(2));
/// const std::tuple<error_code, std::size_t> read = co_await http::async_read(stream, buffer, parser, asTuple);
/// if (deadline.passed())
///     co_return tooLate;
/// @endcode
class SocketDeadline {
public:
    /// @param socket socket whose operations are cancelled
    /// @param limit time from now
    SocketDeadline(tcp::socket& socket, Duration limit);
    ~SocketDeadline();

    SocketDeadline(const SocketDeadline&) = delete;
    SocketDeadline& operator=(const SocketDeadline&) = delete;

    /// @brief Disarms the deadline; the result of passed() no longer changes.
    void end() noexcept;

    /// @return whether the limit passed and the operations were cancelled
    [[nodiscard]] bool passed() const noexcept;

private:
    struct Wait;

    static void armTimer(const std::shared_ptr<Wait>& wait, TimePoint due);

    std::shared_ptr<Wait> wait;
};

}
