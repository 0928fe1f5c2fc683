#pragma once

/// @file
/// @brief Checked reading of JSON texts that others wrote.

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace cowslipdoor {

/// @brief Deepest nesting that is read; no known body has more than eight levels. The library copies and compares values
/// by recursion, so that a deep one would overflow the stack.
constexpr std::size_t maximumNestingDepth = 64;

/// @brief Least and greatest number that a field may have.
template <std::integral Number>
struct Bounds {
    Number least = std::numeric_limits<Number>::min();
    Number most = std::numeric_limits<Number>::max();
};

/// @brief A value within a JSON text; every access checks type and range.
///
/// Each function throws Error with ErrorKind::BadRequest that names the field and what is accepted.
/// @code
/// const CheckedJson json = CheckedJson::parse(body);
/// const std::uint32_t count = json.at("count").whole<std::uint32_t>({ 1, 1000 });
/// @endcode
class CheckedJson {
public:
    /// @brief Parses a text.
    /// @param text the text
    /// @return its value
    /// @throws Error when it is no JSON, is nested too deeply, or has a number that no double holds
    [[nodiscard]] static CheckedJson parse(std::string_view text);

    /// @param field name of a field
    /// @return its value
    [[nodiscard]] CheckedJson at(const char* field) const;

    /// @param index place in a list
    /// @return its value
    [[nodiscard]] CheckedJson item(std::size_t index) const;

    /// @param field name of a field
    /// @return its value, or nothing when the object lacks it
    [[nodiscard]] std::optional<CheckedJson> find(const char* field) const;

    /// @return the values of a list
    [[nodiscard]] std::vector<CheckedJson> items() const;

    /// @return the values of an object, by name
    [[nodiscard]] std::vector<std::pair<std::string, CheckedJson>> fields() const;

    /// @return number of values of a list
    [[nodiscard]] std::size_t size() const;

    /// @param bounds accepted numbers
    /// @return a whole number within them
    template <std::integral Number>
    [[nodiscard]] Number integer(const Bounds<Number>& bounds = {}) const
    {
        if constexpr (std::is_signed_v<Number>)
            return static_cast<Number>(this->signedInteger({ bounds.least, bounds.most }));
        else
            return static_cast<Number>(this->unsignedInteger({ bounds.least, bounds.most }));
    }

    /// @param field name of a field
    /// @param fallback number of an object that lacks it
    /// @param bounds accepted numbers
    /// @return a whole number within them
    template <std::integral Number>
    [[nodiscard]] Number integerOr(const char* field, Number fallback, const Bounds<Number>& bounds = {}) const
    {
        const std::optional<CheckedJson> value = this->find(field);
        return value ? value->integer<Number>(bounds) : fallback;
    }

    /// @param least least accepted number
    /// @param most greatest accepted number
    /// @return a finite number within them
    [[nodiscard]] double decimal(double least = std::numeric_limits<double>::lowest(), double most = std::numeric_limits<double>::max()) const;

    /// @param most longest accepted span
    /// @return a span of time from zero on, without its fraction of a millisecond
    [[nodiscard]] std::chrono::milliseconds milliseconds(std::chrono::milliseconds most) const;

    /// @param field name of a field
    /// @param fallback span of an object that lacks it
    /// @param most longest accepted span
    /// @return a span of time from zero on, without its fraction of a millisecond
    [[nodiscard]] std::chrono::milliseconds millisecondsOr(const char* field, std::chrono::milliseconds fallback, std::chrono::milliseconds most) const;

    /// @return a text
    [[nodiscard]] std::string text() const;

    /// @param field name of a field
    /// @return its text, or an empty one of an object that lacks it
    [[nodiscard]] std::string textOr(const char* field) const;

    /// @return true or false
    [[nodiscard]] bool boolean() const;

    /// @param field name of a field
    /// @return its value, or false of an object that lacks it
    [[nodiscard]] bool booleanOr(const char* field) const;

    /// @return a list of texts
    [[nodiscard]] std::vector<std::string> texts() const;

    /// @param bounds accepted numbers
    /// @return a list of whole numbers within them
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

    /// @param accepted what the field may be
    /// @throws Error that says so
    [[noreturn]] void refuse(const std::string& accepted) const;

private:
    using Document = std::shared_ptr<const nlohmann::json>;

    CheckedJson(Document document, const nlohmann::json& value, std::string name);

    [[nodiscard]] std::uint64_t unsignedInteger(const Bounds<std::uint64_t>& bounds) const;
    [[nodiscard]] std::int64_t signedInteger(const Bounds<std::int64_t>& bounds) const;

    Document document;
    const nlohmann::json* value;
    std::string name;
};

}
