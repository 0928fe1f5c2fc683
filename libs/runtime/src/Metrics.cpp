#include "cowslipdoor/runtime/Metrics.h"
#include <prometheus/text_serializer.h>

namespace cowslipdoor::runtime {

namespace {

    /// Upper bounds of the latency histogram, in seconds.
    const prometheus::Histogram::BucketBoundaries latencyBounds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60 };

    std::string labelOf(Outcome outcome)
    {
        return outcome == Outcome::NotRun ? "not_run" : std::string(toString(outcome));
    }

}

Metrics::Metrics()
    : registry(std::make_shared<prometheus::Registry>())
    , events(prometheus::BuildCounter().Name("cowslipdoor_events_total").Help("Log events by name, also those that the log leaves out").Register(*this->registry))
    , requests(prometheus::BuildCounter().Name("cowslipdoor_requests_total").Help("Ended requests by rule, class and outcome").Register(*this->registry))
    , latencies(prometheus::BuildHistogram().Name("cowslipdoor_request_seconds").Help("Time from arrival to answer").Register(*this->registry))
    , jobs(prometheus::BuildCounter().Name("cowslipdoor_jobs_total").Help("Ended jobs by queue and state").Register(*this->registry))
    , jobLatencies(prometheus::BuildHistogram().Name("cowslipdoor_job_seconds").Help("Time from a job's arrival at the leader to its end").Register(*this->registry))
    , limitedClients(prometheus::BuildCounter().Name("cowslipdoor_limited_clients_total").Help("Connections of clients that were closed or refused, and requests refused, by limit").Register(*this->registry))
    , controlBytes(prometheus::BuildCounter().Name("cowslipdoor_control_bytes_total").Help("Bytes of control messages sent").Register(*this->registry).Add({}))
{
}

void Metrics::countEvent(EventId event)
{
    this->events.Add({ { "event", std::string(describe(event).name) } }).Increment();
}

void Metrics::observeRequest(const std::string& rule, TrafficClass trafficClass, Outcome outcome, Duration latency)
{
    const std::string className(toString(trafficClass));
    this->requests.Add({ { "rule", rule }, { "class", className }, { "outcome", labelOf(outcome) } }).Increment();
    this->latencies.Add({ { "rule", rule }, { "class", className } }, latencyBounds).Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::observeJob(const std::string& queue, const std::string& state, Duration latency)
{
    this->jobs.Add({ { "queue", queue }, { "state", state } }).Increment();
    this->jobLatencies.Add({ { "queue", queue } }, latencyBounds).Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::setGauge(const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(*this->registry).Add({}).Set(value);
}

void Metrics::countLimitedClient(const std::string& limit)
{
    this->limitedClients.Add({ { "limit", limit } }).Increment();
}

void Metrics::countControlBytes(std::size_t bytes)
{
    this->controlBytes.Increment(static_cast<double>(bytes));
}

std::string Metrics::expose() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}
