#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/scheduling/CheckedJson.h>

using namespace cowslipdoor;

namespace {

CheckedJson valueOf(const std::string& text)
{
    return CheckedJson::parse("{\"x\":" + text + "}").at("x");
}

}

TEST_CASE("checked JSON: a number out of range is refused instead of wrapped", "[jobs]")
{
    for (const char* const text : { "-5", "1.5", "1e300", "4294967296", "99999999999999999999999", "\"7\"", "null", "true" }) {
        INFO(text);
        CHECK_THROWS_AS(valueOf(text).integer<std::uint32_t>(), Error);
    }
    CHECK(valueOf("4294967295").integer<std::uint32_t>() == 4294967295U);
    CHECK(valueOf("16000.0").integer<std::uint32_t>() == 16000);
    CHECK(valueOf("18446744073709551615").integer<std::uint64_t>() == 18446744073709551615ULL);
    CHECK(valueOf("-9223372036854775808").integer<std::int64_t>() == std::numeric_limits<std::int64_t>::min());
    CHECK_THROWS_AS(valueOf("9223372036854775808").integer<std::int64_t>(), Error);
    CHECK_THROWS_AS(valueOf("7").integer<std::uint32_t>({ 1, 6 }), Error);
    CHECK_THROWS_AS(valueOf("0").integer<std::uint32_t>({ 1, 6 }), Error);
    CHECK_THROWS_AS(valueOf("1e300").decimal(0, 1000), Error);
    CHECK(valueOf("1.5").decimal(0, 1000) == 1.5);
    CHECK(valueOf("1500.75").milliseconds(std::chrono::seconds(2)) == std::chrono::milliseconds(1500));
    for (const char* const text : { "-1", "2001", "1e300", "\"1\"" })
        CHECK_THROWS_AS(valueOf(text).milliseconds(std::chrono::seconds(2)), Error);
    CHECK_THROWS_WITH(valueOf("-1").integer<std::uint32_t>({ 0, 9 }), Catch::Contains("field 'x': accepted is a whole number from 0 to 9"));
}

TEST_CASE("checked JSON: too deep nesting is refused, brackets within strings do not count", "[jobs]")
{
    const std::size_t tooDeep = 100'000;
    CHECK_THROWS_AS(CheckedJson::parse(std::string(tooDeep, '[') + std::string(tooDeep, ']')), Error);
    CHECK_THROWS_AS(CheckedJson::parse(std::string(tooDeep, '[')), Error);
    CHECK(valueOf("\"" + std::string(tooDeep, '[') + "\\\"[\"").text().size() == tooDeep + 2);
    const std::string deepest = std::string(maximumNestingDepth, '[') + std::string(maximumNestingDepth, ']');
    CHECK(CheckedJson::parse(deepest).size() == 1);
    CHECK_THROWS_AS(CheckedJson::parse("[" + deepest + "]"), Error);
    for (const char* const text : { "", "{", "1e400", "\"\xff\"" })
        CHECK_THROWS_AS(CheckedJson::parse(text), Error);
}

TEST_CASE("checked JSON: a value of another type or a missing field is refused", "[jobs]")
{
    const CheckedJson json = CheckedJson::parse(R"({"list":[1],"text":"t","flag":true,"object":{}})");
    CHECK_THROWS_AS(json.at("other"), Error);
    CHECK_THROWS_AS(json.at("text").at("x"), Error);
    CHECK_THROWS_AS(json.at("list").item(1), Error);
    CHECK_THROWS_AS(json.at("object").items(), Error);
    CHECK_THROWS_AS(json.at("text").boolean(), Error);
    CHECK_THROWS_AS(json.at("flag").text(), Error);
    CHECK_THROWS_AS(json.at("list").texts(), Error);
    CHECK_THROWS_AS(json.textOr("flag"), Error);
    CHECK(json.textOr("other").empty());
    CHECK(json.integerOr("other", 7U) == 7);
    CHECK(json.at("list").integers<int>() == std::vector<int> { 1 });
}
