#include "cowslipdoor/core/Ids.h"
#include "cowslipdoor/core/Error.h"
#include <array>
#include <charconv>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslipdoor {

namespace {

    constexpr std::size_t digitsPerHalf = 16;
    constexpr int hexadecimal = 16;

    std::uint64_t parseHalf(std::string_view text)
    {
        std::uint64_t value = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            throw Error(ErrorKind::BadRequest, "a request identifier is 32 hexadecimal digits");
        return value;
    }

}

RequestId keyedRequestId(std::string_view user, std::string_view key)
{
    std::string text(user);
    text.push_back('\0');
    text.append(key);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return { hash.high64, hash.low64 };
}

std::string toString(const RequestId& id)
{
    std::array<char, 2 * digitsPerHalf + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(id.high), static_cast<unsigned long long>(id.low));
    return text.data();
}

RequestId requestIdFromString(std::string_view text)
{
    if (text.size() != 2 * digitsPerHalf)
        throw Error(ErrorKind::BadRequest, "a request identifier is 32 hexadecimal digits");
    return { parseHalf(text.substr(0, digitsPerHalf)), parseHalf(text.substr(digitsPerHalf)) };
}

}
