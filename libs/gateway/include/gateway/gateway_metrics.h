#pragma once

#include <base/clock.h>
#include <base/typed_id.h>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace pollen {

// Metrics of one team and class; histograms are in seconds.
class team_class_metrics {
public:
    prometheus::Histogram& latency;
    prometheus::Histogram& firstToken;
    prometheus::Histogram& betweenTokens;
    prometheus::Counter& outputTokens;
    prometheus::Counter& cost;
    // Number of requests that were answered completely.
    prometheus::Counter& answered;
};

// All metrics of the daemon.
class gateway_metrics {
public:
    gateway_metrics();

    // The reference remains valid. Label cardinality is bounded by the teams and classes of the configuration.
    team_class_metrics& forTeamAndClass(const team_name& team, const class_name& requestClass);

    void countRequest(const team_name& team, const class_name& requestClass, const std::string& outcome);
    void countRetry(const std::string& reason);
    void countRouted(const std::string& target);
    // Sets a gauge to a value sampled just before rendering.
    void setGauge(const std::string& name, const std::string& help, double value);

    // Prometheus text format.
    std::string render() const;

private:
    using team_class = std::pair<team_name, class_name>;

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Family<prometheus::Histogram>& m_firstToken;
    prometheus::Family<prometheus::Histogram>& m_betweenTokens;
    prometheus::Family<prometheus::Counter>& m_outputTokens;
    prometheus::Family<prometheus::Counter>& m_cost;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Family<prometheus::Counter>& m_routed;
    std::map<team_class, std::unique_ptr<team_class_metrics>> m_byTeamClass;
    std::map<std::string, prometheus::Counter*> m_byTarget;
};

} // namespace pollen
