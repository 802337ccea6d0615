#include "balancer.h"

#include <nlohmann/json.hpp>

namespace pollen {

namespace {

constexpr duration statusInterval = std::chrono::milliseconds(20);
// Readiness is asked for once in this many rounds of status.
constexpr int roundsPerReadiness = 10;

} // namespace

balancer::balancer(event_loop& loop, http_client& client, const planned_fleet& fleet, random_source& random)
    : m_client(client)
    , m_fleet(fleet)
    , m_random(random)
    , m_timer(loop, [this] { poll(); })
    , m_ready(fleet.daemons.size(), false)
    , m_versions(fleet.daemons.size(), 0)
{
    m_timer.startRepeating(statusInterval);
}

std::optional<size_t> balancer::pick(int avoid)
{
    std::vector<size_t> candidates;
    for (size_t i = 0; i < m_ready.size(); ++i) {
        if (m_ready[i] && static_cast<int>(i) != avoid)
            candidates.push_back(i);
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[std::uniform_int_distribution<size_t>(0, candidates.size() - 1)(m_random)];
}

void balancer::poll()
{
    const bool readiness = m_turn++ % roundsPerReadiness == 0;
    for (size_t i = 0; i < m_fleet.daemons.size(); ++i) {
        pollStatus(i);
        if (!readiness)
            continue;
        m_client.fetch(m_fleet.daemons[i].callers, { "GET", "/readyz", {}, "" }, {},
            [this, i](const exchange_result& result, const http_response& response) {
                m_ready[i] = result.ok() && response.status == 200;
            });
    }
}

void balancer::pollStatus(size_t index)
{
    const planned_daemon& daemon = m_fleet.daemons[index];
    m_client.fetch(daemon.operators, { "GET", "/admin/status", {}, "" }, {},
        [this, index, &daemon](const exchange_result& result, const http_response& response) {
            const auto status = nlohmann::json::parse(response.body, nullptr, false);
            if (!result.ok() || !status.is_object())
                return;
            const uint64_t version = status.value("configuration_version", uint64_t { 0 });
            if (version == m_versions[index])
                return;
            const int64_t now = os_clock().wallMilliseconds();
            m_sightings.push_back({ daemon.id, version, now, version < m_versions[index] });
            m_versions[index] = version;
        });
}

} // namespace pollen
