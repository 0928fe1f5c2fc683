#include "cowslipdoor/scheduling/CheckedJson.h"
#include "JsonTree.h"
#include <algorithm>
#include <cmath>
#include <cowslipdoor/core/Error.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace cowslipdoor {

namespace {

    using Json = nlohmann::json;

    /// Greatest integer up to which a double represents every integer exactly.
    constexpr double maximumExactInteger = 9'007'199'254'740'992.0;

    /// Maximum length of a parser's message; it may quote the text.
    constexpr std::size_t maximumMessageBytes = 200;

    /// Builds the values of a text within the limits. Unlike Json::parse(), it counts memory before it allocates.
    class TreeBuilder final : public nlohmann::json_sax<Json> {
    public:
        explicit TreeBuilder(const JsonLimits& limits)
            : limits(limits)
            , tree(limits.treeBytes)
        {
        }

        bool null() override { return this->add(nullptr, 0); }
        bool boolean(bool value) override { return this->add(value, 0); }
        bool number_integer(number_integer_t value) override { return this->add(value, 0); }
        bool number_unsigned(number_unsigned_t value) override { return this->add(value, 0); }
        bool number_float(number_float_t value, const string_t&) override { return this->add(value, 0); }
        bool string(string_t& value) override { return this->add(std::move(value), JsonTree::bytesPerString + value.size()); }
        bool binary(binary_t&) override { return false; }
        bool start_object(std::size_t) override { return this->open(Json::value_t::object); }
        bool end_object() override { return this->close(); }
        bool start_array(std::size_t) override { return this->open(Json::value_t::array); }
        bool end_array() override { return this->close(); }

        bool key(string_t& name) override
        {
            if (this->skipping)
                return true;
            const bool ofRoot = this->depth == 1;
            if (ofRoot && !this->limits.fields.empty() && std::find(this->limits.fields.begin(), this->limits.fields.end(), name) == this->limits.fields.end()) {
                this->skipping = true;
                return true;
            }
            this->require(this->tree.key(name));
            return true;
        }

        bool parse_error(std::size_t, const std::string&, const Json::exception& error) override
        {
            throw Error(ErrorKind::BadRequest, std::string(error.what()).substr(0, maximumMessageBytes));
        }

        [[nodiscard]] Json take() { return this->tree.take(); }

    private:
        template <typename Value>
        bool add(Value&& value, std::size_t bytes)
        {
            if (!this->skipping)
                this->require(this->tree.add(std::forward<Value>(value), bytes));
            this->endSkippedField();
            return true;
        }

        bool open(Json::value_t type)
        {
            if (++this->depth > maximumNestingDepth)
                throw Error(ErrorKind::BadRequest, "the text is nested more than " + std::to_string(maximumNestingDepth) + " levels deep");
            if (!this->skipping)
                this->require(this->tree.open(type));
            return true;
        }

        bool close()
        {
            --this->depth;
            if (!this->skipping)
                this->tree.close();
            this->endSkippedField();
            return true;
        }

        void endSkippedField() noexcept
        {
            this->skipping = this->skipping && this->depth > 1;
        }

        void require(bool fits) const
        {
            if (!fits)
                throw Error(ErrorKind::BadRequest, "the values of the text take more than " + std::to_string(this->limits.treeBytes) + " bytes of memory");
        }

        JsonLimits limits;
        JsonTree tree;
        std::size_t depth = 0;
        bool skipping = false;
    };

    bool isExactInteger(const Json& value)
    {
        if (!value.is_number_float())
            return false;
        const double number = value.get<double>();
        return std::abs(number) <= maximumExactInteger && std::trunc(number) == number;
    }

    template <typename Number>
    std::string describeBounds(const Bounds<Number>& bounds)
    {
        return "a whole number from " + std::to_string(bounds.least) + " to " + std::to_string(bounds.most);
    }

}

CheckedJson::CheckedJson(Document document, const Json& value, std::string name)
    : document(std::move(document))
    , value(&value)
    , name(std::move(name))
{
}

CheckedJson CheckedJson::parse(std::string_view text, const JsonLimits& limits)
{
    TreeBuilder tree(limits);
    try {
        static_cast<void>(Json::sax_parse(text, &tree));
    } catch (const Json::exception& error) {
        throw Error(ErrorKind::BadRequest, std::string(error.what()).substr(0, maximumMessageBytes));
    }
    const Document document = std::make_shared<const Json>(tree.take());
    return { document, *document, "body" };
}

