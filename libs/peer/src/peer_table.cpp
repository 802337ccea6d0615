#include <peer/peer_table.h>

#include <algorithm>

namespace pollen {

peer_table::peer_table(instance_id self, duration heartbeatTimeout)
    : m_self(std::move(self))
    , m_heartbeatTimeout(heartbeatTimeout)
{
}

void peer_table::replaceListed(const std::vector<listed_peer>& list)
{
    for (auto& [id, row] : m_rows)
        row.isListed = false;
    for (const listed_peer& peer : list) {
        if (peer.id == m_self)
            continue;
        peer_row& row = m_rows[peer.id];
        row.listed = peer;
        row.isListed = true;
    }
}

bool peer_table::applyHeartbeat(const received_heartbeat& peer, time_point now)
{
    if (peer.id == m_self)
        return false;
    peer_row& row = m_rows[peer.id];
    // A paused process that has been replaced must not overwrite the state of its replacement.
    if (peer.incarnation < row.incarnation && now - row.lastHeartbeat < m_heartbeatTimeout)
        return false;
    const bool replaced = row.incarnation != 0 && row.incarnation != peer.incarnation;
    if (row.listed.id.empty())
        row.isListed = false;
    row.listed = { peer.id, peer.failureDomain, peer.address };
    row.incarnation = peer.incarnation;
    row.lastHeartbeat = now;
    row.draining = peer.draining;
    row.configurationVersion = peer.configurationVersion;
    return replaced;
}

bool peer_table::isAlive(const instance_id& id, time_point now) const
{
    const auto found = m_rows.find(id);
    return found != m_rows.end() && found->second.incarnation != 0
        && now - found->second.lastHeartbeat < m_heartbeatTimeout;
}

bool peer_table::isAlive(const instance_id& id, uint64_t incarnation, time_point now) const
{
    return isAlive(id, now) && m_rows.at(id).incarnation == incarnation;
}

std::optional<endpoint> peer_table::addressOf(const instance_id& id) const
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return std::nullopt;
    return found->second.listed.address;
}

std::vector<listed_peer> peer_table::replicaCandidates(const failure_domain_name& own, time_point now) const
{
    std::vector<listed_peer> result;
    for (const auto& [id, row] : m_rows) {
        if (isAlive(id, now) && !row.draining)
            result.push_back(row.listed);
    }
    std::stable_partition(
        result.begin(), result.end(), [&](const listed_peer& peer) { return peer.failureDomain != own; });
    return result;
}

void peer_table::sweep(time_point now)
{
    std::erase_if(m_rows, [&](const auto& entry) { return !entry.second.isListed && !isAlive(entry.first, now); });
}

} // namespace pollen
