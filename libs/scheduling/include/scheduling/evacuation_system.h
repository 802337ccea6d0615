#pragma once

#include <base/logger.h>
#include <fleet/server_table.h>
#include <scheduling/warm_up_table.h>
#include <set>

namespace pollen {

// Applies the operators' orders to evacuate failure domains. While an order is in force, no new request is sent to a
// server of its domain; requests that run there finish. When an order has been withdrawn, the servers of the domain
// count as cold, because they may have become cold meanwhile.
class evacuation_system {
public:
    evacuation_system(server_table& servers, warm_up_table& warmUps, logger& log)
        : m_servers(servers)
        , m_warmUps(warmUps)
        , m_log(log)
    {
    }

    // Replaces the domains that are under evacuation.
    void setDomains(const std::set<failure_domain_name>& domains, time_point now);

    const std::set<failure_domain_name>& domains() const { return m_domains; }

private:
    size_t countServers(const failure_domain_name& domain) const;
    void onWithdrawn(const failure_domain_name& domain, time_point now);

    server_table& m_servers;
    warm_up_table& m_warmUps;
    logger& m_log;
    std::set<failure_domain_name> m_domains;
};

} // namespace pollen
