#include "Store.h"
#include <algorithm>
#include <chrono>

namespace review {

namespace {

    using Json = nlohmann::json;

    /// Time that a transaction takes; one over several parts takes twice as long.
    constexpr long long transactionMs = 4;

    constexpr std::size_t rowsPerPage = 500;
    constexpr std::size_t bytesPerPage = 1'000'000;
    constexpr std::size_t entriesPerTransaction = 100;
    constexpr std::size_t bytesPerTransaction = 1'000'000;
    constexpr std::size_t partsPerPage = 1000;

    /// Base64 of a row's largest value of 65,536 bytes.
    constexpr std::size_t largestEncodedValue = 87'384;

    std::string toBase64(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t index = 0; index < bytes.size(); index += 3) {
            unsigned group = 0;
            for (std::size_t part = 0; part < 3; ++part)
                group = group << 8U | (index + part < bytes.size() ? static_cast<unsigned char>(bytes[index + part]) : 0U);
            for (std::size_t part = 0; part < 4; ++part)
                text += index + part > bytes.size() ? '=' : digits[group >> (18U - 6U * part) & 63U];
        }
        return text;
    }

    std::string valueOf(const HttpCall& call, const std::string& field)
    {
        const std::map<std::string, std::string>::const_iterator it = call.query.find(field);
        return it == call.query.end() ? std::string() : it->second;
    }

}

Store::Store(int port)
    : server(port, [this](const HttpCall& call) { return this->respond(call); })
{
}

Store::~Store()
{
    const std::scoped_lock lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::scoped_lock lock(this->mutex);
    ++this->version;
    this->rows[{ table, "", key }] = { toBase64(value), this->version };
    this->note({ table, "", key });
    this->changed.notify_all();
}

std::optional<HttpAnswer> Store::respond(const HttpCall& call)
{
    if (call.path == "/v1/rows-tx")
        return this->transact(call.body);
    if (call.path == "/v1/rows-get")
        return this->read(call);
    if (call.path == "/v1/rows-parts")
        return this->listParts(call);
    if (call.path == "/v1/rows-feed")
        return this->follow(call);
    return HttpAnswer { 404, "{}" };
}

HttpAnswer Store::transact(const std::string& body)
{
    const Json json = Json::parse(body);
    sleepMs(json.value("cross-shard", false) ? 2 * transactionMs : transactionMs);
    const std::scoped_lock lock(this->mutex);
    const auto keyOf = [](const Json& row) { return Key { row.at("table"), row.at("part"), row.at("key") }; };
    if (body.size() > bytesPerTransaction || json.at("precondition").size() + json.at("writes").size() + json.at("remove").size() > entriesPerTransaction)
        return this->answer(400, Json::object());
    bool holds = true;
    Json present = Json::array();
    for (const Json& condition : json.at("precondition")) {
        const Key key = keyOf(condition);
        const std::map<Key, StoredRow>::const_iterator it = this->rows.find(key);
        holds = holds && (it == this->rows.end() ? 0 : it->second.version) == condition.at("schema-version").get<unsigned long long>();
        if (it != this->rows.end())
            present.push_back(this->describe(key, it->second.version));
    }
    if (!holds)
        return this->answer(412, { { "rows", present } });
    for (const Json& write : json.at("writes")) {
        if (write.at("table") == "op" || write.at("table") == "servers")
            return this->answer(403, Json::object());
        if (write.at("value").get_ref<const std::string&>().size() > largestEncodedValue)
            return this->answer(400, Json::object());
    }
    ++this->version;
    for (const Json& write : json.at("writes")) {
        this->rows[keyOf(write)] = { write.at("value"), this->version };
        this->note(keyOf(write));
    }
    for (const Json& removal : json.at("remove")) {
        if (this->rows.erase(keyOf(removal)) > 0)
            this->note(keyOf(removal));
    }
    this->changed.notify_all();
    return this->answer(200, Json::object());
}

HttpAnswer Store::read(const HttpCall& call)
{
    const std::scoped_lock lock(this->mutex);
    const std::string table = valueOf(call, "table");
    const std::string part = valueOf(call, "part");
    const std::string end = valueOf(call, "target");
    const std::string limit = valueOf(call, "limit");
    const std::size_t most = limit.empty() ? rowsPerPage : std::min(rowsPerPage, static_cast<std::size_t>(std::stoul(limit)));
    Json found = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (std::map<Key, StoredRow>::const_iterator it = this->rows.lower_bound({ table, part, valueOf(call, "start-key") }); it != this->rows.end() && !more; ++it) {
        const bool inRange = std::get<0>(it->first) == table && std::get<1>(it->first) == part && (end.empty() || std::get<2>(it->first) < end);
        if (!inRange)
            break;
        more = found.size() >= most || bytes > bytesPerPage;
        if (!more)
            found.push_back(this->describe(it->first, it->second.version));
        bytes += it->second.value.size();
    }
    return this->answer(200, { { "rows", found }, { "has-more", more } });
}

HttpAnswer Store::listParts(const HttpCall& call)
{
    const std::scoped_lock lock(this->mutex);
    const std::string after = valueOf(call, "after");
    Json parts = Json::array();
    bool more = false;
    for (const std::map<Key, StoredRow>::value_type& item : this->rows) {
        const std::string& part = std::get<1>(item.first);
        if (std::get<0>(item.first) != valueOf(call, "table") || (!after.empty() && part <= after) || (!parts.empty() && parts.back() == part))
            continue;
        more = parts.size() >= partsPerPage;
        if (more)
            break;
        parts.push_back(part);
    }
    return this->answer(200, { { "parts", parts }, { "has-more", more } });
}

HttpAnswer Store::follow(const HttpCall& call)
{
    std::unique_lock lock(this->mutex);
    const std::string table = valueOf(call, "table");
    const unsigned long long after = std::stoull(valueOf(call, "after"));
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(valueOf(call, "wait-ms")));
    while (true) {
        Json found = Json::array();
        for (std::map<unsigned long long, std::vector<Key>>::const_iterator it = this->changes.upper_bound(after); it != this->changes.end(); ++it) {
            for (const Key& key : it->second) {
                if (std::get<0>(key) == table)
                    found.push_back(this->describe(key, it->first));
            }
        }
        if (!found.empty() || this->stopping || std::chrono::steady_clock::now() >= end)
            return this->answer(200, { { "rows", found } });
        this->changed.wait_until(lock, end);
    }
}

void Store::note(const Key& key)
{
    this->changes[this->version].push_back(key);
}

nlohmann::json Store::describe(const Key& key, unsigned long long changedAt) const
{
    Json row { { "table", std::get<0>(key) }, { "part", std::get<1>(key) }, { "key", std::get<2>(key) }, { "schema-version", changedAt } };
    const std::map<Key, StoredRow>::const_iterator it = this->rows.find(key);
    if (it == this->rows.end()) {
        row["deleted"] = true;
        return row;
    }
    row["value"] = it->second.value;
    row["schema-version"] = it->second.version;
    return row;
}

HttpAnswer Store::answer(int status, nlohmann::json body) const
{
    body["schema-version"] = this->version;
    body["now-ms"] = nowMs();
    return { status, body.dump() };
}

}
