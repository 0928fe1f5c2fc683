#include "cowslipdoor/scheduling/JsonRecords.h"
#include "JsonTree.h"
#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <cowslipdoor/core/Error.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cowslipdoor {

namespace {

    using Json = nlohmann::json;
    using ErrorCode = boost::json::error_code;
    using Text = boost::json::string_view;

    /// Memory of a record that a long string leaves for the fields after it, in bytes.
    constexpr std::size_t bytesForOtherFields = 4096;

    bool contains(std::span<const std::string_view> names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

}

/// Divides the events of the parser into records.
class JsonRecordHandler {
public:
    explicit JsonRecordHandler(const JsonRecordLimits& limits)
        : limits(limits)
    {
    }

    /// Returns the records that are complete, and forgets them.
    [[nodiscard]] std::vector<JsonRecord> take() { return std::exchange(this->records, {}); }

    // The parser of Boost.JSON requires these names.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = std::size_t { 64 } * 1024;
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    bool on_document_begin(ErrorCode&) { return true; }
    bool on_document_end(ErrorCode&) { return true; }
    bool on_object_begin(ErrorCode& error) { return this->open(Json::value_t::object, error); }
    bool on_object_end(std::size_t, ErrorCode&) { return this->close(); }
    bool on_array_begin(ErrorCode& error) { return this->open(Json::value_t::array, error); }
    bool on_array_end(std::size_t, ErrorCode&) { return this->close(); }
    bool on_key_part(Text part, std::size_t, ErrorCode&) { return this->append(part); }
    bool on_key(Text part, std::size_t, ErrorCode&) { return this->append(part) && this->key(); }
    bool on_string_part(Text part, std::size_t, ErrorCode&) { return this->append(part); }
    bool on_string(Text part, std::size_t, ErrorCode& error) { return this->append(part) && this->addText(error); }
    bool on_number_part(Text, ErrorCode&) { return true; }
    bool on_int64(std::int64_t value, Text, ErrorCode& error) { return this->addSigned(value, error); }
    bool on_uint64(std::uint64_t value, Text, ErrorCode& error) { return this->add(value, 0, error); }
    bool on_double(double value, Text, ErrorCode& error) { return this->add(value, 0, error); }
    bool on_bool(bool value, ErrorCode& error) { return this->add(value, 0, error); }
    bool on_null(ErrorCode& error) { return this->add(nullptr, 0, error); }
    bool on_comment_part(Text, ErrorCode&) { return true; }
    bool on_comment(Text, ErrorCode&) { return true; }
    // NOLINTEND(readability-identifier-naming)

private:
    /// Depth of the fields of the root, and of the elements of its lists.
    static constexpr std::size_t rootDepth = 1;
    static constexpr std::size_t listDepth = 2;

    struct OpenRecord {
        JsonTree tree;
        bool complete = true;
    };

    [[nodiscard]] std::size_t recordDepth() const noexcept { return this->inList ? listDepth : rootDepth; }

    OpenRecord& openRecord()
    {
        if (!this->record)
            this->record.emplace(OpenRecord { JsonTree(this->limits.recordBytes) });
        return *this->record;
    }

    bool open(Json::value_t type, ErrorCode& error)
    {
        ++this->depth;
        if (this->depth == rootDepth)
            return type == Json::value_t::object || refuseRoot(error);
        if (this->skipping)
            return true;
        if (this->depth == listDepth && !this->inList && type == Json::value_t::array && contains(this->limits.lists, this->field)) {
            this->deliver(Json::array(), false, true);
            this->inList = true;
            return true;
        }
        OpenRecord& open = this->openRecord();
        open.complete = open.tree.open(type) && open.complete;
        return true;
    }

    bool close()
    {
        --this->depth;
        if (this->depth == 0)
            return true;
        if (this->skipping) {
            this->endSkipped();
            return true;
        }
        if (this->inList && this->depth == rootDepth) {
            this->inList = false;
            return true;
        }
        this->record->tree.close();
        this->endRecord();
        return true;
    }

    bool key()
    {
        const std::string name = std::exchange(this->text, {});
        const bool whole = !std::exchange(this->cut, false);
        if (this->skipping)
            return true;
        if (this->depth == rootDepth) {
            this->field = name;
            this->skip(!contains(this->limits.lists, name) && !contains(this->limits.fields, name));
            return true;
        }
        if (this->inList && this->depth == listDepth + 1 && !this->limits.elementFields.empty() && !contains(this->limits.elementFields, name)) {
            this->skip(true);
            return true;
        }
        OpenRecord& open = this->openRecord();
        open.complete = whole && open.complete;
        if (!whole)
            this->skip(true);
        else
            open.complete = open.tree.key(name) && open.complete;
        return true;
    }

