#include <algorithm>
#include <scheduling/evacuation_system.h>

namespace pollen {

void evacuation_system::setDomains(const std::set<failure_domain_name>& domains, time_point now)
{
    if (domains == m_domains)
        return;
    const std::set<failure_domain_name> previous = std::exchange(m_domains, domains);
    m_servers.setEvacuatedDomains(domains);
    for (const failure_domain_name& domain : domains) {
        if (previous.contains(domain))
            continue;
        m_log.write(log_level::Info, "evacuation_started",
            { { "failure_domain", domain.text() }, { "servers", static_cast<int64_t>(countServers(domain)) } });
    }
    for (const failure_domain_name& domain : previous) {
        if (!domains.contains(domain))
            onWithdrawn(domain, now);
    }
}

size_t evacuation_system::countServers(const failure_domain_name& domain) const
{
    return static_cast<size_t>(std::count_if(m_servers.rows().begin(), m_servers.rows().end(),
        [&](const server_row& row) { return row.used && row.entry.failureDomain == domain; }));
}

void evacuation_system::onWithdrawn(const failure_domain_name& domain, time_point now)
{
    m_log.write(log_level::Info, "evacuation_withdrawn",
        { { "failure_domain", domain.text() }, { "servers", static_cast<int64_t>(countServers(domain)) } });
    for (const server_row& row : m_servers.rows()) {
        if (row.used && row.entry.failureDomain == domain)
            m_warmUps.presumeCold(row.entry.id, row.entry.service, now);
    }
}

} // namespace pollen
