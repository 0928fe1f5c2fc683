#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/wire/Frame.h>
#include <rapidcheck.h>
#include <vector>

using namespace cowslipdoor;
using namespace cowslipdoor::wire;

TEST_CASE("frame: the length comes first, in little-endian order", "[frame]")
{
    CHECK(frame("abc") == std::string("\x03\0\0\0abc", 7));
    CHECK_THROWS_AS(frame(""), Error);
}

TEST_CASE("frame: lengths of zero or over the limit are refused before they are buffered", "[frame]")
{
    FrameDecoder zero;
    zero.append(std::string(4, '\0'));
    CHECK_THROWS_AS(zero.next(), Error);
    FrameDecoder large(10);
    large.append(std::string("\x0b\0\0\0", 4));
    CHECK_THROWS_AS(large.next(), Error);
    FrameDecoder huge;
    huge.append("\xff\xff\xff\xff");
    CHECK_THROWS_AS(huge.next(), Error);
}

TEST_CASE("frame: payloads are decoded complete and in order, however the stream is split", "[frame][fuzz]")
{
    CHECK(rc::check("any pieces", []() {
        const std::vector<std::string> payloads = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
        std::string stream;
        for (const std::string& payload : payloads)
            stream += frame(payload);
        FrameDecoder decoder;
        std::vector<std::string> got;
        std::size_t at = 0;
        while (at < stream.size()) {
            const std::size_t piece = std::min(*rc::gen::inRange<std::size_t>(1, 20), stream.size() - at);
            decoder.append(std::string_view(stream).substr(at, piece));
            at += piece;
            for (std::optional<std::string> payload = decoder.next(); payload; payload = decoder.next())
                got.push_back(*payload);
        }
        RC_ASSERT(got == payloads);
        RC_ASSERT(decoder.buffered() == 0U);
    }));
}

TEST_CASE("frame: the decoder never buffers more bytes than it received", "[frame][fuzz]")
{
    CHECK(rc::check("arbitrary bytes", []() {
        FrameDecoder decoder(1000);
        const std::string bytes = *rc::gen::arbitrary<std::string>();
        decoder.append(bytes);
        try {
            while (decoder.next()) { }
        } catch (const Error& error) {
            RC_ASSERT(error.kind() == ErrorKind::BadFrame);
        }
        RC_ASSERT(decoder.buffered() <= bytes.size());
    }));
}
