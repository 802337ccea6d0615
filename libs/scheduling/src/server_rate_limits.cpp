#include <scheduling/server_rate_limits.h>

#include <algorithm>

namespace pollen {

namespace {

// All daemons of a failure domain exchange their notices several times within this time.
constexpr duration endedLimitLifetime = std::chrono::seconds(5);
// A server that takes nothing still gets a request now and then; only an answer shows that its limit has changed.
constexpr double minimumRequestsPerSecond = 0.1;
// Permits that all daemons together may hold in addition to those of one second.
constexpr double additionalPermits = 4;

} // namespace

bool server_rate_limits::recordAnswer(
    const instance_id& server, std::optional<double> limit, time_point sentAt, time_point now)
{
    const auto known = m_statements.find(server);
    if (!limit && (known == m_statements.end() || !known->second.limit || sentAt <= known->second.statedAt))
        return false;
    const bool changed = known == m_statements.end() || known->second.limit != limit;
    m_statements[server] = { m_random(), limit, now };
    return changed;
}

bool server_rate_limits::merge(const rate_limit_notice& notice, time_point receivedAt)
{
    const time_point statedAt = receivedAt - std::max(notice.age, duration(0));
    const auto known = m_statements.find(notice.server);
    if (known == m_statements.end() && !notice.limit)
        return false;
    if (known != m_statements.end() && (known->second.id == notice.statement || known->second.statedAt >= statedAt))
        return false;
    const bool changed = known == m_statements.end() || known->second.limit != notice.limit;
    m_statements[notice.server] = { notice.statement, notice.limit, statedAt };
    return changed;
}

std::optional<double> server_rate_limits::find(const instance_id& server) const
{
    const auto known = m_statements.find(server);
    return known == m_statements.end() ? std::nullopt : known->second.limit;
}

std::optional<send_limit> server_rate_limits::limitOf(const instance_id& server) const
{
    std::optional<send_limit> limit;
    if (const auto named = find(server)) {
        const double rate = std::max(*named, minimumRequestsPerSecond);
        limit = send_limit { rate, rate + additionalPermits };
    }
    const auto cold = m_warmUps.find(server);
    if (!cold)
        return limit;
    const send_limit named = limit.value_or(send_limit { cold->requestsPerSecond, cold->burst });
    return send_limit { std::min(named.requestsPerSecond, cold->requestsPerSecond), std::min(named.burst, cold->burst),
        true };
}

std::vector<rate_limit_notice> server_rate_limits::notices(time_point now) const
{
    std::vector<rate_limit_notice> notices;
    notices.reserve(m_statements.size());
    for (const auto& [server, known] : m_statements)
        notices.push_back({ server, known.id, known.limit, now - known.statedAt });
    return notices;
}

void server_rate_limits::removeExpired(const server_table& servers, time_point now)
{
    m_warmUps.removeUnlisted(servers);
    std::erase_if(m_statements, [&](const auto& item) {
        const auto& [server, known] = item;
        const bool isInForce = known.limit && servers.isListed(server);
        return !isInForce && now - known.statedAt > endedLimitLifetime;
    });
}

} // namespace pollen
