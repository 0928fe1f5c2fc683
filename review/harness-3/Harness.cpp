#include "Harness.h"
#include <algorithm>
#include <array>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <cowslipdoor/runtime/Clock.h>
#include <cowslipdoor/runtime/HttpClient.h>
#include <cowslipdoor/runtime/Process.h>
#include <cowslipdoor/scheduling/Rows.h>
#include <csignal>
#include <filesystem>
#include <sstream>

namespace review {

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using platform::StandinCall;
using standins::ChildProcess;
using standins::freeAddress;

namespace {

    constexpr const char* host = "jobs.example";
    /// One queue for each priority from zero on.
    constexpr std::array<const char*, 3> queuePrefixes { "/jobs/", "/later/", "/last/" };
    constexpr std::size_t rowsPerAnswer = 500;
    constexpr std::size_t bytesPerAnswer = 1'000'000;
    constexpr std::size_t rowBytes = 65'536;
    constexpr std::size_t entriesPerTransaction = 100;
    constexpr std::size_t endsPerAnswer = 500;
    /// max-hold-ms and heartbeat-ms of the small sites.
    constexpr std::int64_t longestLeaseMs = 6000;
    constexpr Duration checkInterval = std::chrono::milliseconds(3);
    /// Delay after which the platform starts an ended process again.
    constexpr std::int64_t restartDelayMs = 500;

    /// Processes that were started and are not known to have ended, by number of the start.
    std::array<std::atomic<int>, 512> children {};
    std::atomic<std::size_t> childCount = 0;

    void remember(const ChildProcess& child)
    {
        const std::size_t index = childCount++;
        if (index < children.size())
            children[index] = child.pid();
    }

    void forget(const ChildProcess& child)
    {
        for (std::atomic<int>& known : children) {
            if (known == child.pid())
                known = 0;
        }
    }

    std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    Response jsonResponse(std::uint16_t status, const Json& body)
    {
        return plainResponse(status, "application/json", body.dump());
    }

    std::string toBase64(const std::string& bytes)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string text(base64::encoded_size(bytes.size()), '\0');
        text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
        return text;
    }

    /// Percent of its work that a task has done.
    std::int64_t progressOf(std::int64_t leftMs, std::int64_t takesMs)
    {
        return std::clamp<std::int64_t>(100 - leftMs * 100 / std::max<std::int64_t>(takesMs, 1), 0, 99);
    }

    std::string fromBase64(const std::string& text)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string bytes(base64::decoded_size(text.size()), '\0');
        bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
        return bytes;
    }

    std::string configuration()
    {
        Json queues = Json::array();
        for (std::size_t priority = 0; priority < queuePrefixes.size(); ++priority) {
            queues.push_back({ { "name", "queue-" + std::to_string(priority) }, { "host", host }, { "prefix", queuePrefixes[priority] }, { "route-type", "unsafe" }, { "timeout-ms", 3000 },
                { "slo-ms", 250 }, { "priority", priority }, { "service", "service" }, { "attempts", 2 }, { "stretch", 1.5 } });
        }
        return Json { { "version", 7 }, { "routes", queues }, { "services", { { { "name", "service" }, { "enforces-capacity", false }, { "standby", false } } } },
            { "limits", { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } } } }
            .dump();
    }

    std::vector<std::string> freeAddresses(std::size_t count)
    {
        std::vector<std::string> addresses;
        for (std::size_t index = 0; index < count; ++index)
            addresses.push_back(freeAddress());
        return addresses;
    }

}

std::int64_t nowMs()
{
    static const TimePoint begin = monotonicNow();
    return toMilliseconds(monotonicNow() - begin);
}

std::string jobId(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex;
    text.width(16);
    text.fill('0');
    text << number;
    return text.str();
}

Record::Record(const std::string& path)
    : file(path)
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->file << nowMs() << " ms " << text << std::endl;
}

Store::Store(const std::string& address)
    : server(address, [this](StandinCall call) { return this->respond(std::move(call)); })
{
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    this->server.call([this, &table, &key, &value]() {
        const Key rowKey { table, "", key };
        this->rows[rowKey] = { toBase64(value), ++this->version };
        this->changes[this->version] = { rowKey };
        return true;
    });
}

std::size_t Store::calls()
{
    return this->server.call([this]() { return this->callCount; });
}

