#pragma once

/// @file
/// @brief Framing of payloads on a byte stream: a little-endian length of four bytes, then the payload.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipdoor::wire {

/// @brief Size of the length before each payload, in bytes.
constexpr std::size_t frameHeaderBytes = 4;

/// @brief Largest payload that is sent or accepted, in bytes.
constexpr std::size_t maximumPayloadBytes = 8 * 1024 * 1024;

/// @brief Makes a frame from a payload.
/// @return the length and the payload
/// @throws Error with ErrorKind::BadFrame if the payload is empty or larger than maximumPayloadBytes
[[nodiscard]] std::string frame(std::string_view payload);

/// @brief Splits a byte stream into payloads, however the stream is divided into reads.
/// @code
/// FrameDecoder decoder;
/// decoder.append(bytes);
/// while (const std::optional<std::string> payload = decoder.next())
///     use(wire::decode(*payload));
/// @endcode
class FrameDecoder {
public:
    /// @param limit largest accepted payload, in bytes
    explicit FrameDecoder(std::size_t limit = maximumPayloadBytes) noexcept;

    /// @brief Sets the largest accepted payload of the frames that follow.
    /// @param bytes size in bytes
    void setLimit(std::size_t bytes) noexcept { this->limit = bytes; }

    /// @brief Appends the next bytes of the stream.
    void append(std::string_view bytes);

    /// @brief Removes the next payload.
    /// @return the payload, or nothing while it is incomplete
    /// @throws Error with ErrorKind::BadFrame if the length is zero or over the limit
    [[nodiscard]] std::optional<std::string> next();

    /// @return the number of bytes that next() has not yet returned
    [[nodiscard]] std::size_t buffered() const noexcept { return this->buffer.size() - this->consumed; }

private:
    std::size_t limit;
    std::string buffer;
    std::size_t consumed = 0;
};

}
