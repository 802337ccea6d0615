#include <fleet/server_table.h>

#include <algorithm>
#include <cassert>

namespace pollen {

namespace {

constexpr duration initialBackoff = std::chrono::milliseconds(250);
constexpr duration unreachableBackoff = std::chrono::milliseconds(1500);
constexpr duration maximumBackoff = std::chrono::seconds(8);
constexpr uint32_t maximumDoublings = 5;
// Short, because the platform states that the value changes many times a second.
constexpr duration slowdownLifetime = std::chrono::milliseconds(1000);

} // namespace

void server_table::replaceListed(const std::vector<listed_server>& list)
{
    m_listed.assign(m_rows.size(), false);
    for (const listed_server& listed : list) {
        const server_handle server = find(listed.entry.id).value_or(server_handle { UINT32_MAX });
        const server_handle target = server.index == UINT32_MAX ? add(listed.entry) : server;
        server_row& row = m_rows[target.index];
        // A new address means a replacement, which does not inherit the failures of its predecessor.
        if (row.entry.address != listed.entry.address) {
            row.consecutiveFailures = 0;
            row.unavailableUntil = time_point {};
        }
        row.entry = listed.entry;
        row.leaving = listed.leaving;
        row.evacuated = m_evacuatedDomains.contains(row.entry.failureDomain);
        row.processStartMilliseconds = listed.processStartMilliseconds;
        applyStatements(row);
        m_listed[target.index] = true;
    }
    for (size_t i = 0; i < m_rows.size(); ++i) {
        if (!m_listed[i])
            m_rows[i].leaving = true;
    }
    sweep();
}

void server_table::setEvacuatedDomains(std::set<failure_domain_name> domains)
{
    m_evacuatedDomains = std::move(domains);
    for (server_row& row : m_rows)
        row.evacuated = row.used && m_evacuatedDomains.contains(row.entry.failureDomain);
}

void server_table::sweep()
{
    for (size_t i = 0; i < m_rows.size(); ++i) {
        server_row& row = m_rows[i];
        if (!row.used || m_listed[i] || row.ownRequests > 0)
            continue;
        m_byId.erase(row.entry.id);
        row = server_row();
    }
}

std::optional<server_handle> server_table::find(const instance_id& id) const
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return std::nullopt;
    return found->second;
}

bool server_table::isListed(const instance_id& id) const
{
    const auto found = m_byId.find(id);
    return found != m_byId.end() && m_listed[found->second.index];
}

void server_table::removeRequest(server_handle server)
{
    assert(m_rows[server.index].ownRequests > 0);
    --m_rows[server.index].ownRequests;
}

void server_table::reportLoad(server_handle server, uint32_t allRequests, bool leaving)
{
    server_row& row = m_rows[server.index];
    row.otherRequests = allRequests - std::min(allRequests, row.ownRequests);
    row.leaving = row.leaving || leaving;
}

void server_table::reportSlowdown(server_handle server, double slowdown, time_point now)
{
    server_row& row = m_rows[server.index];
    row.reportedSlowdown = slowdown;
    row.slowdownUntil = now + slowdownLifetime;
}

void server_table::clearPeerLoads()
{
    for (server_row& row : m_rows) {
        row.peerRequests = 0;
        row.peerPendingPromptTokens = 0;
    }
}

void server_table::addPeerLoad(const instance_id& server, uint32_t requests, uint64_t pendingPromptTokens)
{
    const auto known = find(server);
    if (!known)
        return;
    m_rows[known->index].peerRequests += requests;
    m_rows[known->index].peerPendingPromptTokens += pendingPromptTokens;
}

bool server_table::reportLeaving(server_handle server)
{
    server_row& row = m_rows[server.index];
    const bool isNews = m_statements.recordLeaving(row.entry.id, row.processStartMilliseconds);
    applyStatements(row);
    return isNews;
}

bool server_table::reportNotBefore(server_handle server, time_point notBefore)
{
    server_row& row = m_rows[server.index];
    const bool isNews = m_statements.recordNotBefore(row.entry.id, row.processStartMilliseconds, notBefore);
    applyStatements(row);
    return isNews;
}

void server_table::applyStatements(server_row& row) const
{
    row.leaving = row.leaving || m_statements.isLeaving(row.entry.id, row.processStartMilliseconds);
    row.notBefore = m_statements.notBefore(row.entry.id, row.processStartMilliseconds);
}

std::optional<time_point> server_table::earliestReturn(const service_name& service) const
{
    std::optional<time_point> earliest;
    for (const server_row& row : m_rows) {
        if (!row.mayGetRequests() || row.entry.service != service)
            continue;
        const time_point returns = std::max(row.unavailableUntil, row.notBefore);
        earliest = earliest ? std::min(*earliest, returns) : returns;
    }
    return earliest;
}

void server_table::reportFailure(server_handle server, time_point now)
{
    server_row& row = m_rows[server.index];
    // Failures during the back-off come from requests that were already in flight; they carry no new information.
    if (now < row.unavailableUntil)
        return;
    const uint32_t doublings = std::min(row.consecutiveFailures, maximumDoublings);
    ++row.consecutiveFailures;
    row.unavailableUntil = now + std::min(maximumBackoff, initialBackoff * (1 << doublings));
}

void server_table::reportUnreachable(server_handle server, time_point now)
{
    reportFailure(server, now);
    server_row& row = m_rows[server.index];
    row.unavailableUntil = std::max(row.unavailableUntil, now + unreachableBackoff);
}

server_handle server_table::add(const server_entry& entry)
{
    const auto freeRow = std::find_if(m_rows.begin(), m_rows.end(), [](const server_row& row) { return !row.used; });
    const server_handle server { static_cast<uint32_t>(freeRow - m_rows.begin()) };
    if (freeRow == m_rows.end()) {
        m_rows.emplace_back();
        m_listed.push_back(false);
    }
    m_rows[server.index].entry = entry;
    m_rows[server.index].used = true;
    m_byId[entry.id] = server;
    return server;
}

} // namespace pollen
