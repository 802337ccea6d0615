#include <gateway/decision_journal.h>

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

nlohmann::ordered_json describe(const journal_decision& step)
{
    nlohmann::ordered_json json;
    json["outcome"] = toText(step.decision.outcome);
    if (step.decision.outcome == route_outcome::Chosen) {
        json["reason"] = toText(step.decision.reason);
        json["version"] = step.document->versions[step.decision.version.index].ref.text();
        json["server"] = step.server.text();
    }
    json["candidates"] = nlohmann::ordered_json::array();
    for (const route_candidate& candidate : step.decision.candidates) {
        nlohmann::ordered_json entry;
        entry["version"] = step.document->versions[candidate.version.index].ref.text();
        entry["excluded"] = toText(candidate.excluded);
        entry["predicted_cost"] = candidate.predictedCost;
        entry["expected_quality"] = candidate.expectedQuality;
        entry["predicted_ms"] = toMilliseconds(candidate.predictedTime);
        json["candidates"].push_back(std::move(entry));
    }
    return json;
}

} // namespace

decision_journal::decision_journal(size_t capacity)
    : m_capacity(capacity)
{
}

void decision_journal::add(const request_id& request, journal_step step)
{
    const auto [entry, added] = m_steps.try_emplace(request);
    entry->second.push_back(std::move(step));
    if (!added)
        return;
    m_order.push_back(request);
    if (m_order.size() <= m_capacity)
        return;
    m_steps.erase(m_order.front());
    m_order.pop_front();
}

std::optional<std::string> decision_journal::explain(const request_id& request) const
{
    const auto found = m_steps.find(request);
    if (found == m_steps.end())
        return std::nullopt;
    nlohmann::ordered_json json;
    json["request"] = request.text();
    json["steps"] = nlohmann::ordered_json::array();
    for (const journal_step& step : found->second) {
        nlohmann::ordered_json entry { { "time_ms", step.timeMilliseconds }, { "event", step.event } };
        if (!step.detail.empty())
            entry["detail"] = step.detail;
        if (step.decision)
            entry["decision"] = describe(*step.decision);
        json["steps"].push_back(std::move(entry));
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace pollen
