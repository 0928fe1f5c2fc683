#include <array>
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/scheduling/JsonRecords.h>

using namespace cowslipdoor;

namespace {

constexpr std::array<std::string_view, 1> lists { "items" };
constexpr std::array<std::string_view, 2> fields { "count", "detail" };
constexpr std::array<std::string_view, 2> elementFields { "kept", "text" };
constexpr JsonRecordLimits limits { .lists = lists, .fields = fields, .elementFields = elementFields, .recordBytes = 16'384 };

/// Reads a text in pieces of the given size.
std::vector<JsonRecord> readAll(const std::string& text, std::size_t pieceBytes)
{
    JsonRecordReader reader(limits);
    std::vector<JsonRecord> all;
    for (std::size_t begin = 0; begin < text.size(); begin += pieceBytes) {
        for (JsonRecord& record : reader.read(std::string_view(text).substr(begin, pieceBytes)))
            all.push_back(std::move(record));
    }
    reader.finish();
    return all;
}

}

TEST_CASE("JSON records: elements and fields are the same wherever the text is divided", "[jobs]")
{
    const std::string text = R"( {"other":[{"items":[1]},"\u00e9"],"items":[{"kept":7,"dropped":[[1]],"text":"a\"\u00e9b"},[],"x",{"kept":{"kept":-1}}],"detail":{"a":[1.5,true,null]},"count":16000.0} )";
    for (std::size_t pieceBytes = 1; pieceBytes <= text.size(); ++pieceBytes) {
        INFO(pieceBytes);
        const std::vector<JsonRecord> records = readAll(text, pieceBytes);
        REQUIRE(records.size() == 7);
        CHECK_FALSE(records[0].element);
        CHECK(records[0].value.size() == 0);
        CHECK(records[1].value.fields().size() == 2);
        CHECK(records[1].value.at("kept").integer<int>() == 7);
        CHECK(records[1].value.at("text").text() == "a\"\u00e9b");
        CHECK(records[2].value.size() == 0);
        CHECK(records[3].value.text() == "x");
        CHECK(records[4].value.at("kept").at("kept").integer<int>() == -1);
        CHECK(records[5].field == "detail");
        CHECK(records[5].value.at("a").item(0).decimal() == 1.5);
        CHECK(records[6].value.integer<std::uint32_t>() == 16000);
        for (std::size_t index = 0; index < records.size(); ++index) {
            CHECK(records[index].complete);
            CHECK(records[index].element == (index >= 1 && index <= 4));
        }
    }
}

TEST_CASE("JSON records: a record over the limit is marked, and the others are whole", "[jobs]")
{
    const std::string large(100'000, 'x');
    const std::vector<JsonRecord> records = readAll(R"({"items":[{"text":")" + large + R"(","kept":1},{"kept":2}],"detail":{")" + large.substr(0, 20'000) + R"(":1},"count":3})", 1'000);
    REQUIRE(records.size() == 5);
    CHECK_FALSE(records[1].complete);
    CHECK(records[1].value.at("kept").integer<int>() == 1);
    CHECK(records[1].value.at("text").text() == large.substr(0, records[1].value.at("text").text().size()));
    CHECK(records[1].value.at("text").text().size() > 10'000);
    CHECK(records[1].value.at("text").text().size() < limits.recordBytes);
    CHECK(records[2].complete);
    CHECK(records[2].value.at("kept").integer<int>() == 2);
    CHECK_FALSE(records[3].complete);
    CHECK(records[4].value.integer<int>() == 3);
}

TEST_CASE("JSON records: many small values over the limit are left out", "[jobs]")
{
    std::string numbers = "[1";
    for (int count = 0; count < 1'000; ++count)
        numbers += ",[1]";
    const std::vector<JsonRecord> records = readAll(R"({"items":[)" + numbers + R"(]],"count":3})", 100);
    REQUIRE(records.size() == 3);
    CHECK_FALSE(records[1].complete);
    CHECK(records[1].value.size() > 10);
    CHECK(records[1].value.size() < 400);
    CHECK(records[2].value.integer<int>() == 3);
}

TEST_CASE("JSON records: a text that is not a JSON object, is incomplete or too deeply nested is refused", "[jobs]")
{
    const std::string deep = std::string(maximumNestingDepth, '[') + std::string(maximumNestingDepth, ']');
    for (const std::string& text : { std::string(), std::string("[]"), std::string("7"), std::string("\"x\""), std::string("{"), std::string("{\"a\":}"), std::string("{} {}"), std::string("{\"items\":[1,]}"), "{\"other\":" + deep + "}" }) {
        INFO(text);
        CHECK_THROWS_AS(readAll(text, 3), Error);
    }
    CHECK(readAll("{\"other\":" + deep.substr(1, deep.size() - 2) + "}", 3).empty());
}
