#pragma once

/// @file
/// @brief Checked access to JSON texts from other programs.

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace cowslipdoor {

/// @brief Maximum nesting depth; no known body has more than eight levels. The JSON library copies and compares values
/// recursively, so a deeply nested one would overflow the stack.
constexpr std::size_t maximumNestingDepth = 64;

/// @brief Limits of the values that are kept of a JSON text.
struct JsonLimits {
    /// Maximum memory of the values in bytes. A short value takes many times its text, so a limit of the text does not bound it.
    std::size_t treeBytes = std::size_t { 16 } * 1024 * 1024;
    /// Fields of the root object that are kept; all if empty. The values of other fields take no memory.
    std::span<const std::string_view> fields {};
};

/// @brief Inclusive range of a number.
template <std::integral Number>
struct Bounds {
    Number least = std::numeric_limits<Number>::min();
    Number most = std::numeric_limits<Number>::max();
};

/// @brief A value within a JSON text; every access checks type and range.
///
/// Functions that cannot return what is asked for throw an Error with ErrorKind::BadRequest, which names the field and the
/// accepted values.
/// @code
/// const CheckedJson json = CheckedJson::parse(body);
/// const std::uint32_t count = json.at("count").integer<std::uint32_t>({ 1, 1000 });
/// @endcode
class CheckedJson {
public:
    /// @brief Parses a text.
    /// @param text JSON text
    /// @param limits what is kept of it
    /// @return its root value
    /// @throws Error if the text is not valid JSON, is nested too deeply, has a number that a double cannot represent, or exceeds
    ///         the limits
    [[nodiscard]] static CheckedJson parse(std::string_view text, const JsonLimits& limits = {});

    /// @param field name of a required field
    /// @return its value
    [[nodiscard]] CheckedJson at(const char* field) const;

    /// @param index index within an array
    /// @return the element
    [[nodiscard]] CheckedJson item(std::size_t index) const;

    /// @param field name of a field
    /// @return its value, or std::nullopt if the object lacks the field
    [[nodiscard]] std::optional<CheckedJson> find(const char* field) const;

    /// @return the elements of an array
    [[nodiscard]] std::vector<CheckedJson> items() const;

    /// @return the names and values of an object's fields
    [[nodiscard]] std::vector<std::pair<std::string, CheckedJson>> fields() const;

    /// @return the number of elements of an array
    [[nodiscard]] std::size_t size() const;

    /// @param bounds accepted range
    /// @return an integer within the range; a number such as 2.0 counts as an integer
    template <std::integral Number>
    [[nodiscard]] Number integer(const Bounds<Number>& bounds = {}) const
    {
        if constexpr (std::is_signed_v<Number>)
            return static_cast<Number>(this->signedInteger({ bounds.least, bounds.most }));
        else
            return static_cast<Number>(this->unsignedInteger({ bounds.least, bounds.most }));
    }

    /// @param field name of a field
    /// @param fallback result for an object that lacks the field
    /// @param bounds accepted range
    /// @return an integer within the range, or the fallback
    template <std::integral Number>
    [[nodiscard]] Number integerOr(const char* field, Number fallback, const Bounds<Number>& bounds = {}) const
    {
        const std::optional<CheckedJson> value = this->find(field);
        return value ? value->integer<Number>(bounds) : fallback;
    }

    /// @param least lower bound, inclusive
    /// @param most upper bound, inclusive
    /// @return a finite number within the bounds
    [[nodiscard]] double decimal(double least = std::numeric_limits<double>::lowest(), double most = std::numeric_limits<double>::max()) const;

    /// @param most upper bound, inclusive
    /// @return a duration of zero or more, truncated to whole milliseconds
    [[nodiscard]] std::chrono::milliseconds milliseconds(std::chrono::milliseconds most) const;

    /// @param field name of a field
    /// @param fallback result for an object that lacks the field
    /// @param most upper bound, inclusive
    /// @return a duration of zero or more, truncated to whole milliseconds, or the fallback
    [[nodiscard]] std::chrono::milliseconds millisecondsOr(const char* field, std::chrono::milliseconds fallback, std::chrono::milliseconds most) const;

    /// @return a string
    [[nodiscard]] std::string text() const;

    /// @return a string, valid as long as a value of the same text exists
    [[nodiscard]] std::string_view textView() const;

    /// @param field name of a field
    /// @return its string, or an empty one if the object lacks the field
    [[nodiscard]] std::string textOr(const char* field) const;

    /// @return a boolean
    [[nodiscard]] bool boolean() const;

    /// @param field name of a field
    /// @return its boolean, or false if the object lacks the field
    [[nodiscard]] bool booleanOr(const char* field) const;

    /// @return an array of strings
    [[nodiscard]] std::vector<std::string> texts() const;

    /// @param bounds accepted range of each element
    /// @return an array of integers within the range
    template <std::integral Number>
    [[nodiscard]] std::vector<Number> integers(const Bounds<Number>& bounds = {}) const
    {
        std::vector<Number> numbers;
        for (const CheckedJson& item : this->items())
            numbers.push_back(item.integer<Number>(bounds));
        return numbers;
    }

    /// @return whether the value is null
    [[nodiscard]] bool isNull() const noexcept;

    /// @return whether the value is an object
    [[nodiscard]] bool isObject() const noexcept;

    /// @param accepted description of the accepted values
    /// @throws Error always; it names the field and the accepted values
    [[noreturn]] void refuse(const std::string& accepted) const;

private:
    friend class JsonRecordHandler;

    using Document = std::shared_ptr<const nlohmann::json>;

    CheckedJson(Document document, const nlohmann::json& value, std::string name);

    [[nodiscard]] std::uint64_t unsignedInteger(const Bounds<std::uint64_t>& bounds) const;
    [[nodiscard]] std::int64_t signedInteger(const Bounds<std::int64_t>& bounds) const;

    Document document;
    const nlohmann::json* value;
    std::string name;
};

}
