#include "BurnJson.h"
#include <cowslipdoor/core/Error.h>
#include <nlohmann/json.hpp>

namespace cowslipdoor::entry {

namespace {

    using Json = nlohmann::ordered_json;

    Json printObjective(const std::optional<Objective>& objective)
    {
        if (!objective)
            return nullptr;
        return { { "per_million", objective->perMillion }, { "latency_ms", toMilliseconds(objective->latency) } };
    }

    std::optional<Objective> parseObjective(const Json& json)
    {
        if (json.is_null())
            return std::nullopt;
        return Objective { json.at("per_million").get<std::uint32_t>(), std::chrono::milliseconds(json.at("latency_ms").get<std::int64_t>()) };
    }

    Json printLine(const BurnSeries& line)
    {
        Json ended = Json::array();
        Json missed = Json::array();
        for (const BurnCounts& counts : line.minutes) {
            ended.push_back(counts.ended);
            missed.push_back(counts.missed);
        }
        return { { "name", line.subject.name }, { "requested_by", line.subject.requester }, { "reason", line.subject.reason }, { "objective", printObjective(line.subject.objective) },
            { "ended_by_minute", ended }, { "missed_by_minute", missed } };
    }

    BurnSeries parseLine(const Json& json)
    {
        BurnSeries line { { json.at("name"), json.at("requested_by"), json.at("reason"), parseObjective(json.at("objective")) }, {} };
        const Json& ended = json.at("ended_by_minute");
        const Json& missed = json.at("missed_by_minute");
        for (std::size_t minute = 0; minute < ended.size(); ++minute)
            line.minutes.push_back({ ended.at(minute).get<std::uint64_t>(), missed.at(minute).get<std::uint64_t>() });
        return line;
    }

}

std::string printBurn(const std::vector<BurnSeries>& lines)
{
    Json list = Json::array();
    for (const BurnSeries& line : lines)
        list.push_back(printLine(line));
    return Json { { "lines", list } }.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::vector<BurnSeries> parseBurn(std::string_view text)
{
    try {
        const Json page = Json::parse(text);
        std::vector<BurnSeries> lines;
        for (const Json& json : page.at("lines"))
            lines.push_back(parseLine(json));
        return lines;
    } catch (const Json::exception& error) {
        throw Error(ErrorKind::BadRequest, std::string("malformed /burn page: ") + error.what());
    }
}

}
