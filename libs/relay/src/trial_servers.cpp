#include <relay/trial_servers.h>

#include <scheduling/request_hash.h>

#include <algorithm>

namespace pollen {

namespace {

// The trial fills a server up to this share of its slots before it uses the next one.
constexpr double maximumSlotShare = 0.75;
// Maximum load of a server on trial, as a multiple of its usual share of the requests. Limited because daemons see each
// other's requests with a delay.
constexpr double maximumConcentration = 8;
// Prompt tokens waiting on a server before the trial uses the next one: a second of prompt processing for a small
// model.
constexpr uint64_t maximumUnreadTokens = 128000;

bool isSaturated(const server_row& row)
{
    return row.outstanding() >= maximumSlotShare * std::max<uint32_t>(row.entry.slots, 1)
        || row.totalPendingPromptTokens() > maximumUnreadTokens;
}

// Whether the sessions on trial can fill half of one server's slots; engines show effects of load from there on.
bool canLoadServer(const rollout_row& row, const server_row& server)
{
    if (row.takesSessionlessRequests)
        return true;
    const double onTrial = static_cast<double>(row.otherVersionRequests) * row.share / std::max(1 - row.share, 0.1);
    return onTrial * 2 >= server.entry.slots;
}

} // namespace

std::vector<server_handle> trialServers(
    const server_table& servers, const service_name& service, const rollout_row& row, time_point now)
{
    struct candidate {
        uint64_t rank;
        server_handle server;
    };
    std::vector<candidate> candidates;
    for (uint32_t index = 0; index < servers.rows().size(); ++index) {
        const server_row& known = servers.rows()[index];
        if (!known.isAvailable(now) || known.entry.service != service)
            continue;
        if (known.entry.versions.empty() || known.entry.versions.front().version != row.order.target)
            continue;
        candidates.push_back({ hashOf(known.entry.id.text()), { index } });
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.rank < right.rank; });
    if (candidates.empty() || !canLoadServer(row, servers.row(candidates.front().server)))
        return {};
    const double share = row.takesSessionlessRequests ? 1.0 : row.share;
    std::vector<server_handle> chosen;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!chosen.empty()
            && static_cast<double>(i) * maximumConcentration >= share * static_cast<double>(candidates.size()))
            break;
        const candidate& next = candidates[(row.trialWindowIndex + i) % candidates.size()];
        if (!isSaturated(servers.row(next.server)))
            chosen.push_back(next.server);
    }
    return chosen;
}

} // namespace pollen
