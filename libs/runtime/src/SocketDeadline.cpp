#include "cowslipdoor/runtime/SocketDeadline.h"
#include "cowslipdoor/runtime/Clock.h"
#include <cowslipdoor/core/StallGuard.h>

namespace cowslipdoor::runtime {

struct SocketDeadline::Wait {
    enum class State : unsigned char {
        Waiting,
        Passed,
        Over,
    };

    tcp::socket& socket;
    asio::steady_timer timer;
    StallGuard stallGuard {};
    State state = State::Waiting;
};

SocketDeadline::SocketDeadline(tcp::socket& socket, Duration limit)
    : wait(std::make_shared<Wait>(Wait { socket, asio::steady_timer(socket.get_executor()) }))
{
    SocketDeadline::armTimer(this->wait, monotonicNow() + limit);
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

void SocketDeadline::armTimer(const std::shared_ptr<Wait>& wait, TimePoint due)
{
    wait->timer.expires_at(toSteady(wait->stallGuard.dueAt(due, monotonicNow())));
    wait->timer.async_wait([wait, due](error_code) {
        if (wait->state != Wait::State::Waiting)
            return;
        const TimePoint now = monotonicNow();
        if (wait->stallGuard.dueAt(due, now) > now)
            return SocketDeadline::armTimer(wait, due);
        wait->state = Wait::State::Passed;
        error_code ignored;
        wait->socket.cancel(ignored);
    });
}

}
