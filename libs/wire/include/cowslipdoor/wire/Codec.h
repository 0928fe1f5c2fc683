#pragma once

/// @file
/// @brief Encoding of link messages as FlatBuffers.

#include <cowslipdoor/core/Messages.h>
#include <string>
#include <string_view>

namespace cowslipdoor::wire {

/// @brief Encodes a message as the payload of one frame.
/// @param message the message
/// @return the bytes
[[nodiscard]] std::string encode(const LinkMessage& message);

/// @brief Decodes the payload of one frame, checking every offset and value first.
/// @param payload the bytes, from anyone
/// @return the message
/// @throws Error with ErrorKind::BadFrame when the payload is not a message
/// @code
/// const LinkMessage message = wire::decode(wire::encode(Heartbeat { 3 }));
/// @endcode
[[nodiscard]] LinkMessage decode(std::string_view payload);

}
