#pragma once

#include <base/clock.h>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace pollen {

// Counters and latency histograms of the relay, by route and by team.
class relay_metrics {
public:
    relay_metrics();

    // Empty texts where the route or the team was not found, or where there is no reason.
    void countOutcome(
        const std::string& route, const std::string& team, const std::string& outcome, const std::string& reason);
    void countSend(const std::string& service);
    // A request was to be sent once more after it had arrived at a server. outcome: "sent", or "denied" where the share
    // of repeats is spent.
    void countRepeat(const std::string& service, const std::string& outcome);
    // A server may have ended while it ran a request. sign: what showed it. verdict: what was found out.
    void countServerCrash(const std::string& service, const std::string& sign, const std::string& verdict);
    void observeFirstByte(const std::string& route, const std::string& team, duration latency);
    // State at the time of asking. configurationAge: since the configuration was last known to be the newest.
    // quarantined: requests that are sent to no server because servers ended under them.
    void setGauges(duration configurationAge, size_t openRequests, size_t quarantined);

    // Prometheus text format.
    std::string render() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_outcomes;
    prometheus::Family<prometheus::Counter>& m_sends;
    prometheus::Family<prometheus::Counter>& m_repeats;
    prometheus::Family<prometheus::Counter>& m_serverCrashes;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Family<prometheus::Histogram>& m_teamLatency;
    prometheus::Gauge& m_configurationAge;
    prometheus::Gauge& m_openRequests;
    prometheus::Gauge& m_quarantined;
};

} // namespace pollen
