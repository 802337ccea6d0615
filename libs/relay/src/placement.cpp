#include <relay/placement.h>

#include <algorithm>
#include <array>
#include <limits>

namespace pollen {

namespace {

// Prompt tokens that an engine reads in a millisecond, by the fleets' sheets for their largest models.
constexpr double tokensReadPerMillisecond = 16;
// What one more request on an engine costs a new one until its first token.
constexpr double millisecondsPerRunning = 4;
constexpr double millisecondsPerRequest = 20;
// A server in another failure domain costs the way there and back, and traffic between them is paid for.
constexpr double otherDomainMilliseconds = 12;
constexpr double coldMilliseconds = 400;
constexpr size_t maximumParts = 4096;
// Servers that the daemons agree on for a shared part, in order: one that is behind hands its part on to the next.
constexpr size_t homesOfPart = 2;
// Part of the shared tokens that each of them is expected to remember.
constexpr std::array<double, homesOfPart> keptAtHome { 1, 0.5 };

uint64_t mix(uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

// Rendezvous weight: all daemons rank the servers of a part alike without talking to each other.
uint64_t rendezvousWeight(uint64_t part, const instance_id& server)
{
    return mix(part ^ mix(std::hash<std::string>()(server.text())));
}

// The deepest part that other requests share; the last one belongs to the request or its session.
uint64_t sharedPart(const std::vector<prompt_part>& parts)
{
    if (parts.empty())
        return 0;
    return parts.size() >= 2 ? parts[parts.size() - 2].id : parts.front().id;
}

} // namespace

bool placement::fits(const server_row& row, const placement_request& request)
{
    if (row.entry.service != request.service)
        return false;
    const version_name version = row.entry.versions.empty() ? version_name() : row.entry.versions.front().version;
    if (!request.onlyVersion.empty() && version != request.onlyVersion)
        return false;
    return request.notVersion.empty() || version != request.notVersion;
}

bool placement::mayTake(const server_row& row, server_handle server, const placement_request& request)
{
    if (!row.used || row.leaving || !fits(row, request))
        return false;
    const auto contains = [&](const std::vector<server_handle>& servers) {
        return std::find(servers.begin(), servers.end(), server) != servers.end();
    };
    return !contains(request.excluded) && (request.onlyServers.empty() || contains(request.onlyServers));
}

std::vector<server_handle> placement::homesOf(
    uint64_t part, const placement_request& request, const server_table& servers)
{
    std::vector<std::pair<uint64_t, server_handle>> best;
    for (uint32_t index = 0; index < servers.rows().size(); ++index) {
        const server_row& row = servers.rows()[index];
        if (!mayTake(row, { index }, request))
            continue;
        best.emplace_back(rendezvousWeight(part, row.entry.id), server_handle { index });
        std::sort(
            best.begin(), best.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
        best.resize(std::min(best.size(), homesOfPart));
    }
    std::vector<server_handle> homes;
    homes.reserve(best.size());
    for (const auto& [weight, server] : best)
        homes.push_back(server);
    return homes;
}

uint32_t placement::unreadTokens(const server_row& row, server_handle server, const placement_request& request,
    const std::vector<server_handle>& homes) const
{
    const uint32_t remembered = rememberedTokens(row.entry.id, request);
    const auto home = std::find(homes.begin(), homes.end(), server);
    if (home == homes.end())
        return request.promptTokens - remembered;
    // Other daemons send the shared parts here too, so that the server has read them whoever has sent them.
    uint32_t shared = 0;
    for (size_t i = 0; i + 1 < request.parts.size(); ++i)
        shared += request.parts[i].tokens;
    const double share = keptAtHome[static_cast<size_t>(home - homes.begin())];
    const auto expected = static_cast<uint32_t>(std::min(shared, request.promptTokens) * share);
    return request.promptTokens - std::max(remembered, expected);
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
    const std::vector<server_handle> homes = request.parts.empty() || !service.engine || request.onNewServers
        ? std::vector<server_handle>()
        : homesOf(sharedPart(request.parts), request, servers);
    for (uint32_t index = 0; index < servers.rows().size(); ++index) {
        const server_row& row = servers.rows()[index];
        const server_handle server { index };
        if (!mayTake(row, server, request))
            continue;
        candidate entry { server, 0, 0 };
        if (!row.isAvailable(now))
            entry.cost += coldMilliseconds * 100;
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
        entry.unread = unreadTokens(row, server, request, homes);
        entry.cost += static_cast<double>(row.totalPendingPromptTokens() + entry.unread) / tokensReadPerMillisecond
            * row.slowdown(now);
        entry.cost += outstanding * millisecondsPerRunning;
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

uint32_t placement::rememberedTokens(const instance_id& server, const placement_request& request) const
{
    const auto memory = m_memories.find(server);
    if (memory == m_memories.end())
        return 0;
    uint32_t tokens = 0;
    for (const prompt_part& part : request.parts) {
        if (!memory->second.parts.contains(mix(part.id ^ std::hash<std::string>()(request.model.text()))))
            break;
        tokens += part.tokens;
    }
    return std::min(tokens, request.promptTokens);
}

void placement::remember(const instance_id& server, const placement_request& request, uint64_t cacheTokens)
{
    server_memory& memory = m_memories[server];
    for (const prompt_part& part : request.parts) {
        auto& entry = memory.parts[mix(part.id ^ std::hash<std::string>()(request.model.text()))];
        memory.tokens += part.tokens - entry.tokens;
        entry = { part.tokens, ++memory.uses };
    }
    while (memory.tokens > cacheTokens || memory.parts.size() > maximumParts) {
        const auto oldest = std::min_element(memory.parts.begin(), memory.parts.end(),
            [](const auto& left, const auto& right) { return left.second.lastUse < right.second.lastUse; });
        if (oldest == memory.parts.end())
            break;
        memory.tokens -= oldest->second.tokens;
        memory.parts.erase(oldest);
    }
}

} // namespace pollen
