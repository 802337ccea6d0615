#pragma once

#include <base/logger.h>
#include <fleet/fleet_system.h>
#include <fleet/server_table.h>
#include <memory>
#include <optional>
#include <peer/state_exchange.h>
#include <relay/crash_publisher.h>
#include <relay/fleet_store.h>
#include <relay/fleet_sync_message.h>
#include <relay/rollout_system.h>

namespace pollen {

// Keeps the fleet state up to date and elects the leaders, the daemons that read the store. In each failure domain a
// daemon queries the first available daemon before it by id; a daemon with no available predecessor leads and reads the
// store itself. A leader that cannot reach the store queries any other daemon. While the leaders cannot reach the
// store, only a few daemons of each failure domain keep polling it: requests from hundreds of daemons at once would
// cost more than they reveal.
class fleet_sync final : public fleet_system {
public:
    struct identity {
        instance_id id;
        failure_domain_name failureDomain;
    };

    // A fleet state older than these limits shows that its holder has lost its source.
    struct age_limits {
        duration maximumPeerAge { 0 };
        duration maximumOwnAge { 0 };
    };

    // servers: receives the pending work of other daemons. crashTable: receives their crash reports. rateLimits:
    // receives the rate limits that they know.
    fleet_sync(identity self, age_limits limits, fleet_store& store, server_table& servers, rollout_system& rollouts,
        crash_table& crashTable, crash_publisher& crashes, server_rate_limits& rateLimits, state_exchange& exchange,
        const clock& time, logger& log);

    void tick(time_point now) override;

    // The daemon that is queried instead of the store; empty while the store is read.
    const instance_id& upstream() const { return m_upstream; }

private:
    std::optional<listed_peer> choosePeer(time_point now);
    bool isAvailable(const instance_id& peer, time_point now) const;
    // Number of daemons of the failure domain with a lower id.
    size_t precedingDaemons() const;
    bool isBackingOff(time_point now) const;
    // The fleet state is not known yet, and a preceding daemon may be about to receive it.
    bool isStarting(time_point now) const;
    bool shouldLead(time_point now) const;
    void updateLeadership(time_point now);
    void sendRequest(const listed_peer& peer, time_point now);
    void onReply(const instance_id& peer, const std::optional<std::string>& bytes, time_point requestedAt);
    void recordFailure(const instance_id& peer, const char* reason, time_point now);
    void setUpstream(const instance_id& peer);
    std::string handleRequest(const std::string& bytes);
    duration stateAge(time_point now) const;
    std::vector<server_work> ownWork() const;
    // Pending work of all daemons of the group except one, including this daemon's own.
    std::vector<server_work> workExcluding(const instance_id& daemon, time_point now) const;
    void applyPeerWork(const std::vector<server_work>& work);

    // Pending work reported by a member of the group.
    struct member_work {
        std::vector<server_work> work;
        time_point received;
    };

    struct penalty {
        time_point until;
        uint32_t failures = 0;
    };

    identity m_self;
    age_limits m_limits;
    fleet_store& m_store;
    server_table& m_servers;
    rollout_system& m_rollouts;
    crash_table& m_crashTable;
    crash_publisher& m_crashes;
    server_rate_limits& m_rateLimits;
    state_exchange& m_exchange;
    const clock& m_time;
    logger& m_log;
    instance_id m_upstream;
    std::map<instance_id, penalty> m_penalties;
    std::map<instance_id, member_work> m_members;
    time_point m_nextWorkUpdate {};
    // The request in progress.
    uint64_t m_requestNumber = 0;
    std::optional<listed_peer> m_requestedPeer;
    time_point m_requestedAt {};
    time_point m_nextRequest {};
    size_t m_rotation = 0;
    bool m_isLeader = false;
    std::optional<time_point> m_startedAt;
    // Last reply with an incomplete or too old fleet state.
    std::optional<time_point> m_staleReplyAt;
    // Last sync with a daemon other than the upstream, done because the store could not be reached.
    std::optional<time_point> m_fallbackSyncAt;
    size_t m_consecutiveFailures = 0;
    std::shared_ptr<bool> m_aliveToken;
};

} // namespace pollen
