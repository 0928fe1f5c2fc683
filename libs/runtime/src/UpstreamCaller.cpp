#include "cowslipdoor/runtime/UpstreamCaller.h"
#include "cowslipdoor/runtime/HttpServer.h"
#include "cowslipdoor/runtime/SocketDeadline.h"
#include "cowslipdoor/runtime/SpawnTask.h"
#include <cowslipdoor/core/Error.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr const char* upstreamCallName = "call to the upstream";

    FailureReason failureOf(bool tooLate, error_code error, const std::string& address)
    {
        if (tooLate)
            return { ErrorKind::UpstreamTimeout, address + " did not answer in time" };
        if (error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow)
            return { ErrorKind::AnswerTooLarge, "the answer of " + address + " exceeds the size limit" };
        if (error == http::error::partial_message || error == http::error::end_of_stream)
            return { ErrorKind::UpstreamTruncated, address + " closed the connection before its answer was complete" };
        if (error.category() == make_error_code(http::error::bad_status).category())
            return { ErrorKind::UpstreamBadAnswer, address + ": " + error.message() };
        return { ErrorKind::UpstreamTruncated, address + ": " + error.message() };
    }

    Response toResponse(const http::response<http::string_body>& message)
    {
        std::vector<Header> headers;
        for (const http::fields::value_type& field : message) {
            if (!isHopByHop(field.name_string()))
                headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        }
        return { static_cast<std::uint16_t>(message.result_int()), headers, Bytes(message.body()) };
    }

    std::string printDemand(const Capacity& demand)
    {
        return "slots=" + std::to_string(demand.slots) + ";connections=" + std::to_string(demand.connections)
            + ";milli_cores=" + std::to_string(demand.milliCores) + ";memory_mb=" + std::to_string(demand.memoryMb);
    }

}

UpstreamCaller::UpstreamCaller(asio::any_io_executor executor, UpstreamCallerConfig config, CallEndHandler onEnd, const Log& log, Metrics& metrics)
    : executor(std::move(executor))
    , config(config)
    , onEnd(std::move(onEnd))
    , log(log)
    , metrics(metrics)
{
}

void UpstreamCaller::start(const CallUpstream& call)
{
    spawnOperation(
        this->executor, upstreamCallName, [this, call]() { return this->run(call); }, this->log, this->metrics);
}

void UpstreamCaller::abandon(const AbandonCall& call)
{
    const std::map<CallKey, ConnectionHandle>::iterator it = this->active.find({ call.id, call.attempt });
    if (it != this->active.end())
        it->second->stream.close();
}

asio::awaitable<void> UpstreamCaller::run(CallUpstream call)
{
    const CallResult first = co_await this->callOnce(call, call.idempotent);
    if (!first.staleConnection) {
        const UpstreamCallEnded ended { call.id, call.attempt, first.completion };
        co_await this->onEnd(ended);
        co_return;
    }
    const CallResult second = co_await this->callOnce(call, false);
    const UpstreamCallEnded ended { call.id, call.attempt, second.completion };
    co_await this->onEnd(ended);
}

asio::awaitable<UpstreamCaller::CallResult> UpstreamCaller::callOnce(const CallUpstream& call, bool reuse)
{
    ConnectionHandle connection = reuse ? this->takeIdle(call.address) : nullptr;
    const bool reused = connection != nullptr;
    if (!reused)
        connection = std::make_shared<HttpConnection>(this->executor);
    const CallKey key { call.id, call.attempt };
    this->active.insert_or_assign(key, connection);
    const CallResult result = co_await this->exchangeGuarded(*connection, call, reused);
    const std::map<CallKey, ConnectionHandle>::iterator it = this->active.find(key);
    if (it != this->active.end() && it->second == connection)
        this->active.erase(it);
    if (result.reusable && this->idle.size() < this->config.idleConnections && this->idleAddress == call.address)
        this->idle.push_back(connection);
    co_return result;
}

asio::awaitable<UpstreamCaller::CallResult> UpstreamCaller::exchangeGuarded(HttpConnection& connection, const CallUpstream& call, bool reused)
{
    std::string fault;
    try {
        const CallResult result = co_await this->exchange(connection, call, reused);
        co_return result;
    } catch (const std::exception& error) {
        fault = error.what();
    }
    recordConnectionFault(this->log, this->metrics, std::string(upstreamCallName) + ": " + fault);
    connection.stream.close();
    co_return CallResult { FailureReason { ErrorKind::Internal, "the call to " + call.address + " failed: " + fault } };
}

asio::awaitable<std::optional<FailureReason>> UpstreamCaller::connectTo(HttpConnection& connection, const std::string& address)
{
    connection.stream.expires_after(this->config.connectTimeout);
    const error_code error = co_await connect(connection, address);
    if (error)
        co_return FailureReason { ErrorKind::UpstreamUnreachable, address + ": " + error.message() };
    co_return std::nullopt;
}

asio::awaitable<UpstreamCaller::CallResult> UpstreamCaller::exchange(HttpConnection& connection, const CallUpstream& call, bool reused)
{
    if (!reused) {
        const std::optional<FailureReason> failure = co_await this->connectTo(connection, call.address);
        if (failure)
            co_return CallResult { *failure };
    }
    const http::request<http::string_body> request = this->makeRequest(call);
    connection.stream.expires_never();
    const SocketDeadline deadline(connection.stream.socket(), call.timeout);
    const std::tuple<error_code, std::size_t> written = co_await http::async_write(connection.stream, request, asTuple);
    if (std::get<0>(written))
        co_return CallResult { failureOf(deadline.passed(), std::get<0>(written), call.address), false, reused && !deadline.passed() };
    http::response_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(this->config.headerBytes));
    parser.body_limit(this->config.bodyBytes);
    parser.skip(call.head.method == "HEAD");
    const std::tuple<error_code, std::size_t> read = co_await http::async_read(connection.stream, connection.buffer, parser, asTuple);
    const error_code error = std::get<0>(read);
    const bool nothingCame = !parser.got_some() && error != asio::error::operation_aborted;
    if (error)
        co_return CallResult { failureOf(deadline.passed(), error, call.address), false, reused && nothingCame };
    co_return CallResult { toResponse(parser.get()), parser.get().keep_alive() };
}

http::request<http::string_body> UpstreamCaller::makeRequest(const CallUpstream& call) const
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.head.method);
    request.target(call.head.target);
    for (const Header& header : call.head.headers)
        request.insert(header.name, header.value);
    if (call.head.header("Host").empty())
        request.set(http::field::host, call.address);
    request.set("Cowslipdoor-Request-Id", toString(call.id));
    request.set("Cowslipdoor-Agent", std::to_string(static_cast<std::uint64_t>(this->config.incarnation)));
    request.set("Cowslipdoor-Demand", printDemand(call.demand));
    request.set("Cowslipdoor-Idempotent", call.idempotent ? "yes" : "no");
    request.body() = std::string(call.body.view());
    request.keep_alive(call.idempotent);
    request.prepare_payload();
    return request;
}

UpstreamCaller::ConnectionHandle UpstreamCaller::takeIdle(const std::string& address)
{
    if (this->idleAddress != address) {
        this->idle.clear();
        this->idleAddress = address;
    }
    if (this->idle.empty())
        return nullptr;
    ConnectionHandle connection = this->idle.back();
    this->idle.pop_back();
    return connection;
}

}
