#pragma once

/// @file
/// @brief Parser of rules files.

#include "../RulesText.h"
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor::impl {

/// @brief Token of a line, with its column counted from one.
struct Token {
    std::string_view text;
    std::size_t column = 1;
};

/// @brief Parses one rules file; an instance is used only once.
class RulesParser {
public:
    /// @param text complete text of the file; must outlive the parser
    explicit RulesParser(std::string_view text) noexcept;

    /// @return the rules, and all errors in the order of the file
    [[nodiscard]] RulesParseResult parse();

private:
    void parseLine(std::string_view line);
    void parseVersion(const std::vector<Token>& tokens);
    void parseRule(const std::vector<Token>& tokens, std::string_view comment, std::size_t commentColumn, bool hasComment);
    void parseField(Rule& rule, const Token& token);
    void parseComment(Rule& rule, std::string_view comment, std::size_t column, bool hasComment);
    void checkRule(const Rule& rule, std::size_t column);
    bool parseSelectorField(Rule& rule, std::string_view key, std::string_view value, std::size_t column);
    bool parseTreatmentField(Rule& rule, std::string_view key, std::string_view value, std::size_t column);
    bool parseResourceField(Rule& rule, std::string_view key, std::string_view value, std::size_t column);
    void parseHeader(Rule& rule, std::string_view value, std::size_t column);
    void parseClass(Rule& rule, std::string_view value, std::size_t column);
    void parseObjective(Rule& rule, std::string_view value, std::size_t column);
    [[nodiscard]] std::uint32_t parseNumber(std::string_view value, std::size_t column, std::uint32_t minimum, std::uint32_t maximum);
    [[nodiscard]] Duration parseDuration(std::string_view value, std::size_t column);
    [[nodiscard]] std::optional<std::uint32_t> parseDecimal(std::string_view value, std::uint32_t scale, std::uint32_t maximum) const;
    void addFault(std::size_t column, std::string message, std::string expected);

    std::string_view text;
    std::size_t line = 0;
    bool versionSeen = false;
    std::uint64_t version = 0;
    std::vector<Rule> rules;
    std::set<std::string, std::less<>> names;
    std::set<std::string_view> fieldsOfLine;
    std::vector<TextFault> faults;
};

}
