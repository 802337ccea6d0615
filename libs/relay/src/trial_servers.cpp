#include <relay/trial_servers.h>

#include "request_hash.h"

#include <algorithm>

namespace pollen {

namespace {

// Part of a server's slots up to which the trial fills it before it takes the next one.
constexpr double partOfSlots = 0.75;
// How many times its usual share of the requests a server of the trial gets at the most; daemons do not see at once
// what the others send.
constexpr double mostConcentration = 8;
// Prompt tokens that wait on a server before the trial takes the next one: a second of reading for a small model.
constexpr uint64_t mostUnreadTokens = 128000;

bool isFilled(const server_row& row)
{
    return row.outstanding() >= partOfSlots * std::max<uint32_t>(row.entry.slots, 1)
        || row.totalPendingPromptTokens() > mostUnreadTokens;
}

// The sessions on trial are enough to fill half of one server's slots, from where on engines show what load does to
// them.
bool canBeLoaded(const rollout_row& row, const server_row& server)
{
    if (row.takesLooseRequests)
        return true;
    const double onTrial = static_cast<double>(row.othersRunning) * row.share / std::max(1 - row.share, 0.1);
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
    if (candidates.empty() || !canBeLoaded(row, servers.row(candidates.front().server)))
        return {};
    const double share = row.takesLooseRequests ? 1.0 : row.share;
    std::vector<server_handle> chosen;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!chosen.empty()
            && static_cast<double>(i) * mostConcentration >= share * static_cast<double>(candidates.size()))
            break;
        const candidate& next = candidates[(row.trialTurn + i) % candidates.size()];
        if (!isFilled(servers.row(next.server)))
            chosen.push_back(next.server);
    }
    return chosen;
}

} // namespace pollen