void Store::repeatJob(const std::string& job, std::uint64_t first, std::size_t count)
{
    this->server.call([this, &job, first, count]() {
        const RowKey jobKey = jobRowKey({ job });
        const RowKey progressKey = progressRowKey({ job });
        const std::string jobText = fromBase64(this->rows.at({ jobKey.table, jobKey.part, jobKey.key }).value);
        const std::string progress = this->rows.at({ progressKey.table, progressKey.part, progressKey.key }).value;
        const std::size_t place = jobText.find(job);
        for (std::size_t index = 0; index < count; ++index) {
            const std::string id = jobId(first + index);
            const RowKey key = jobRowKey({ id });
            const RowKey progressOf = progressRowKey({ id });
            std::string text = jobText;
            text.replace(place, job.size(), id);
            ++this->version;
            this->rows[{ key.table, key.part, key.key }] = { toBase64(text), this->version };
            this->rows[{ progressOf.table, progressOf.part, progressOf.key }] = { progress, this->version };
        }
        return true;
    });
}

std::size_t Store::jobRows()
{
    return this->server.call([this]() {
        return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), [](const std::map<Key, StoredRow>::value_type& item) { return std::get<0>(item.first) == jobTable || std::get<0>(item.first) == progressTable; }));
    });
}

asio::awaitable<Response> Store::respond(StandinCall call)
{
    ++this->callCount;
    if (call.path == "/v1/rows-tx") {
        // A transaction takes txn-ms.
        co_await pauseFor(std::chrono::milliseconds(4));
        co_return this->transact(call.body);
    }
    if (call.path == "/v1/rows-get")
        co_return this->read(call.query);
    if (call.path == "/v1/rows-parts")
        co_return this->parts(call.query);
    if (call.path == "/v1/rows-feed")
        co_return co_await this->follow(call.query);
    co_return jsonResponse(404, Json::object());
}

Response Store::transact(const std::string& body)
{
    const Json json = Json::parse(body);
    if (body.size() > bytesPerAnswer || json.at("precondition").size() + json.at("writes").size() + json.at("remove").size() > entriesPerTransaction)
        return jsonResponse(400, { { "schema-version", this->version } });
    for (const Json& write : json.at("writes")) {
        if (write.at("value").get_ref<const std::string&>().size() / 4 * 3 > rowBytes + 3)
            return jsonResponse(400, { { "schema-version", this->version } });
    }
    const auto keyOf = [](const Json& row) { return Key { row.at("table"), row.at("part"), row.at("key") }; };
    bool holds = true;
    Json present = Json::array();
    for (const Json& condition : json.at("precondition")) {
        const std::map<Key, StoredRow>::const_iterator it = this->rows.find(keyOf(condition));
        const std::uint64_t found = it == this->rows.end() ? 0 : it->second.version;
        holds = holds && found == condition.at("schema-version");
        if (found != 0)
            present.push_back({ { "table", condition.at("table") }, { "part", condition.at("part") }, { "key", condition.at("key") }, { "value", it->second.value }, { "schema-version", found } });
    }
    if (!holds)
        return jsonResponse(412, { { "rows", present }, { "schema-version", this->version }, { "now-ms", nowMs() } });
    ++this->version;
    for (const Json& write : json.at("writes")) {
        this->rows[keyOf(write)] = { write.at("value"), this->version };
        this->changes[this->version].push_back(keyOf(write));
    }
    for (const Json& removal : json.at("remove")) {
        if (this->rows.erase(keyOf(removal)) > 0)
            this->changes[this->version].push_back(keyOf(removal));
    }
    return jsonResponse(200, { { "schema-version", this->version }, { "now-ms", nowMs() } });
}

Response Store::read(std::map<std::string, std::string> query) const
{
    Json found = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    const std::size_t limit = query.contains("limit") ? std::stoull(query["limit"]) : rowsPerAnswer;
    for (std::map<Key, StoredRow>::const_iterator it = this->rows.lower_bound({ query["table"], query["part"], query["start-key"] }); it != this->rows.end(); ++it) {
        const std::string& table = std::get<0>(it->first);
        const std::string& part = std::get<1>(it->first);
        const std::string& key = std::get<2>(it->first);
        if (table != query["table"] || part != query["part"] || (query.contains("target") && key >= query["target"]))
            break;
        bytes += it->second.value.size() + 200;
        more = found.size() >= std::min(limit, rowsPerAnswer) || (bytes > bytesPerAnswer && !found.empty());
        if (more)
            break;
        found.push_back({ { "table", table }, { "part", part }, { "key", key }, { "value", it->second.value }, { "schema-version", it->second.version } });
    }
    return jsonResponse(200, { { "rows", std::move(found) }, { "has-more", more }, { "schema-version", this->version }, { "now-ms", nowMs() } });
}

