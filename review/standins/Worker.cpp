#include "Worker.h"
#include <algorithm>
#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr long long maximumHoldMs = 6000;
    constexpr long long heartbeatMs = 1500;
    constexpr long long checkMs = 3;
    /// Time until a task that lasts is at work.
    constexpr long long startupMs = 500;
    /// restore-ms: time to resume from a checkpoint.
    constexpr long long restoreMs = 250;
    constexpr std::size_t listedEnds = 500;

    long long unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

}

Worker::Worker(std::string id, std::string registry, std::uint32_t milliCores, std::string label)
    : id(std::move(id))
    , registry(std::move(registry))
    , milliCores(milliCores)
    , born(unixMs())
    , bornSteady(steadyMs() - 1000)
    , label(std::move(label))
    , random(std::random_device {}())
    , server([this](const HttpRequest& request) { return this->respond(request); })
{
    std::thread([this]() { this->sendHeartbeats(0); }).detach();
}

void Worker::crash()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    this->down = true;
    for (const std::map<std::string, Run>::value_type& item : this->current) {
        this->records[item.second.record].endedAt = steadyMs();
        this->records[item.second.record].how = "lost with the worker";
    }
    this->current.clear();
}

void Worker::restart(long long firstBeatMs)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        ++this->incarnation;
        this->token = 0;
        this->leaseUntil = 0;
        this->highestEnded.clear();
        this->finished.clear();
        this->lastEnd = 0;
        this->born = unixMs();
        this->bornSteady = steadyMs();
        this->down = false;
    }
    std::thread([this, firstBeatMs]() { this->sendHeartbeats(firstBeatMs); }).detach();
}

std::vector<RunRecord> Worker::runs()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    return this->records;
}

std::set<std::string> Worker::running()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    std::set<std::string> tasks;
    for (const std::map<std::string, Run>::value_type& item : this->current)
        tasks.insert(item.first);
    return tasks;
}

HttpReply Worker::respond(const HttpRequest& request)
{
    if (this->down)
        return {};
    if (request.headers.contains("target-instance") && request.headers.at("target-instance") != this->id)
        return { 421, Json { { "clock-ms", this->clockMs() }, { "born", this->born } }.dump() };
    if (request.path == "/v1/run-start")
        return this->start(request.body);
    if (request.path == "/v1/run-stop")
        return this->stop(request.body);
    if (request.path == "/v1/hold")
        return this->hold(request.body);
    if (request.path == "/v1/pace")
        return this->pace(request.body);
    return { 404, "{}" };
}

HttpReply Worker::start(const std::string& body)
{
    const Json call = Json::parse(body);
    const std::string task = call.at("task");
    const std::uint64_t number = call.at("run-id");
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    if (this->fenced(call.value("fencing-token", std::uint64_t { 0 })))
        return this->refuse("fence");
    const long long now = this->clockMs();
    const long long deadline = std::min(call.at("deadline-ms").get<long long>(), now + maximumHoldMs);
    const std::map<std::string, Run>::const_iterator running = this->current.find(task);
    if (running != this->current.end() && this->records[running->second.record].number == number)
        return { 200, Json { { "clock-ms", now }, { "born", this->born } }.dump() };
    if (number <= this->highestEnded[task] || running != this->current.end()) {
        this->leaseUntil = std::max(this->leaseUntil, deadline);
        return this->refuse("old");
    }
    if (deadline <= now)
        return this->refuse("late");
    this->leaseUntil = std::max(this->leaseUntil, deadline);
    this->records.push_back({ this->id, task, number, steadyMs(), 0, "" });
    std::istringstream spec(call.at("spec").get<std::string>());
    long long duration = 0;
    std::uint64_t inUse = 0;
    long long meanLifeMs = 0;
    spec >> duration >> inUse >> meanLifeMs;
    const bool lasts = duration == 0;
    if (lasts)
        this->records.back().atWorkAt = steadyMs() + startupMs + (call.value("checkpoint", "").empty() ? 0 : restoreMs);
    const long long life = meanLifeMs == 0 ? std::numeric_limits<long long>::max() / 2 : static_cast<long long>(std::exponential_distribution<double>(1.0 / static_cast<double>(meanLifeMs))(this->random));
    this->current[task] = { this->records.size() - 1, steadyMs() + (lasts ? life : duration), lasts, inUse, lasts && meanLifeMs != 0 };
    return { 200, Json { { "clock-ms", now }, { "born", this->born } }.dump() };
}

