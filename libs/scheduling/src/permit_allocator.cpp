#include <scheduling/permit_allocator.h>

#include <scheduling/request_hash.h>

namespace pollen {

namespace {

// Reported while the domain has no share or no permit is due soon.
constexpr duration maximumWait = std::chrono::seconds(2);

} // namespace

permit_allocator::share permit_allocator::shareOf(const instance_id& server, const send_limit& limit) const
{
    const auto weight = [&](const failure_domain_name& domain) { return hashOf(domain.text(), hashOf(server.text())); };
    const uint64_t ownWeight = weight(m_domain);
    const auto rank = static_cast<size_t>(std::count_if(m_domains.begin(), m_domains.end(),
        [&](const failure_domain_name& domain) { return domain != m_domain && weight(domain) > ownWeight; }));
    const auto mostSharing = std::max<size_t>(static_cast<size_t>(std::min(limit.burst, 1e6)), 1);
    const size_t sharing = std::min(std::max<size_t>(m_domains.size(), 1), mostSharing);
    if (rank >= sharing)
        return {};
    const auto parts = static_cast<double>(sharing);
    if (!limit.isStrict)
        return { limit.requestsPerSecond / parts * m_part, limit.burst / parts };
    // Groups that do not hear of each other share the burst as well. A group holds one permit at least, which takes the
    // longer to accumulate the smaller its part is.
    return { limit.requestsPerSecond / parts * m_strictPart, std::max(limit.burst / parts * m_strictPart, 1.0) };
}

permit_decision permit_allocator::take(const std::vector<instance_id>& servers, time_point now)
{
    duration wait = maximumWait;
    for (const instance_id& server : servers) {
        const auto limit = m_limits.limitOf(server);
        if (!limit)
            return { server, duration(0) };
        token_bucket& bucket = m_buckets.try_emplace(server, now).first->second;
        const share own = shareOf(server, *limit);
        bucket.refill(own.rate, own.capacity, now);
        if (bucket.take())
            return { server, duration(0) };
        if (own.rate <= 0)
            continue;
        const std::chrono::duration<double> missing((1 - bucket.tokens()) / own.rate);
        wait = std::min(wait, std::chrono::duration_cast<duration>(missing));
    }
    return { std::nullopt, wait };
}

void permit_allocator::removeUnlimited()
{
    std::erase_if(m_buckets, [&](const auto& item) { return !m_limits.limitOf(item.first); });
}

} // namespace pollen
