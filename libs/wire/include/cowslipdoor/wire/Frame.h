#pragma once

/// @file
/// @brief Framing of payloads on a byte stream: four bytes of length, least first, then the payload.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipdoor::wire {

/// @brief Bytes of length before each payload.
constexpr std::size_t frameHeaderBytes = 4;

/// @brief Largest payload that is sent or taken, in bytes.
constexpr std::size_t maximumPayloadBytes = 8 * 1024 * 1024;

/// @brief Puts the length before a payload.
/// @param payload the payload
/// @return the frame
/// @throws Error with ErrorKind::BadFrame when the payload is too large
[[nodiscard]] std::string frame(std::string_view payload);

/// @brief Cuts a byte stream, which may come in any pieces, into payloads.
/// @code
/// FrameDecoder decoder;
/// decoder.append(bytes);
/// while (const std::optional<std::string> payload = decoder.next())
///     use(wire::decode(*payload));
/// @endcode
class FrameDecoder {
public:
    /// @param limit largest payload that is taken, in bytes
    explicit FrameDecoder(std::size_t limit = maximumPayloadBytes) noexcept;

    /// @brief Takes in the next bytes of the stream.
    /// @param bytes any number of bytes
    void append(std::string_view bytes);

    /// @brief Takes out the next payload.
    /// @return the payload, or nothing while it is not whole
    /// @throws Error with ErrorKind::BadFrame when the length is zero or over the limit
    [[nodiscard]] std::optional<std::string> next();

    /// @return bytes held of a frame that is not whole
    [[nodiscard]] std::size_t buffered() const noexcept { return this->buffer.size() - this->consumed; }

private:
    std::size_t limit;
    std::string buffer;
    std::size_t consumed = 0;
};

}
