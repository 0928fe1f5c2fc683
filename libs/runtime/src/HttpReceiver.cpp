#include "cowslipdoor/runtime/HttpReceiver.h"
#include "cowslipdoor/runtime/SocketDeadline.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    /// Size of the first read of a request; most requests arrive in one.
    constexpr std::size_t firstReadBytes = std::size_t { 4 } * 1024;
    /// Size of later reads, so that a large body costs few system calls.
    constexpr std::size_t largestReadBytes = std::size_t { 16 } * 1024;
    constexpr std::size_t firstBodyBytes = std::size_t { 4 } * 1024;
    /// Memory that a body may take beyond what has arrived. With 2, a body of 100 kB costs twice the processor time.
    constexpr std::size_t bodyGrowth = 8;
    /// Memory for one field beside its text, in the parser and in the request.
    constexpr std::size_t fieldBytes = 160;
    /// The text of a field is in the parser and in the request.
    constexpr std::size_t copiesOfHeader = 2;

}

bool ReceivedBody::reader::grow(std::size_t count)
{
    std::string& bytes = this->body.bytes;
    const std::size_t needed = bytes.size() + count;
    if (needed <= bytes.capacity())
        return true;
    // A small body takes little. A larger one grows in few steps, as each copies what has arrived.
    const std::size_t wanted = needed <= firstBodyBytes ? firstBodyBytes : needed * bodyGrowth;
    const std::size_t capacity = std::max(needed, std::min(wanted, this->body.largest));
    if (!this->body.ticket->reserve(this->body.otherBytes + capacity))
        return false;
    bytes.reserve(capacity);
    return true;
}

HttpReceiver::HttpReceiver(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits, ClientTicket& ticket)
    : stream(stream)
    , buffer(buffer)
    , limits(limits)
    , ticket(ticket)
    , readBytes(firstReadBytes)
{
    this->parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    this->parser.body_limit(limits.bodyBytes);
}

asio::awaitable<error_code> HttpReceiver::awaitFirstByte()
{
    this->ticket.awaitRequest();
    if (this->buffer.size() > 0) {
        this->ticket.received(this->buffer.size());
        co_return error_code {};
    }
    SocketDeadline deadline(this->stream.socket(), this->limits.idle);
    const std::tuple<error_code> readable = co_await this->stream.socket().async_wait(tcp::socket::wait_read, asTuple);
    co_return std::get<0>(readable);
}

asio::awaitable<error_code> HttpReceiver::readHeader()
{
    co_return co_await this->readUntil(&Parser::is_header_done);
}

asio::awaitable<error_code> HttpReceiver::readBody()
{
    const std::uint64_t length = this->parser.content_length().value_or(this->limits.bodyBytes);
    this->parser.get().body().ticket = &this->ticket;
    this->parser.get().body().largest = static_cast<std::size_t>(std::min<std::uint64_t>(length, this->limits.bodyBytes));
    this->parser.eager(true);
    co_return co_await this->readUntil(&Parser::is_done);
}

bool HttpReceiver::expectsContinue() const
{
    return !this->parser.is_done() && beast::iequals(this->parser.get()[http::field::expect], "100-continue");
}

asio::awaitable<error_code> HttpReceiver::writeContinue()
{
    http::response<http::empty_body> response(http::status::continue_, this->parser.get().version());
    const std::tuple<error_code, std::size_t> written = co_await http::async_write(this->stream, response, asTuple);
    co_return std::get<0>(written);
}

HttpReadResult HttpReceiver::takeRequest()
{
    // Fields of a trailer are in the message, too.
    const http::fields& fields = this->parser.get();
    this->headerLines = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    if (this->buffer.size() == 0)
        this->buffer.shrink_to_fit();
    if (!this->ticket.reserve(this->memory(this->buffer.capacity())))
        return HttpReadFailure { ErrorKind::Busy, "the fields of the header do not fit into the memory for requests beside others" };
    this->ticket.complete();
    http::request<ReceivedBody> message = this->parser.release();
    std::vector<Header> headers;
    headers.reserve(this->headerLines);
    for (const http::fields::value_type& field : message)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return HttpRequest { std::string(message.method_string()), std::string(message.target()), headers, Bytes(std::move(message.body().bytes)), message.keep_alive() };
}

asio::awaitable<error_code> HttpReceiver::readUntil(bool (Parser::*done)() const)
{
    while (!(this->parser.*done)()) {
        const std::size_t unparsed = this->buffer.size();
        const error_code fault = unparsed > 0 ? this->parse() : error_code(http::error::need_more);
        if (fault && fault != http::error::need_more)
            co_return fault;
        if (!fault && this->buffer.size() < unparsed)
            continue;
        const error_code failure = co_await this->readMore();
        if (failure)
            co_return failure;
    }
    co_return error_code {};
}

error_code HttpReceiver::parse()
{
    const char* const begin = static_cast<const char*>(this->buffer.data().data());
    const bool inHeader = !this->parser.is_header_done();
    this->parser.get().body().otherBytes = this->memory(this->buffer.capacity()) - this->parser.get().body().bytes.capacity();
    error_code error;
    const std::size_t parsed = this->parser.put(this->buffer.data(), error);
    if (inHeader && (!error || error == http::error::need_more)) {
        this->headerLines += static_cast<std::size_t>(std::count(begin, begin + parsed, '\n'));
        this->headerBytes += parsed;
        const error_code tooLarge = this->checkHeader(this->buffer.size() - parsed);
        error = tooLarge ? tooLarge : error;
    }
    this->buffer.consume(parsed);
    return error;
}

error_code HttpReceiver::checkHeader(std::size_t unparsed)
{
    // The parser takes fields as they arrive and limits each of them alone.
    const std::size_t received = this->headerBytes + (this->parser.is_header_done() ? 0 : unparsed + 1);
    if (received > this->limits.headerBytes)
        return http::error::header_limit;
    if (!this->ticket.reserve(this->memory(this->buffer.capacity())))
        return make_error_code(boost::system::errc::not_enough_memory);
    return {};
}

asio::awaitable<error_code> HttpReceiver::readMore()
{
    // What the parser leaves is the begin of a line: of the header, of a trailer, or of the header of a chunk.
    const std::size_t unparsed = this->buffer.size();
    if (unparsed >= this->limits.headerBytes)
        co_return http::error::header_limit;
    const std::size_t left = this->parser.is_header_done() ? this->readBytes : std::min(this->readBytes, this->limits.headerBytes - unparsed);
    if (!this->ticket.reserve(this->memory(std::max(this->buffer.capacity(), unparsed + left))))
        co_return make_error_code(boost::system::errc::not_enough_memory);
    const std::tuple<error_code, std::size_t> read = co_await this->stream.async_read_some(this->buffer.prepare(left), asTuple);
    this->buffer.commit(std::get<1>(read));
    this->ticket.received(std::get<1>(read));
    if (std::get<1>(read) == left)
        this->readBytes = std::min(this->readBytes * 4, largestReadBytes);
    co_return std::get<0>(read);
}

std::size_t HttpReceiver::memory(std::size_t bufferBytes) const noexcept
{
    return bufferBytes + this->headerBytes * copiesOfHeader + this->headerLines * fieldBytes + this->parser.get().body().bytes.capacity();
}

}
