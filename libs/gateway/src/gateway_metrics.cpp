#include <gateway/gateway_metrics.h>

#include <prometheus/text_serializer.h>

namespace pollen {

namespace {

// Upper bounds in seconds. 0.97 s and 30 ms are the targets for latency and token intervals.
const prometheus::Histogram::BucketBoundaries latencySeconds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.97, 2, 5, 10,
    30, 60 };
const prometheus::Histogram::BucketBoundaries tokenSeconds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.25,
    1 };

prometheus::Family<prometheus::Histogram>& histogram(
    prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>& counter(
    prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Labels withOutcome(prometheus::Labels labels, const std::string& outcome)
{
    labels["outcome"] = outcome;
    return labels;
}

} // namespace

gateway_metrics::gateway_metrics()
    : m_latency(histogram(m_registry, "pollen_request_seconds", "Time from request to the last byte of the answer"))
    , m_firstToken(histogram(m_registry, "pollen_first_token_seconds", "Time from request to the first token"))
    , m_betweenTokens(histogram(m_registry, "pollen_between_tokens_seconds", "Time between parts of a stream"))
    , m_outputTokens(counter(m_registry, "pollen_output_tokens_total", "Tokens generated and billed"))
    , m_cost(counter(m_registry, "pollen_cost_total", "Cost billed, in the fleet's currency"))
    , m_requests(counter(m_registry, "pollen_requests_total", "Requests by team, class and outcome"))
    , m_retries(counter(m_registry, "pollen_retries_total", "Attempts after the first, by the failure before"))
    , m_routed(counter(m_registry, "pollen_routed_total", "Requests sent, by version or service"))
{
}

team_class_metrics& gateway_metrics::forTeamAndClass(const team_name& team, const class_name& requestClass)
{
    auto& entry = m_byTeamClass[{ team, requestClass }];
    if (!entry) {
        const prometheus::Labels labels { { "team", team.text() }, { "class", requestClass.text() } };
        entry.reset(new team_class_metrics { m_latency.Add(labels, latencySeconds),
            m_firstToken.Add(labels, latencySeconds), m_betweenTokens.Add(labels, tokenSeconds),
            m_outputTokens.Add(labels), m_cost.Add(labels), m_requests.Add(withOutcome(labels, "ok")) });
    }
    return *entry;
}

void gateway_metrics::countRequest(const team_name& team, const class_name& requestClass, const std::string& outcome)
{
    const prometheus::Labels labels { { "team", team.text() }, { "class", requestClass.text() } };
    m_requests.Add(withOutcome(labels, outcome)).Increment();
}

void gateway_metrics::countRetry(const std::string& reason) { m_retries.Add({ { "reason", reason } }).Increment(); }

void gateway_metrics::countRouted(const std::string& target)
{
    prometheus::Counter*& counter = m_byTarget[target];
    if (!counter)
        counter = &m_routed.Add({ { "target", target } });
    counter->Increment();
}

void gateway_metrics::setGauge(const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add({}).Set(value);
}

std::string gateway_metrics::render() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

} // namespace pollen
