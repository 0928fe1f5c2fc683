#include "cowslipdoor/runtime/LogLine.h"
#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace cowslipdoor::runtime {

namespace {

    bool isKnown(unsigned number)
    {
        const std::span<const EventDescription> catalogue = eventCatalogue();
        return std::any_of(catalogue.begin(), catalogue.end(), [number](const EventDescription& row) { return static_cast<unsigned>(row.id) == number; });
    }

    /// Removes the text up to and including a mark, and returns what was before the mark.
    std::string_view takeUntil(std::string_view& rest, std::string_view mark)
    {
        const std::size_t at = rest.find(mark);
        const std::string_view taken = rest.substr(0, at);
        rest.remove_prefix(at == std::string_view::npos ? rest.size() : at + mark.size());
        return taken;
    }

    std::optional<LogLine> parseTextLine(std::string_view text)
    {
        std::string_view rest = text;
        const std::string_view time = takeUntil(rest, " ");
        takeUntil(rest, " E");
        const std::string_view number = takeUntil(rest, " ");
        takeUntil(rest, "[");
        const std::string_view process = takeUntil(rest, "] ");
        unsigned event = 0;
        const std::from_chars_result parsed = std::from_chars(number.data(), number.data() + number.size(), event);
        if (number.empty() || parsed.ec != std::errc() || parsed.ptr != number.data() + number.size() || !isKnown(event))
            return std::nullopt;
        return LogLine { std::string(time), std::string(process), static_cast<EventId>(event), std::string(rest) };
    }

    std::optional<LogLine> parseJsonLine(std::string_view text)
    {
        const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object() || !json.value("event", nlohmann::json()).is_number_unsigned() || !isKnown(json.at("event").get<unsigned>()))
            return std::nullopt;
        return LogLine { json.value("time", ""), json.value("process", ""), static_cast<EventId>(json.at("event").get<unsigned>()), json.value("detail", "") };
    }

    bool isIdentifierCharacter(char letter)
    {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_';
    }

}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    return text.starts_with('{') ? parseJsonLine(text) : parseTextLine(text);
}

bool isAbout(const LogLine& line, std::string_view id)
{
    const std::string_view detail = line.detail;
    for (std::size_t at = detail.find(id); at != std::string_view::npos; at = detail.find(id, at + 1)) {
        const bool begins = at == 0 || !isIdentifierCharacter(detail[at - 1]);
        const bool ends = at + id.size() == detail.size() || !isIdentifierCharacter(detail[at + id.size()]);
        if (begins && ends)
            return true;
    }
    return false;
}

}
