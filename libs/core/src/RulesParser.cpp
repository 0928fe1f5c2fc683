#include "cowslipdoor/core/impl/RulesParser.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace cowslipdoor::impl {

namespace {

    constexpr Duration maximumRuleDuration = std::chrono::hours(24);
    constexpr std::uint32_t maximumRetries = 10;
    constexpr std::uint32_t maximumReserveSlots = 10'000;
    constexpr std::uint32_t maximumShare = 1'000'000;
    constexpr std::uint32_t maximumMemoryMb = 100'000'000;
    constexpr std::uint32_t maximumMilliCores = 10'000'000;
    constexpr std::uint32_t milliPerUnit = 1000;
    constexpr std::uint32_t perMillionOfPercent = 10'000;
    constexpr std::uint32_t perMillionOfWhole = 1'000'000;
    constexpr std::string_view whitespace = " \t\r";
    constexpr std::string_view durationSyntax = "a duration such as 300ms, 2s or 5m, over 0 and at most 24h";
    constexpr std::string_view commentSyntax = "a comment '# WHO: WHY' that names who asked for the rule and why";

    struct DurationUnit {
        std::string_view suffix;
        Duration unit;
    };

    constexpr std::array<DurationUnit, 4> durationUnits { {
        { "ms", std::chrono::milliseconds(1) },
        { "s", std::chrono::seconds(1) },
        { "m", std::chrono::minutes(1) },
        { "h", std::chrono::hours(1) },
    } };

    std::string_view trim(std::string_view text) noexcept
    {
        const std::size_t first = text.find_first_not_of(whitespace);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
    }

    std::vector<Token> tokenize(std::string_view text)
    {
        std::vector<Token> tokens;
        std::size_t begin = text.find_first_not_of(whitespace);
        while (begin != std::string_view::npos) {
            const std::size_t end = std::min(text.find_first_of(whitespace, begin), text.size());
            tokens.push_back({ text.substr(begin, end - begin), begin + 1 });
            begin = text.find_first_not_of(whitespace, end);
        }
        return tokens;
    }

    bool isPrintable(std::string_view text) noexcept
    {
        return std::none_of(text.begin(), text.end(),
            [](char character) { return static_cast<unsigned char>(character) < 0x20 && character != '\t' && character != '\r'; });
    }

    bool isName(std::string_view text) noexcept
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
            return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
        });
    }

    std::string quoted(std::string_view text)
    {
        return "'" + std::string(text) + "'";
    }

}

RulesParser::RulesParser(std::string_view text) noexcept
    : text(text)
{
}

