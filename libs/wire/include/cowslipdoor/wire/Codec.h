#pragma once

/// @file
/// @brief Encoding of link messages as FlatBuffers.

#include <cowslipdoor/core/Messages.h>
#include <string>
#include <string_view>

namespace cowslipdoor::wire {

/// @brief Encodes a message as the payload of one frame.
[[nodiscard]] std::string encode(const LinkMessage& message);

/// @brief Decodes the payload of one frame; verifies all offsets and values.
/// @param payload untrusted bytes
/// @return the message
/// @throws Error with ErrorKind::BadFrame if the payload is not a valid message
/// @code
/// const LinkMessage message = wire::decode(wire::encode(Heartbeat { 3 }));
/// @endcode
[[nodiscard]] LinkMessage decode(std::string_view payload);

}
