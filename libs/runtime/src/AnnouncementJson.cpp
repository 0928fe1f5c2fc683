#include "cowslipdoor/runtime/AnnouncementJson.h"
#include "cowslipdoor/runtime/Address.h"
#include <cowslipdoor/core/Error.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace cowslipdoor::runtime {

namespace {

    using Json = nlohmann::json;

    [[noreturn]] void refuse(const std::string& field, const std::string& accepted)
    {
        throw Error(ErrorKind::BadRequest, "field '" + field + "': accepted is " + accepted);
    }

    Json parseObject(std::string_view text)
    {
        Json json = Json::parse(text, nullptr, false);
        if (!json.is_object())
            throw Error(ErrorKind::BadRequest, "the body is not a JSON object");
        return json;
    }

    template <typename Number>
    Number number(const Json& json, const std::string& field, std::optional<Number> fallback = std::nullopt)
    {
        const Json::const_iterator it = json.find(field);
        if (it == json.end() && fallback)
            return *fallback;
        const std::uint64_t most = std::numeric_limits<Number>::max();
        if (it == json.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() > most)
            refuse(field, "a whole number from 0 to " + std::to_string(most));
        return static_cast<Number>(it->get<std::uint64_t>());
    }

    std::string text(const Json& json, const std::string& field)
    {
        const Json::const_iterator it = json.find(field);
        if (it == json.end() || !it->is_string())
            refuse(field, "a text");
        return it->get<std::string>();
    }

    bool flag(const Json& json, const std::string& field)
    {
        const Json::const_iterator it = json.find(field);
        if (it == json.end())
            return false;
        if (!it->is_boolean())
            refuse(field, "true or false");
        return it->get<bool>();
    }

    Json list(const Json& json, const std::string& field)
    {
        const Json::const_iterator it = json.find(field);
        if (it == json.end())
            return Json::array();
        if (!it->is_array())
            refuse(field, "a list");
        return *it;
    }

    RequestId requestId(const Json& json, const std::string& field)
    {
        if (!json.is_string())
            refuse(field, "request identifiers as texts");
        return requestIdFromString(json.get<std::string>());
    }

    TrafficClass trafficClass(const Json& json)
    {
        for (const TrafficClass known : { TrafficClass::Quick, TrafficClass::Batch, TrafficClass::Watch, TrafficClass::Tally }) {
            if (json.is_string() && json.get<std::string>() == toString(known))
                return known;
        }
        refuse("classes", "a list of quick, batch, watch or tally");
    }

    RunningWork runningWork(const Json& json)
    {
        if (!json.is_object())
            refuse("running", "a list of objects with an id");
        return {
            requestId(json.value("id", Json()), "running.id"),
            {
                .slots = number<std::uint32_t>(json, "slots", 1),
                .connections = number<std::uint32_t>(json, "connections", 1),
                .milliCores = number<std::uint32_t>(json, "milli_cores", 0),
                .memoryMb = number<std::uint32_t>(json, "memory_mb", 0),
            },
        };
    }

    std::string checkedAddress(const Json& json)
    {
        std::string address = text(json, "address");
        try {
            (void)parseAddress(address);
        } catch (const Error&) {
            refuse("address", "an IP number and port such as 192.0.2.1:80");
        }
        return address;
    }

    template <typename Value, typename Reader>
    std::vector<Value> readAll(const Json& json, const Reader& reader)
    {
        std::vector<Value> values;
        for (const Json& item : json)
            values.push_back(reader(item));
        return values;
    }

    Json printWork(const RunningWork& work)
    {
        return {
            { "id", toString(work.id) },
            { "slots", work.demand.slots },
            { "connections", work.demand.connections },
            { "milli_cores", work.demand.milliCores },
            { "memory_mb", work.demand.memoryMb },
        };
    }

}

Announcement parseAnnouncement(std::string_view body)
{
    const Json json = parseObject(body);
    return {
        .instance = number<std::uint64_t>(json, "instance"),
        .sequence = number<std::uint64_t>(json, "sequence"),
        .echo = { Incarnation { number<std::uint64_t>(json, "echo_agent", 0) }, number<std::uint64_t>(json, "echo_number", 0) },
        .address = checkedAddress(json),
        .failureDomain = text(json, "failure_domain"),
        .capacity = {
            .slots = number<std::uint32_t>(json, "slots"),
            .connections = number<std::uint32_t>(json, "connections"),
            .milliCores = number<std::uint32_t>(json, "milli_cores"),
            .memoryMb = number<std::uint32_t>(json, "memory_mb"),
        },
        .classes = readAll<TrafficClass>(list(json, "classes"), [](const Json& item) { return trafficClass(item); }),
        .running = readAll<RunningWork>(list(json, "running"), [](const Json& item) { return runningWork(item); }),
        .remembersFinished = flag(json, "remembers_finished"),
        .finished = readAll<RequestId>(list(json, "finished"), [](const Json& item) { return requestId(item, "finished"); }),
        .leaving = flag(json, "leaving"),
    };
}

std::string printAnnouncement(const Announcement& announcement)
{
    Json json {
        { "instance", announcement.instance },
        { "sequence", announcement.sequence },
        { "echo_agent", static_cast<std::uint64_t>(announcement.echo.agent) },
        { "echo_number", announcement.echo.number },
        { "address", announcement.address },
        { "failure_domain", announcement.failureDomain },
        { "slots", announcement.capacity.slots },
        { "connections", announcement.capacity.connections },
        { "milli_cores", announcement.capacity.milliCores },
        { "memory_mb", announcement.capacity.memoryMb },
        { "remembers_finished", announcement.remembersFinished },
        { "leaving", announcement.leaving },
    };
    json["classes"] = Json::array();
    json["running"] = Json::array();
    json["finished"] = Json::array();
    for (const TrafficClass item : announcement.classes)
        json["classes"].push_back(toString(item));
    for (const RunningWork& work : announcement.running)
        json["running"].push_back(printWork(work));
    for (const RequestId& id : announcement.finished)
        json["finished"].push_back(toString(id));
    return json.dump();
}

std::string printReply(const AnnouncementReply& reply)
{
    const Json json {
        { "agent", static_cast<std::uint64_t>(reply.token.agent) },
        { "number", reply.token.number },
        { "interval_ms", toMilliseconds(reply.interval) },
    };
    return json.dump();
}

AnnouncementReply parseReply(std::string_view body)
{
    const Json json = parseObject(body);
    return {
        { Incarnation { number<std::uint64_t>(json, "agent") }, number<std::uint64_t>(json, "number") },
        std::chrono::milliseconds(number<std::uint32_t>(json, "interval_ms")),
    };
}

}
