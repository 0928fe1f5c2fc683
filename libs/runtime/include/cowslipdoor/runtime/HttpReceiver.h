#pragma once

/// @file
/// @brief Receives the header and body of one HTTP request within bounded memory.

#include "ClientLimiter.h"
#include "HttpServer.h"

namespace cowslipdoor::runtime {

/// @brief Body of a request whose memory grows as bytes arrive, within what a ticket gets. Implements Beast's Body concept.
struct ReceivedBody {
    /// @brief Bytes of the body so far.
    struct value_type { // NOLINT(readability-identifier-naming): Beast requires the name.
        std::string bytes {};
        ClientTicket* ticket = nullptr;
        /// Memory of the request beside the body, in bytes.
        std::size_t otherBytes = 0;
        /// Largest size that the body can have, in bytes.
        std::size_t largest = 0;
    };

    /// @brief Appends the bytes that the parser finds.
    class reader { // NOLINT(readability-identifier-naming): Beast requires the name.
    public:
        template <bool isRequest, typename Fields>
        reader(http::header<isRequest, Fields>&, value_type& body)
            : body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, error_code& error) { error = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, error_code& error)
        {
            const std::size_t count = beast::buffer_bytes(buffers);
            error = {};
            if (!this->grow(count)) {
                error = make_error_code(boost::system::errc::not_enough_memory);
                return 0;
            }
            for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers))
                this->body.bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
            return count;
        }

        void finish(error_code& error) { error = {}; }

    private:
        /// Makes room for more bytes. Returns whether the ticket gets the memory.
        [[nodiscard]] bool grow(std::size_t count);

        value_type& body;
    };
};

/// @brief Reads one request from a connection. Whatever the client sends, a header, a trailer or the header of a chunk takes at
/// most the size of a header, and all memory is reserved before it is used.
class HttpReceiver {
public:
    /// @param stream the connection
    /// @param buffer bytes that are received but not parsed
    /// @param limits limits of the connection
    /// @param ticket gives the memory
    HttpReceiver(beast::tcp_stream& stream, beast::flat_buffer& buffer, const HttpLimits& limits, ClientTicket& ticket);

    /// @brief Waits for the first byte of a request. Nothing is held meanwhile.
    [[nodiscard]] asio::awaitable<error_code> awaitFirstByte();

    /// @brief Reads the header.
    [[nodiscard]] asio::awaitable<error_code> readHeader();

    /// @brief Reads the rest of the request, after its header.
    [[nodiscard]] asio::awaitable<error_code> readBody();

    /// @return whether the whole request has been read
    [[nodiscard]] bool done() const { return this->parser.is_done(); }

    /// @return whether the client waits for permission to send the body
    [[nodiscard]] bool expectsContinue() const;

    /// @brief Asks the client to send the body.
    [[nodiscard]] asio::awaitable<error_code> writeContinue();

    /// @brief Makes the request, once it has been read.
    /// @return the request, or ErrorKind::Busy if there is no memory for its fields
    [[nodiscard]] HttpReadResult takeRequest();

private:
    using Parser = http::request_parser<ReceivedBody>;

    [[nodiscard]] asio::awaitable<error_code> readUntil(bool (Parser::*done)() const);
    [[nodiscard]] error_code parse();
    [[nodiscard]] asio::awaitable<error_code> readMore();
    [[nodiscard]] error_code checkHeader(std::size_t parsed);
    [[nodiscard]] std::size_t memory(std::size_t bufferBytes) const noexcept;

    beast::tcp_stream& stream;
    beast::flat_buffer& buffer;
    const HttpLimits& limits;
    ClientTicket& ticket;
    Parser parser;
    /// Bytes and lines of the header that are parsed.
    std::size_t headerBytes = 0;
    std::size_t headerLines = 0;
    /// Size of the next read.
    std::size_t readBytes;
};

}