asio::awaitable<Response> Store::follow(std::map<std::string, std::string> query)
{
    const std::uint64_t after = std::stoull(query["after"]);
    const std::string table = query["table"];
    const TimePoint end = monotonicNow() + std::chrono::milliseconds(std::stoll(query["wait-ms"]));
    std::uint64_t checked = after;
    while (true) {
        Json found = Json::array();
        std::size_t bytes = 0;
        std::uint64_t upTo = this->version;
        for (std::map<std::uint64_t, std::vector<Key>>::const_iterator it = this->changes.upper_bound(checked); it != this->changes.end() && bytes < bytesPerAnswer; ++it) {
            upTo = it->first;
            for (const Key& key : it->second) {
                if (std::get<0>(key) != table)
                    continue;
                Json row { { "table", table }, { "part", std::get<1>(key) }, { "key", std::get<2>(key) }, { "schema-version", it->first } };
                const std::map<Key, StoredRow>::const_iterator stored = this->rows.find(key);
                if (stored == this->rows.end()) {
                    row["deleted"] = true;
                } else {
                    row["value"] = stored->second.value;
                    row["schema-version"] = stored->second.version;
                    bytes += stored->second.value.size();
                }
                found.push_back(std::move(row));
            }
        }
        const bool whole = upTo >= this->version;
        if (!found.empty() || monotonicNow() >= end)
            co_return jsonResponse(200, { { "rows", std::move(found) }, { "schema-version", whole ? this->version : upTo }, { "has-more", !whole }, { "now-ms", nowMs() } });
        checked = upTo;
        co_await pauseFor(checkInterval);
    }
}

Response Store::parts(std::map<std::string, std::string> query) const
{
    const bool continued = query.contains("after");
    std::set<std::string> names;
    for (std::map<Key, StoredRow>::const_iterator it = this->rows.lower_bound({ query["table"], query["after"], "" }); it != this->rows.end() && std::get<0>(it->first) == query["table"]; ++it) {
        if (!continued || std::get<1>(it->first) > query["after"])
            names.insert(std::get<1>(it->first));
    }
    return jsonResponse(200, { { "parts", names }, { "has-more", false }, { "schema-version", this->version }, { "now-ms", nowMs() } });
}

Worker::Worker(WorkerConfig config)
    : config(std::move(config))
    , bornMs(unixMs())
    , bornAt(monotonicNow())
    , server(this->config.address, [this](StandinCall call) { return this->respond(std::move(call)); })
{
    asio::co_spawn(
        this->server.executor(), [this]() { return this->sendHeartbeats(); }, asio::detached);
}

std::vector<SeenRun> Worker::seen()
{
    return this->server.call([this]() {
        this->advance();
        return this->history;
    });
}

std::size_t Worker::running()
{
    return this->server.call([this]() {
        this->advance();
        return this->runs.size();
    });
}

std::vector<Overfill> Worker::overfills()
{
    return this->server.call([this]() { return this->overfilled; });
}

asio::awaitable<Response> Worker::respond(StandinCall call)
{
    if (!call.targetInstance.empty() && call.targetInstance != this->config.id)
        co_return this->answer(421, Json::object());
    const Json body = Json::parse(call.body, nullptr, false);
    if (!body.is_object())
        co_return this->answer(400, Json::object());
    this->advance();
    const std::uint64_t given = body.value("fencing-token", std::uint64_t { 0 });
    if (given < this->token)
        co_return this->answer(409, { { "reason", "fence" } });
    this->token = given;
    if (call.path == "/v1/hold")
        co_return co_await this->hold(body);
    if (call.path == "/v1/run-start")
        co_return this->start(body);
    if (call.path == "/v1/run-stop")
        co_return this->stop(body);
    co_return this->answer(200, Json::object());
}

