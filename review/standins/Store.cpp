#include "Store.h"
#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t rowBytes = 65536;
    constexpr std::size_t transactionEntries = 100;
    constexpr std::size_t transactionBytes = 1'000'000;
    constexpr std::size_t pageRows = 500;
    constexpr std::size_t pageBytes = 1'000'000;

    std::string encode(const std::string& bytes)
    {
        constexpr const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t index = 0; index < bytes.size(); index += 3) {
            unsigned block = 0;
            for (std::size_t offset = 0; offset < 3; ++offset)
                block = block << 8U | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
            for (unsigned part = 0; part < 4; ++part)
                text += index + part > bytes.size() ? '=' : letters[block >> (18U - 6U * part) & 63U];
        }
        return text;
    }

    std::size_t decodedSize(const std::string& text)
    {
        const std::size_t padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
        return text.size() / 4 * 3 - padding;
    }

    HttpReply answer(int status, const Json& body)
    {
        return { status, body.dump() };
    }

}

Store::Store()
    : server([this](const HttpRequest& request) { return this->respond(request); })
{
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Key name { table, "", key };
    this->rows[name] = { encode(value), ++this->version };
    this->changes.push_back({ this->version, name, this->rows[name].value, false });
    this->changed.notify_all();
}

HttpReply Store::respond(const HttpRequest& request)
{
    sleepMs(this->answerMs);
    if (request.path == "/v1/rows-tx")
        return this->transact(request.body);
    if (request.path == "/v1/rows-get")
        return this->read(request);
    if (request.path == "/v1/rows-parts")
        return this->parts(request);
    if (request.path == "/v1/rows-feed")
        return this->follow(request);
    return answer(404, Json::object());
}

HttpReply Store::transact(const std::string& body)
{
    const Json call = Json::parse(body);
    const Json none = Json::array();
    const Json& conditions = call.contains("precondition") ? call.at("precondition") : none;
    const Json& writes = call.contains("writes") ? call.at("writes") : none;
    const Json& removals = call.contains("remove") ? call.at("remove") : none;
    const auto keyOf = [](const Json& row) { return Key { row.at("table"), row.at("part"), row.at("key") }; };
    std::set<std::string> usedParts;
    std::size_t largest = 0;
    for (const Json* const list : { &conditions, &writes, &removals }) {
        for (const Json& row : *list)
            usedParts.insert(row.at("part"));
    }
    for (const Json& row : writes)
        largest = std::max(largest, decodedSize(row.at("value")));
    const bool entriesFit = conditions.size() + writes.size() + removals.size() <= transactionEntries && body.size() <= transactionBytes;
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!entriesFit || largest > rowBytes || (usedParts.size() > 1 && !call.value("cross-shard", false))) {
        ++this->tooLarge;
        this->largestValue = std::max<std::size_t>(this->largestValue, largest);
        return answer(400, { { "schema-version", this->version } });
    }
    bool holds = true;
    Json present = Json::array();
    for (const Json& condition : conditions) {
        const std::map<Key, StoredRow>::const_iterator it = this->rows.find(keyOf(condition));
        const std::uint64_t found = it == this->rows.end() ? 0 : it->second.version;
        holds = holds && found == condition.at("schema-version").get<std::uint64_t>();
        if (it != this->rows.end())
            present.push_back({ { "table", condition.at("table") }, { "part", condition.at("part") }, { "key", condition.at("key") }, { "value", it->second.value }, { "schema-version", found } });
    }
    if (!holds)
        return answer(412, { { "rows", present }, { "schema-version", this->version }, { "now-ms", steadyMs() } });
    ++this->version;
    for (const Json& write : writes) {
        this->rows[keyOf(write)] = { write.at("value"), this->version };
        this->changes.push_back({ this->version, keyOf(write), write.at("value"), false });
    }
    for (const Json& removal : removals) {
        this->rows.erase(keyOf(removal));
        this->changes.push_back({ this->version, keyOf(removal), "", true });
    }
    this->changed.notify_all();
    return answer(200, { { "schema-version", this->version }, { "now-ms", steadyMs() } });
}

HttpReply Store::read(const HttpRequest& request)
{
    const auto valueOf = [&request](const char* name) { return request.query.contains(name) ? request.query.at(name) : std::string(); };
    const std::string last = valueOf("target");
    const std::size_t limit = valueOf("limit").empty() ? pageRows : std::min<std::size_t>(pageRows, std::stoul(valueOf("limit")));
    const std::lock_guard<std::mutex> lock(this->mutex);
    Json found = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (std::map<Key, StoredRow>::const_iterator it = this->rows.lower_bound({ valueOf("table"), valueOf("part"), valueOf("start-key") }); it != this->rows.end(); ++it) {
        if (std::get<0>(it->first) != valueOf("table") || std::get<1>(it->first) != valueOf("part") || (!last.empty() && std::get<2>(it->first) >= last))
            break;
        more = found.size() >= limit || bytes > pageBytes;
        if (more)
            break;
        bytes += it->second.value.size();
        found.push_back({ { "table", std::get<0>(it->first) }, { "part", std::get<1>(it->first) }, { "key", std::get<2>(it->first) }, { "value", it->second.value }, { "schema-version", it->second.version } });
    }
    return answer(200, { { "rows", found }, { "has-more", more }, { "schema-version", this->version }, { "now-ms", steadyMs() } });
}

HttpReply Store::parts(const HttpRequest& request)
{
    const std::string table = request.query.at("table");
    const std::string after = request.query.contains("after") ? request.query.at("after") : "";
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::set<std::string> names;
    for (const std::map<Key, StoredRow>::value_type& item : this->rows) {
        if (std::get<0>(item.first) == table && (after.empty() || std::get<1>(item.first) > after))
            names.insert(std::get<1>(item.first));
    }
    return answer(200, { { "parts", names }, { "has-more", false }, { "schema-version", this->version }, { "now-ms", steadyMs() } });
}

HttpReply Store::follow(const HttpRequest& request)
{
    const std::string table = request.query.at("table");
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(request.query.at("wait-ms")));
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        Json found = Json::array();
        const auto isNewer = [](std::uint64_t known, const Change& change) { return known < change.version; };
        for (std::vector<Change>::const_iterator it = std::upper_bound(this->changes.begin(), this->changes.end(), after, isNewer); it != this->changes.end(); ++it) {
            if (std::get<0>(it->key) != table)
                continue;
            Json row { { "table", table }, { "part", std::get<1>(it->key) }, { "key", std::get<2>(it->key) }, { "schema-version", it->version } };
            if (it->deleted)
                row["deleted"] = true;
            else
                row["value"] = it->value;
            found.push_back(std::move(row));
        }
        if (!found.empty() || std::chrono::steady_clock::now() >= end)
            return answer(200, { { "rows", found }, { "schema-version", this->version }, { "now-ms", steadyMs() } });
        this->changed.wait_until(lock, end);
    }
}

}