CheckedJson CheckedJson::at(const char* field) const
{
    const std::optional<CheckedJson> found = this->find(field);
    if (!found)
        this->refuse(std::string("an object with a field '") + field + "'");
    return *found;
}

CheckedJson CheckedJson::item(std::size_t index) const
{
    if (index >= this->size())
        this->refuse("a list of more than " + std::to_string(index) + " values");
    return { this->document, (*this->value)[index], this->name };
}

std::optional<CheckedJson> CheckedJson::find(const char* field) const
{
    if (!this->isObject())
        this->refuse("an object");
    const Json::const_iterator it = this->value->find(field);
    if (it == this->value->end())
        return std::nullopt;
    return CheckedJson(this->document, *it, field);
}

std::vector<CheckedJson> CheckedJson::items() const
{
    std::vector<CheckedJson> items;
    items.reserve(this->size());
    for (const Json& item : *this->value)
        items.push_back(CheckedJson(this->document, item, this->name));
    return items;
}

std::vector<std::pair<std::string, CheckedJson>> CheckedJson::fields() const
{
    if (!this->isObject())
        this->refuse("an object");
    std::vector<std::pair<std::string, CheckedJson>> fields;
    for (Json::const_iterator it = this->value->begin(); it != this->value->end(); ++it)
        fields.emplace_back(it.key(), CheckedJson(this->document, it.value(), it.key()));
    return fields;
}

std::size_t CheckedJson::size() const
{
    if (!this->value->is_array())
        this->refuse("a list");
    return this->value->size();
}

double CheckedJson::decimal(double least, double most) const
{
    const double number = this->value->is_number() ? this->value->get<double>() : std::numeric_limits<double>::quiet_NaN();
    if (!(number >= least && number <= most))
        this->refuse("a number from " + std::to_string(least) + " to " + std::to_string(most));
    return number;
}

std::chrono::milliseconds CheckedJson::milliseconds(std::chrono::milliseconds most) const
{
    return std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(this->decimal(0, static_cast<double>(most.count()))));
}

std::chrono::milliseconds CheckedJson::millisecondsOr(const char* field, std::chrono::milliseconds fallback, std::chrono::milliseconds most) const
{
    const std::optional<CheckedJson> found = this->find(field);
    return found ? found->milliseconds(most) : fallback;
}

std::string CheckedJson::text() const
{
    return std::string(this->textView());
}

std::string_view CheckedJson::textView() const
{
    if (!this->value->is_string())
        this->refuse("a string");
    return this->value->get_ref<const std::string&>();
}

std::string CheckedJson::textOr(const char* field) const
{
    const std::optional<CheckedJson> found = this->find(field);
    return found ? found->text() : std::string();
}

bool CheckedJson::boolean() const
{
    if (!this->value->is_boolean())
        this->refuse("true or false");
    return this->value->get<bool>();
}

bool CheckedJson::booleanOr(const char* field) const
{
    const std::optional<CheckedJson> found = this->find(field);
    return found && found->boolean();
}

std::vector<std::string> CheckedJson::texts() const
{
    std::vector<std::string> texts;
    for (const CheckedJson& item : this->items())
        texts.push_back(item.text());
    return texts;
}

bool CheckedJson::isNull() const noexcept
{
    return this->value->is_null();
}

bool CheckedJson::isObject() const noexcept
{
    return this->value->is_object();
}

void CheckedJson::refuse(const std::string& accepted) const
{
    throw Error(ErrorKind::BadRequest, "field '" + this->name + "': accepted is " + accepted);
}

std::uint64_t CheckedJson::unsignedInteger(const Bounds<std::uint64_t>& bounds) const
{
    const bool exact = isExactInteger(*this->value) && this->value->get<double>() >= 0;
    if (!exact && !this->value->is_number_unsigned())
        this->refuse(describeBounds(bounds));
    const std::uint64_t number = exact ? static_cast<std::uint64_t>(this->value->get<double>()) : this->value->get<std::uint64_t>();
    if (number < bounds.least || number > bounds.most)
        this->refuse(describeBounds(bounds));
    return number;
}

std::int64_t CheckedJson::signedInteger(const Bounds<std::int64_t>& bounds) const
{
    const bool exact = isExactInteger(*this->value);
    const bool tooLarge = this->value->is_number_unsigned() && this->value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (tooLarge || (!exact && !this->value->is_number_integer()))
        this->refuse(describeBounds(bounds));
    const std::int64_t number = exact ? static_cast<std::int64_t>(this->value->get<double>()) : this->value->get<std::int64_t>();
    if (number < bounds.least || number > bounds.most)
        this->refuse(describeBounds(bounds));
    return number;
}

}
