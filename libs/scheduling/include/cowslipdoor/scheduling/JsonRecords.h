#pragma once

/// @file
/// @brief Reading of large JSON texts record by record.

#include "CheckedJson.h"
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief What is read of a text whose root is an object.
struct JsonRecordLimits {
    /// Fields of the root whose lists are read element by element.
    std::span<const std::string_view> lists {};
    /// Other fields of the root that are read, each as one record.
    std::span<const std::string_view> fields {};
    /// Fields that are kept of an element that is an object; all if empty.
    std::span<const std::string_view> elementFields {};
    /// Maximum memory of the values of one record in bytes.
    std::size_t recordBytes = std::size_t { 64 } * 1024;
};

/// @brief Element of a list of the root object, the beginning of such a list, or another field of the root.
struct JsonRecord {
    /// Field of the root.
    std::string field;
    /// Whether the value is an element of a list that is read element by element. The list itself comes first, as an empty list.
    bool element = false;
    CheckedJson value;
    /// Whether all values are there. Those that exceed the limit are left out, and of a string that does, only its beginning is there.
    bool complete = true;
};

/// @brief Reads a JSON text of any length in pieces; its memory does not grow with the text.
/// @code
/// JsonRecordReader reader({ .lists = lists, .fields = fields });
/// for (const JsonRecord& record : reader.read(piece))
///     apply(record);
/// reader.finish();
/// @endcode
class JsonRecordReader {
public:
    /// @param limits what is read of the text; the names must outlive the reader
    explicit JsonRecordReader(const JsonRecordLimits& limits);
    ~JsonRecordReader();

    JsonRecordReader(JsonRecordReader&&) noexcept;
    JsonRecordReader& operator=(JsonRecordReader&&) noexcept;
    JsonRecordReader(const JsonRecordReader&) = delete;
    JsonRecordReader& operator=(const JsonRecordReader&) = delete;

    /// @param piece the next bytes of the text
    /// @return the records that end in them, in the order of the text
    /// @throws Error if the text is not valid JSON, its root is not an object, or it is nested too deeply; the reader cannot be
    ///         used afterwards
    [[nodiscard]] std::vector<JsonRecord> read(std::string_view piece);

    /// @brief Checks that the text is complete.
    /// @throws Error if it is not
    void finish();

private:
    struct Parser;

    std::unique_ptr<Parser> parser;
};

}
