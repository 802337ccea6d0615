#pragma once

#include <base/clock.h>
#include <base/endpoint.h>
#include <base/log_offset.h>
#include <base/typed_id.h>
#include <map>
#include <optional>
#include <vector>

namespace pollen {

// Another daemon as listed by the platform.
struct listed_peer {
    instance_id id;
    failure_domain_name failureDomain;
    endpoint address;

    friend bool operator==(const listed_peer&, const listed_peer&) = default;
};

struct peer_row {
    listed_peer listed;
    // False once the platform no longer lists it.
    bool isListed = true;
    // 0 until the first heartbeat.
    uint64_t incarnation = 0;
    time_point lastHeartbeat {};
    bool draining = false;
    log_offset configurationVersion = 0;
};

// The other daemons of the fleet: listed by the platform, considered alive while their heartbeats arrive.
class peer_table {
public:
    // heartbeatTimeout: time without a heartbeat after which a peer counts as dead.
    peer_table(instance_id self, duration heartbeatTimeout);

    void replaceListed(const std::vector<listed_peer>& list);

    struct received_heartbeat {
        instance_id id;
        uint64_t incarnation;
        failure_domain_name failureDomain;
        endpoint address;
        bool draining;
        log_offset configurationVersion;
    };
    // Applies a heartbeat. Returns true when it replaces an earlier incarnation of the peer.
    bool applyHeartbeat(const received_heartbeat& peer, time_point now);

    bool isAlive(const instance_id& id, time_point now) const;
    // True when exactly this incarnation is alive.
    bool isAlive(const instance_id& id, uint64_t incarnation, time_point now) const;

    // Address of the daemon; none when it is not known.
    std::optional<endpoint> addressOf(const instance_id& id) const;

    // Alive peers that are not draining, those in other failure domains than the given one first.
    std::vector<listed_peer> replicaCandidates(const failure_domain_name& own, time_point now) const;

    const std::map<instance_id, peer_row>& rows() const { return m_rows; }

    // Removes peers that are neither listed nor alive.
    void sweep(time_point now);

private:
    instance_id m_self;
    duration m_heartbeatTimeout;
    std::map<instance_id, peer_row> m_rows;
};

} // namespace pollen
