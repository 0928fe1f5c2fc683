#include "Worker.h"
#include <algorithm>
#include <chrono>
#include <utility>

namespace review {

namespace {

    using Json = nlohmann::json;

    /// Longest lease that a worker gives: max-hold-ms of the deployment.
    constexpr long long longestLeaseMs = 6000;

    /// heartbeat-ms of the deployment.
    constexpr long long heartbeatMs = 1500;

    constexpr std::size_t endsPerAnswer = 500;

    /// Value of "name=NUMBER" in a specification; zero if it is missing.
    long long numberIn(const std::string& spec, const std::string& name)
    {
        const std::size_t found = spec.find(name + "=");
        return found == std::string::npos ? 0 : std::stoll(spec.substr(found + name.size() + 1));
    }

    long long unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    /// Share of its work that a run has done; a run that lasts is at work at once.
    long long percentOf(const WorkerRun& run)
    {
        constexpr long long whole = 100;
        return run.endsAt < 0 ? whole : std::min(whole - 1, whole * (nowMs() - run.startedAt) / std::max(1LL, run.endsAt - run.startedAt));
    }

}

Worker::Worker(WorkerConfig config, Record& record)
    : config(std::move(config))
    , record(record)
    , startedAt(nowMs())
    , bornMs(unixMs())
    , server(
          this->config.port, [this](const HttpCall& call) { return this->respond(call); }, this->config.keepAlive)
    , worker([this]() { this->work(); })
    , heart([this]() { this->beat(); })
{
}

Worker::~Worker()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
        this->changed.notify_all();
    }
    this->worker.join();
    this->heart.join();
}

void Worker::setCut(bool cut)
{
    const std::scoped_lock lock(this->mutex);
    this->isCut = cut;
}

void Worker::losePower()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->hasPower = false;
        ++this->life;
        const std::map<std::string, std::size_t> present = this->running;
        for (const std::map<std::string, std::size_t>::value_type& item : present)
            this->end(item.second, "lost");
        this->highestEnded.clear();
        this->finished.clear();
        this->paces.clear();
        this->lastEnd = 0;
        this->token = 0;
        this->leaseUntil = 0;
        this->heartbeats = 0;
        this->record.line(this->config.id + " loses power");
        this->changed.notify_all();
    }
    this->server.loseConnections();
}

void Worker::startAgain(long long heartbeatAfterMs)
{
    const std::scoped_lock lock(this->mutex);
    this->hasPower = true;
    this->startedAt = nowMs();
    this->bornMs = unixMs();
    this->nextHeartbeat = nowMs() + heartbeatAfterMs;
    this->record.line(this->config.id + " starts again under its identifier");
    this->changed.notify_all();
}

void Worker::drain()
{
    const std::scoped_lock lock(this->mutex);
    this->draining = true;
    this->nextHeartbeat = nowMs();
    this->changed.notify_all();
}

long long Worker::drainingAcknowledgedAt()
{
    const std::scoped_lock lock(this->mutex);
    return this->drainingAcknowledged;
}

std::vector<WorkerRun> Worker::runs()
{
    const std::scoped_lock lock(this->mutex);
    return this->allRuns;
}

std::optional<HttpAnswer> Worker::respond(const HttpCall& call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    std::unique_lock lock(this->mutex);
    if (this->isCut || !this->hasPower)
        return std::nullopt;
    const std::map<std::string, std::string>::const_iterator target = call.headers.find("target-instance");
    if (target != call.headers.end() && target->second != this->config.id)
        return this->answer(421, Json::object());
    if (!body.is_object())
        return this->answer(400, Json::object());
    const unsigned long long given = body.value("fencing-token", 0ULL);
    if (given < this->token)
        return this->answer(409, { { "reason", "fence" } });
    this->token = given;
    if (call.path == "/v1/run-start")
        return this->start(body);
    if (call.path == "/v1/run-stop")
        return this->stop(body);
    if (call.path == "/v1/hold")
        return this->hold(body, lock);
    if (call.path == "/v1/pace" && this->running.contains(body.at("task"))) {
        this->paces[body.at("task")] = body.at("percent");
        return this->answer(200, Json::object());
    }
    return this->answer(call.path == "/v1/pace" ? 409 : 404, Json::object());
}

HttpAnswer Worker::start(const Json& body)
{
    const std::string task = body.at("task");
    const std::string spec = body.value("spec", "");
    const unsigned long long number = body.at("run-id");
    const long long deadline = body.at("deadline-ms");
    const std::map<std::string, std::size_t>::const_iterator present = this->running.find(task);
    if (present != this->running.end() && this->allRuns[present->second].number == number)
        return this->answer(200, Json::object());
    if (present != this->running.end() || this->highestEnded[task] >= number)
        return this->answer(409, { { "reason", "old" } });
    if (deadline <= this->clockMs())
        return this->answer(409, { { "reason", "late" } });
    this->leaseUntil = std::max(this->leaseUntil, std::min(deadline, this->clockMs() + longestLeaseMs));
    const long long workMs = numberIn(spec, "work-ms");
    const long long now = nowMs();
    this->running[task] = this->allRuns.size();
    this->allRuns.push_back({ this->config.id, task, number, static_cast<unsigned>(numberIn(spec, "cpu")), now, workMs > 0 ? now + workMs : -1, -1, "", 0, -1 });
    this->record.line(this->config.id + " starts " + task + " run " + std::to_string(number));
    this->changed.notify_all();
    return this->answer(200, Json::object());
}

