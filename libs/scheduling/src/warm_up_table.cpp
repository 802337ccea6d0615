#include <scheduling/warm_up_table.h>

#include <algorithm>
#include <utility>

namespace pollen {

namespace {

// Longest time that a statement is believed for while the service's own limit is not known.
constexpr duration maximumWarmUp = std::chrono::seconds(60);
// Older statements count as being of this age.
constexpr duration maximumStatementAge = std::chrono::hours(24);
// Statements of other daemons that are older than this are no longer passed on by anyone.
constexpr duration warmStatementLifetime = std::chrono::seconds(10);

} // namespace

void warm_up_table::setRules(std::map<service_name, warm_up_rule> rules)
{
    m_rules = std::move(rules);
    std::erase_if(m_servers, [&](const auto& item) { return !ruleOf(item.second.service); });
}

const warm_up_rule* warm_up_table::ruleOf(const service_name& service) const
{
    if (!m_rules)
        return nullptr;
    const auto found = m_rules->find(service);
    return found == m_rules->end() ? nullptr : &found->second;
}

void warm_up_table::store(const instance_id& server, const cold_server& cold)
{
    if (!mayHaveWarmUp(cold.service))
        return;
    cold_server limited = cold;
    const warm_up_rule* rule = ruleOf(cold.service);
    limited.until = std::min(cold.until, cold.statedAt + (rule ? rule->time : maximumWarmUp));
    if (limited.until <= limited.statedAt) {
        m_servers.erase(server);
        m_warmSince[server] = cold.statedAt;
        return;
    }
    m_warmSince.erase(server);
    m_servers[server] = limited;
}

void warm_up_table::recordEntry(const instance_id& server, const service_name& service, std::optional<duration> left,
    time_point now, int64_t processStart)
{
    const auto [process, isNew] = m_processes.try_emplace(server, processStart);
    const bool isSameProcess = std::exchange(process->second, processStart) == processStart;
    // Another daemon may have told of the server before its entry was read.
    const bool isKnown = isNew ? m_servers.contains(server) || m_warmSince.contains(server) : isSameProcess;
    if (left || !isKnown)
        store(server, { service, now, now + left.value_or(maximumWarmUp), m_random() });
}

bool warm_up_table::recordAnswer(const instance_id& server, const service_name& service, duration left, time_point now)
{
    const bool wasCold = m_servers.contains(server);
    store(server, { service, now, now + left, m_random(), true });
    return m_servers.contains(server) != wasCold;
}

void warm_up_table::recordRefusedConnection(const instance_id& server, const service_name& service, time_point now)
{
    const auto known = m_servers.find(server);
    if (known != m_servers.end() && known->second.isUnreachable)
        return;
    store(server, { service, now, now + maximumWarmUp, m_random(), true, true });
}

void warm_up_table::recordReachable(const instance_id& server, time_point now)
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end() || !known->second.isUnreachable)
        return;
    const cold_server cold = known->second;
    store(server, { cold.service, now, now + maximumWarmUp, m_random(), true });
}

void warm_up_table::presumeCold(const instance_id& server, const service_name& service, time_point now)
{
    store(server, { service, now, now + maximumWarmUp, m_random() });
}

void warm_up_table::merge(const warm_up_notice& notice, time_point receivedAt)
{
    const time_point statedAt = receivedAt - std::clamp(notice.age, duration(0), maximumStatementAge);
    const auto known = m_servers.find(notice.server);
    if (known != m_servers.end() && (known->second.statement == notice.statement || known->second.statedAt >= statedAt))
        return;
    const auto warm = m_warmSince.find(notice.server);
    if (warm != m_warmSince.end() && warm->second >= statedAt)
        return;
    const duration left = std::clamp(notice.left, duration(0), maximumWarmUp);
    // A notice that has expired on the way says no more than that the server is warm.
    if (notice.isUnreachable || statedAt + left > receivedAt || known != m_servers.end())
        store(notice.server,
            { notice.service, statedAt, statedAt + left, notice.statement, notice.isShared, notice.isUnreachable });
}

std::optional<warm_up_rule> warm_up_table::find(const instance_id& server) const
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end())
        return std::nullopt;
    // A daemon that does not know the rules yet may allocate permits for others, and grants none.
    if (!m_rules)
        return warm_up_rule { maximumWarmUp, 0, 0 };
    const warm_up_rule* rule = ruleOf(known->second.service);
    return rule ? std::optional(*rule) : std::nullopt;
}

warm_up_notice warm_up_table::toNotice(const instance_id& server, const cold_server& cold, time_point now)
{
    return { server, cold.service, cold.statement, cold.isShared, cold.isUnreachable, cold.until - cold.statedAt,
        now - cold.statedAt };
}

std::vector<warm_up_notice> warm_up_table::notices(time_point now) const
{
    std::vector<warm_up_notice> notices;
    for (const auto& [server, cold] : m_servers) {
        if (cold.isShared)
            notices.push_back(toNotice(server, cold, now));
    }
    return notices;
}

std::vector<warm_up_notice> warm_up_table::noticesOf(const std::vector<instance_id>& servers, time_point now) const
{
    std::vector<warm_up_notice> notices;
    for (const instance_id& server : servers) {
        const auto known = m_servers.find(server);
        if (known != m_servers.end())
            notices.push_back(toNotice(server, known->second, now));
    }
    return notices;
}

void warm_up_table::removeWarm(time_point now)
{
    std::erase_if(m_servers, [&](const auto& item) {
        const cold_server& cold = item.second;
        const warm_up_rule* rule = ruleOf(cold.service);
        const time_point until = rule ? std::min(cold.until, cold.statedAt + rule->time) : cold.until;
        const bool isWarm = !cold.isUnreachable && now >= until;
        if (isWarm)
            m_warmSince[item.first] = cold.statedAt;
        return isWarm;
    });
    std::erase_if(m_warmSince, [&](const auto& item) { return now - item.second > warmStatementLifetime; });
}

void warm_up_table::removeUnlisted(const server_table& servers)
{
    // Other statements run out by themselves, and may precede the list.
    std::erase_if(
        m_servers, [&](const auto& item) { return item.second.isUnreachable && !servers.isListed(item.first); });
    std::erase_if(m_processes, [&](const auto& item) { return !servers.isListed(item.first); });
}

} // namespace pollen
