#include <peer/peer_table.h>

#include <algorithm>

namespace pollen {

peer_table::peer_table(instance_id self, duration silence)
    : m_self(std::move(self))
    , m_silence(silence)
{
}

void peer_table::replaceListed(const std::vector<listed_peer>& list)
{
    for (auto& [id, row] : m_rows)
        row.onList = false;
    for (const listed_peer& peer : list) {
        if (peer.id == m_self)
            continue;
        peer_row& row = m_rows[peer.id];
        row.listed = peer;
        row.onList = true;
    }
}

bool peer_table::hear(const heard_peer& peer, time_point now)
{
    if (peer.id == m_self)
        return false;
    peer_row& row = m_rows[peer.id];
    // A process that was paused while a replacement took its place speaks for nobody.
    if (peer.incarnation < row.incarnation && now - row.lastHeard < m_silence)
        return false;
    const bool replaced = row.incarnation != 0 && row.incarnation != peer.incarnation;
    if (row.listed.id.empty())
        row.onList = false;
    row.listed = { peer.id, peer.failureDomain, peer.address };
    row.incarnation = peer.incarnation;
    row.lastHeard = now;
    row.draining = peer.draining;
    row.configurationVersion = peer.configurationVersion;
    return replaced;
}

bool peer_table::isAlive(const instance_id& id, time_point now) const
{
    const auto found = m_rows.find(id);
    return found != m_rows.end() && found->second.incarnation != 0 && now - found->second.lastHeard < m_silence;
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

std::vector<listed_peer> peer_table::holders(const failure_domain_name& own, time_point now) const
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
    std::erase_if(m_rows, [&](const auto& entry) { return !entry.second.onList && !isAlive(entry.first, now); });
}

} // namespace pollen
