#pragma once

#include <scheduling/server_rate_limits.h>
#include <scheduling/token_bucket.h>

namespace pollen {

// Whether a request may be sent to one of the servers that it was asked for.
struct permit_decision {
    // The server that the request may be sent to, at once; none if all are at their limit.
    std::optional<instance_id> server;
    // Without a server: time until one of them may take a request again.
    duration wait { 0 };

    friend bool operator==(const permit_decision&, const permit_decision&) = default;
};

// Grants permits for requests to servers that have named a rate limit. Each failure domain owns a fixed share of each
// limit, so that the shares add up to the limit whichever domains reach each other; one daemon of the domain allocates
// it. Unused permits accumulate to the burst of the limit, for all domains together.
class permit_allocator {
public:
    // domain: the failure domain whose share is allocated.
    permit_allocator(failure_domain_name domain, const server_rate_limits& limits)
        : m_domain(std::move(domain))
        , m_limits(limits)
    {
    }

    // All failure domains of the fleet, including the allocator's own.
    void setDomains(std::vector<failure_domain_name> domains) { m_domains = std::move(domains); }

    // The part of the domain's share that may be allocated here, 0 to 1; the rest belongs to daemons of the domain that
    // may take their permits elsewhere. strictPart: the same for strict limits.
    void setPart(double part, double strictPart)
    {
        m_part = part;
        m_strictPart = strictPart;
    }

    // servers: in the order of preference. A server without a limit needs no permit and is granted.
    permit_decision take(const std::vector<instance_id>& servers, time_point now);

    // Forgets servers that name no limit any more.
    void removeUnlimited();

    // Gives up all unused permits, as another daemon may have allocated the domain's share meanwhile.
    void clear() { m_buckets.clear(); }

private:
    struct share {
        // Permits a second.
        double rate = 0;
        double capacity = 0;
    };

    // Limits of a few requests a second are shared by as many domains only as can hold one permit each.
    share shareOf(const instance_id& server, const send_limit& limit) const;

    failure_domain_name m_domain;
    const server_rate_limits& m_limits;
    std::vector<failure_domain_name> m_domains;
    double m_part = 1;
    double m_strictPart = 1;
    std::unordered_map<instance_id, token_bucket> m_buckets;
};

} // namespace pollen
