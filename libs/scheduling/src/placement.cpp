#include <scheduling/placement.h>

#include <algorithm>
#include <array>
#include <limits>

namespace pollen {

namespace {

// Prompt tokens that an engine processes per millisecond with the largest models, from the fleets' data sheets.
constexpr double tokensReadPerMillisecond = 16;
// Delay of the first token by each request that already runs on an engine.
constexpr double millisecondsPerOutstandingRequest = 4;
constexpr double millisecondsPerRequest = 20;
// Cost of another failure domain: the round trip, and traffic between domains is charged for.
constexpr double otherDomainMilliseconds = 12;
constexpr double unavailableServerMilliseconds = 400;
constexpr size_t maximumRememberedParts = 4096;
// Servers that the daemons agree on for a shared part, in order; when one is overloaded, its part goes to the next.
constexpr size_t preferredServersPerPart = 2;
// Expected share of the shared tokens in the cache of each preferred server.
constexpr std::array<double, preferredServersPerPart> expectedCachedShare { 1, 0.5 };

uint64_t mix(uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

// Rendezvous hashing: all daemons rank the servers of a part alike without communication.
uint64_t rendezvousWeight(uint64_t part, const instance_id& server)
{
    return mix(part ^ mix(std::hash<std::string>()(server.text())));
}

// The last part that other requests may share; the part after it belongs to the request or its session.
uint64_t deepestSharedPart(const std::vector<prompt_part>& parts)
{
    if (parts.empty())
        return 0;
    return parts.size() >= 2 ? parts[parts.size() - 2].id : parts.front().id;
}

} // namespace

bool placement::matchesServiceAndVersion(const server_row& row, const placement_request& request)
{
    if (row.entry.service != request.service)
        return false;
    const version_name version = row.entry.versions.empty() ? version_name() : row.entry.versions.front().version;
    if (!request.onlyVersion.empty() && version != request.onlyVersion)
        return false;
    return request.notVersion.empty() || version != request.notVersion;
}

bool placement::isEligible(const server_row& row, server_handle server, const placement_request& request)
{
    if (!row.mayGetRequests() || !matchesServiceAndVersion(row, request))
        return false;
    const auto contains = [&](const std::vector<server_handle>& servers) {
        return std::find(servers.begin(), servers.end(), server) != servers.end();
    };
    return !contains(request.excluded) && (request.onlyServers.empty() || contains(request.onlyServers));
}

std::vector<server_handle> placement::preferredServers(
    uint64_t part, const placement_request& request, const server_table& servers)
{
    std::vector<std::pair<uint64_t, server_handle>> best;
    for (uint32_t index = 0; index < servers.rows().size(); ++index) {
        const server_row& row = servers.rows()[index];
        if (!isEligible(row, { index }, request))
            continue;
        best.emplace_back(rendezvousWeight(part, row.entry.id), server_handle { index });
        std::sort(
            best.begin(), best.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
        best.resize(std::min(best.size(), preferredServersPerPart));
    }
    std::vector<server_handle> preferred;
    preferred.reserve(best.size());
    for (const auto& [weight, server] : best)
        preferred.push_back(server);
    return preferred;
}

uint32_t placement::unreadTokens(const server_row& row, server_handle server, const placement_request& request,
    const std::vector<server_handle>& preferred) const
{
    const uint32_t cached = cachedTokens(row.entry.id, request);
    const auto home = std::find(preferred.begin(), preferred.end(), server);
    if (home == preferred.end())
        return request.promptTokens - cached;
    // Other daemons send the shared parts to this server too, so it probably has them cached even if this daemon has
    // not sent them.
    uint32_t shared = 0;
    for (size_t i = 0; i + 1 < request.parts.size(); ++i)
        shared += request.parts[i].tokens;
    const double share = expectedCachedShare[static_cast<size_t>(home - preferred.begin())];
    const auto expected = static_cast<uint32_t>(std::min(shared, request.promptTokens) * share);
    return request.promptTokens - std::max(cached, expected);
}

std::optional<placement_choice> placement::choose(
    const placement_request& request, const server_table& servers, const relay_service& service, time_point now)
{
    struct candidate {
        server_handle server;
        uint32_t unread;
        double cost;
    };
    std::vector<candidate> candidates;
    const std::vector<server_handle> preferred = request.parts.empty() || !service.engine || request.assumeColdCaches
        ? std::vector<server_handle>()
        : preferredServers(deepestSharedPart(request.parts), request, servers);
    for (uint32_t index = 0; index < servers.rows().size(); ++index) {
        const server_row& row = servers.rows()[index];
        const server_handle server { index };
        // A server that is merely thought to be unavailable is the last choice; one that has named a pause is none.
        if (!isEligible(row, server, request) || now < row.notBefore)
            continue;
        candidate entry { server, 0, 0 };
        if (!row.isAvailable(now))
            entry.cost += unavailableServerMilliseconds * 100;
        if (row.entry.failureDomain != request.failureDomain)
            entry.cost += otherDomainMilliseconds;
        const double outstanding = row.outstanding();
        if (!service.engine) {
            const double slots = std::max<uint32_t>(row.entry.slots, 1);
            entry.cost += outstanding / slots * millisecondsPerRequest * row.slowdown(now) * 2;
            entry.cost += (row.slowdown(now) - 1) * millisecondsPerRequest;
            candidates.push_back(entry);
            continue;
        }
        entry.unread = unreadTokens(row, server, request, preferred);
        entry.cost += static_cast<double>(row.totalPendingPromptTokens() + entry.unread) / tokensReadPerMillisecond
            * row.slowdown(now);
        entry.cost += outstanding * millisecondsPerOutstandingRequest;
        candidates.push_back(entry);
    }
    if (candidates.empty())
        return std::nullopt;
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    const auto best = std::min_element(candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.cost < right.cost; });
    const std::chrono::duration<double, std::milli> wait(std::max(best->cost, 0.0));
    return placement_choice { best->server, best->unread, std::chrono::duration_cast<duration>(wait) };
}

uint32_t placement::cachedTokens(const instance_id& server, const placement_request& request) const
{
    const auto memory = m_cacheEstimates.find(server);
    if (memory == m_cacheEstimates.end())
        return 0;
    uint32_t tokens = 0;
    for (const prompt_part& part : request.parts) {
        if (!memory->second.parts.contains(mix(part.id ^ std::hash<std::string>()(request.model.text()))))
            break;
        tokens += part.tokens;
    }
    return std::min(tokens, request.promptTokens);
}

void placement::recordSent(const instance_id& server, const placement_request& request, uint64_t cacheTokens)
{
    prompt_cache_estimate& memory = m_cacheEstimates[server];
    for (const prompt_part& part : request.parts) {
        auto& entry = memory.parts[mix(part.id ^ std::hash<std::string>()(request.model.text()))];
        memory.tokens += part.tokens - entry.tokens;
        entry = { part.tokens, ++memory.uses };
    }
    while (memory.tokens > cacheTokens || memory.parts.size() > maximumRememberedParts) {
        const auto oldest = std::min_element(memory.parts.begin(), memory.parts.end(),
            [](const auto& left, const auto& right) { return left.second.lastUse < right.second.lastUse; });
        if (oldest == memory.parts.end())
            break;
        memory.tokens -= oldest->second.tokens;
        memory.parts.erase(oldest);
    }
}

} // namespace pollen
