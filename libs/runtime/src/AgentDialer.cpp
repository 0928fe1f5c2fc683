#include "cowslipdoor/runtime/AgentDialer.h"
#include "cowslipdoor/runtime/Address.h"
#include "cowslipdoor/runtime/Clock.h"
#include "cowslipdoor/runtime/Process.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/scheduling/Rows.h>
#include <utility>

namespace cowslipdoor::runtime {

AgentDialer::AgentDialer(asio::any_io_executor executor, AgentDialerConfig config, SchedulerEventSink sink, const Log& log, Metrics& metrics)
    : executor(std::move(executor))
    , config(config)
    , sink(std::move(sink))
    , log(log)
    , metrics(metrics)
{
}

void AgentDialer::keepLinked(const std::string& agent, const std::string& address)
{
    const std::map<std::string, DialTarget>::const_iterator known = this->agents.find(agent);
    if (known != this->agents.end() && known->second.address == address)
        return;
    const std::optional<tcp::endpoint> endpoint = this->readAddress(agent, address);
    if (!endpoint)
        return;
    const DialTarget target { address, *endpoint, ++this->lastTask };
    this->agents.insert_or_assign(agent, target);
    spawnTask(this->executor, "AgentDialer", [this, agent, target]() { return this->maintainLink(agent, target); });
}

void AgentDialer::send(LinkId link, const JobMessage& message)
{
    const std::map<LinkId, OpenLink>::iterator it = this->links.find(link);
    if (it == this->links.end() || queueForPeer(it->second.stream->outbox(), message, "agent " + it->second.agent, this->log, this->metrics))
        return;
    // The link's task reports the closed link.
    it->second.stream->close();
}

void AgentDialer::closeAll()
{
    this->agents.clear();
    for (const std::map<LinkId, OpenLink>::value_type& item : this->links)
        item.second.stream->close();
}

std::optional<tcp::endpoint> AgentDialer::readAddress(const std::string& agent, const std::string& address)
{
    try {
        return parseAddress(address);
    } catch (const Error& error) {
        this->metrics.countEvent(EventId::RowIgnored);
        this->log.record(EventId::RowIgnored, std::string(agentTable) + "/" + agent + ": " + error.what());
        return std::nullopt;
    }
}

asio::awaitable<void> AgentDialer::maintainLink(std::string agent, DialTarget target)
{
    std::uint32_t refusals = 0;
    while (this->isCurrent(agent, target.task)) {
        const bool refused = co_await this->linkOnce(agent, target);
        refusals = refused ? refusals + 1 : 0;
        co_await pauseFor(exponentialBackoff(this->config.redialDelay, refusals > 0 ? refusals - 1 : 0, this->config.longestRedialDelay));
    }
}

asio::awaitable<bool> AgentDialer::linkOnce(std::string agent, DialTarget target)
{
    beast::tcp_stream dialled(this->executor);
    dialled.expires_after(this->config.connectTimeout);
    const std::tuple<error_code> connected = co_await dialled.async_connect(target.endpoint, asTuple);
    if (std::get<0>(connected) || !this->isCurrent(agent, target.task))
        co_return false;
    dialled.expires_never();
    const TimePoint linkedAt = monotonicNow();
    const std::shared_ptr<JobStream> stream = std::make_shared<JobStream>(dialled.release_socket(), [this](const JobMessage&, std::size_t bytes) { this->metrics.countControlBytes(bytes); });
    stream->setSilenceLimit(this->config.silenceLimit);
    stream->startWriter();
    const LinkId link { ++this->lastLink };
    this->links.emplace(link, OpenLink { agent, stream });
    const SchedulerEvent linked = AgentLinked { agent, link };
    co_await this->sink(linked);
    co_await this->relayAll(agent, link, stream);
    stream->close();
    this->links.erase(link);
    const SchedulerEvent unlinked = AgentUnlinked { agent, link };
    co_await this->sink(unlinked);
    co_return monotonicNow() - linkedAt < this->config.shortestLink;
}

asio::awaitable<void> AgentDialer::relayAll(std::string agent, LinkId link, std::shared_ptr<JobStream> stream)
{
    try {
        while (true) {
            const JobMessage message = co_await stream->receive();
            const std::optional<AgentReport> report = fromJobMessage<AgentReport>(message);
            if (!report)
                throw Error(ErrorKind::BadFrame, "an agent sent a message that only a leader may send");
            const SchedulerEvent received = AgentReportReceived { agent, link, *report };
            co_await this->sink(received);
        }
    } catch (const Error& error) {
        this->metrics.countEvent(EventId::FrameRefused);
        this->log.record(EventId::FrameRefused, agent + ": " + error.what());
    } catch (const boost::system::system_error& error) {
        this->log.record(stream->closedForSilence() ? EventId::LinkSilent : EventId::LinkClosed, agent + ": " + error.code().message());
    } catch (const std::exception& error) {
        recordConnectionFault(this->log, this->metrics, "link to " + agent + ": " + error.what());
    }
}

bool AgentDialer::isCurrent(const std::string& agent, std::uint64_t task) const
{
    const std::map<std::string, DialTarget>::const_iterator it = this->agents.find(agent);
    return it != this->agents.end() && it->second.task == task;
}

}
