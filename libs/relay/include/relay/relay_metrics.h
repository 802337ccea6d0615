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

    // route, team and reason are empty if unknown.
    void countOutcome(
        const std::string& route, const std::string& team, const std::string& outcome, const std::string& reason);
    void countSend(const std::string& service);
    // A request sent to a server that has named a rate limit.
    void countLimitedSend(const std::string& service);
    // A request for a permit to use a server that has named a rate limit.
    void countPermit(const std::string& service, bool granted);
    // A repeat is a further attempt of a request that has already reached a server. outcome: "sent", or "denied" if
    // the repeat allowance is exhausted.
    void countRepeat(const std::string& service, const std::string& outcome);
    // A repeat because of a slow server. outcome: "sent", "denied_by_limit" (the operators' limit is used up),
    // "denied_by_retry_budget", or "won" once a repeat that was sent is answered in time.
    void countSlowAnswerRepeat(const std::string& service, const std::string& outcome);
    // A server may have crashed while it ran a request. sign: the symptom, such as a lost connection. verdict: the
    // result of the check.
    void countServerCrash(const std::string& service, const std::string& sign, const std::string& verdict);
    // statement: "leaving", "pause", "cold" or "unreadable".
    void countServerStatement(const std::string& service, const std::string& statement);
    // A server's run of a stream has ended and is not whole, for this reason.
    void countBrokenStream(const std::string& service, const std::string& reason);
    // A request denied on the strength of the configuration. reason: as in countOutcome(). configurationAge: as in
    // setGauges().
    void observeDenial(const std::string& reason, duration configurationAge);
    void observeFirstByte(const std::string& route, const std::string& team, duration latency);
    // Updates the gauges before they are rendered. configurationAge: time since the configuration was last confirmed to
    // be the newest. quarantined: requests that are no longer sent to any server because servers crashed running them.
    // coldServers: see warm_up_table. evacuatedDomains: failure domains that get no new requests.
    void setGauges(duration configurationAge, size_t openRequests, size_t quarantined, size_t coldServers,
        size_t evacuatedDomains);

    // Prometheus text format.
    std::string render() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_outcomes;
    prometheus::Family<prometheus::Counter>& m_sends;
    prometheus::Family<prometheus::Counter>& m_limitedSends;
    prometheus::Family<prometheus::Counter>& m_permits;
    prometheus::Family<prometheus::Counter>& m_repeats;
    prometheus::Family<prometheus::Counter>& m_slowAnswerRepeats;
    prometheus::Family<prometheus::Counter>& m_serverCrashes;
    prometheus::Family<prometheus::Counter>& m_serverStatements;
    prometheus::Family<prometheus::Counter>& m_brokenStreams;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Family<prometheus::Histogram>& m_teamLatency;
    prometheus::Family<prometheus::Histogram>& m_denialAge;
    prometheus::Gauge& m_configurationAge;
    prometheus::Gauge& m_openRequests;
    prometheus::Gauge& m_quarantined;
    prometheus::Gauge& m_coldServers;
    prometheus::Gauge& m_evacuatedDomains;
};

} // namespace pollen
