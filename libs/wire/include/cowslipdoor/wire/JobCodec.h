#pragma once

/// @file
/// @brief Encoding of the messages between leader and agents as FlatBuffers.

#include <cowslipdoor/scheduling/JobMessages.h>
#include <string>
#include <string_view>

namespace cowslipdoor::wire {

/// @brief Encodes a message as the payload of one frame.
/// @param message the message
/// @return the bytes
[[nodiscard]] std::string encode(const JobMessage& message);

/// @brief Decodes the payload of one frame, checking every offset and value first.
/// @param payload the bytes, from anyone
/// @return the message
/// @throws Error with ErrorKind::BadFrame when the payload is not a message
[[nodiscard]] JobMessage decodeJobMessage(std::string_view payload);

}
