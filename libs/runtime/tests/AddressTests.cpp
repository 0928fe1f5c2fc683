#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/Address.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

TEST_CASE("address: IPv4 and IPv6 addresses with ports are parsed", "[address]")
{
    CHECK(parseAddress("127.0.0.1:80").port() == 80);
    CHECK(parseAddress("[::1]:8080").address().is_v6());
    CHECK(parseAddressList("127.0.0.1:1,[::1]:2").size() == 2);
    CHECK(parseAddressList("").empty());
}

TEST_CASE("address: any other text is refused", "[address]")
{
    const std::string text = GENERATE("", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536", "localhost:80", "::1:80", "[127.0.0.1]:80", "[]:80");
    CHECK_THROWS_AS(parseAddress(text), Error);
    CHECK_THROWS_AS(parseAddressList("127.0.0.1:1," + text + ",127.0.0.1:2"), Error);
}
