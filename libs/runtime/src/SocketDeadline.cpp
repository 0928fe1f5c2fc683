#include "cowslipdoor/runtime/SocketDeadline.h"
#include "cowslipdoor/runtime/Clock.h"
#include <cowslipdoor/core/WakeupGate.h>

namespace cowslipdoor::runtime {

struct SocketDeadline::Wait {
    enum class State : unsigned char {
        Waiting,
        Passed,
        Over,
    };

    tcp::socket& socket;
    asio::steady_timer timer;
    StallGuard gate {};
    State state = State::Waiting;
};

SocketDeadline::SocketDeadline(tcp::socket& socket, Duration limit)
    : wait(std::make_shared<Wait>(Wait { socket, asio::steady_timer(socket.get_executor()) }))
{
    SocketDeadline::await(this->wait, monotonicNow() + limit);
}

SocketDeadline::~SocketDeadline()
{
    this->end();
}

void SocketDeadline::end() noexcept
{
    if (this->wait->state == Wait::State::Waiting)
        this->wait->state = Wait::State::Over;
    this->wait->timer.cancel();
}

bool SocketDeadline::passed() const noexcept
{
    return this->wait->state == Wait::State::Passed;
}

void SocketDeadline::await(const std::shared_ptr<Wait>& wait, TimePoint due)
{
    wait->timer.expires_at(toSteady(wait->gate.dueAt(due, monotonicNow())));
    wait->timer.async_wait([wait, due](error_code) {
        if (wait->state != Wait::State::Waiting)
            return;
        const TimePoint now = monotonicNow();
        if (wait->gate.dueAt(due, now) > now)
            return SocketDeadline::await(wait, due);
        wait->state = Wait::State::Passed;
        error_code ignored;
        wait->socket.cancel(ignored);
    });
}

}
