#include "cowslipdoor/wire/Frame.h"
#include <cowslipdoor/core/Error.h>
#include <flatbuffers/base.h>

namespace cowslipdoor::wire {

namespace {

    void checkLength(std::size_t length, std::size_t limit)
    {
        if (length == 0 || length > limit)
            throw Error(ErrorKind::BadFrame, "a payload has " + std::to_string(length) + " bytes; from 1 to " + std::to_string(limit) + " are accepted");
    }

}

std::string frame(std::string_view payload)
{
    checkLength(payload.size(), maximumPayloadBytes);
    std::string result(frameHeaderBytes, '\0');
    flatbuffers::WriteScalar(result.data(), static_cast<std::uint32_t>(payload.size()));
    result.append(payload);
    return result;
}

FrameDecoder::FrameDecoder(std::size_t limit) noexcept
    : limit(limit)
{
}

void FrameDecoder::append(std::string_view bytes)
{
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
    this->buffer.append(bytes);
}

std::optional<std::string> FrameDecoder::next()
{
    if (this->buffered() < frameHeaderBytes)
        return std::nullopt;
    const std::size_t length = flatbuffers::ReadScalar<std::uint32_t>(this->buffer.data() + this->consumed);
    checkLength(length, this->limit);
    if (this->buffered() < frameHeaderBytes + length)
        return std::nullopt;
    std::string payload = this->buffer.substr(this->consumed + frameHeaderBytes, length);
    this->consumed += frameHeaderBytes + length;
    return payload;
}

}
