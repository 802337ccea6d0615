#pragma once

#include <base/clock.h>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace pollen {

// Counters and latency histograms of the relay, by route.
class relay_metrics {
public:
    relay_metrics();

    void countOutcome(const std::string& route, const std::string& outcome);
    void countSend(const std::string& service);
    void observeFirstByte(const std::string& route, duration latency);

    // Prometheus text format.
    std::string render() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_outcomes;
    prometheus::Family<prometheus::Counter>& m_sends;
    prometheus::Family<prometheus::Histogram>& m_latency;
};

} // namespace pollen
