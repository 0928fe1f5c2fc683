#include "cowslipdoor/runtime/CallerServer.h"
#include <cowslipdoor/core/Error.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    using namespace asio::experimental::awaitable_operators;

    constexpr std::size_t callerMailboxCapacity = 4;

    /// Ends when the caller has closed the connection; never ends while the caller waits or has sent more bytes.
    asio::awaitable<void> untilDisconnect(tcp::socket& socket)
    {
        const std::tuple<error_code> readable = co_await socket.async_wait(tcp::socket::wait_read, asTuple);
        if (std::get<0>(readable))
            co_return;
        std::array<char, 1> byte {};
        error_code error;
        socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
        if (error && error != asio::error::would_block)
            co_return;
        asio::steady_timer forever(socket.get_executor(), asio::steady_timer::time_point::max());
        co_await forever.async_wait(asTuple);
    }

    RequestHead toHead(const HttpRequest& request, const std::string& userHeader)
    {
        std::vector<Header> headers;
        for (const Header& header : request.headers) {
            if (!isHopByHop(header.name))
                headers.push_back(header);
        }
        return { request.method, request.target, std::string(request.header(userHeader)), headers };
    }

    struct ToResponse {
        const RequestId& id;

        Response operator()(const Response& response) const
        {
            std::vector<Header> headers = response.headers;
            headers.push_back({ "Cowslipdoor-Outcome", std::string(toString(Outcome::Ran)) });
            headers.push_back({ "Cowslipdoor-Request-Id", toString(this->id) });
            return { response.status, headers, response.body };
        }

        Response operator()(const FailureReason& reason) const
        {
            return errorResponse(reason.kind, reason.detail, toString(this->id));
        }
    };

}

CallerServer::CallerServer(asio::any_io_executor executor, CallerServerConfig config, Mailbox<EntryInput> entry, const Log& log, ClientLimiter& limiter)
    : executor(std::move(executor))
    , config(std::move(config))
    , entry(std::move(entry))
    , log(log)
    , limiter(limiter)
    , port(limiter.addPort("connection-limit", this->config.maximumConnections))
    , listener(this->executor, this->config.listen, limiter.guarded([this](tcp::socket socket) { return this->serve(std::move(socket)); }))
{
}

void CallerServer::start()
{
    this->listener.start();
}

void CallerServer::stopAccepting()
{
    this->listener.stop();
}

asio::awaitable<void> CallerServer::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    const std::unique_ptr<ClientTicket> ticket = this->limiter.admit(this->port, [&stream]() { closeSocket(stream.socket()); });
    if (!ticket) {
        const Response refusal = errorResponse(ErrorKind::QueueFull, "too many connections", "");
        co_await writeHttpResponse(stream, refusal, false, this->config.limits);
    } else {
        const CallerId caller { ++this->lastCaller };
        const Mailbox<CallerMessage> mailbox = makeMailbox<CallerMessage>(this->executor, callerMailboxCapacity);
        const EntryInput callerAttached(CallerAttached { caller, mailbox });
        co_await send(this->entry, callerAttached);
        try {
            while (co_await this->serveOne(stream, buffer, *ticket, caller, mailbox)) { }
        } catch (const std::exception& error) {
            this->limiter.recordFault(error.what());
        }
        const EntryInput callerDetached(CallerDetached { caller });
        co_await send(this->entry, callerDetached);
    }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

asio::awaitable<bool> CallerServer::serveOne(beast::tcp_stream& stream, beast::flat_buffer& buffer, ClientTicket& ticket, CallerId caller, const Mailbox<CallerMessage>& mailbox)
{
    const std::variant<HttpRequest, HttpReadFailure, std::tuple<error_code, CallerMessage>> event
        = co_await (readHttpRequest(stream, buffer, this->config.limits, ticket) || mailbox->async_receive(asTuple));
    const HttpRequest* const request = std::get_if<HttpRequest>(&event);
    if (request)
        co_return co_await this->relay(stream, *request, caller, mailbox);
    const HttpReadFailure* const failure = std::get_if<HttpReadFailure>(&event);
    if (failure && failure->answer) {
        this->log.record(EventId::BadCallerRequest, failure->detail);
        const Response refusal = errorResponse(*failure->answer, failure->detail, "");
        co_await writeHttpResponse(stream, refusal, false, this->config.limits);
    }
    co_return false;
}

asio::awaitable<bool> CallerServer::relay(beast::tcp_stream& stream, const HttpRequest& request, CallerId caller, const Mailbox<CallerMessage>& mailbox)
{
    const RequestArrived arrived { caller, toHead(request, this->config.userHeader), request.body };
    const EntryInput input { EntryEvent(arrived) };
    co_await send(this->entry, input);
    while (true) {
        const std::variant<std::tuple<error_code, CallerMessage>, std::monostate> event
            = co_await (mailbox->async_receive(asTuple) || untilDisconnect(stream.socket()));
        if (event.index() != 0 || std::get<0>(std::get<0>(event)))
            co_return false;
        const CallerReply* const reply = std::get_if<CallerReply>(&std::get<1>(std::get<0>(event)));
        if (!reply)
            continue;
        const bool keepAlive = request.keepAlive && !reply->closeAfter;
        const Response response = std::visit(ToResponse { reply->id }, reply->completion);
        const bool written = co_await writeHttpResponse(stream, response, keepAlive, this->config.limits);
        co_return written&& keepAlive;
    }
}

}