    template <typename Value>
    bool add(Value&& value, std::size_t bytes, ErrorCode& error)
    {
        if (this->depth == 0)
            return refuseRoot(error);
        if (this->skipping) {
            this->endSkipped();
            return true;
        }
        OpenRecord& open = this->openRecord();
        open.complete = open.tree.add(std::forward<Value>(value), bytes) && open.complete;
        this->endRecord();
        return true;
    }

    /// Adds a number as the other parser does, to which a number without a minus sign is unsigned.
    bool addSigned(std::int64_t value, ErrorCode& error)
    {
        return value < 0 ? this->add(value, 0, error) : this->add(static_cast<std::uint64_t>(value), 0, error);
    }

    bool append(Text part)
    {
        if (this->skipping)
            return true;
        const std::size_t left = this->record ? this->record->tree.left() : this->limits.recordBytes;
        const std::size_t most = std::max(left / 2, left - std::min(left, bytesForOtherFields));
        const std::size_t room = most - std::min(most, this->text.size());
        this->cut = this->cut || part.size() > room;
        this->text.append(part.data(), std::min(part.size(), room));
        return true;
    }

    bool addText(ErrorCode& error)
    {
        std::string value = std::exchange(this->text, {});
        if (std::exchange(this->cut, false))
            this->openRecord().complete = false;
        const std::size_t bytes = JsonTree::bytesPerString + value.size();
        return this->add(std::move(value), bytes, error);
    }

    void skip(bool value)
    {
        this->skipping = value;
        this->skippedDepth = this->depth;
    }

    void endSkipped()
    {
        this->skipping = this->depth != this->skippedDepth;
    }

    void endRecord()
    {
        if (this->depth != this->recordDepth())
            return;
        OpenRecord ended = std::move(*this->record);
        this->record.reset();
        this->deliver(ended.tree.take(), this->inList, ended.complete);
    }

    void deliver(Json value, bool element, bool complete)
    {
        const CheckedJson::Document document = std::make_shared<const Json>(std::move(value));
        this->records.push_back({ this->field, element, CheckedJson(document, *document, this->field), complete });
    }

    static bool refuseRoot(ErrorCode& error)
    {
        error = boost::json::error::syntax;
        return false;
    }

    JsonRecordLimits limits;
    std::vector<JsonRecord> records;
    std::optional<OpenRecord> record;
    /// Field of the root that is being read.
    std::string field;
    /// Parts of the name or string that is being read.
    std::string text;
    /// Whether the name or string that is being read is longer than the text that is kept of it.
    bool cut = false;
    std::size_t depth = 0;
    bool inList = false;
    bool skipping = false;
    /// Depth of the field that is being skipped.
    std::size_t skippedDepth = 0;
};

struct JsonRecordReader::Parser {
    explicit Parser(const JsonRecordLimits& limits)
        : json(options(), limits)
    {
    }

    static boost::json::parse_options options()
    {
        boost::json::parse_options result;
        result.max_depth = maximumNestingDepth;
        return result;
    }

    void write(bool more, std::string_view piece)
    {
        ErrorCode error;
        const std::size_t read = this->json.write_some(more, piece.data(), piece.size(), error);
        if (error || read < piece.size())
            throw Error(ErrorKind::BadRequest, "the text is not a JSON object" + (error ? ": " + error.message() : ""));
    }

    boost::json::basic_parser<JsonRecordHandler> json;
};

JsonRecordReader::JsonRecordReader(const JsonRecordLimits& limits)
    : parser(std::make_unique<Parser>(limits))
{
}

JsonRecordReader::~JsonRecordReader() = default;
JsonRecordReader::JsonRecordReader(JsonRecordReader&&) noexcept = default;
JsonRecordReader& JsonRecordReader::operator=(JsonRecordReader&&) noexcept = default;

std::vector<JsonRecord> JsonRecordReader::read(std::string_view piece)
{
    this->parser->write(true, piece);
    return this->parser->json.handler().take();
}

void JsonRecordReader::finish()
{
    this->parser->write(false, {});
}

}