HttpReply Worker::stop(const std::string& body)
{
    const Json call = Json::parse(body);
    const std::string task = call.at("task");
    const std::uint64_t number = call.at("run-id");
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    if (this->fenced(call.value("fencing-token", std::uint64_t { 0 })))
        return this->refuse("fence");
    const std::map<std::string, Run>::const_iterator running = this->current.find(task);
    this->highestEnded[task] = std::max(this->highestEnded[task], number);
    if (running != this->current.end() && this->records[running->second.record].number == number)
        this->end(task, "stopped", steadyMs());
    return { 200, Json { { "clock-ms", this->clockMs() }, { "born", this->born } }.dump() };
}

HttpReply Worker::pace(const std::string& body)
{
    const Json call = Json::parse(body);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->fenced(call.value("fencing-token", std::uint64_t { 0 })))
        return this->refuse("fence");
    return { 200, Json { { "clock-ms", this->clockMs() }, { "born", this->born } }.dump() };
}

HttpReply Worker::hold(const std::string& body)
{
    const Json call = Json::parse(body);
    std::unique_lock<std::mutex> lock(this->mutex);
    this->advance();
    if (this->fenced(call.value("fencing-token", std::uint64_t { 0 })))
        return this->refuse("fence");
    const std::uint64_t acknowledged = call.value("ack-seq", std::uint64_t { 0 });
    std::erase_if(this->finished, [acknowledged](const End& item) { return item.number <= acknowledged; });
    this->leaseUntil = std::max(this->leaseUntil, std::min(call.value("deadline-ms", 0LL), this->clockMs() + maximumHoldMs));
    const std::uint64_t asked = this->incarnation;
    const long long waitEnd = steadyMs() + call.value("wait-ms", 0LL);
    while (this->finished.empty() && steadyMs() < waitEnd && !this->down && asked == this->incarnation) {
        lock.unlock();
        sleepMs(checkMs);
        lock.lock();
        this->advance();
    }
    if (this->down || asked != this->incarnation)
        return {};
    Json running = Json::array();
    for (const std::map<std::string, Run>::value_type& item : this->current)
        running.push_back({ item.first, this->records[item.second.record].number, "", item.second.lasts ? (this->records[item.second.record].atWork(steadyMs()) ? 100 : 0) : 50, item.second.inUse * this->load });
    Json ended = Json::array();
    for (const End& item : this->finished) {
        if (ended.size() < listedEnds)
            ended.push_back({ item.number, item.task, item.run, item.how, item.saved });
    }
    return { 200, Json { { "clock-ms", this->clockMs() }, { "born", this->born }, { "running", running }, { "finished", ended } }.dump() };
}

bool Worker::fenced(std::uint64_t newer)
{
    if (newer < this->token)
        return true;
    this->token = newer;
    return false;
}

void Worker::advance()
{
    const long long now = steadyMs();
    const long long lapse = this->bornSteady + this->leaseUntil;
    std::vector<std::pair<long long, std::string>> due;
    for (const std::map<std::string, Run>::value_type& item : this->current)
        due.emplace_back(std::min(item.second.endsAt, lapse), item.first);
    std::sort(due.begin(), due.end());
    for (const std::pair<long long, std::string>& item : due) {
        if (item.first <= now)
            this->end(item.second, this->current.at(item.second).endsAt <= lapse ? (this->current.at(item.second).fails ? "failed" : "done") : "lapsed", item.first);
    }
}

void Worker::end(const std::string& task, const std::string& how, long long at)
{
    RunRecord& record = this->records[this->current.at(task).record];
    record.endedAt = at;
    record.how = how;
    this->finished.push_back({ ++this->lastEnd, task, record.number, how, how == "stopped" ? "0000000000000001" : "" });
    this->highestEnded[task] = std::max(this->highestEnded[task], record.number);
    this->current.erase(task);
}

HttpReply Worker::refuse(const std::string& reason) const
{
    return { 409, Json { { "clock-ms", this->clockMs() }, { "born", this->born }, { "reason", reason } }.dump() };
}

void Worker::sendHeartbeats(long long firstBeatMs)
{
    std::uint64_t sequence = 0;
    const std::uint64_t own = this->incarnation;
    sleepMs(firstBeatMs);
    while (!this->down && own == this->incarnation) {
        const Json capacity { { "cpu", this->milliCores }, { "mem-mb", 64000 }, { "gpus", 0 } };
        const Json body { { "service", "service" }, { "address", this->address() }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 }, { "capacity", capacity },
            { "labels", { this->label, "r1-1" } }, { "clock-ms", this->clockMs() }, { "seq", ++sequence }, { "born", this->born } };
        callHttp(this->registry, "PUT", "/v1/instances/" + this->id, "Host: " + this->registry + "\r\n", body.dump(), 1000);
        sleepMs(heartbeatMs);
    }
}

}
