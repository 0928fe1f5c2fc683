#pragma once

/// @file
/// @brief Metrics of a process in the Prometheus text format.

#include <cowslipdoor/core/EventCatalogue.h>
#include <cowslipdoor/core/Request.h>
#include <cowslipdoor/core/Time.h>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace cowslipdoor::runtime {

/// @brief Registry of the metrics that both programs have.
/// @code
/// Metrics metrics;
/// metrics.countEvent(EventId::LinkOpened);
/// const std::string page = metrics.expose();
/// @endcode
class Metrics {
public:
    Metrics();

    /// @brief Counts a log event by name.
    void countEvent(EventId event);

    /// @brief Counts an ended request.
    /// @param rule name of the request's rule
    /// @param trafficClass class of the rule
    /// @param outcome whether the request ran, as far as known
    /// @param latency time from arrival to answer
    void observeRequest(const std::string& rule, TrafficClass trafficClass, Outcome outcome, Duration latency);

    /// @brief Counts an ended job.
    /// @param queue name of the job's queue
    /// @param state name of the final state
    /// @param latency time from the job's arrival at the leader to its end
    void observeJob(const std::string& queue, const std::string& state, Duration latency);

    /// @brief Sets a gauge.
    /// @param name metric name, with the unit as suffix if there is one
    /// @param help description for the page
    void setGauge(const std::string& name, const std::string& help, double value);

    /// @brief Counts a connection that was closed, or a connection or request that was refused, because of a limit.
    /// @param limit name of the limit
    void countLimitedClient(const std::string& limit);

    /// @brief Counts bytes of sent control messages; those of requests and answers are not counted.
    void countControlBytes(std::size_t bytes);

    /// @return the text of the page /metrics
    [[nodiscard]] std::string expose() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>& events;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Histogram>& latencies;
    prometheus::Family<prometheus::Counter>& jobs;
    prometheus::Family<prometheus::Histogram>& jobLatencies;
    prometheus::Family<prometheus::Counter>& limitedClients;
    prometheus::Counter& controlBytes;
};

}
