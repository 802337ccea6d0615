#pragma once

#include <algorithm>
#include <base/clock.h>
#include <config/fleet_document.h>
#include <fleet/handles.h>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollen {

// One backend server as the instance list or the fleet document describes it.
struct listed_server {
    server_entry entry;
    // The platform is taking the instance away; it must get no new work.
    bool leaving = false;
    // Unix milliseconds of the start of its process; 0 when it does not say so.
    int64_t processStartMilliseconds = 0;

    friend bool operator==(const listed_server&, const listed_server&) = default;
};

// One backend server as this daemon sees it.
struct server_row {
    server_entry entry;
    // False for a free slot.
    bool used = false;
    bool leaving = false;
    // As in its listed_server.
    int64_t processStartMilliseconds = 0;
    // Requests of this daemon that are running there.
    uint32_t ownRequests = 0;
    // Requests of other daemons, from the last load report.
    uint32_t otherRequests = 0;
    // Prompt tokens of this daemon's requests that the server has yet to read.
    uint64_t pendingPromptTokens = 0;
    // Requests and unread prompt tokens of the daemons that this one exchanges its view with.
    uint32_t peerRequests = 0;
    uint64_t peerPendingPromptTokens = 0;
    // How long work takes there, from the last report and until when that is believed; 1 is as usual.
    double reportedSlowdown = 1;
    time_point slowdownUntil {};
    uint32_t consecutiveFailures = 0;
    // No new work before this time, after a failure.
    time_point unavailableUntil {};

    bool isAvailable(time_point now) const { return used && !leaving && now >= unavailableUntil; }
    // The last load report is old; what other daemons say that they have sent may be newer.
    uint32_t outstanding() const { return ownRequests + std::max(otherRequests, peerRequests); }
    double slowdown(time_point now) const { return now < slowdownUntil ? reportedSlowdown : 1; }
    uint64_t totalPendingPromptTokens() const { return pendingPromptTokens + peerPendingPromptTokens; }
};

// The backend servers. Rows keep their handle while they are used or have requests running.
class server_table {
public:
    // Brings the table in line with a list: adds, changes, and marks as leaving what is no longer listed.
    void replaceListed(const std::vector<listed_server>& list);

    // Frees rows that are leaving, unlisted and idle.
    void sweep();

    // None when the server has no row.
    std::optional<server_handle> find(const instance_id& id) const;
    // The last list named it.
    bool isListed(const instance_id& id) const;
    const server_row& row(server_handle server) const { return m_rows[server.index]; }
    const std::vector<server_row>& rows() const { return m_rows; }

    void addRequest(server_handle server) { ++m_rows[server.index].ownRequests; }
    void removeRequest(server_handle server);
    void addPendingPromptTokens(server_handle server, uint64_t tokens)
    {
        m_rows[server.index].pendingPromptTokens += tokens;
    }
    void removePendingPromptTokens(server_handle server, uint64_t tokens)
    {
        m_rows[server.index].pendingPromptTokens -= tokens;
    }
    void reportLoad(server_handle server, uint32_t allRequests, bool leaving);
    // What other daemons have under way, to be called for each server that they name after clearPeerLoads().
    void clearPeerLoads();
    void addPeerLoad(const instance_id& server, uint32_t requests, uint64_t pendingPromptTokens);
    void reportSlowdown(server_handle server, double slowdown, time_point now);
    void reportSuccess(server_handle server) { m_rows[server.index].consecutiveFailures = 0; }
    // Takes the server out of choice for a time that doubles with each failure in a row. Failures while it is out count
    // with the one that took it out.
    void reportFailure(server_handle server, time_point now);
    // Nothing answers at the server's address: it stays out for longer, because it is rarely back within moments.
    void reportUnreachable(server_handle server, time_point now);

private:
    server_handle add(const server_entry& entry);

    std::vector<server_row> m_rows;
    std::vector<bool> m_listed;
    std::unordered_map<instance_id, server_handle> m_byId;
};

} // namespace pollen
