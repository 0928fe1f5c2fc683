#include <array>
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/scheduling/CheckedJson.h>
#include <cowslipdoor/scheduling/Store.h>

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

// Guards against: a text within the limit of its bytes takes the memory of the process.
TEST_CASE("checked JSON: values that take more memory than permitted are refused, whatever they are", "[jobs]")
{
    const JsonLimits limits { .treeBytes = 10'000 };
    const auto listOf = [](const std::string& item) {
        std::string list = "[" + item;
        for (int count = 0; count < 500; ++count)
            list += "," + item;
        return list + "]";
    };
    for (const char* const item : { "{}", "[]", "1", "null", "true", "\"\"", "1.5", "{\"\":0}" }) {
        INFO(item);
        CHECK_THROWS_WITH(CheckedJson::parse(listOf(item), limits), Catch::Contains("more than 10000 bytes"));
        CHECK(CheckedJson::parse(listOf(item)).size() == 501);
    }
    CHECK_THROWS_AS(CheckedJson::parse("\"" + std::string(10'000, 'x') + "\"", limits), Error);
    CHECK(CheckedJson::parse("\"" + std::string(9'000, 'x') + "\"", limits).text().size() == 9'000);
}

TEST_CASE("checked JSON: the default limit holds the values of any text that fits into a row of the store", "[jobs]")
{
    for (const char* const item : { "{}", "[]", "0", "\"\"", "1.5", "{\"\":0}", "{\"\":{\"\":[[0]]}}" }) {
        INFO(item);
        std::string list = std::string("[") + item;
        while (list.size() + std::string(item).size() + 2 <= maximumRowBytes)
            list += "," + std::string(item);
        CHECK(CheckedJson::parse(list + "]").size() > 1);
    }
    CHECK(CheckedJson::parse("\"" + std::string(maximumRowBytes - 2, 'x') + "\"").text().size() == maximumRowBytes - 2);
}

TEST_CASE("checked JSON: fields that are not read take no memory and change nothing", "[jobs]")
{
    constexpr std::array<std::string_view, 2> fields { "kept", "list" };
    const JsonLimits limits { .treeBytes = 2'000, .fields = fields };
    const std::string large = "[{\"kept\":[" + std::string(40, '[') + std::string(40, ']') + "]},\"" + std::string(5'000, 'x') + "\"]";
    const CheckedJson json = CheckedJson::parse("{\"a\":" + large + ",\"kept\":{\"a\":7,\"kept\":8},\"b\":1,\"list\":[1,{\"a\":2}],\"c\":{}}", limits);
    CHECK(json.fields().size() == 2);
    CHECK(json.at("kept").at("a").integer<int>() == 7);
    CHECK(json.at("kept").at("kept").integer<int>() == 8);
    CHECK(json.at("list").item(1).at("a").integer<int>() == 2);
    CHECK_THROWS_AS(CheckedJson::parse("{\"a\":" + std::string(100, '[') + std::string(100, ']') + "}", limits), Error);
    CHECK_THROWS_AS(CheckedJson::parse("{\"a\":[1,}", limits), Error);
    CHECK(CheckedJson::parse("{\"kept\":1,\"kept\":2}", limits).at("kept").integer<int>() == 2);
}

TEST_CASE("checked JSON: the error of a malformed text does not repeat the text", "[jobs]")
{
    try {
        (void)CheckedJson::parse("{\"a\":\"" + std::string(100'000, 'x'));
        FAIL("the text is malformed");
    } catch (const Error& error) {
        CHECK(std::string(error.what()).size() < 300);
    }
}
