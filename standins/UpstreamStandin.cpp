#include "UpstreamStandin.h"
#include <boost/asio/write.hpp>
#include <charconv>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/AnnouncementJson.h>
#include <cowslipdoor/runtime/HttpClient.h>
#include <cowslipdoor/runtime/Process.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace cowslipdoor::standins {

using namespace runtime;

namespace {

    constexpr std::size_t maximumRememberedKeys = 100'000;
    constexpr Duration announceTimeout = std::chrono::seconds(1);
    constexpr Duration hangTime = std::chrono::hours(1);

    std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t question = target.find('?');
        std::string_view rest = question == std::string::npos ? std::string_view() : std::string_view(target).substr(question + 1);
        while (!rest.empty()) {
            const std::string_view pair = rest.substr(0, rest.find('&'));
            const std::size_t equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name)
                return std::string(pair.substr(equals + 1));
            rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        }
        return {};
    }

    std::uint64_t numberOr(std::string_view text, std::uint64_t fallback)
    {
        std::uint64_t value = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
        return result.ec == std::errc() && !text.empty() ? value : fallback;
    }

    std::uint32_t demandOf(std::string_view text, const std::string& name)
    {
        const std::size_t at = text.find(name + "=");
        return at == std::string_view::npos ? 0 : static_cast<std::uint32_t>(numberOr(text.substr(at + name.size() + 1), 0));
    }

    Capacity parseDemand(std::string_view text)
    {
        return { demandOf(text, "slots"), demandOf(text, "connections"), demandOf(text, "milli_cores"), demandOf(text, "memory_mb") };
    }

    std::string answerText(const std::string& number, std::size_t bytes)
    {
        std::string text = "answer " + number + " ";
        while (text.size() < bytes)
            text += static_cast<char>('a' + text.size() % 26);
        return text;
    }

}

UpstreamStandin::UpstreamStandin(asio::any_io_executor executor, UpstreamStandinConfig config)
    : executor(std::move(executor))
    , config(std::move(config))
    , listener(this->executor, this->config.listen, [this](tcp::socket socket) { return this->serve(std::move(socket)); })
    , instance(static_cast<std::uint64_t>(newIncarnation()))
{
}

void UpstreamStandin::start()
{
    this->listener.start();
    asio::co_spawn(
        this->executor, [this]() { return this->announceAll(); }, asio::detached);
}

asio::awaitable<void> UpstreamStandin::leave()
{
    this->leaving = true;
    co_await this->announceOnce();
    const Duration leaveLimit = std::chrono::minutes(1);
    co_await waitUntil([this]() { return this->running.empty(); }, leaveLimit);
}

asio::awaitable<void> UpstreamStandin::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        const HttpReadResult result = co_await readHttpRequest(stream, buffer, this->limits);
        const HttpRequest* const request = std::get_if<HttpRequest>(&result);
        if (!request)
            break;
        open = co_await this->serveOne(stream, *request);
        open = open && request->keepAlive;
    }
}

asio::awaitable<bool> UpstreamStandin::serveOne(beast::tcp_stream& stream, const HttpRequest& request)
{
    if (request.target == "/standin/stats") {
        const Response page = plainResponse(200, "application/json", this->stats());
        co_return co_await writeHttpResponse(stream, page, request.keepAlive, this->limits);
    }
    if (this->fromForeignAgent(request))
        co_return false;
    co_return co_await this->work(stream, request);
}

asio::awaitable<bool> UpstreamStandin::work(beast::tcp_stream& stream, const HttpRequest& request)
{
    const std::string idText(request.header("Cowslipdoor-Request-Id"));
    const RequestId id = idText.empty() ? RequestId { 0, this->started } : requestIdFromString(idText);
    const Capacity demand = idText.empty() ? defaultDemand : parseDemand(request.header("Cowslipdoor-Demand"));
    const bool idempotent = request.header("Cowslipdoor-Idempotent") != "no";
    const std::string number = parameter(request.target, "n");
    const Duration time = std::chrono::milliseconds(numberOr(parameter(request.target, "ms"), 0));
    const std::string fault = parameter(request.target, "fault");
    this->begin(id, demand, number);
    if (!fault.empty()) {
        const bool open = co_await this->injectFault(stream, fault, time);
        this->end(id, demand, number, idempotent);
        co_return open;
    }
    if (time > Duration::zero())
        co_await pauseFor(time);
    this->end(id, demand, number, idempotent);
    const std::size_t bytes = numberOr(parameter(request.target, "bytes"), 0);
    const Response answer = plainResponse(200, "text/plain", answerText(number, bytes));
    co_return co_await writeHttpResponse(stream, answer, request.keepAlive, this->limits);
}