Response Worker::start(const Json& body)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run-id");
    const std::map<std::string, Run>::const_iterator present = this->runs.find(task);
    if (present != this->runs.end() && present->second.number == number)
        return this->answer(200, Json::object());
    const std::int64_t deadline = std::min<std::int64_t>(body.at("deadline-ms").get<std::int64_t>(), this->clockMs() + longestLeaseMs);
    if (body.at("deadline-ms").get<std::int64_t>() <= this->clockMs())
        return this->answer(409, { { "reason", "late" } });
    this->leaseUntilMs = std::max(this->leaseUntilMs, deadline);
    const std::map<std::string, std::uint64_t>::const_iterator ended = this->highestEnded.find(task);
    if (present != this->runs.end() || (ended != this->highestEnded.end() && ended->second >= number))
        return this->answer(409, { { "reason", "old" } });
    const Json spec = Json::parse(body.at("spec").get<std::string>(), nullptr, false);
    const std::int64_t takes = spec.is_object() ? spec.value("ms", std::int64_t { 500 }) : 500;
    const std::uint64_t milliCores = spec.is_object() ? spec.value("cpu", std::uint64_t { 0 }) : 0;
    std::uint64_t used = milliCores;
    for (const std::map<std::string, Run>::value_type& item : this->runs)
        used += item.second.milliCores;
    if (used > this->config.milliCores)
        this->overfilled.push_back({ this->config.id, task, nowMs(), used, this->config.milliCores });
    this->history.push_back({ task, number, this->config.id, nowMs(), -1, "" });
    this->runs[task] = { number, this->history.size() - 1, this->clockMs() + takes, milliCores, takes };
    this->ends.emplace(this->clockMs() + takes, task);
    return this->answer(200, Json::object());
}

Response Worker::stop(const Json& body)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run-id");
    std::uint64_t& highest = this->highestEnded[task];
    highest = std::max(highest, number);
    const std::map<std::string, Run>::const_iterator present = this->runs.find(task);
    if (present != this->runs.end() && present->second.number <= number)
        this->end(task, "stopped");
    return this->answer(200, Json::object());
}

asio::awaitable<Response> Worker::hold(Json body)
{
    const std::uint64_t acknowledged = body.value("ack-seq", std::uint64_t { 0 });
    while (!this->finished.empty() && this->finished.front().at(0).get<std::uint64_t>() <= acknowledged)
        this->finished.pop_front();
    if (body.contains("deadline-ms"))
        this->leaseUntilMs = std::max(this->leaseUntilMs, std::min<std::int64_t>(body.at("deadline-ms").get<std::int64_t>(), this->clockMs() + longestLeaseMs));
    const TimePoint end = monotonicNow() + std::chrono::milliseconds(body.value("wait-ms", 0));
    while (this->finished.empty() && monotonicNow() < end) {
        co_await pauseFor(checkInterval);
        this->advance();
    }
    Json running = Json::array();
    for (const std::map<std::string, Run>::value_type& item : this->runs)
        running.push_back({ item.first, item.second.number, "", progressOf(item.second.endsAtMs - this->clockMs(), item.second.takesMs), 0 });
    Json listed = Json::array();
    for (std::size_t index = 0; index < std::min(endsPerAnswer, this->finished.size()); ++index)
        listed.push_back(this->finished[index]);
    co_return this->answer(200, { { "running", std::move(running) }, { "finished", std::move(listed) }, { "born", this->bornMs } });
}

asio::awaitable<void> Worker::sendHeartbeats()
{
    while (true) {
        const Json body { { "service", this->config.service }, { "address", this->config.address }, { "zone", "zone" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "cold-remaining-ms", 0 }, { "capacity", { { "cpu", this->config.milliCores }, { "mem-mb", this->config.memoryMb }, { "gpus", 0 } } }, { "labels", this->config.labels },
            { "clock-ms", this->clockMs() }, { "seq", ++this->beats }, { "born", this->bornMs } };
        HttpCall call { .address = this->config.registry, .method = "PUT", .target = "/v1/instances/" + this->config.id, .timeout = std::chrono::seconds(1) };
        call.headers = { { "Content-Type", "application/json" } };
        call.body = body.dump();
        try {
            const Response response = co_await asyncFetch(call);
            static_cast<void>(response);
        } catch (const Error&) {
            // The agent doesn't answer; the next heartbeat follows.
        }
        co_await pauseFor(this->config.heartbeatInterval);
    }
}

