#include <relay/relay_metrics.h>

#include <prometheus/text_serializer.h>

namespace pollen {

namespace {

const prometheus::Histogram::BucketBoundaries latencySeconds { 0.01, 0.05, 0.1, 0.3, 1, 2, 3, 6, 12 };
const prometheus::Histogram::BucketBoundaries ageSeconds { 0.5, 1, 1.5, 2, 3, 4, 6, 10, 30 };

} // namespace

relay_metrics::relay_metrics()
    : m_outcomes(prometheus::BuildCounter()
                     .Name("pollen_relay_requests_total")
                     .Help("Requests by route, team, outcome and reason")
                     .Register(m_registry))
    , m_sends(prometheus::BuildCounter()
                  .Name("pollen_relay_sends_total")
                  .Help("Requests sent to servers, repeats included")
                  .Register(m_registry))
    , m_limitedSends(prometheus::BuildCounter()
                         .Name("pollen_relay_limited_sends_total")
                         .Help("Requests sent to servers that have named a rate limit, repeats included")
                         .Register(m_registry))
    , m_permits(prometheus::BuildCounter()
                    .Name("pollen_relay_permits_total")
                    .Help("Permits asked for to use servers that have named a rate limit")
                    .Register(m_registry))
    , m_repeats(prometheus::BuildCounter()
                    .Name("pollen_relay_repeats_total")
                    .Help("Requests to be sent once more after they had arrived at a server")
                    .Register(m_registry))
    , m_slowAnswerRepeats(prometheus::BuildCounter()
                              .Name("pollen_relay_slow_answer_repeats_total")
                              .Help("Requests to be sent to another server because the first one is slow")
                              .Register(m_registry))
    , m_serverCrashes(prometheus::BuildCounter()
                          .Name("pollen_relay_server_ends_total")
                          .Help("Servers that may have ended while they ran a request, by what was found out")
                          .Register(m_registry))
    , m_serverStatements(prometheus::BuildCounter()
                             .Name("pollen_relay_server_statements_total")
                             .Help("What servers have said of themselves in answers: that they leave, or pause")
                             .Register(m_registry))
    , m_brokenStreams(prometheus::BuildCounter()
                          .Name("pollen_relay_broken_streams_total")
                          .Help("Runs of streams that servers did not complete, by what shows it")
                          .Register(m_registry))
    , m_latency(prometheus::BuildHistogram()
                    .Name("pollen_relay_first_byte_seconds")
                    .Help("Time to the first byte of an answer")
                    .Register(m_registry))
    , m_teamLatency(prometheus::BuildHistogram()
                        .Name("pollen_relay_team_first_byte_seconds")
                        .Help("Time to the first byte of an answer, by team")
                        .Register(m_registry))
    , m_denialAge(prometheus::BuildHistogram()
                      .Name("pollen_relay_denial_configuration_age_seconds")
                      .Help("Age of the configuration by which requests were denied, by reason")
                      .Register(m_registry))
    , m_configurationAge(prometheus::BuildGauge()
                             .Name("pollen_relay_configuration_age_seconds")
                             .Help("Time since the configuration was last known to be the newest")
                             .Register(m_registry)
                             .Add({}))
    , m_openRequests(prometheus::BuildGauge()
                         .Name("pollen_relay_open_requests")
                         .Help("Requests that are not finished")
                         .Register(m_registry)
                         .Add({}))
    , m_quarantined(prometheus::BuildGauge()
                        .Name("pollen_relay_quarantined_requests")
                        .Help("Requests that are sent to no server because servers ended under them")
                        .Register(m_registry)
                        .Add({}))
    , m_coldServers(prometheus::BuildGauge()
                        .Name("pollen_relay_cold_servers")
                        .Help("Servers that are cold and get requests by permit only")
                        .Register(m_registry)
                        .Add({}))
    , m_evacuatedDomains(prometheus::BuildGauge()
                             .Name("pollen_relay_evacuated_domains")
                             .Help("Failure domains whose servers get no new requests by the operators' order")
                             .Register(m_registry)
                             .Add({}))
{
}

void relay_metrics::countOutcome(
    const std::string& route, const std::string& team, const std::string& outcome, const std::string& reason)
{
    m_outcomes.Add({ { "route", route }, { "team", team }, { "outcome", outcome }, { "reason", reason } }).Increment();
}

void relay_metrics::setGauges(
    duration configurationAge, size_t openRequests, size_t quarantined, size_t coldServers, size_t evacuatedDomains)
{
    m_configurationAge.Set(toSeconds(configurationAge));
    m_openRequests.Set(static_cast<double>(openRequests));
    m_quarantined.Set(static_cast<double>(quarantined));
    m_coldServers.Set(static_cast<double>(coldServers));
    m_evacuatedDomains.Set(static_cast<double>(evacuatedDomains));
}

void relay_metrics::countSend(const std::string& service) { m_sends.Add({ { "service", service } }).Increment(); }

void relay_metrics::countLimitedSend(const std::string& service)
{
    m_limitedSends.Add({ { "service", service } }).Increment();
}

void relay_metrics::countPermit(const std::string& service, bool granted)
{
    m_permits.Add({ { "service", service }, { "outcome", granted ? "granted" : "denied" } }).Increment();
}

void relay_metrics::countRepeat(const std::string& service, const std::string& outcome)
{
    m_repeats.Add({ { "service", service }, { "outcome", outcome } }).Increment();
}

void relay_metrics::countSlowAnswerRepeat(const std::string& service, const std::string& outcome)
{
    m_slowAnswerRepeats.Add({ { "service", service }, { "outcome", outcome } }).Increment();
}

void relay_metrics::countServerCrash(const std::string& service, const std::string& sign, const std::string& verdict)
{
    m_serverCrashes.Add({ { "service", service }, { "sign", sign }, { "verdict", verdict } }).Increment();
}

void relay_metrics::countServerStatement(const std::string& service, const std::string& statement)
{
    m_serverStatements.Add({ { "service", service }, { "statement", statement } }).Increment();
}

void relay_metrics::countBrokenStream(const std::string& service, const std::string& reason)
{
    m_brokenStreams.Add({ { "service", service }, { "reason", reason } }).Increment();
}

void relay_metrics::observeDenial(const std::string& reason, duration configurationAge)
{
    m_denialAge.Add({ { "reason", reason } }, ageSeconds).Observe(toSeconds(configurationAge));
}

void relay_metrics::observeFirstByte(const std::string& route, const std::string& team, duration latency)
{
    m_teamLatency.Add({ { "team", team } }, latencySeconds).Observe(toSeconds(latency));
    m_latency.Add({ { "route", route } }, latencySeconds).Observe(toSeconds(latency));
}

std::string relay_metrics::render() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

} // namespace pollen
