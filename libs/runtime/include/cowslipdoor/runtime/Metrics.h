#pragma once

/// @file
/// @brief Metrics of a process, in the Prometheus text form.

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

/// @brief Registry with the families that both programs share.
/// @code
/// Metrics metrics;
/// metrics.countEvent(EventId::LinkOpened);
/// const std::string page = metrics.expose();
/// @endcode
class Metrics {
public:
    Metrics();

    /// @brief Counts a log event by name.
    /// @param event the event
    void countEvent(EventId event);

    /// @brief Counts an ended request.
    /// @param rule name of its rule
    /// @param trafficClass its class
    /// @param outcome what is known of it
    /// @param latency time from arrival to answer
    void observeRequest(const std::string& rule, TrafficClass trafficClass, Outcome outcome, Duration latency);

    /// @brief Counts an ended job.
    /// @param queue its queue
    /// @param state how it ended
    /// @param latency time from its arrival at the leader to its end
    void observeJob(const std::string& queue, const std::string& state, Duration latency);

    /// @brief Sets a gauge.
    /// @param name metric name, with its unit as the suffix
    /// @param help what it means
    /// @param value the value
    void setGauge(const std::string& name, const std::string& help, double value);

    /// @brief Counts bytes of control messages; those of requests and answers are not counted.
    /// @param bytes the bytes sent
    void countControlBytes(std::size_t bytes);

    /// @return the page for /metrics
    [[nodiscard]] std::string expose() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>& events;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Histogram>& latencies;
    prometheus::Family<prometheus::Counter>& jobs;
    prometheus::Family<prometheus::Histogram>& jobLatencies;
    prometheus::Counter& controlBytes;
};

}
