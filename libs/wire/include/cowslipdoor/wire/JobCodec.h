#pragma once

/// @file
/// @brief Encoding of the messages between leader and agents as FlatBuffers.

#include <cowslipdoor/scheduling/JobMessages.h>
#include <string>
#include <string_view>

namespace cowslipdoor::wire {

/// @brief Encodes a message as the payload of one frame.
[[nodiscard]] std::string encode(const JobMessage& message);

/// @brief Decodes the payload of one frame; verifies all offsets and values.
/// @param payload untrusted bytes
/// @return the message
/// @throws Error with ErrorKind::BadFrame if the payload is not a valid message
[[nodiscard]] JobMessage decodeJobMessage(std::string_view payload);

}
