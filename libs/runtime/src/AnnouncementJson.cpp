#include "cowslipdoor/runtime/AnnouncementJson.h"
#include "cowslipdoor/runtime/Address.h"
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/scheduling/CheckedJson.h>
#include <nlohmann/json.hpp>

namespace cowslipdoor::runtime {

namespace {

    using Json = nlohmann::json;

    template <typename Value, typename Reader>
    std::vector<Value> readList(const CheckedJson& json, const char* field, const Reader& reader)
    {
        std::vector<Value> values;
        const std::optional<CheckedJson> list = json.find(field);
        if (!list)
            return values;
        for (const CheckedJson& item : list->items())
            values.push_back(reader(item));
        return values;
    }

    RequestId requestId(const CheckedJson& json)
    {
        return requestIdFromString(json.text());
    }

    TrafficClass trafficClass(const CheckedJson& json)
    {
        const std::string name = json.text();
        for (const TrafficClass known : { TrafficClass::Quick, TrafficClass::Batch, TrafficClass::Watch, TrafficClass::Tally }) {
            if (name == toString(known))
                return known;
        }
        json.refuse("a list of quick, batch, watch or tally");
    }

    RunningWork runningWork(const CheckedJson& json)
    {
        return {
            requestId(json.at("id")),
            {
                .slots = json.integerOr("slots", 1U),
                .connections = json.integerOr("connections", 1U),
                .milliCores = json.integerOr("milli_cores", 0U),
                .memoryMb = json.integerOr("memory_mb", 0U),
            },
        };
    }

    std::string checkedAddress(const CheckedJson& json)
    {
        std::string address = json.text();
        try {
            (void)parseAddress(address);
        } catch (const Error&) {
            json.refuse("an IP address and port such as 192.0.2.1:80");
        }
        return address;
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

Announcement parseAnnouncement(std::string_view text)
{
    const CheckedJson json = CheckedJson::parse(text);
    return {
        .instance = json.at("instance").integer<std::uint64_t>(),
        .sequence = json.at("sequence").integer<std::uint64_t>(),
        .echo = { Incarnation { json.integerOr<std::uint64_t>("echo_agent", 0) }, json.integerOr<std::uint64_t>("echo_number", 0) },
        .address = checkedAddress(json.at("address")),
        .failureDomain = json.at("failure_domain").text(),
        .capacity = {
            .slots = json.at("slots").integer<std::uint32_t>(),
            .connections = json.at("connections").integer<std::uint32_t>(),
            .milliCores = json.at("milli_cores").integer<std::uint32_t>(),
            .memoryMb = json.at("memory_mb").integer<std::uint32_t>(),
        },
        .classes = readList<TrafficClass>(json, "classes", trafficClass),
        .running = readList<RunningWork>(json, "running", runningWork),
        .remembersFinished = json.booleanOr("remembers_finished"),
        .finished = readList<RequestId>(json, "finished", requestId),
        .leaving = json.booleanOr("leaving"),
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

AnnouncementReply parseReply(std::string_view text)
{
    const CheckedJson json = CheckedJson::parse(text);
    return {
        { Incarnation { json.at("agent").integer<std::uint64_t>() }, json.at("number").integer<std::uint64_t>() },
        std::chrono::milliseconds(json.at("interval_ms").integer<std::uint32_t>()),
    };
}

}