RulesParseResult RulesParser::parse()
{
    if (this->text.size() > maximumRulesBytes) {
        this->line = 1;
        this->addFault(1, "the file is too large", "at most 1 MiB");
        return { RuleSet(), this->faults };
    }
    std::string_view rest = this->text;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        ++this->line;
        this->parseLine(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    if (!this->versionSeen) {
        this->line = 1;
        this->addFault(1, "the file states no version", "a first line 'version N'");
    }
    std::stable_sort(this->faults.begin(), this->faults.end(),
        [](const TextFault& left, const TextFault& right) { return left.position < right.position; });
    return { RuleSet(this->version, this->rules, std::string(this->text)), this->faults };
}

void RulesParser::parseLine(std::string_view line)
{
    if (!isPrintable(line)) {
        this->addFault(1, "the line has control characters", "plain text");
        return;
    }
    const std::size_t hash = line.find('#');
    const bool hasComment = hash != std::string_view::npos;
    const std::string_view code = line.substr(0, hash);
    const std::string_view comment = hasComment ? line.substr(hash + 1) : std::string_view();
    const std::vector<Token> tokens = tokenize(code);
    if (tokens.empty())
        return;
    if (tokens.front().text == "version")
        this->parseVersion(tokens);
    else if (tokens.front().text == "rule")
        this->parseRule(tokens, comment, (hasComment ? hash : line.size()) + 1, hasComment);
    else
        this->addFault(tokens.front().column, "unknown word " + quoted(tokens.front().text), "'version' or 'rule'");
}

void RulesParser::parseVersion(const std::vector<Token>& tokens)
{
    if (this->versionSeen) {
        this->addFault(tokens.front().column, "the version is stated twice", "one line 'version N'");
        return;
    }
    this->versionSeen = true;
    if (!this->rules.empty())
        this->addFault(tokens.front().column, "the version comes after a rule", "'version N' before all rules");
    if (tokens.size() != 2) {
        this->addFault(tokens.front().column, "a version line has two words", "'version N'");
        return;
    }
    const std::string_view value = tokens[1].text;
    const std::from_chars_result result = std::from_chars(value.data(), value.data() + value.size(), this->version);
    if (result.ec != std::errc() || result.ptr != value.data() + value.size() || this->version == 0)
        this->addFault(tokens[1].column, "bad version " + quoted(value), "a whole number from 1");
}

void RulesParser::parseRule(const std::vector<Token>& tokens, std::string_view comment, std::size_t commentColumn, bool hasComment)
{
    Rule rule;
    this->fieldsOfLine.clear();
    if (tokens.size() < 2 || !isName(tokens[1].text))
        this->addFault(tokens.size() < 2 ? tokens[0].column : tokens[1].column, "the rule has no name", "'rule NAME', a name of a-z, 0-9 and '-'");
    else
        rule.name = tokens[1].text;
    if (!rule.name.empty() && !this->names.insert(rule.name).second)
        this->addFault(tokens[1].column, "a second rule is named " + quoted(rule.name), "a name that no other rule has");
    for (std::size_t index = 2; index < tokens.size(); ++index)
        this->parseField(rule, tokens[index]);
    this->checkRule(rule, tokens.front().column);
    this->parseComment(rule, comment, commentColumn, hasComment);
    this->rules.push_back(std::move(rule));
}

void RulesParser::parseField(Rule& rule, const Token& token)
{
    const std::size_t equals = token.text.find('=');
    if (equals == std::string_view::npos) {
        this->addFault(token.column, "the field " + quoted(token.text) + " has no value", "KEY=VALUE");
        return;
    }
    const std::string_view key = token.text.substr(0, equals);
    const std::string_view value = token.text.substr(equals + 1);
    const std::size_t column = token.column + equals + 1;
    if (!this->fieldsOfLine.insert(key).second) {
        this->addFault(token.column, "the field " + quoted(key) + " is given twice", "each field once");
        return;
    }
    if (value.empty()) {
        this->addFault(column, "the field " + quoted(key) + " is empty", "a value, or the field left out");
        return;
    }
    if (!this->parseSelectorField(rule, key, value, column) && !this->parseTreatmentField(rule, key, value, column) && !this->parseResourceField(rule, key, value, column))
        this->addFault(token.column, "unknown field " + quoted(key),
            "path, method, header, user, class, deadline, objective, reserve, retry, cores, memory, team, share or quota");
}

bool RulesParser::parseSelectorField(Rule& rule, std::string_view key, std::string_view value, std::size_t column)
{
    if (key == "path") {
        rule.selector.path = value;
        if (value.front() != '/')
            this->addFault(column, "bad path " + quoted(value), "a path that begins with '/', with '*' only at its end");
        else if (value.find('*') < value.size() - 1)
            this->addFault(column + value.find('*'), "'*' inside the path " + quoted(value), "'*' only at the end");
    } else if (key == "method") {
        rule.selector.method = value;
        if (!std::all_of(value.begin(), value.end(), [](char character) { return character >= 'A' && character <= 'Z'; }))
            this->addFault(column, "bad method " + quoted(value), "capital letters, such as GET");
    } else if (key == "user")
        rule.selector.user = value;
    else if (key == "header")
        this->parseHeader(rule, value, column);
    else
        return false;
    return true;
}

bool RulesParser::parseTreatmentField(Rule& rule, std::string_view key, std::string_view value, std::size_t column)
{
    if (key == "class")
        this->parseClass(rule, value, column);
    else if (key == "deadline")
        rule.deadline = this->parseDuration(value, column);
    else if (key == "objective")
        this->parseObjective(rule, value, column);
    else if (key == "reserve")
        rule.reserveSlots = this->parseNumber(value, column, 0, maximumReserveSlots);
    else if (key == "retry")
        rule.retries = this->parseNumber(value, column, 0, maximumRetries);
    else
        return false;
    return true;
}

bool RulesParser::parseResourceField(Rule& rule, std::string_view key, std::string_view value, std::size_t column)
{
    if (key == "cores") {
        const std::optional<std::uint32_t> cores = this->parseDecimal(value, milliPerUnit, maximumMilliCores);
        if (!cores)
            this->addFault(column, "bad number of cores " + quoted(value), "a number such as 0.5 or 2, at most three decimals");
        rule.demand.milliCores = cores.value_or(0);
    } else if (key == "memory") {
        if (!value.ends_with("MB"))
            this->addFault(column, "bad memory " + quoted(value), "whole megabytes such as 64MB");
        else
            rule.demand.memoryMb = this->parseNumber(value.substr(0, value.size() - 2), column, 0, maximumMemoryMb);
    } else if (key == "team")
        rule.team = value;
    else if (key == "share")
        rule.share = this->parseNumber(value, column, 1, maximumShare);
    else if (key == "quota")
        rule.quota = this->parseNumber(value, column, 1, maximumShare);
    else
        return false;
    return true;
}

void RulesParser::parseHeader(Rule& rule, std::string_view value, std::size_t column)
{
    const std::size_t colon = value.find(':');
    if (colon == 0 || colon == std::string_view::npos || colon + 1 == value.size()) {
        this->addFault(column, "bad header " + quoted(value), "NAME:VALUE without blanks");
        return;
    }
    rule.selector.headerName = value.substr(0, colon);
    rule.selector.headerValue = value.substr(colon + 1);
}

void RulesParser::parseClass(Rule& rule, std::string_view value, std::size_t column)
{
    for (const TrafficClass known : { TrafficClass::Quick, TrafficClass::Batch, TrafficClass::Watch, TrafficClass::Tally }) {
        if (toString(known) == value) {
            rule.trafficClass = known;
            return;
        }
    }
    this->addFault(column, "unknown class " + quoted(value), "quick, batch, watch or tally");
}

void RulesParser::parseObjective(Rule& rule, std::string_view value, std::size_t column)
{
    const std::size_t split = value.find("%<");
    const std::optional<std::uint32_t> perMillion = split == std::string_view::npos
        ? std::nullopt
        : this->parseDecimal(value.substr(0, split), perMillionOfPercent, perMillionOfWhole);
    if (!perMillion || *perMillion == 0) {
        this->addFault(column, "bad objective " + quoted(value), "PERCENT%<DURATION, such as 99.9%<200ms");
        return;
    }
    rule.objective = Objective { *perMillion, this->parseDuration(value.substr(split + 2), column + split + 2) };
}

void RulesParser::parseComment(Rule& rule, std::string_view comment, std::size_t column, bool hasComment)
{
    const std::size_t colon = comment.find(':');
    const std::string_view requester = trim(comment.substr(0, colon));
    const std::string_view reason = colon == std::string_view::npos ? std::string_view() : trim(comment.substr(colon + 1));
    if (!hasComment)
        this->addFault(column, "the rule has no comment", std::string(commentSyntax));
    else if (requester.empty() || reason.empty())
        this->addFault(column, "the comment does not name who asked and why", std::string(commentSyntax));
    rule.requester = requester;
    rule.reason = reason;
}

void RulesParser::checkRule(const Rule& rule, std::size_t column)
{
    if (!this->fieldsOfLine.contains("class"))
        this->addFault(column, "the rule has no class", "class=quick, class=batch, class=watch or class=tally");
    if (rule.quota && rule.team.empty())
        this->addFault(column, "the rule has a quota but no team", "team=NAME beside quota=N");
    if (rule.trafficClass == TrafficClass::Batch && rule.reserveSlots > 0)
        this->addFault(column, "a batch rule has a reserve", "reserve=N only on rules of other classes");
}

std::uint32_t RulesParser::parseNumber(std::string_view value, std::size_t column, std::uint32_t minimum, std::uint32_t maximum)
{
    std::uint32_t result = 0;
    const std::from_chars_result parsed = std::from_chars(value.data(), value.data() + value.size(), result);
    if (parsed.ec == std::errc() && parsed.ptr == value.data() + value.size() && result >= minimum && result <= maximum)
        return result;
    this->addFault(column, "bad number " + quoted(value), "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

Duration RulesParser::parseDuration(std::string_view value, std::size_t column)
{
    std::uint32_t count = 0;
    const std::from_chars_result parsed = std::from_chars(value.data(), value.data() + value.size(), count);
    const std::string_view suffix(parsed.ptr, static_cast<std::size_t>(value.data() + value.size() - parsed.ptr));
    for (const DurationUnit& unit : durationUnits) {
        if (parsed.ec == std::errc() && suffix == unit.suffix && count > 0 && count <= maximumRuleDuration / unit.unit)
            return count * unit.unit;
    }
    this->addFault(column, "bad duration " + quoted(value), std::string(durationSyntax));
    return std::chrono::seconds(1);
}

std::optional<std::uint32_t> RulesParser::parseDecimal(std::string_view value, std::uint32_t scale, std::uint32_t maximum) const
{
    const std::size_t point = std::min(value.find('.'), value.size());
    std::uint32_t whole = 0;
    const std::from_chars_result parsed = std::from_chars(value.data(), value.data() + point, whole);
    if (parsed.ec != std::errc() || parsed.ptr != value.data() + point || whole > maximum / scale)
        return std::nullopt;
    std::uint32_t result = whole * scale;
    std::uint32_t unit = scale;
    for (std::size_t index = point + 1; index < value.size(); ++index) {
        unit /= 10;
        if (value[index] < '0' || value[index] > '9' || unit == 0)
            return std::nullopt;
        result += static_cast<std::uint32_t>(value[index] - '0') * unit;
    }
    if (point + 1 == value.size() || result > maximum)
        return std::nullopt;
    return result;
}

void RulesParser::addFault(std::size_t column, std::string message, std::string expected)
{
    this->faults.push_back({ { this->line, column }, std::move(message), std::move(expected) });
}

}
