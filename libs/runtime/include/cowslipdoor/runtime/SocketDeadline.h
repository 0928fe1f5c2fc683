#pragma once

/// @file
/// @brief Time limit of what a socket waits for.

#include "Asio.h"
#include <cowslipdoor/core/Time.h>
#include <memory>

namespace cowslipdoor::runtime {

/// @brief Cancels what a socket waits for at a time limit, and leaves the socket open.
///
/// A limit that comes due while the process stood still leaves time to take in what the socket holds by then.
/// The socket must outlive the deadline.
/// @code
/// SocketDeadline deadline(socket, std::chrono::seconds(2));
/// const std::tuple<error_code, std::size_t> read = co_await http::async_read(stream, buffer, parser, asTuple);
/// if (deadline.passed())
///     co_return tooLate;
/// @endcode
class SocketDeadline {
public:
    /// @param socket the socket
    /// @param limit time from now
    SocketDeadline(tcp::socket& socket, Duration limit);
    ~SocketDeadline();

    SocketDeadline(const SocketDeadline&) = delete;
    SocketDeadline& operator=(const SocketDeadline&) = delete;

    /// @brief Ends the wait; a limit that has not passed by now never does.
    void end() noexcept;

    /// @return whether the limit passed and the socket's waits were cancelled
    [[nodiscard]] bool passed() const noexcept;

private:
    struct Wait;

    static void armTimer(const std::shared_ptr<Wait>& wait, TimePoint due);

    std::shared_ptr<Wait> wait;
};

}