void Worker::advance()
{
    const std::int64_t now = this->clockMs();
    while (!this->ends.empty() && this->ends.begin()->first <= std::min(now, this->leaseUntilMs)) {
        const std::pair<std::int64_t, std::string> due = *this->ends.begin();
        this->ends.erase(this->ends.begin());
        const std::map<std::string, Run>::const_iterator run = this->runs.find(due.second);
        if (run != this->runs.end() && run->second.endsAtMs == due.first)
            this->end(due.second, "done");
    }
    if (now <= this->leaseUntilMs)
        return;
    while (!this->runs.empty())
        this->end(this->runs.begin()->first, "lapsed");
}

void Worker::end(const std::string& name, const std::string& how)
{
    const std::string task = name;
    const Run run = this->runs.at(task);
    this->runs.erase(task);
    std::uint64_t& highest = this->highestEnded[task];
    highest = std::max(highest, run.number);
    this->history[run.index].endedAtMs = nowMs();
    this->history[run.index].how = how;
    this->finished.push_back({ ++this->lastEnd, task, run.number, how, "" });
}

std::int64_t Worker::clockMs() const
{
    return 1000 + toMilliseconds(monotonicNow() - this->bornAt);
}

Response Worker::answer(std::uint16_t status, Json body) const
{
    body["clock-ms"] = this->clockMs();
    return jsonResponse(status, body);
}

Deployment::Deployment(DeploymentConfig config)
    : config(std::move(config))
    , storeAddress(freeAddress())
    , callerAddresses(freeAddresses(this->config.entries))
    , readyAddresses(freeAddresses(this->config.entries))
    , entryAdmins(freeAddresses(this->config.entries))
    , agentAdmins(freeAddresses(this->config.agents))
    , workerAddresses(freeAddresses(this->config.agents))
    , registryAddresses(freeAddresses(this->config.agents))
    , linkAddresses(freeAddresses(this->config.agents))
    , storeStandin(std::make_unique<Store>(this->storeAddress))
    , entries(this->config.entries)
    , agents(this->config.agents)
    , restartAtMs(this->config.entries, -1)
{
    this->storeStandin->put("op", "config", configuration());
    for (std::size_t index = 0; index < this->config.agents; ++index) {
        this->startAgent(index);
        this->workers.push_back(std::make_unique<Worker>(WorkerConfig { .id = "i-" + std::to_string(index), .address = this->workerAddresses[index], .registry = this->registryAddresses[index], .labels = { "a", "r1-" + std::to_string(index / this->config.workersPerRack), "only-" + std::to_string(index) } }));
    }
    for (std::size_t index = 0; index < this->config.entries; ++index)
        this->startEntry(index);
}

Deployment::~Deployment()
{
    this->entries.clear();
    this->agents.clear();
}

void Deployment::startEntry(std::size_t index)
{
    const std::string name = "front-" + std::to_string(index);
    this->entries[index] = std::make_unique<ChildProcess>(REVIEW_ENTRY,
        std::vector<std::string> { "jobs", "entry", "--name", name, "--failure-domain", "zone-" + std::to_string(index), "--listen", this->callerAddresses[index], "--ready-listen", this->readyAddresses[index],
            "--admin-listen", this->entryAdmins[index], "--store", this->storeAddress, "--cores", "0.25", "--drain-limit", "2s", "--evacuation-limit", "0ms", "--remote-factor", "01.5" },
        this->config.folder + "/" + name + ".log");
    remember(*this->entries[index]);
}

void Deployment::startAgent(std::size_t index)
{
    const std::string name = "side-" + std::to_string(index);
    this->agents[index] = std::make_unique<ChildProcess>(REVIEW_AGENT,
        std::vector<std::string> { "jobs", "--name", name, "--failure-domain", "zone-" + std::to_string(index % 3), "--worker", this->workerAddresses[index], "--registry-listen", this->registryAddresses[index],
            "--link-listen", this->linkAddresses[index], "--admin-listen", this->agentAdmins[index], "--store", this->storeAddress, "--lease-limit", "6000ms" },
        this->config.folder + "/" + name + ".log");
    remember(*this->agents[index]);
}

