#pragma once

#include <algorithm>
#include <base/clock.h>
#include <config/fleet_document.h>
#include <fleet/handles.h>
#include <fleet/server_statements.h>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace pollen {

// A backend server as listed by the platform or by the fleet document.
struct listed_server {
    server_entry entry;
    // The platform is removing the instance; it must get no new requests.
    bool leaving = false;
    // Start of the server process, Unix time; 0 if the list does not state it.
    int64_t processStartMilliseconds = 0;
    // How much longer the server is cold, at the time of the entry; none if the entry does not state it.
    std::optional<duration> coldLeft {};
    // The entry states a remaining time that cannot be read.
    bool coldLeftUnreadable = false;

    friend bool operator==(const listed_server&, const listed_server&) = default;
};

// State of a backend server as known to this daemon.
struct server_row {
    server_entry entry;
    // False for a free slot.
    bool used = false;
    bool leaving = false;
    // The server's failure domain is being evacuated; it must get no new requests.
    bool evacuated = false;
    // Copied from listed_server.
    int64_t processStartMilliseconds = 0;
    // Requests of this daemon in flight on the server.
    uint32_t ownRequests = 0;
    // Requests of other daemons, according to the last load report.
    uint32_t otherRequests = 0;
    // Prompt tokens of this daemon's requests that the server has not processed yet.
    uint64_t pendingPromptTokens = 0;
    // Requests and pending prompt tokens reported by the daemons with which this one exchanges its fleet state.
    uint32_t peerRequests = 0;
    uint64_t peerPendingPromptTokens = 0;
    // Processing time relative to normal (1) from the last report, and when that report expires.
    double reportedSlowdown = 1;
    time_point slowdownUntil {};
    uint32_t consecutiveFailures = 0;
    // Back-off after a failure: no new requests before this time.
    time_point unavailableUntil {};
    // The server has said that it wants no requests before this time.
    time_point notBefore {};

    // Whether a new request may be sent to the server now, whatever kind of request it is.
    bool isAvailable(time_point now) const { return mayGetRequests() && now >= unavailableUntil && now >= notBefore; }
    // Whether new requests may be sent to the server at all.
    bool mayGetRequests() const { return used && !leaving && !evacuated; }
    // Takes the greater count for other daemons, because their own reports may be newer than the server's load report.
    uint32_t outstanding() const { return ownRequests + std::max(otherRequests, peerRequests); }
    double slowdown(time_point now) const { return now < slowdownUntil ? reportedSlowdown : 1; }
    uint64_t totalPendingPromptTokens() const { return pendingPromptTokens + peerPendingPromptTokens; }
};

// The known backend servers. A row keeps its handle while the server is listed or has requests of this daemon.
class server_table {
public:
    // Adds and updates the servers in the list; marks the others as leaving and frees those that are idle.
    void replaceListed(const std::vector<listed_server>& list);

    // Frees the rows of unlisted servers that have no requests of this daemon.
    void sweep();

    // Sets the failure domains whose servers must get no new requests, of those listed now and later.
    void setEvacuatedDomains(std::set<failure_domain_name> domains);

    // Returns nothing if the server has no row.
    std::optional<server_handle> find(const instance_id& id) const;
    // Whether the last list contained the server.
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
    // allRequests: running and queued requests of all daemons.
    void reportLoad(server_handle server, uint32_t allRequests, bool leaving);
    // Set the load reported by other daemons: clear it, then add it for each reported server. Unknown servers are
    // ignored.
    void clearPeerLoads();
    void addPeerLoad(const instance_id& server, uint32_t requests, uint64_t pendingPromptTokens);
    void reportSlowdown(server_handle server, double slowdown, time_point now);
    void reportSuccess(server_handle server) { m_rows[server.index].consecutiveFailures = 0; }
    // The server says in an answer that it leaves, or that it wants no requests before a time. Holds for its process,
    // also while the list says otherwise. Both return false if this was known.
    bool reportLeaving(server_handle server);
    bool reportNotBefore(server_handle server, time_point notBefore);
    // The earliest time at which a server of the service that is neither leaving nor evacuated takes requests again;
    // none if there is no such server.
    std::optional<time_point> earliestReturn(const service_name& service) const;
    // Makes the server unavailable for a back-off that doubles with each consecutive failure. Failures during a
    // back-off do not count again.
    void reportFailure(server_handle server, time_point now);
    // Nothing answers at the server's address. The back-off is longer, because such a server is rarely back soon.
    void reportUnreachable(server_handle server, time_point now);

private:
    server_handle add(const server_entry& entry);

    // Applies what the server's process has said of itself to its row.
    void applyStatements(server_row& row) const;

    server_statements m_statements;
    std::set<failure_domain_name> m_evacuatedDomains;
    std::vector<server_row> m_rows;
    std::vector<bool> m_listed;
    std::unordered_map<instance_id, server_handle> m_byId;
};

} // namespace pollen