HttpAnswer Worker::stop(const Json& body)
{
    const std::map<std::string, std::size_t>::const_iterator present = this->running.find(body.at("task"));
    const unsigned long long number = body.at("run-id");
    if (present == this->running.end() || this->allRuns[present->second].number != number) {
        // A run that is not there yet is refused when it comes.
        unsigned long long& highest = this->highestEnded[body.at("task")];
        highest = std::max(highest, number);
        return this->answer(200, Json::object());
    }
    this->end(present->second, "stopped");
    return this->answer(200, Json::object());
}

std::optional<HttpAnswer> Worker::hold(const Json& body, std::unique_lock<std::mutex>& lock)
{
    this->acknowledge(body.value("ack-seq", 0ULL));
    this->leaseUntil = std::max(this->leaseUntil, std::min(body.value("deadline-ms", 0LL), this->clockMs() + longestLeaseMs));
    const std::chrono::steady_clock::time_point until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::min(body.value("wait-ms", 0LL), 2000LL));
    const unsigned asked = this->life;
    this->changed.wait_until(lock, until, [this, asked]() { return this->stopping || this->life != asked || !this->finished.empty(); });
    if (this->life != asked)
        return std::nullopt;
    Json listed = Json::array();
    for (const std::map<std::string, std::size_t>::value_type& item : this->running)
        listed.push_back({ item.first, this->allRuns[item.second].number, "", percentOf(this->allRuns[item.second]), this->allRuns[item.second].milliCores });
    Json ends = Json::array();
    for (std::size_t index = 0; index < std::min(endsPerAnswer, this->finished.size()); ++index)
        ends.push_back(this->finished[index]);
    return this->answer(200, { { "running", listed }, { "finished", ends }, { "born", this->bornMs } });
}

void Worker::acknowledge(unsigned long long upTo)
{
    const auto reached = [upTo](const Json& row) { return row.at(0).get<unsigned long long>() <= upTo; };
    for (const Json& row : this->finished) {
        for (WorkerRun& run : this->allRuns) {
            if (!reached(row) || run.task != row.at(1) || run.number != row.at(2).get<unsigned long long>() || run.endNumber != row.at(0).get<unsigned long long>())
                continue;
            if (this->lapsedAt < run.endedAt)
                run.acknowledgedAt = nowMs();
            this->record.line(this->config.id + " end " + std::to_string(run.endNumber) + " (" + run.task + " run " + std::to_string(run.number) + ": " + run.how + ") is reached by ack-seq " + std::to_string(upTo));
        }
    }
    std::erase_if(this->finished, reached);
}

void Worker::work()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const long long now = nowMs();
        const bool lapsed = this->clockMs() >= this->leaseUntil;
        if (lapsed)
            this->lapsedAt = now;
        const std::map<std::string, std::size_t> present = this->running;
        for (const std::map<std::string, std::size_t>::value_type& item : present) {
            const WorkerRun& run = this->allRuns[item.second];
            if (run.endsAt >= 0 && now >= run.endsAt)
                this->end(item.second, "done");
            else if (lapsed)
                this->end(item.second, "lapsed");
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(2));
    }
}

void Worker::beat()
{
    std::vector<std::thread> calls;
    std::unique_lock lock(this->mutex);
    this->nextHeartbeat = nowMs();
    while (!this->stopping) {
        if (!this->hasPower || nowMs() < this->nextHeartbeat) {
            this->changed.wait_for(lock, std::chrono::milliseconds(20));
            continue;
        }
        const bool leaves = this->draining;
        const unsigned long long number = ++this->heartbeats;
        Json body { { "service", "svc1" }, { "address", "127.0.0.1:" + std::to_string(this->config.port) }, { "zone", this->config.zone }, { "version", "v1" }, { "slots", 8 },
            { "state", leaves ? "draining" : "ready" }, { "cold-remaining-ms", 0 }, { "capacity", { { "cpu", this->config.milliCores }, { "mem-mb", this->config.memoryMb }, { "gpus", 0 } } },
            { "labels", this->config.labels }, { "clock-ms", this->clockMs() }, { "seq", number }, { "born", this->bornMs } };
        if (leaves)
            body["remaining-ms"] = 8000;
        // Each heartbeat has its own connection and waits a second for its answer.
        calls.emplace_back([this, text = body.dump(), leaves, number]() {
            const HttpAnswer got = request(this->config.registry, "PUT", "/v1/instances/" + this->config.id, { "Host: registry" }, text, 1000);
            const std::scoped_lock answered(this->mutex);
            if (leaves || got.status != 200)
                this->record.line(this->config.id + " heartbeat " + std::to_string(number) + (leaves ? " (draining): " : " (ready): ") + (got.status == 0 ? "no answer" : std::to_string(got.status)));
            if (leaves && got.status == 200 && this->drainingAcknowledged < 0)
                this->drainingAcknowledged = nowMs();
        });
        this->nextHeartbeat += heartbeatMs;
    }
    lock.unlock();
    for (std::thread& call : calls)
        call.join();
}

void Worker::end(std::size_t index, const std::string& how)
{
    WorkerRun& run = this->allRuns[index];
    run.endedAt = nowMs();
    run.how = how;
    this->running.erase(run.task);
    this->highestEnded[run.task] = run.number;
    run.endNumber = ++this->lastEnd;
    this->finished.push_back({ run.endNumber, run.task, run.number, how, "" });
    this->record.line(this->config.id + " ends " + run.task + " run " + std::to_string(run.number) + ": " + how);
    this->changed.notify_all();
}

long long Worker::clockMs() const
{
    return 1000 + nowMs() - this->startedAt;
}

HttpAnswer Worker::answer(int status, nlohmann::json body) const
{
    body["clock-ms"] = this->clockMs();
    return { status, body.dump() };
}

}
