#include "CallerLoad.h"
#include "Deployment.h"
#include <algorithm>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/Clock.h>
#include <cowslipdoor/runtime/Process.h>
#include <iomanip>
#include <sstream>
#include <utility>

namespace cowslipdoor::standins {

using namespace runtime;

namespace {

    constexpr Duration readinessInterval = std::chrono::milliseconds(100);
    constexpr Duration readinessTimeout = std::chrono::milliseconds(500);
    constexpr Duration pauseBeforeRepeat = std::chrono::milliseconds(20);
    /// Pause between an answer and the next request on a keep-alive connection.
    constexpr Duration keepAlivePause = std::chrono::milliseconds(50);
    constexpr std::size_t recordedBodyBytes = 40;

    HttpCall callOf(const LoadClass& loadClass, const std::string& number, const std::string& address)
    {
        HttpCall call { .address = address, .method = loadClass.keyed ? "POST" : "GET", .timeout = loadClass.callTimeout };
        call.target = loadClass.path + "?n=" + number + "&ms=" + std::to_string(loadClass.milliseconds) + "&bytes=" + std::to_string(loadClass.answerBytes);
        call.headers.push_back({ "X-User", "siti" });
        if (loadClass.keyed)
            call.headers.push_back({ "Idempotency-Key", number });
        return call;
    }

    CallRecord recordOf(const LoadClass& loadClass, const std::string& number, const Response& response)
    {
        const std::string expected = "answer " + number + " ";
        CallRecord record { .number = number, .className = loadClass.name, .keyed = loadClass.keyed, .answered = true };
        record.status = response.status;
        record.outcome = findHeader(response.headers, "Cowslipdoor-Outcome");
        record.error = findHeader(response.headers, "Cowslipdoor-Error");
        record.requestId = findHeader(response.headers, "Cowslipdoor-Request-Id");
        record.bodyStart = response.body.view().substr(0, recordedBodyBytes);
        record.bodyMatches = response.body.view().starts_with(expected) && response.body.size() == std::max(loadClass.answerBytes, expected.size());
        return record;
    }

    double milliseconds(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    Duration percentile(std::vector<Duration> latencies, double share)
    {
        if (latencies.empty())
            return Duration::zero();
        std::sort(latencies.begin(), latencies.end());
        const std::size_t rank = static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1));
        return latencies[rank];
    }

}

CallerLoad::CallerLoad(CallerLoadConfig config)
    : config(std::move(config))
    , context(1)
    , ready(this->config.entries.size(), true)
{
}

CallerLoad::~CallerLoad()
{
    if (this->thread.joinable())
        this->stop();
}

void CallerLoad::start()
{
    for (std::size_t entry = 0; entry < this->config.entries.size(); ++entry)
        asio::co_spawn(this->context, this->watchReadiness(entry), asio::detached);
    for (const LoadClass& loadClass : this->config.classes) {
        asio::co_spawn(this->context, this->sendClass(loadClass), asio::detached);
        for (std::uint32_t caller = 0; caller < loadClass.keepAliveConnections; ++caller)
            asio::co_spawn(this->context, this->sendOnKeepAlive(loadClass), asio::detached);
    }
    this->thread = std::thread([this]() { this->context.run(); });
}

void CallerLoad::stop()
{
    asio::post(this->context, [this]() { this->stopping = true; });
    this->thread.join();
}

asio::awaitable<void> CallerLoad::sendClass(LoadClass loadClass)
{
    if (loadClass.perSecond == 0)
        co_return;
    const Duration interval = Duration(std::chrono::seconds(1)) / loadClass.perSecond;
    TimePoint next = monotonicNow();
    asio::steady_timer timer(this->context);
    while (!this->stopping) {
        asio::co_spawn(this->context, this->sendOne(loadClass, this->nextNumber(loadClass), nullptr), asio::detached);
        next += interval;
        timer.expires_at(toSteady(next));
        co_await timer.async_wait(asTuple);
    }
}

asio::awaitable<void> CallerLoad::sendOnKeepAlive(LoadClass loadClass)
{
    KeepAliveConnection keepAlive;
    while (!this->stopping) {
        const std::string number = this->nextNumber(loadClass);
        co_await this->sendOne(loadClass, number, &keepAlive);
        co_await pauseFor(keepAlivePause);
    }
}

asio::awaitable<void> CallerLoad::sendOne(LoadClass loadClass, std::string number, KeepAliveConnection* keepAlive)
{
    const TimePoint begun = monotonicNow();
    CallRecord record { .number = number, .className = loadClass.name, .keyed = loadClass.keyed };
    std::size_t entry = keepAlive && keepAlive->connection ? keepAlive->entry : this->pickEntry(this->config.entries.size());
    if (keepAlive)
        keepAlive->entry = entry;
    for (std::uint32_t attempt = 0; attempt < this->config.maximumAttempts && !record.answered; ++attempt) {
        const HttpCall call = callOf(loadClass, number, this->config.entries[entry]);
        bool failed = false;
        try {
            const Response response = co_await this->callOnce(call, keepAlive);
            record = recordOf(loadClass, number, response);
            record.attempts = attempt + 1;
        } catch (const Error& error) {
            record.error = error.what();
            failed = true;
        }
        if (failed) {
            co_await pauseFor(pauseBeforeRepeat);
            entry = this->pickEntry(entry);
            if (keepAlive)
                *keepAlive = KeepAliveConnection { entry, nullptr };
        }
    }
    record.latency = monotonicNow() - begun;
    this->finished.push_back(record);
}