std::pair<unsigned, Json> Deployment::call(std::size_t entry, const std::string& method, const std::string& job, const std::string& body, Duration timeout, std::size_t queue)
{
    HttpCall call { .address = this->callerAddresses.at(entry), .method = method, .target = queuePrefixes.at(queue) + job, .timeout = timeout };
    call.headers = { { "Host", host }, { "Deadline-Ms", std::to_string(toMilliseconds(timeout)) }, { "Content-Type", "application/json" } };
    call.body = body;
    try {
        const Response response = fetch(call);
        return { response.status, Json::parse(response.body.view(), nullptr, false) };
    } catch (const Error&) {
        return { 0, nullptr };
    }
}

std::optional<std::size_t> Deployment::leader()
{
    for (std::size_t index = 0; index < this->config.entries; ++index) {
        try {
            const Response response = fetch({ .address = this->entryAdmins[index], .target = "/status", .timeout = std::chrono::milliseconds(500) });
            const Json page = Json::parse(response.body.view(), nullptr, false);
            if (page.is_object() && page.value("leading", false))
                return index;
        } catch (const Error&) {
            continue;
        }
    }
    return std::nullopt;
}

std::size_t Deployment::jobs(std::size_t entry)
{
    const Response response = fetch({ .address = this->entryAdmins.at(entry), .target = "/status", .timeout = std::chrono::seconds(1) });
    const Json page = Json::parse(response.body.view(), nullptr, false);
    return page.is_object() ? page.value("jobs", std::size_t { 0 }) : 0;
}

bool Deployment::awaitReady(Duration limit)
{
    const TimePoint end = monotonicNow() + limit;
    while (monotonicNow() < end) {
        bool ready = this->leader().has_value();
        for (std::size_t index = 0; ready && index < this->config.entries; ++index)
            ready = this->call(index, "GET", "").first == 200;
        if (ready) {
            const Response response = fetch({ .address = this->entryAdmins[*this->leader()], .target = "/status", .timeout = std::chrono::seconds(1) });
            const Json page = Json::parse(response.body.view(), nullptr, false);
            std::size_t usable = 0;
            for (const Json& worker : page.at("workers"))
                usable += worker.value("usable", false) ? 1 : 0;
            if (usable == this->config.agents)
                return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

std::vector<SeenRun> Deployment::seen()
{
    std::vector<SeenRun> all;
    for (const std::unique_ptr<Worker>& worker : this->workers) {
        const std::vector<SeenRun> own = worker->seen();
        all.insert(all.end(), own.begin(), own.end());
    }
    return all;
}

std::size_t Deployment::residentMb(std::size_t entry)
{
    std::ifstream status("/proc/" + std::to_string(this->entries.at(entry)->pid()) + "/status");
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "VmRSS:" && status >> kilobytes)
            return kilobytes / 1024;
    }
    return 0;
}

std::size_t Deployment::supervise(Record& record)
{
    std::size_t ends = 0;
    for (std::size_t index = 0; index < this->config.entries; ++index)
        ends += this->superviseOne(index, record) ? 1 : 0;
    return ends;
}

bool Deployment::superviseOne(std::size_t index, Record& record)
{
    const std::string name = "front-" + std::to_string(index);
    if (this->restartAtMs[index] >= 0) {
        if (nowMs() >= this->restartAtMs[index]) {
            this->restartAtMs[index] = -1;
            this->startEntry(index);
            record.line(name + " is started again");
        }
        return false;
    }
    const std::size_t resident = this->residentMb(index);
    if (this->config.entryMemoryMb > 0 && resident > this->config.entryMemoryMb) {
        this->entries[index]->signal(SIGKILL);
        record.line(name + " has " + std::to_string(resident) + " MB resident, over its limit of " + std::to_string(this->config.entryMemoryMb) + " MB, and is killed");
        this->entries[index]->wait();
    }
    if (this->entries[index]->running())
        return false;
    forget(*this->entries[index]);
    record.line(name + " has ended with " + std::to_string(this->entries[index]->wait()));
    this->restartAtMs[index] = nowMs() + restartDelayMs;
    return true;
}

void killChildren() noexcept
{
    for (const std::atomic<int>& child : children) {
        if (child > 0)
            ::kill(child, SIGKILL);
    }
}

}
