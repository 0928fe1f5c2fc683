#include "HeartbeatLink.h"
#include <utility>

namespace review {

HeartbeatLink::HeartbeatLink(int port, int target, Record& record)
    : target(target)
    , record(record)
    , server(port, [this](const HttpCall& call) { return this->respond(call); })
{
}

HeartbeatLink::~HeartbeatLink() = default;

void HeartbeatLink::cut()
{
    const std::scoped_lock lock(this->mutex);
    this->isCut = true;
    this->record.line("the link of the worker's heartbeats is cut");
}

void HeartbeatLink::heal()
{
    const std::scoped_lock lock(this->mutex);
    this->isCut = false;
    this->record.line("the link of the worker's heartbeats works again; " + std::to_string(this->held.size()) + " heartbeats are under way");
}

void HeartbeatLink::deliver()
{
    std::vector<HttpCall> calls;
    {
        const std::scoped_lock lock(this->mutex);
        calls = std::exchange(this->held, {});
    }
    for (const HttpCall& call : calls) {
        const HttpAnswer answer = this->forward(call);
        this->record.line("a heartbeat from before arrives late, and is answered with " + std::to_string(answer.status) + ": " + call.body);
    }
}

HttpAnswer HeartbeatLink::forward(const HttpCall& call) const
{
    constexpr int limitMs = 2000;
    return request(this->target, call.method, call.path, { "Host: registry" }, call.body, limitMs);
}

std::optional<HttpAnswer> HeartbeatLink::respond(const HttpCall& call)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->isCut) {
            this->held.push_back(call);
            return std::nullopt;
        }
    }
    const HttpAnswer answer = this->forward(call);
    return answer.status == 0 ? std::nullopt : std::optional<HttpAnswer>(answer);
}

}