asio::awaitable<Response> CallerLoad::callOnce(HttpCall call, KeepAliveConnection* keepAlive)
{
    if (keepAlive)
        co_return co_await this->callOnKeepAlive(*keepAlive, call);
    co_return co_await asyncFetch(call);
}

asio::awaitable<Response> CallerLoad::callOnKeepAlive(KeepAliveConnection& keepAlive, HttpCall call)
{
    if (!keepAlive.connection)
        keepAlive.connection = std::make_unique<HttpConnection>(this->context.get_executor());
    const KeepAliveResponse answer = co_await asyncFetchOn(*keepAlive.connection, call, true);
    if (!answer.keptOpen)
        keepAlive.connection.reset();
    co_return answer.response;
}

std::string CallerLoad::nextNumber(const LoadClass& loadClass)
{
    return loadClass.name + "-" + std::to_string(this->config.seed) + "-" + std::to_string(++this->sent);
}

asio::awaitable<void> CallerLoad::watchReadiness(std::size_t entry)
{
    while (!this->stopping) {
        bool answered = false;
        try {
            const HttpCall call { .address = this->config.entryAdmins[entry], .target = "/readyz", .timeout = readinessTimeout };
            const Response response = co_await asyncFetch(call);
            answered = response.status == 200;
        } catch (const Error&) {
            answered = false;
        }
        this->ready[entry] = answered;
        co_await pauseFor(readinessInterval);
    }
}

std::size_t CallerLoad::pickEntry(std::size_t avoided)
{
    const std::size_t count = this->config.entries.size();
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t entry = this->nextEntry++ % count;
        if (this->ready[entry] && entry != avoided)
            return entry;
    }
    return this->nextEntry++ % count;
}

LoadResult evaluate(const std::vector<CallRecord>& records, const UpstreamCounts& counts)
{
    LoadResult result;
    result.overfilled = counts.overfilled;
    for (const CallRecord& record : records) {
        const std::map<std::string, std::uint32_t>::const_iterator it = counts.starts.find(record.number);
        const std::uint32_t starts = it == counts.starts.end() ? 0 : it->second;
        const bool succeeded = record.answered && record.status == 200;
        std::string reason;
        // Each attempt of a request without a key is a separate request, so its "not run" covers only the answered attempt.
        if (!record.answered)
            reason = "got no answer: " + record.error;
        else if (succeeded && !record.bodyMatches)
            reason = "got an incomplete answer or that of another request: request " + record.requestId + ", '" + record.bodyStart + "'";
        else if (succeeded && starts == 0)
            reason = "got an answer but never ran: request " + record.requestId;
        else if (record.outcome == "not run" && starts > 0 && (record.keyed || record.attempts == 1))
            reason = "got the outcome 'not run' (" + record.error + ", request " + record.requestId + ", attempt " + std::to_string(record.attempts) + ") but ran " + std::to_string(starts) + " times";
        if (!reason.empty())
            ++result.lost;
        if (record.keyed && starts > 1) {
            ++result.doubled;
            reason = "ran " + std::to_string(starts) + " times";
        }
        if (!reason.empty())
            result.reasons.push_back(record.number + " " + reason);
    }
    return result;
}

std::string summarize(const std::vector<CallRecord>& records)
{
    struct Row {
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::vector<Duration> latencies;
    };
    std::map<std::string, Row> rows;
    for (const CallRecord& record : records) {
        Row& row = rows[record.className];
        ++row.sent;
        row.notRun += record.outcome == "not run" ? 1 : 0;
        row.unknown += record.outcome == "unknown" ? 1 : 0;
        if (record.status != 200)
            continue;
        ++row.answered;
        row.latencies.push_back(record.latency);
    }
    std::ostringstream text;
    text << "class      sent  answered  not run  unknown   p50 ms   p99 ms\n"
         << std::fixed << std::setprecision(1);
    for (const std::map<std::string, Row>::value_type& item : rows) {
        const Row& row = item.second;
        text << std::left << std::setw(8) << item.first << std::right << std::setw(7) << row.sent << std::setw(10) << row.answered << std::setw(9) << row.notRun
             << std::setw(9) << row.unknown << std::setw(9) << milliseconds(percentile(row.latencies, 0.50)) << std::setw(9) << milliseconds(percentile(row.latencies, 0.99)) << "\n";
    }
    return text.str();
}

}