asio::awaitable<bool> UpstreamStandin::injectFault(beast::tcp_stream& stream, const std::string& fault, Duration time)
{
    co_await pauseFor(fault == "hang" ? hangTime : time);
    std::string bytes;
    if (fault == "truncate")
        bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly this";
    if (fault == "garbage")
        bytes = "this is not HTTP\r\n\r\n";
    if (!bytes.empty())
        co_await asio::async_write(stream, asio::buffer(bytes), asTuple);
    co_return false;
}

asio::awaitable<void> UpstreamStandin::announceAll()
{
    while (true) {
        co_await this->announceOnce();
        co_await pauseFor(this->interval);
    }
}

asio::awaitable<void> UpstreamStandin::announceOnce()
{
    try {
        const HttpCall call { .address = this->config.agent, .method = "POST", .target = "/announce", .body = printAnnouncement(this->announcement()), .timeout = announceTimeout };
        const Response response = co_await asyncFetch(call);
        if (response.status != 200)
            co_return;
        const AnnouncementReply reply = parseReply(response.body.view());
        this->echo = reply.token;
        this->interval = reply.interval;
    } catch (const Error&) {
        this->interval = std::chrono::milliseconds(50);
    }
}

Announcement UpstreamStandin::announcement()
{
    std::vector<RunningWork> work;
    for (const std::map<RequestId, Capacity>::value_type& item : this->running)
        work.push_back({ item.first, item.second });
    return {
        .instance = this->instance,
        .sequence = ++this->sequence,
        .echo = this->echo,
        .address = this->config.listen,
        .failureDomain = this->config.failureDomain,
        .capacity = this->config.capacity,
        .classes = {},
        .running = work,
        .remembersFinished = this->config.remembers,
        .finished = { this->finishedKeyed.begin(), this->finishedKeyed.end() },
        .leaving = this->leaving,
    };
}

bool UpstreamStandin::fromForeignAgent(const HttpRequest& request) const
{
    const std::string_view agent = request.header("Cowslipdoor-Agent");
    return !agent.empty() && numberOr(agent, 0) != static_cast<std::uint64_t>(this->echo.agent);
}

void UpstreamStandin::begin(const RequestId& id, const Capacity& demand, const std::string& number)
{
    ++this->started;
    this->running.insert_or_assign(id, demand);
    this->used = this->used.plus(demand);
    this->peakSlots = std::max(this->peakSlots, this->used.slots);
    if (!this->config.capacity.covers(this->used))
        ++this->overfilled;
    if (!number.empty())
        ++this->runs[number].starts;
}

void UpstreamStandin::end(const RequestId& id, const Capacity& demand, const std::string& number, bool idempotent)
{
    this->running.erase(id);
    this->used = this->used.minus(demand);
    if (!number.empty())
        ++this->runs[number].finishes;
    if (idempotent)
        return;
    this->finishedKeyed.push_back(id);
    if (this->finishedKeyed.size() > maximumRememberedKeys)
        this->finishedKeyed.pop_front();
}

std::string UpstreamStandin::stats() const
{
    nlohmann::json json {
        { "started", this->started },
        { "running", this->running.size() },
        { "overfilled", this->overfilled },
        { "peak_slots", this->peakSlots },
    };
    json["runs"] = nlohmann::json::object();
    for (const std::map<std::string, Run>::value_type& item : this->runs)
        json["runs"][item.first] = { item.second.starts, item.second.finishes };
    return json.dump();
}

}
