#include "cowslipdoor/runtime/AdminServer.h"
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr std::size_t maximumAdminConnections = 64;

}

AdminServer::AdminServer(asio::any_io_executor executor, const std::string& address, HttpLimits limits, ClientLimiter& limiter)
    : listener(std::move(executor), address, limiter.guarded([this](tcp::socket socket) { return this->serve(std::move(socket)); }))
    , limits(limits)
    , limiter(limiter)
    , port(limiter.addPort("page-connections", maximumAdminConnections))
{
}

void AdminServer::handle(const std::string& method, const std::string& path, AdminHandler handler)
{
    this->handlers.insert_or_assign({ method, path }, std::move(handler));
}

void AdminServer::start()
{
    this->listener.start();
}

asio::awaitable<void> AdminServer::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    const std::unique_ptr<ClientTicket> ticket = this->limiter.admit(this->port, [&stream]() { closeSocket(stream.socket()); });
    if (!ticket)
        co_return;
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        const HttpReadResult result = co_await readHttpRequest(stream, buffer, this->limits, *ticket);
        const HttpRequest* const request = std::get_if<HttpRequest>(&result);
        const HttpReadFailure* const failure = std::get_if<HttpReadFailure>(&result);
        if (failure && !failure->answer)
            break;
        if (failure) {
            const Response refusal = errorResponse(*failure->answer, failure->detail, "");
            co_await writeHttpResponse(stream, refusal, false, this->limits);
            break;
        }
        const Response page = co_await this->respond(*request);
        // A client that does not read its page keeps the memory of the page.
        const bool fits = ticket->reserve(page.body.size());
        const Response response = fits ? page : errorResponse(ErrorKind::Busy, "the page does not fit into the memory for requests", "");
        const bool written = co_await writeHttpResponse(stream, response, request->keepAlive, this->limits);
        open = written && request->keepAlive;
    }
}

asio::awaitable<Response> AdminServer::respond(const HttpRequest& request) const
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::map<std::pair<std::string, std::string>, AdminHandler>::const_iterator it = this->handlers.find({ request.method, path });
    if (it == this->handlers.end())
        co_return plainResponse(404, "text/plain", "no such page\n");
    co_return co_await it->second(request);
}

}
